// Scenarios of cancellations while the store refuses requests from the partition owner, or while the owner
// reaches only its workers. Each is one entry in the table of a test.

package controller

import (
	"testing"
	"time"

	"ambersill/internal/emulator"
)

// Cancelled tasks must not be kept alive by an owner that has not learned of the cancellation.
// The key-value store refuses requests from the owner only, while other nodes confirm
// cancellations to users. The store is then unavailable to all nodes for longer than cancel_s,
// while the workers still send heartbeats to the old owner. The owner may regain contact with the
// store briefly when a watch ends, and regains it after the outage before it has received the
// cancellations; neither contact may extend the leases of the workers that run the tasks.
func TestCancellationWhileStoreRefusesOwner(t *testing.T) {
	scenarios := append(cancellationInOutageScenarios(), missedCancellationScenarios()...)
	for i := range scenarios {
		scenario := &scenarios[i]
		scenario.seed = uint64(20 + i)
		scenario.submit = submitLongJobs(8)
		scenario.setup = func(cluster *simulatedCluster) { cluster.store.AnswerRefusedWatches = true }
		// Cut the owner off from its peers, so that it can learn of cancellations only from the
		// store.
		scenario.script = append(scenario.script, nodeFault(emulator.PeersCut, 40500*time.Millisecond, 2*second, ownerNode))
	}
	runScenarios(t, scenarios)
}

// cancellationInOutageScenarios returns the scenarios in which the store first refuses requests
// from the owner and then becomes unavailable to all nodes.
func cancellationInOutageScenarios() []faultScenario {
	refused := nodeFault(emulator.StoreRefusesNode, 40*second, 3*second, ownerNode)
	refusedLonger := nodeFault(emulator.StoreRefusesNode, 40*second, 70*second, ownerNode)
	cancellations := cancelJobsFault(41*second, 5)
	outage := storeOutageFault(42500*time.Millisecond, 60*second)
	scriptWith := func(more ...emulator.Fault) []emulator.Fault {
		return append([]emulator.Fault{refused, cancellations, outage}, more...)
	}
	scenarios := []faultScenario{
		{
			name:   "refusal ends during the outage",
			script: scriptWith(),
		},
		{
			name:   "refusal outlasts the outage",
			script: []emulator.Fault{refusedLonger, cancellations, outage},
		},
		{
			name:   "a second outage follows",
			script: scriptWith(storeOutageFault(103500*time.Millisecond, 50*second)),
		},
		{
			name: "brief contact between two outages",
			script: []emulator.Fault{
				refused,
				cancellations,
				storeOutageFault(42500*time.Millisecond, 20*second),
				storeOutageFault(62600*time.Millisecond, 50*second),
			},
		},
		{
			name:   "the owner restarts",
			script: scriptWith(crashFault(55*second, ownerNode, 200*time.Millisecond)),
		},
		{
			name:   "machines hang",
			script: scriptWith(machineFault(emulator.MachineHang, 41500*time.Millisecond, 12*second, 3)),
		},
		{
			name:   "machines receive nothing",
			script: scriptWith(machineFault(emulator.MachineInboundCut, 41500*time.Millisecond, 90*second, 3)),
		},
		{
			name:   "heartbeats are forwarded by a third node",
			script: scriptWith(nodeFault(emulator.WorkersCut, 39*second, 80*second, ownerNode)),
		},
		{
			name: "refusal and cancellations at the same time",
			script: []emulator.Fault{
				refused,
				cancelJobsFault(40*second, 5),
				storeOutageFault(41500*time.Millisecond, 60*second),
			},
		},
		{
			name:   "store responses are slow",
			script: scriptWith(slowStoreFault(30*second, 90*second, 800*time.Millisecond)),
		},
	}
	for i := range scenarios {
		scenarios[i].minInjected = faultCounts{
			emulator.StoreRefusesNode:  1,
			emulator.CancelRunningJobs: 5,
			emulator.StoreOutage:       1,
		}
	}
	return scenarios
}

// missedCancellationScenarios returns the scenarios in which the owner stays in contact with the
// store but does not learn of cancellations.
func missedCancellationScenarios() []faultScenario {
	watchesStalled := emulator.Fault{Start: 40 * second, ActiveFor: 80 * second, Kind: emulator.WatchesStalled}
	listsRefused := emulator.Fault{Start: 40 * second, ActiveFor: 80 * second, Kind: emulator.ListsRefused}
	cancellations := cancelJobsFault(41*second, 5)
	return []faultScenario{
		{
			name:        "watches stall",
			script:      []emulator.Fault{watchesStalled, cancellations},
			minInjected: faultCounts{emulator.WatchesStalled: 1, emulator.CancelRunningJobs: 5},
		},
		{
			name:   "watches stall and listing cancellations is refused",
			script: []emulator.Fault{watchesStalled, cancellations, listsRefused},
			minInjected: faultCounts{
				emulator.WatchesStalled:    1,
				emulator.ListsRefused:      1,
				emulator.CancelRunningJobs: 5,
			},
		},
	}
}

// The owner can reach only its workers and users. Jobs are cancelled through the next owner, which
// cannot reach the workers. The old owner's heartbeat responses must not keep the cancelled tasks
// alive.
func TestCancellationWithIsolatedOwner(t *testing.T) {
	runScenarios(t, []faultScenario{{
		name:        "cancelled through the next owner",
		seed:        50,
		submit:      submitLongJobs(10),
		minInjected: faultCounts{emulator.NodeIsolated: 1, emulator.CancelRunningJobs: 5},
		script: []emulator.Fault{
			nodeFault(emulator.NodeIsolated, 60*second, 80*second, ownerNode),
			nodeFault(emulator.WorkersCut, 60*second, 80*second, otherNodes),
			// Otherwise the next owner would return the machines to the cloud for lack of
			// heartbeats, which would end all their tasks.
			nodeFault(emulator.CloudCut, 60*second, 80*second, otherNodes),
			cancelJobsFault(68*second, 5),
		},
	}})
}
