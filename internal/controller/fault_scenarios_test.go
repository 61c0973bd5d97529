// Scenarios of faults that occur at the same time, each one entry in the table of a test: failovers with
// unreachable machines, teams at their limits, and users that query jobs while their state changes.
// Those of cancellations and late messages are in files of their own. docs/design.md lists what each
// scenario guards against.

package controller

import (
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

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
