// Scenarios of controllers that get no processor time, or too little.

package controller

import (
	"testing"
	"time"

	"ambersill/internal/emulator"
)

// A controller that gets no processor time for seconds continues with its timers, its lease and
// its unsent requests as they were, while another owns the partition.
func TestFrozenControllers(t *testing.T) {
	frozen := func(at, length time.Duration, nodes []int) emulator.Fault {
		return nodeFault(emulator.NodeFrozen, at, length, nodes)
	}
	var frozenAgainAndAgain []emulator.Fault
	for i := range 8 {
		at := time.Duration(30+9*i) * second
		length := time.Duration(1+i) * second
		frozenAgainAndAgain = append(frozenAgainAndAgain, frozen(at, length, ownerNode))
	}
	runScenarios(t, []faultScenario{
		{
			name:        "the owner beyond its lease, jobs are cancelled",
			seed:        100,
			submit:      submitLongJobs(10),
			check:       expectStarts(20),
			observe:     expectOwnerChange(71 * second),
			minInjected: faultCounts{emulator.NodeFrozen: 1, emulator.CancelRunningJobs: 4},
			script:      []emulator.Fault{frozen(60*second, 12*second, ownerNode), cancelFault(67*second, 4)},
		},
		{
			name:        "the owner, and the next one crashes",
			seed:        101,
			submit:      submitLongAndShortJobs(10, 6, 30),
			observe:     expectOwnerChange(80 * second),
			minInjected: faultCounts{emulator.NodeFrozen: 1, emulator.ControllerCrash: 1},
			script: []emulator.Fault{
				frozen(58*second, 25*second, ownerNode),
				crashFault(66*second, ownerNode, 2*second),
			},
		},
		{
			name:        "the owner of short tasks, again and again",
			seed:        102,
			submit:      submitJobStream(120, 2, 4, second, 8),
			observe:     expectOwnerChange(120 * second),
			check:       expectNoRepeatedAttempts,
			minInjected: faultCounts{emulator.NodeFrozen: 8},
			script:      frozenAgainAndAgain,
		},
		{
			name:        "the nodes that forward heartbeats",
			seed:        103,
			submit:      submitLongJobs(10),
			check:       expectStarts(20),
			minInjected: faultCounts{emulator.NodeFrozen: 2},
			script:      []emulator.Fault{frozen(60*second, 9*second, otherNodes)},
		},
		{
			name:        "all, longer than the workers' leases",
			seed:        104,
			submit:      submitLongJobs(10),
			minInjected: faultCounts{emulator.NodeFrozen: 3},
			script:      []emulator.Fault{frozen(60*second, 20*second, allNodes)},
		},
	})
}

// Controllers that compute slowly are late with heartbeats, users and their own leases, also
// during a failover of the partition; no rule may be broken for it.
func TestSlowControllers(t *testing.T) {
	slow := func(cost time.Duration, nodes []int) emulator.Fault {
		fault := nodeFault(emulator.SlowProcessor, 30*second, 80*second, nodes)
		fault.Delay = cost
		return fault
	}
	crash := crashFault(60*second, ownerNode, 2*second)
	crashAll := crashFault(60*second, allNodes, 2*second)
	cancels := cancelFault(61*second, 10)
	runScenarios(t, []faultScenario{
		{
			name:        "the owner, which crashes",
			seed:        110,
			submit:      submitJobStream(90, 2, 4, second, 15),
			observe:     expectOwnerChange(80 * second),
			minInjected: faultCounts{emulator.SlowProcessor: 1, emulator.ControllerCrash: 1},
			script:      []emulator.Fault{slow(20*time.Millisecond, ownerNode), crash, cancels},
		},
		{
			name:        "all, and the owner crashes",
			seed:        111,
			submit:      submitJobStream(90, 2, 4, second, 15),
			observe:     expectOwnerChange(80 * second),
			minInjected: faultCounts{emulator.SlowProcessor: 3, emulator.ControllerCrash: 1},
			script:      []emulator.Fault{slow(10*time.Millisecond, allNodes), crash, cancels},
		},
		{
			name:        "all, and all crash",
			seed:        112,
			submit:      submitLongAndShortJobs(10, 6, 30),
			observe:     expectOwnerChange(80 * second),
			minInjected: faultCounts{emulator.SlowProcessor: 3, emulator.ControllerCrash: 3},
			script:      []emulator.Fault{slow(10*time.Millisecond, allNodes), crashAll, cancels},
		},
	})
}
