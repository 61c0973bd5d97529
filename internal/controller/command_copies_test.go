// Simulations in which workers execute copies of the controllers' direct command requests again,
// from a fraction of a second to minutes after the requests were executed and answered.

package controller

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// commandCopyDelays are the times after which a copy of each command request is executed. The last
// two are longer than the deadline of cancellations.
var commandCopyDelays = []time.Duration{150 * time.Millisecond, second, 4 * second, 15 * second, 70 * second, 150 * second}

// commandCopyTest is a workload whose tasks leave their machines in one way.
type commandCopyTest struct {
	name string
	// parts is the number of partitions, or 0 for one per controller.
	parts  int
	submit func(cluster *simulatedCluster)
	// script has the faults that make the tasks leave, if the workload itself does not.
	script []emulator.Fault
	// movesMachines is set if machines must move between partitions.
	movesMachines bool
}

// commandCopyFaults are faults during which the copies arrive, besides those of the workload.
var commandCopyFaults = []struct {
	name   string
	script []emulator.Fault
}{
	{name: "no other fault"},
	{name: "owner back within a second", script: []emulator.Fault{
		crashFault(32*second, ownerNode, 300*time.Millisecond),
		crashFault(40*second, ownerNode, 300*time.Millisecond),
		crashFault(55*second, ownerNode, 300*time.Millisecond),
	}},
	{name: "other owners", script: []emulator.Fault{
		crashFault(34*second, ownerNode, 20*second),
		crashFault(60*second, allNodes, second),
	}},
	{name: "machines hang or are cut off", script: []emulator.Fault{
		machineFault(emulator.MachineHang, 33*second, 5*second, 3),
		machineFault(emulator.MachineInboundCut, 42*second, 5*second, 3),
		machineFault(emulator.MachineOutboundCut, 52*second, 5*second, 3),
	}},
}

var commandCopyTests = []commandCopyTest{
	{name: "tasks done", parts: 1, submit: submitShortJobsBesideLongOnes},
	{name: "tasks failed", parts: 1, submit: submitJobsThatFailOnOneMachine},
	{name: "tasks preempted", parts: 1, submit: submitPreemptedJobs()},
	{name: "gangs preempted", parts: 1, submit: submitPreemptedJobs(asGang, withCheckpoints(5, 1))},
	{name: "jobs cancelled", parts: 1, submit: submitCancelledJobsBesideLongOnes},
	{
		name: "spread arrays lose machines", parts: 1, submit: submitSpreadJobs,
		script: periodicMachineLosses(12*second, 34*second, 3),
	},
	{
		name: "single-zone jobs lose machines", parts: 1, submit: submitSingleZoneJobs,
		script: periodicMachineLosses(12*second, 34*second, 3),
	},
	{name: "team at its limit", parts: 1, submit: submitShortJobsOfLimitedTeam},
	{name: "machines moved between partitions", parts: 0, movesMachines: true, submit: func(cluster *simulatedCluster) {
		cluster.submitRandomJobs(24, 80*second)
	}},
}

// Guards against a task that runs twice, after the end of its attempt or after its cancellation,
// since a late copy of its start command reached a worker that had forgotten the attempt (ran_twice,
// ran_cancelled, wrong_place, quota).
func TestLateCopyOfStartStartsNothing(t *testing.T) {
	t.Parallel()
	for _, test := range commandCopyTests {
		t.Run(test.name, func(t *testing.T) {
			if runInChildProcess(t) {
				return
			}
			moves := 0
			for _, faults := range commandCopyFaults {
				simulate(t, 1, func(t *testing.T, cluster *simulatedCluster) {
					cluster.countMachineMoves(&moves)
					test.run(t, cluster, faults.name, faults.script)
				})
			}
			if test.movesMachines && moves == 0 {
				t.Error("machines told to move to another partition: got 0, want some")
			}
		})
	}
}

func (test *commandCopyTest) run(t *testing.T, cluster *simulatedCluster, faults string, script []emulator.Fault) {
	cluster.tuning.Parts = test.parts
	copies := cluster.copyAllCommands()
	cluster.startNodes()
	cluster.background.Go(func() { test.submit(cluster) })
	cluster.injector.Run(cluster.ctx, append(script, test.script...)...)
	cluster.simulation.RecordFaultsOver()
	cluster.waitForJobsAndCheck(scenarioTimeout)
	if repeated := cluster.simulation.RepeatedAttemptCount(); repeated != 0 {
		t.Errorf("%s: attempts started again after they had been forgotten: got %d, want 0", faults, repeated)
	}
	const minCopies = 20
	if n := copies.Load(); n < minCopies {
		t.Errorf("%s: copies of command requests: got %d, want at least %d", faults, n, minCopies)
	}
}

// countMachineMoves counts the writes of machines' records that tell an owner to have a machine moved.
func (cluster *simulatedCluster) countMachineMoves(moves *int) {
	cluster.store.OnPut = func(key string, before, after wire.Raw) {
		cluster.checkStoreChange(key, before, after)
		if !strings.HasPrefix(key, records.MachinePrefix) || len(after) == 0 {
			return
		}
		group, err := records.DecodeMachineGroup(strings.TrimPrefix(key, records.MachinePrefix), after, 0)
		if err != nil {
			cluster.t.Error(err)
		}
		for _, machine := range group.Machines {
			if machine.Desired == records.DesiredMoved {
				*moves++
			}
		}
	}
}

// copyAllCommands makes a copy of each command request reach its worker after each of
// commandCopyDelays. It returns the number of copies so far.
func (cluster *simulatedCluster) copyAllCommands() *atomic.Int64 {
	var copies atomic.Int64
	cluster.simulation.OnCommandsExecuted = func(_ *wire.CommandRequest, repeat emulator.CommandRepeater) {
		for _, delay := range commandCopyDelays {
			go func() {
				transport.Pause(cluster.ctx, delay)
				if cluster.ctx.Err() == nil {
					copies.Add(1)
					repeat()
				}
			}()
		}
	}
	return &copies
}

// submitShortJobsBesideLongOnes submits short jobs on machines that long ones keep.
func submitShortJobsBesideLongOnes(cluster *simulatedCluster) {
	submitLongJobs(4)(cluster)
	time.Sleep(25 * second)
	for n := range 30 {
		cluster.submit(newSmallMachineJob(100+n, 2, 2, 2+float64(n%4)), 0)
		time.Sleep(second)
	}
}

// submitCancelledJobsBesideLongOnes is like submitShortJobsBesideLongOnes, but users cancel the short
// jobs soon after their start.
func submitCancelledJobsBesideLongOnes(cluster *simulatedCluster) {
	submitLongJobs(4)(cluster)
	time.Sleep(25 * second)
	for n := range 15 {
		cluster.submit(newSmallMachineJob(100+n, 2, 2, 60), time.Duration(2+n%3)*second)
		time.Sleep(2 * second)
	}
}

// submitJobsThatFailOnOneMachine submits jobs while each task fails on one of the machines, which
// long tasks keep.
func submitJobsThatFailOnOneMachine(cluster *simulatedCluster) {
	submitLongJobs(4)(cluster)
	time.Sleep(32 * second)
	worker := cluster.cloud.Workers()[0]
	worker.FailTasks(true)
	for n := range 10 {
		cluster.submit(newSmallMachineJob(100+n, 3, 2, 10), 0)
		time.Sleep(2 * second)
	}
	worker.FailTasks(false)
}

// submitPreemptedJobs returns a function that submits jobs of the lowest priority and preempts their
// tasks again and again.
func submitPreemptedJobs(options ...jobOption) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		cluster.setCapacity(1)
		options = append([]jobOption{withPriority("idle")}, options...)
		for n := range 2 {
			cluster.submit(newSmallMachineJob(n, 4, 4, 30, options...), 0)
		}
		time.Sleep(30 * second)
		for n := range 12 {
			cluster.submit(newSmallMachineJob(100+n, 2, 4, 2, withPriority("urgent")), 0)
			time.Sleep(5 * second)
		}
	}
}

// submitShortJobsOfLimitedTeam submits more short jobs than their team may run at a time, on machines
// that long jobs of another team keep.
func submitShortJobsOfLimitedTeam(cluster *simulatedCluster) {
	submitLongJobs(6)(cluster)
	time.Sleep(25 * second)
	for n := range 40 {
		cluster.submit(newSmallMachineJob(100+n, 2, 2, 12, withTeam("blue")), 0)
	}
}

// submitSpreadJobs submits jobs whose tasks must be spread over the zones.
func submitSpreadJobs(cluster *simulatedCluster) {
	spread := func(job *wire.Job) { job.SpreadZones = true }
	for n := range 10 {
		cluster.submit(newSmallMachineJob(n, 4, 2, 30, spread), 0)
		time.Sleep(4 * second)
	}
}
