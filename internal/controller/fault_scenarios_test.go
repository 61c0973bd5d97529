// Scenarios of coinciding faults, each a row of a test: cancellations while the store refuses
// the owner, failovers with machines that cannot be reached, late messages, teams at their
// limits, and users that query while something changes. docs/design.md lists what each guards.

package controller

import (
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// The key-value store refuses the owner alone, other nodes tell users that their jobs are
// cancelled, and then it is out for all nodes beyond cancel_s, while the workers send their
// heartbeats to the old owner. The owner's contact with the store may be renewed in between by
// a watch that ends, and is back after the outage before the cancellations have arrived;
// neither may keep the tasks alive.
func TestJobsCancelledWhileOwnerIsRefused(t *testing.T) {
	scenarios := append(cancelledInOutage(), cancelledWhileUninformed()...)
	for i := range scenarios {
		scenario := &scenarios[i]
		scenario.seed = uint64(20 + i)
		scenario.submit = submitLongJobs(8)
		scenario.setup = func(cluster *simulatedCluster) { cluster.store.WatchesEnd = true }
		// No node can inform the owner, so that only the store can.
		scenario.script = append(scenario.script, nodeFault(emulator.PeersCut, 40500*time.Millisecond, 2*second, ownerNode))
	}
	runScenarios(t, scenarios)
}

// cancelledInOutage are the scenarios in which the store refuses the owner and is then out.
func cancelledInOutage() []faultScenario {
	refused := nodeFault(emulator.StoreRefusesNode, 40*second, 3*second, ownerNode)
	refusedForLong := nodeFault(emulator.StoreRefusesNode, 40*second, 70*second, ownerNode)
	cancels := cancelFault(41*second, 5)
	outage := outageFault(42500*time.Millisecond, 60*second)
	with := func(more ...emulator.Fault) []emulator.Fault {
		return append([]emulator.Fault{refused, cancels, outage}, more...)
	}
	scenarios := []faultScenario{
		{
			name:   "ends in the outage",
			script: with(),
		},
		{
			name:   "outlasts the outage",
			script: []emulator.Fault{refusedForLong, cancels, outage},
		},
		{
			name:   "a second outage",
			script: with(outageFault(103500*time.Millisecond, 50*second)),
		},
		{
			name: "a moment of contact",
			script: []emulator.Fault{
				refused,
				cancels,
				outageFault(42500*time.Millisecond, 20*second),
				outageFault(62600*time.Millisecond, 50*second),
			},
		},
		{
			name:   "the owner restarts",
			script: with(crashFault(55*second, ownerNode, 200*time.Millisecond)),
		},
		{
			name:   "machines hang",
			script: with(machineFault(emulator.MachineHang, 41500*time.Millisecond, 12*second, 3)),
		},
		{
			name:   "machines receive nothing",
			script: with(machineFault(emulator.MachineInboundCut, 41500*time.Millisecond, 90*second, 3)),
		},
		{
			name:   "heartbeats are forwarded by a third node",
			script: with(nodeFault(emulator.WorkersCut, 39*second, 80*second, ownerNode)),
		},
		{
			name: "all at the same moment",
			script: []emulator.Fault{
				refused,
				cancelFault(40*second, 5),
				outageFault(41500*time.Millisecond, 60*second),
			},
		},
		{
			name:   "responses are slow",
			script: with(slowStoreFault(30*second, 90*second, 800*time.Millisecond)),
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

// cancelledWhileUninformed are the scenarios in which the owner has contact with the store all
// the time, and does not learn of cancellations.
func cancelledWhileUninformed() []faultScenario {
	stalled := emulator.Fault{Start: 40 * second, ActiveFor: 80 * second, Kind: emulator.WatchesStalled}
	listsRefused := emulator.Fault{Start: 40 * second, ActiveFor: 80 * second, Kind: emulator.ListsRefused}
	cancels := cancelFault(41*second, 5)
	return []faultScenario{
		{
			name:        "watches are stalled",
			script:      []emulator.Fault{stalled, cancels},
			minInjected: faultCounts{emulator.WatchesStalled: 1, emulator.CancelRunningJobs: 5},
		},
		{
			name:   "the cancellations cannot be read",
			script: []emulator.Fault{stalled, cancels, listsRefused},
			minInjected: faultCounts{
				emulator.WatchesStalled:    1,
				emulator.ListsRefused:      1,
				emulator.CancelRunningJobs: 5,
			},
		},
	}
}

// The owner changes while some machines cannot be reached: no placement is freed by time alone.
func TestFailoverWithUnreachableMachines(t *testing.T) {
	crash := crashFault(60*second, ownerNode, 4*second)
	tenCrashes := []emulator.Fault{outageFault(90*second, 25*second)}
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
			check:       expectStarts(46),
			// Some machines receive nothing from the controllers that are back: that their tasks
			// are over is known by their incarnations alone, and the tasks run elsewhere.
			script: []emulator.Fault{
				machineFault(emulator.MachineInboundCut, 59*second, 90*second, 3),
				crashFault(60*second, allNodes, 20*second),
			},
			observe: expectRunning(92*second, 20),
		},
		{
			name:        "the owner crashes twice, all crash, and one is back at once",
			seed:        44,
			submit:      submitLongJobs(10),
			minInjected: faultCounts{emulator.ControllerCrash: 5},
			script: []emulator.Fault{
				crash,
				crashFault(66*second, ownerNode, 300*time.Millisecond),
				crashFault(72*second, allNodes, 200*time.Millisecond),
			},
			check: expectStarts(20),
		},
		{
			name:        "ten owners in two minutes, and an outage",
			seed:        45,
			submit:      submitLongJobs(10),
			minInjected: faultCounts{emulator.ControllerCrash: 8, emulator.StoreOutage: 1},
			script:      tenCrashes,
		},
		{
			name:        "a zone is cut off with the owner inside",
			seed:        46,
			submit:      submitLongJobs(10),
			minInjected: faultCounts{emulator.ZoneCut: 1},
			script:      []emulator.Fault{zoneCutFault(60*second, 50*second, "a", ownerNode)},
		},
		{
			name:        "a zone is cut off with another inside",
			seed:        47,
			submit:      submitLongAndShortJobs(10, 6, 30),
			minInjected: faultCounts{emulator.ZoneCut: 1},
			script:      []emulator.Fault{zoneCutFault(60*second, 50*second, "b", otherNodes)},
		},
	})
}

// The owner has its workers and users only, and jobs are cancelled through the next one, which
// does not reach the workers: the old owner's responses must not keep the tasks alive.
func TestIsolatedOwnerKeepsWorkers(t *testing.T) {
	runScenarios(t, []faultScenario{{
		name:        "cancelled through the next owner",
		seed:        50,
		submit:      submitLongJobs(10),
		minInjected: faultCounts{emulator.NodeIsolated: 1, emulator.CancelRunningJobs: 5},
		script: []emulator.Fault{
			nodeFault(emulator.NodeIsolated, 60*second, 80*second, ownerNode),
			nodeFault(emulator.WorkersCut, 60*second, 80*second, otherNodes),
			// Otherwise the next owner returns the machines without heartbeats, with all tasks.
			nodeFault(emulator.CloudCut, 60*second, 80*second, otherNodes),
			cancelFault(68*second, 5),
		},
	}})
}

// Teams are at their limits while the owner changes, machines cannot be reached, and jobs are
// cancelled: what may still run on a machine counts.
func TestTeamsAtLimits(t *testing.T) {
	const cancelAt = 70500 * time.Millisecond
	// Once the owner has crashed: it would place the next tasks where its commands are lost.
	const cancelAfterCrash = 72 * second
	scenario := func(name string, seed uint64, cancelAt time.Duration, unreachable ...emulator.Fault) faultScenario {
		return faultScenario{
			name:        name,
			seed:        seed,
			submit:      submitJobsAtTeamLimits,
			observe:     expectTeamsAtLimits(69 * second),
			minInjected: faultCounts{emulator.CancelRunningJobs: 6, emulator.ControllerCrash: 1},
			script: append(unreachable,
				cancelFault(cancelAt, allOfThem),
				crashFault(71*second, ownerNode, 3*second),
			),
		}
	}
	runScenarios(t, []faultScenario{
		scenario("machines hang", 60, cancelAt,
			ofTeam("blue", machineFault(emulator.MachineHang, 70*second, 13*second, 3)),
			ofTeam("red", machineFault(emulator.MachineHang, 70*second, 13*second, 1))),
		scenario("a zone is cut off", 61, cancelAfterCrash,
			zoneCutFault(70*second, 13*second, "a", nil)),
		scenario("machines receive nothing", 63, cancelAfterCrash,
			ofTeam("blue", machineFault(emulator.MachineInboundCut, 70*second, 30*second, 3)),
			ofTeam("red", machineFault(emulator.MachineInboundCut, 70*second, 30*second, 1))),
	})
}

// Old heartbeats, commands and commits arrive after newer ones.
func TestLateMessages(t *testing.T) {
	var scenarios []faultScenario
	scenarios = append(scenarios, lateHeartbeats()...)
	scenarios = append(scenarios, lateCommands()...)
	scenarios = append(scenarios, lateCommits()...)
	runScenarios(t, scenarios)
}

func lateHeartbeats() []faultScenario {
	late := func(at, length time.Duration, share float64, delay time.Duration) emulator.Fault {
		return emulator.Fault{Start: at, ActiveFor: length, Kind: emulator.LateHeartbeats, Probability: share, Delay: delay}
	}
	forNextOwner := func(at, length, delay time.Duration) emulator.Fault {
		return emulator.Fault{Start: at, ActiveFor: length, Kind: emulator.HeartbeatsForNextOwner, Delay: delay}
	}
	return []faultScenario{
		// The first heartbeats of all, without a task. The machines with tasks hang then, so
		// that neither a command's response nor a newer heartbeat of theirs comes first.
		{
			name:   "old heartbeats as the next owner begins",
			seed:   70,
			submit: submitLongAndShortJobs(5, 5, 10),
			minInjected: faultCounts{
				emulator.HeartbeatsForNextOwner: 6,
				emulator.MachineHang:            4,
				emulator.ControllerCrash:        1,
			},
			check: expectStarts(15),
			script: []emulator.Fault{
				forNextOwner(2*second, 36*second, 0),
				machineFault(emulator.MachineHang, 39*second, 11*second, allOfThem),
				crashFault(40*second, ownerNode, 3*second),
			},
		},
		// Those kept for the next owner, and some that have its fencing token already.
		{
			name:   "old heartbeats once the next owner has acted",
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
			name:        "copies from earlier incarnations and attempts",
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

func lateCommands() []faultScenario {
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
			name:        "machines go on with a command in flight",
			seed:        74,
			submit:      submitJobStream(60, 2, 4, second, 20),
			minInjected: faultCounts{emulator.MachineHang: 4},
			script: []emulator.Fault{
				machineFault(emulator.MachineHang, 30*second, 9*second, allOfThem),
				machineFault(emulator.MachineHang, 42*second, 9*second, allOfThem),
				machineFault(emulator.MachineHang, 55*second, 13*second, allOfThem),
			},
		},
		{
			name:   "machines reach no controller, commands reach them",
			seed:   75,
			submit: submitJobStream(90, 2, 4, second, 14),
			minInjected: faultCounts{
				emulator.MachineOutboundCut: 4,
				emulator.CloudCut:           1,
				emulator.CancelRunningJobs:  5,
			},
			// Their leases expire, and then commands to stop tasks reach them, which the next
			// incarnation refuses. No machine is returned once the next owner has learned the
			// machines' addresses.
			script: []emulator.Fault{
				cancelFault(61*second, allOfThem),
				nodeFault(emulator.CloudCut, 54*second, 40*second, allNodes),
				machineFault(emulator.MachineOutboundCut, 45*second, 45*second, 5),
				crashFault(48*second, ownerNode, 2*second),
			},
		},
	}
}

func lateCommits() []faultScenario {
	bootWithinTwoSeconds := func(cluster *simulatedCluster) {
		cluster.cloud.BootTime = func(wire.MachineType) time.Duration { return 1500 * time.Millisecond }
	}
	lostResponses := emulator.Fault{Start: 10 * second, ActiveFor: 50 * second, Kind: emulator.LostResponses, Probability: 0.4}
	// Machines are lost, and their records deleted, while the next owner reads its partition.
	slowFailovers := append(machinesLostEach(500*time.Millisecond, 28*second, 16),
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

// lateCommitsThenCrashes has the owner's commits be late just before it crashes, each time, and
// some machines hang as it does, so that the next one gets no heartbeat about what runs there.
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

// machinesLostEach has a machine be lost each interval.
func machinesLostEach(interval, from time.Duration, count int) []emulator.Fault {
	var script []emulator.Fault
	for i := range count {
		script = append(script, lostMachinesFault(from+time.Duration(i)*interval, 1, ""))
	}
	return script
}

// Users see no older phase than before, whichever node they query.
func TestUsersSeeNoOlderAnswer(t *testing.T) {
	runScenarios(t, []faultScenario{
		{
			name:         "cancelled and queried at the last task's end",
			seed:         80,
			pollAllNodes: true,
			setup:        cancelDoneJobs,
			submit:       submitJobStream(80, 1, 2, 250*time.Millisecond, 5),
			// So that some time passes between what a cancellation reads and what it writes.
			script: []emulator.Fault{slowStoreFault(15*second, 60*second, 150*time.Millisecond)},
			check:  expectDoneAndCancelledJobs,
		},
		{
			name:         "queried at all nodes within milliseconds",
			seed:         81,
			pollAllNodes: true,
			submit:       submitJobStream(40, 2, 2, 500*time.Millisecond, 6),
			minInjected:  faultCounts{emulator.CancelRunningJobs: 3},
			script:       []emulator.Fault{cancelFault(30*second, 10), cancelFault(34*second, 10)},
		},
		{
			name:         "cancelled during a failover",
			seed:         82,
			pollAllNodes: true,
			submit:       submitLongJobs(10),
			minInjected:  faultCounts{emulator.CancelRunningJobs: 9, emulator.ControllerCrash: 1},
			script: []emulator.Fault{
				crashFault(60*second, ownerNode, 20*second),
				cancelFault(60300*time.Millisecond, 3),
				cancelFault(62*second, 3),
				cancelFault(64500*time.Millisecond, 3),
			},
		},
		{
			name:   "one-task jobs four a second, a quarter cancelled",
			seed:   83,
			submit: submitJobStream(480, 1, 2, 250*time.Millisecond, 5),
			check:  expectNoRecordsOfEndedJobs,
		},
		{
			name:   "invalid requests",
			seed:   84,
			submit: submitInvalidJobs,
		},
	})
}

// cancelDoneJobs has the user of a job cancel it when its last task is done: at once, or while
// the owner is about to record that.
func cancelDoneJobs(cluster *simulatedCluster) {
	done := 0
	cluster.simulation.OnJobDone = func(id string) {
		done++
		delay := time.Duration(done%40) * 20 * time.Millisecond
		time.AfterFunc(delay, func() { cluster.cancelJob(id) })
	}
}

// expectDoneAndCancelledJobs checks that some jobs were done before their cancellation, and
// some not.
func expectDoneAndCancelledJobs(t *testing.T, cluster *simulatedCluster) {
	done := cluster.countFinalPhase(wire.JobDone)
	cancelled := cluster.countFinalPhase(wire.JobCancelled)
	if done < 5 || cancelled < 5 {
		t.Errorf("%d done, %d cancelled", done, cancelled)
	}
}

// expectNoRecordsOfEndedJobs checks that no chunks or cancellations of ended jobs are left.
func expectNoRecordsOfEndedJobs(t *testing.T, cluster *simulatedCluster) {
	time.Sleep(10 * second)
	for _, prefix := range []string{records.ChunkPrefix(0), records.CancellationPrefix(0)} {
		if n := cluster.store.Count(prefix); n != 0 {
			t.Errorf("%d records under %s of jobs that have ended", n, prefix)
		}
	}
}

// The tasks of a job end far apart, in an outage and across failovers: none that has ended runs
// again.
func TestFinishedTasksDoNotRunAgain(t *testing.T) {
	runScenarios(t, []faultScenario{{
		name:        "across owners and an outage",
		seed:        90,
		minInjected: faultCounts{emulator.ControllerCrash: 2, emulator.StoreOutage: 1},
		check:       expectStarts(30),
		setup: func(cluster *simulatedCluster) {
			cluster.simulation.RunTime = func(_ *wire.Job, task int) time.Duration {
				return time.Duration(15+25*task) * second
			}
		},
		submit: func(cluster *simulatedCluster) {
			for n := range 10 {
				cluster.submit(smallMachineJob(n, 3, 2, 40), 0)
				time.Sleep(2 * second)
			}
		},
		script: []emulator.Fault{
			outageFault(50*second, 8*second),
			crashFault(56*second, ownerNode, 2*second),
			crashFault(75*second, ownerNode, 2*second),
		},
	}})
}

// Jobs bound to one zone, arrays too, lose machines, and a zone is cut off.
func TestSingleZoneJobsLoseMachines(t *testing.T) {
	runScenarios(t, []faultScenario{{
		name:        "machines are lost, and cut off",
		seed:        91,
		minInjected: faultCounts{emulator.MachineLost: 6, emulator.ZoneCut: 1},
		submit:      submitSingleZoneJobs,
		script: []emulator.Fault{
			lostMachinesFault(45*second, 3, "a"),
			lostMachinesFault(55*second, 3, "b"),
			zoneCutFault(70*second, 20*second, "a", nil),
		},
	}})
}
