// Simulations of faults at the moment at which a job completes.

package controller

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/wire"
)

const (
	jobEndID      = "req-000001"
	jobEndRunTime = 30 * second
	// jobEndTimeout is the time after the job's first end within which the job must be done:
	// a lease, a boot and a second run, with room for a failover.
	jobEndTimeout = 3 * time.Minute
)

// jobEndFault is a fault that strikes the first task of a job.
type jobEndFault struct {
	name   string
	strike func(cluster *simulatedCluster, worker *emulator.Worker)
	// mayCancel is set if the job may end as cancelled.
	mayCancel bool
}

var jobEndFaults = []jobEndFault{
	{name: "stop with grace", strike: func(_ *simulatedCluster, worker *emulator.Worker) { stopFirstTask(worker, 4) }},
	{name: "stop without grace", strike: func(_ *simulatedCluster, worker *emulator.Worker) { stopFirstTask(worker, 0) }},
	{name: "machine lost", strike: func(cluster *simulatedCluster, worker *emulator.Worker) { cluster.cloud.Reclaim(worker.Machine.ID) }},
	{name: "short hang", strike: func(_ *simulatedCluster, worker *emulator.Worker) { worker.Hang(2 * second) }},
	{name: "long hang", strike: func(_ *simulatedCluster, worker *emulator.Worker) { worker.Hang(20 * second) }},
	{name: "responses lost", strike: func(_ *simulatedCluster, worker *emulator.Worker) { worker.CutInbound(true) }},
	{name: "heartbeats lost", strike: func(_ *simulatedCluster, worker *emulator.Worker) { worker.CutOutbound(true) }},
	{name: "cancellation", strike: func(cluster *simulatedCluster, _ *emulator.Worker) { cluster.cancelJob(jobEndID) }, mayCancel: true},
}

// stopFirstTask makes a worker stop the first task of the job, as the late command of an earlier
// owner does.
func stopFirstTask(worker *emulator.Worker, gracePeriodS float64) {
	worker.Execute(wire.Command{
		Op:           wire.StopTask,
		Task:         wire.TaskName(jobEndID, 0),
		Attempt:      1,
		GracePeriodS: gracePeriodS,
	})
}

// jobEndOffsets are the times at which the faults strike, from the moment at which the job completes
// if nothing happens.
var jobEndOffsets = []time.Duration{-32 * time.Millisecond, 0, 32 * time.Millisecond}

// A gang that meets a fault just before, at or after its end is reported as done only once all of
// its tasks are (not_done), is not left waiting, and does not run on two machines (ran_twice). The
// owner may change at the same moment.
func TestGangEndMeetsFault(t *testing.T) {
	testJobEndMeetsFaults(t, func(t *testing.T, fault jobEndFault, offset time.Duration, crashed []int) {
		simulateJobEnd(t, asGang, fault, offset, crashed)
	})
}

// The same for the tasks of a job array, which end one by one: the end of one attempt must not count
// for another.
func TestArrayEndMeetsFault(t *testing.T) {
	testJobEndMeetsFaults(t, func(t *testing.T, fault jobEndFault, offset time.Duration, crashed []int) {
		simulateJobEnd(t, func(*wire.Job) {}, fault, offset, crashed)
	})
}

// The same for a replica that exits by itself: the service must not count as done, and all its
// replicas must run again.
func TestReplicaEndMeetsFault(t *testing.T) {
	testJobEndMeetsFaults(t, simulateReplicaEnd)
}

// testJobEndMeetsFaults simulates all combinations of a fault, an offset and crashed nodes.
func testJobEndMeetsFaults(t *testing.T, simulate func(t *testing.T, fault jobEndFault, offset time.Duration, crashed []int)) {
	if runInChildProcess(t) {
		return
	}
	for _, fault := range jobEndFaults {
		for _, offset := range jobEndOffsets {
			for _, crashed := range [][]int{nil, ownerNode, allNodes} {
				name := fmt.Sprintf("%s at %v, crashed %v", fault.name, offset, crashed)
				t.Run(name, func(t *testing.T) { simulate(t, fault, offset, crashed) })
			}
		}
	}
}

// simulateJobEnd runs a job of three tasks, and lets the fault strike and the given nodes crash at
// an offset from the moment at which it completes.
func simulateJobEnd(t *testing.T, shape jobOption, fault jobEndFault, offset time.Duration, crashed []int) {
	simulateOnePartition(t, 1, func(cluster *simulatedCluster) {
		started := make(chan struct{}, 1)
		cluster.simulation.RunTime = func(*wire.Job, int) time.Duration {
			select {
			case started <- struct{}{}:
			default:
			}
			return jobEndRunTime
		}
		cluster.pollAllNodes = true
		job := newSmallMachineJob(1, 3, 4, jobEndRunTime.Seconds(), shape, withCheckpoints(10, 2))
		cluster.submit(job, 0)
		<-started
		time.Sleep(jobEndRunTime + offset)
		cluster.strikeFirstTask(fault, crashed)
		cluster.waitForJobsAndCheck(jobEndTimeout)
		if phase := cluster.finalPhases[job.ID]; phase != wire.JobDone && !fault.mayCancel {
			t.Errorf("final phase of the job: got %q, want %q; its events:\n%v", phase, wire.JobDone, cluster.simulation.JobTrace(job.ID))
		}
	})
}

// simulateReplicaEnd runs a service of three replicas, of which the first exits once by itself. It
// lets the fault strike and the given nodes crash at an offset from this moment, and cancels the
// service after jobEndTimeout.
func simulateReplicaEnd(t *testing.T, fault jobEndFault, offset time.Duration, crashed []int) {
	simulateOnePartition(t, 1, func(cluster *simulatedCluster) {
		started := make(chan struct{}, 1)
		exits := true
		cluster.simulation.SetReplicaExit(func(_ *wire.Job, task int) (time.Duration, bool) {
			if task > 0 || !exits {
				return 0, false
			}
			exits = false
			started <- struct{}{}
			return jobEndRunTime, true
		})
		cluster.pollAllNodes = true
		service := newServiceJob(1, 3, 4)
		cluster.submit(service, 0)
		<-started
		time.Sleep(jobEndRunTime + offset)
		cluster.strikeFirstTask(fault, crashed)
		time.Sleep(jobEndTimeout)
		if !fault.mayCancel {
			cluster.checkAllReplicasRunning(service)
			cluster.cancelJob(service.ID)
		}
		cluster.waitForJobsAndCheck(jobEndTimeout)
		if phase := cluster.finalPhases[service.ID]; phase != wire.JobCancelled {
			t.Errorf("final phase of the service: got %q, want %q; its events:\n%v", phase, wire.JobCancelled, cluster.simulation.JobTrace(service.ID))
		}
	})
}

// strikeFirstTask lets a fault strike the machine of the job's first task, and crashes the given
// nodes.
func (cluster *simulatedCluster) strikeFirstTask(fault jobEndFault, crashed []int) {
	worker := cluster.workerOf(wire.TaskName(jobEndID, 0))
	if worker == nil {
		cluster.t.Fatal("worker that lists the first task of the job: got none, want one")
	}
	fault.strike(cluster, worker)
	cluster.injector.Run(cluster.ctx, crashFault(0, crashed, second))
	cluster.simulation.RecordFaultsOver()
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
