// Simulations of faults at the moment at which a gang completes.

package controller

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/wire"
)

const (
	gangEndJobID   = "req-000001"
	gangEndRunTime = 30 * second
	// gangEndTimeout is the time after the gang's first end within which the job must be done:
	// a lease, a boot and a second run, with room for a failover.
	gangEndTimeout = 3 * time.Minute
)

// gangEndFault is a fault that strikes the first task of a gang.
type gangEndFault struct {
	name   string
	strike func(cluster *simulatedCluster, worker *emulator.Worker)
}

var gangEndFaults = []gangEndFault{
	{"stop with grace", func(_ *simulatedCluster, worker *emulator.Worker) { stopFirstTask(worker, 4) }},
	{"stop without grace", func(_ *simulatedCluster, worker *emulator.Worker) { stopFirstTask(worker, 0) }},
	{"machine lost", func(cluster *simulatedCluster, worker *emulator.Worker) { cluster.cloud.Reclaim(worker.Machine.ID) }},
	{"short hang", func(_ *simulatedCluster, worker *emulator.Worker) { worker.Hang(2 * second) }},
	{"long hang", func(_ *simulatedCluster, worker *emulator.Worker) { worker.Hang(20 * second) }},
	{"responses lost", func(_ *simulatedCluster, worker *emulator.Worker) { worker.CutInbound(true) }},
	{"heartbeats lost", func(_ *simulatedCluster, worker *emulator.Worker) { worker.CutOutbound(true) }},
}

// stopFirstTask makes a worker stop the first task of the gang, as the late command of an earlier
// owner does.
func stopFirstTask(worker *emulator.Worker, gracePeriodS float64) {
	worker.Execute(wire.Command{
		Op:           wire.StopTask,
		Task:         wire.TaskName(gangEndJobID, 0),
		Attempt:      1,
		GracePeriodS: gracePeriodS,
	})
}

// A gang that meets a fault just before, at or after its end is reported as done only once all of
// its tasks are (not_done), is not left waiting, and does not run on two machines (ran_twice). The
// owner may change at the same moment.
func TestGangEndMeetsFault(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	for _, fault := range gangEndFaults {
		for _, offset := range []time.Duration{-32 * time.Millisecond, 0, 32 * time.Millisecond} {
			for _, crashed := range [][]int{nil, ownerNode, allNodes} {
				name := fmt.Sprintf("%s at %v, crashed %v", fault.name, offset, crashed)
				t.Run(name, func(t *testing.T) { simulateGangEnd(t, fault, offset, crashed) })
			}
		}
	}
}

// simulateGangEnd runs a gang, and lets the fault strike and the given nodes crash at an offset from
// the moment at which it completes if nothing happens.
func simulateGangEnd(t *testing.T, fault gangEndFault, offset time.Duration, crashed []int) {
	simulateOnePartition(t, 1, func(cluster *simulatedCluster) {
		started := make(chan struct{}, 1)
		cluster.simulation.RunTime = func(*wire.Job, int) time.Duration {
			select {
			case started <- struct{}{}:
			default:
			}
			return gangEndRunTime
		}
		job := newSmallMachineJob(1, 3, 4, gangEndRunTime.Seconds(), asGang, withCheckpoints(10, 2))
		cluster.submit(job, 0)
		<-started
		time.Sleep(gangEndRunTime + offset)
		worker := cluster.workerOf(wire.TaskName(job.ID, 0))
		if worker == nil {
			t.Fatal("worker that lists the first task of the gang: got none, want one")
		}
		fault.strike(cluster, worker)
		cluster.injector.Run(cluster.ctx, crashFault(0, crashed, second))
		cluster.simulation.RecordFaultsOver()
		cluster.waitForJobsAndCheck(gangEndTimeout)
		if phase := cluster.finalPhases[job.ID]; phase != wire.JobDone {
			t.Errorf("final phase of the gang: got %q, want %q; its tasks:\n%v", phase, wire.JobDone, cluster.simulation.TaskTrace(job.ID))
		}
	})
}

// workerOf returns the worker that has a task, in any state; nil if there is none.
func (cluster *simulatedCluster) workerOf(task string) *emulator.Worker {
	for _, worker := range cluster.cloud.Workers() {
		if worker.HasTask(task) {
			return worker
		}
	}
	return nil
}
