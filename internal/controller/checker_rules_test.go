// Tests of the rules that the simulations check: each rule is broken deliberately on a cluster
// without controllers.

package controller

import (
	"testing"
	"time"

	"ambersill/internal/wire"
)

// checkedJobID is the ID of the only job that has been submitted.
const checkedJobID = "req-000001"

// The simulations are meaningful only if the checker reports each broken rule.
func TestCheckerDetectsEachRule(t *testing.T) {
	now := time.Now
	for _, test := range []struct {
		rule    string
		violate func(cluster *simulatedCluster)
	}{
		// Queued, in response to a query sent after the response "cancelled".
		{"went_back", func(cluster *simulatedCluster) {
			cluster.simulation.RecordPhaseAnswer(checkedJobID, wire.JobQueued, now())
			cluster.simulation.RecordCancelRequest(checkedJobID)
			cluster.simulation.RecordPhaseAnswer(checkedJobID, wire.JobCancelled, now())
			time.Sleep(time.Millisecond)
			cluster.simulation.RecordPhaseAnswer(checkedJobID, wire.JobQueued, now())
		}},
		// Cancelled, although no cancellation was requested.
		{"went_back", func(cluster *simulatedCluster) {
			cluster.simulation.RecordPhaseAnswer(checkedJobID, wire.JobCancelled, now())
		}},
		{"not_done", func(cluster *simulatedCluster) {
			cluster.simulation.RecordPhaseAnswer(checkedJobID, wire.JobDone, now())
		}},
		{"invented", func(cluster *simulatedCluster) {
			cluster.simulation.RecordPhaseAnswer("req-000009", wire.JobQueued, now())
		}},
		{"forgotten", func(cluster *simulatedCluster) {
			cluster.simulation.RecordPhaseAnswer(checkedJobID, wire.JobQueued, now())
			time.Sleep(time.Millisecond)
			cluster.simulation.RecordUnknownJobAnswer(checkedJobID, 404, now())
		}},
		{"forgotten", func(cluster *simulatedCluster) {
			cluster.simulation.RecordPhaseAnswer(checkedJobID, wire.JobQueued, now())
			cluster.simulation.RecordFaultsOver()
			time.Sleep(80 * second)
			cluster.simulation.RecordUnansweredRequest(checkedJobID)
		}},
		{"accepted", func(cluster *simulatedCluster) { cluster.simulation.RecordInvalidJobAccepted("req-000009", 201) }},
		{"left_waiting", leaveJobWaiting},
		{"ran_cancelled", runCancelledTask},
	} {
		t.Run(test.rule, func(t *testing.T) {
			simulate(t, 1, func(_ *testing.T, cluster *simulatedCluster) {
				cluster.simulation.RegisterJob(newSmallMachineJob(1, 1, 2, 300))
				test.violate(cluster)
				cluster.checkViolationReported(test.rule)
			})
		})
	}
	t.Run("response to an earlier query may report an older phase", func(t *testing.T) {
		simulate(t, 1, func(t *testing.T, cluster *simulatedCluster) {
			cluster.simulation.RegisterJob(newSmallMachineJob(1, 1, 2, 300))
			queriedAt := now()
			cluster.simulation.RecordCancelRequest(checkedJobID)
			time.Sleep(time.Millisecond)
			cluster.simulation.RecordPhaseAnswer(checkedJobID, wire.JobCancelled, now())
			cluster.simulation.RecordPhaseAnswer(checkedJobID, wire.JobRunning, queriedAt)
			if violations := cluster.simulation.Violations(); len(violations) != 0 {
				t.Errorf("violations reported for a late response: got %v, want none", violations)
			}
		})
	})
}

// leaveJobWaiting provides a machine with capacity for the job, while no controller places it.
func leaveJobWaiting(cluster *simulatedCluster) {
	cluster.cloud.AddMachine("small", "a", true)
	time.Sleep(30 * second)
	cluster.simulation.RecordPhaseAnswer(checkedJobID, wire.JobQueued, time.Now())
	cluster.simulation.RecordFaultsOver()
	for range 30 {
		cluster.simulation.CheckWaitingJobs(cluster.cloud.Workers())
		time.Sleep(5 * second)
	}
}

// runCancelledTask lets a task continue after its job is cancelled: no controller stops it, and
// the worker's lease does not expire.
func runCancelledTask(cluster *simulatedCluster) {
	const task = checkedJobID + "/0"
	cluster.simulation.LeaseDuration = time.Hour // must be set before a machine is added
	cluster.cloud.AddMachine("small", "a", true)
	time.Sleep(21 * second)
	worker := cluster.cloud.Workers()[0]
	worker.Execute(wire.Command{Op: wire.StartTask, Task: task, Attempt: 1})
	time.Sleep(5 * second)
	cluster.simulation.RecordCancelRequest(checkedJobID)
	cluster.simulation.RecordPhaseAnswer(checkedJobID, wire.JobCancelled, time.Now())
	time.Sleep(50 * second)
	worker.Execute(wire.Command{Op: wire.StopTask, Task: task, Attempt: 1})
}
