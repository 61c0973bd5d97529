// Scenarios of faults that occur at the same time, each one entry in the table of a test:
// cancellations while the store refuses requests from the partition owner, failovers with
// unreachable machines, late messages, teams at their limits, and users that query jobs while
// their state changes. docs/design.md lists what each scenario guards against.

package controller

import (
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/records"
	"ambersill/internal/wire"
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

// While machines are unreachable during a change of owner, no placement may be freed merely
// because time has passed.
func TestFailoverWithUnreachableMachines(t *testing.T) {
	crash := crashFault(60*second, ownerNode, 4*second)
	tenCrashes := []emulator.Fault{storeOutageFault(90*second, 25*second)}
	for i := range 10 {
		at := time.Duration(50+12*i) * second
		downtime := time.Duration(200+700*i) * time.Millisecond
		tenCrashes = append(tenCrashes, crashFault(at, ownerNode, downtime))
	}
	runScenarios(t, []faultScenario{
		{
			name:        "machines with long tasks hang as the owner crashes",
			seed:        40,
			submit:      submitLongJobs(10),
			minInjected: faultCounts{emulator.MachineHang: 4, emulator.ControllerCrash: 1},
			script:      []emulator.Fault{machineFault(emulator.MachineHang, 59*second, 12*second, 4), crash},
		},
		{
			name:        "machines receive nothing from the next owner",
			seed:        41,
			submit:      submitLongJobs(10),
			minInjected: faultCounts{emulator.MachineInboundCut: 4, emulator.ControllerCrash: 1},
			script:      []emulator.Fault{machineFault(emulator.MachineInboundCut, 59*second, 40*second, 4), crash},
		},
		{
			name:        "machines cannot be reached by the next owner",
			seed:        42,
			submit:      submitLongJobs(10),
			minInjected: faultCounts{emulator.ZoneCut: 1, emulator.ControllerCrash: 1},
			script:      []emulator.Fault{zoneCutFault(59*second, 12*second, "a", nil), crash},
		},
		{
			name:        "all crash for longer than a lease",
			seed:        43,
			submit:      submitLongAndShortJobs(10, 6, 30),
			minInjected: faultCounts{emulator.ControllerCrash: 3, emulator.MachineInboundCut: 3},
			check:       expectTaskStarts(46),
			// Some machines receive nothing from the restarted controllers. Only their increased
			// incarnations show that their tasks have ended, and the tasks must run elsewhere.
			script: []emulator.Fault{
				machineFault(emulator.MachineInboundCut, 59*second, 90*second, 3),
				crashFault(60*second, allNodes, 20*second),
			},
			observe: expectRunningTasks(92*second, 20),
		},
		{
			name:        "the owner crashes twice, then all crash and restart after 200 ms",
			seed:        44,
			submit:      submitLongJobs(10),
			minInjected: faultCounts{emulator.ControllerCrash: 5},
			script: []emulator.Fault{
				crash,
				crashFault(66*second, ownerNode, 300*time.Millisecond),
				crashFault(72*second, allNodes, 200*time.Millisecond),
			},
			check: expectTaskStarts(20),
		},
		{
			name:        "ten owners in two minutes, and an outage",
			seed:        45,
			submit:      submitLongJobs(10),
			minInjected: faultCounts{emulator.ControllerCrash: 8, emulator.StoreOutage: 1},
			script:      tenCrashes,
		},
		{
			name:        "a zone is cut off together with the owner",
			seed:        46,
			submit:      submitLongJobs(10),
			minInjected: faultCounts{emulator.ZoneCut: 1},
			script:      []emulator.Fault{zoneCutFault(60*second, 50*second, "a", ownerNode)},
		},
		{
			name:        "a zone is cut off together with the other nodes",
			seed:        47,
			submit:      submitLongAndShortJobs(10, 6, 30),
			minInjected: faultCounts{emulator.ZoneCut: 1},
			script:      []emulator.Fault{zoneCutFault(60*second, 50*second, "b", otherNodes)},
		},
	})
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

// Teams are at their limits while the owner changes, machines are unreachable and jobs are
// cancelled. Tasks that may still be running on a machine must count towards the limits.
func TestTeamsAtLimits(t *testing.T) {
	const cancelAt = 70500 * time.Millisecond
	// Cancel only after the owner has crashed. Before that, it would place the next tasks on
	// machines that do not receive its commands.
	const cancelAfterCrash = 72 * second
	scenario := func(name string, seed uint64, cancelAt time.Duration, unreachable ...emulator.Fault) faultScenario {
		return faultScenario{
			name:        name,
			seed:        seed,
			submit:      submitJobsAtTeamLimits,
			observe:     expectTeamsAtLimits(69 * second),
			minInjected: faultCounts{emulator.CancelRunningJobs: 6, emulator.ControllerCrash: 1},
			script: append(unreachable,
				cancelJobsFault(cancelAt, allTargets),
				crashFault(71*second, ownerNode, 3*second),
			),
		}
	}
	runScenarios(t, []faultScenario{
		scenario("machines hang", 60, cancelAt,
			limitedToTeam("blue", machineFault(emulator.MachineHang, 70*second, 13*second, 3)),
			limitedToTeam("red", machineFault(emulator.MachineHang, 70*second, 13*second, 1))),
		scenario("a zone is cut off", 61, cancelAfterCrash,
			zoneCutFault(70*second, 13*second, "a", nil)),
		scenario("machines receive nothing", 63, cancelAfterCrash,
			limitedToTeam("blue", machineFault(emulator.MachineInboundCut, 70*second, 30*second, 3)),
			limitedToTeam("red", machineFault(emulator.MachineInboundCut, 70*second, 30*second, 1))),
	})
}

// Heartbeats, commands and commits that arrive after newer ones must not break any rule.
func TestLateMessages(t *testing.T) {
	var scenarios []faultScenario
	scenarios = append(scenarios, lateHeartbeatScenarios()...)
	scenarios = append(scenarios, lateCommandScenarios()...)
	scenarios = append(scenarios, lateCommitScenarios()...)
	runScenarios(t, scenarios)
}

func lateHeartbeatScenarios() []faultScenario {
	late := func(at, duration time.Duration, share float64, delay time.Duration) emulator.Fault {
		return emulator.Fault{Start: at, ActiveFor: duration, Kind: emulator.LateHeartbeats, Probability: share, Delay: delay}
	}
	forNextOwner := func(at, duration, delay time.Duration) emulator.Fault {
		return emulator.Fault{Start: at, ActiveFor: duration, Kind: emulator.HeartbeatsForNextOwner, Delay: delay}
	}
	return []faultScenario{
		// The next owner receives each machine's first heartbeat, which lists no task. The
		// machines that run tasks hang at that time, so that neither a command response nor a
		// newer heartbeat from them arrives first.
		{
			name:   "old heartbeats when the next owner takes over",
			seed:   70,
			submit: submitLongAndShortJobs(5, 5, 10),
			minInjected: faultCounts{
				emulator.HeartbeatsForNextOwner: 6,
				emulator.MachineHang:            4,
				emulator.ControllerCrash:        1,
			},
			check: expectTaskStarts(15),
			script: []emulator.Fault{
				forNextOwner(2*second, 36*second, 0),
				machineFault(emulator.MachineHang, 39*second, 11*second, allTargets),
				crashFault(40*second, ownerNode, 3*second),
			},
		},
		// The next owner receives heartbeats from before it took over, and delayed ones that
		// already carry its fencing token.
		{
			name:   "old heartbeats some seconds after the next owner takes over",
			seed:   71,
			submit: submitJobStream(60, 2, 4, second, 15),
			minInjected: faultCounts{
				emulator.HeartbeatsForNextOwner: 6,
				emulator.LateHeartbeats:         20,
				emulator.ControllerCrash:        1,
			},
			script: []emulator.Fault{
				forNextOwner(22*second, 20*second, 6*second),
				crashFault(50*second, ownerNode, 3*second),
				late(54*second, 30*second, 0.5, 10*second),
			},
		},
		{
			name:        "copies of heartbeats from earlier incarnations and attempts",
			seed:        72,
			submit:      submitJobStream(60, 2, 4, second, 15),
			minInjected: faultCounts{emulator.LateHeartbeats: 50, emulator.MachineHang: 4},
			script: []emulator.Fault{
				late(20*second, 80*second, 0.3, 30*second),
				machineFault(emulator.MachineHang, 45*second, 16*second, 4),
			},
		},
	}
}

func lateCommandScenarios() []faultScenario {
	delayed := emulator.Fault{Start: 42 * second, ActiveFor: 50 * second, Kind: emulator.DelayedCommands, Delay: 9 * second}
	return []faultScenario{
		{
			name:        "commands are delayed",
			seed:        73,
			submit:      submitPreemptingJobs,
			minInjected: faultCounts{emulator.DelayedCommands: 5},
			check:       expectNoRepeatedAttempts,
			script:      []emulator.Fault{delayed},
		},
		{
			name:        "machines resume with a command in flight",
			seed:        74,
			submit:      submitJobStream(60, 2, 4, second, 20),
			minInjected: faultCounts{emulator.MachineHang: 4},
			script: []emulator.Fault{
				machineFault(emulator.MachineHang, 30*second, 9*second, allTargets),
				machineFault(emulator.MachineHang, 42*second, 9*second, allTargets),
				machineFault(emulator.MachineHang, 55*second, 13*second, allTargets),
			},
		},
		{
			name:   "machines cannot reach controllers but receive commands",
			seed:   75,
			submit: submitJobStream(90, 2, 4, second, 14),
			minInjected: faultCounts{
				emulator.MachineOutboundCut: 4,
				emulator.CloudCut:           1,
				emulator.CancelRunningJobs:  5,
			},
			// The machines' leases expire. Commands to stop tasks then reach the machines, whose
			// next incarnation refuses them. The cloud becomes unreachable after the next owner has
			// learned the machines' addresses, so that no machine can be returned.
			script: []emulator.Fault{
				cancelJobsFault(61*second, allTargets),
				nodeFault(emulator.CloudCut, 54*second, 40*second, allNodes),
				machineFault(emulator.MachineOutboundCut, 45*second, 45*second, 5),
				crashFault(48*second, ownerNode, 2*second),
			},
		},
	}
}

func lateCommitScenarios() []faultScenario {
	bootWithinTwoSeconds := func(cluster *simulatedCluster) {
		cluster.cloud.BootTime = func(wire.MachineType) time.Duration { return 1500 * time.Millisecond }
	}
	lostResponses := emulator.Fault{Start: 10 * second, ActiveFor: 50 * second, Kind: emulator.LostResponses, Probability: 0.4}
	// Machines are lost and their records deleted while the next owner loads its partition.
	slowFailovers := append(periodicMachineLosses(500*time.Millisecond, 28*second, 16),
		slowStoreFault(3*second, 60*second, 600*time.Millisecond),
		crashFault(15*second, ownerNode, second),
		crashFault(42*second, ownerNode, second),
	)
	return []faultScenario{
		{
			name:        "commits are late",
			seed:        76,
			submit:      submitJobStream(150, 2, 2, 500*time.Millisecond, 10),
			minInjected: faultCounts{emulator.LateCommits: 6, emulator.ControllerCrash: 3},
			script:      lateCommitsThenCrashes(40*second, 55*second, 70*second),
		},
		{
			name:         "responses to commits are lost",
			seed:         77,
			pollAllNodes: true,
			submit:       submitJobStream(40, 2, 2, second, 10),
			minInjected:  faultCounts{emulator.LostResponses: 20},
			script:       []emulator.Fault{lostResponses},
		},
		{
			name:   "machines boot within two seconds, commits are slow, and the owner crashes",
			seed:   78,
			setup:  bootWithinTwoSeconds,
			submit: submitJobStream(40, 2, 2, second, 30),
			minInjected: faultCounts{
				emulator.StoreSlow:       1,
				emulator.ControllerCrash: 2,
				emulator.MachineLost:     5,
			},
			script: slowFailovers,
		},
	}
}

// lateCommitsThenCrashes returns a script that crashes the owner at each of the given times and
// executes late all commits that it sends in the 5 s before. Some machines hang when it crashes,
// so that the next owner gets no heartbeats that list their tasks.
func lateCommitsThenCrashes(times ...time.Duration) []emulator.Fault {
	var script []emulator.Fault
	for _, at := range times {
		late := nodeFault(emulator.LateCommits, at-5*second, 5*second, ownerNode)
		late.Probability = 1
		script = append(script,
			late,
			machineFault(emulator.MachineHang, at, 9*second, 7),
			crashFault(at, ownerNode, second),
		)
	}
	return script
}

// periodicMachineLosses returns a script in which one machine is lost per interval, count times.
func periodicMachineLosses(interval, from time.Duration, count int) []emulator.Fault {
	var script []emulator.Fault
	for i := range count {
		script = append(script, machineLossFault(from+time.Duration(i)*interval, 1, ""))
	}
	return script
}

// A user must never see an older phase of a job than one already reported, whichever node it
// queries.
func TestUsersNeverSeeOlderPhase(t *testing.T) {
	runScenarios(t, []faultScenario{
		{
			name:         "cancelled and queried when the last task ends",
			seed:         80,
			pollAllNodes: true,
			setup:        cancelJobsWhenDone,
			submit:       submitJobStream(80, 1, 2, 250*time.Millisecond, 5),
			// Slow the store down, so that time passes between a cancellation's read and write.
			script: []emulator.Fault{slowStoreFault(15*second, 60*second, 150*time.Millisecond)},
			check:  expectDoneAndCancelledJobs,
		},
		{
			name:         "queried at all nodes within milliseconds",
			seed:         81,
			pollAllNodes: true,
			submit:       submitJobStream(40, 2, 2, 500*time.Millisecond, 6),
			minInjected:  faultCounts{emulator.CancelRunningJobs: 3},
			script:       []emulator.Fault{cancelJobsFault(30*second, 10), cancelJobsFault(34*second, 10)},
		},
		{
			name:         "cancelled during a failover",
			seed:         82,
			pollAllNodes: true,
			submit:       submitLongJobs(10),
			minInjected:  faultCounts{emulator.CancelRunningJobs: 9, emulator.ControllerCrash: 1},
			script: []emulator.Fault{
				crashFault(60*second, ownerNode, 20*second),
				cancelJobsFault(60300*time.Millisecond, 3),
				cancelJobsFault(62*second, 3),
				cancelJobsFault(64500*time.Millisecond, 3),
			},
		},
		{
			name:   "four one-task jobs per second, one in five cancelled",
			seed:   83,
			submit: submitJobStream(480, 1, 2, 250*time.Millisecond, 5),
			check:  expectNoRecordsOfFinishedJobs,
		},
		{
			name:   "invalid requests",
			seed:   84,
			submit: submitInvalidJobs,
		},
	})
}

// cancelJobsWhenDone makes the user of each job cancel it between 0 and 780 ms after its last task
// is done, so that some cancellations arrive while the owner is about to record the job as done.
func cancelJobsWhenDone(cluster *simulatedCluster) {
	done := 0
	cluster.simulation.OnJobDone = func(id string) {
		done++
		delay := time.Duration(done%40) * 20 * time.Millisecond
		time.AfterFunc(delay, func() { cluster.cancelJob(id) })
	}
}

// expectDoneAndCancelledJobs checks that at least five jobs were done before their cancellation
// and that at least five were cancelled first.
func expectDoneAndCancelledJobs(t *testing.T, cluster *simulatedCluster) {
	done := cluster.countJobsEndedAs(wire.JobDone)
	cancelled := cluster.countJobsEndedAs(wire.JobCancelled)
	if done < 5 || cancelled < 5 {
		t.Errorf("final phases of jobs: got %d done and %d cancelled, want at least 5 of each", done, cancelled)
	}
}

// expectNoRecordsOfFinishedJobs checks that no chunk or cancellation records of finished jobs
// remain in the store.
func expectNoRecordsOfFinishedJobs(t *testing.T, cluster *simulatedCluster) {
	time.Sleep(10 * second)
	for _, prefix := range []string{records.ChunkPrefix(0), records.CancellationPrefix(0)} {
		if n := cluster.store.CountKeys(prefix); n != 0 {
			t.Errorf("records of finished jobs: got %d under %s, want 0", n, prefix)
		}
	}
}

// The tasks of each job end at widely different times, some during an outage or a failover. A task
// that has ended must not run again.
func TestFinishedTasksDoNotRunAgain(t *testing.T) {
	runScenarios(t, []faultScenario{{
		name:        "across two failovers and an outage",
		seed:        90,
		minInjected: faultCounts{emulator.ControllerCrash: 2, emulator.StoreOutage: 1},
		check:       expectTaskStarts(30),
		setup: func(cluster *simulatedCluster) {
			cluster.simulation.RunTime = func(_ *wire.Job, task int) time.Duration {
				return time.Duration(15+25*task) * second
			}
		},
		submit: func(cluster *simulatedCluster) {
			for n := range 10 {
				cluster.submit(newSmallMachineJob(n, 3, 2, 40), 0)
				time.Sleep(2 * second)
			}
		},
		script: []emulator.Fault{
			storeOutageFault(50*second, 8*second),
			crashFault(56*second, ownerNode, 2*second),
			crashFault(75*second, ownerNode, 2*second),
		},
	}})
}

// Jobs restricted to one zone, both gangs and job arrays, lose machines, and a zone is cut off.
func TestSingleZoneJobsLoseMachines(t *testing.T) {
	runScenarios(t, []faultScenario{{
		name:        "machines are lost, then a zone is cut off",
		seed:        91,
		minInjected: faultCounts{emulator.MachineLost: 6, emulator.ZoneCut: 1},
		submit:      submitSingleZoneJobs,
		script: []emulator.Fault{
			machineLossFault(45*second, 3, "a"),
			machineLossFault(55*second, 3, "b"),
			zoneCutFault(70*second, 20*second, "a", nil),
		},
	}})
}
