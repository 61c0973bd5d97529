package controller

import (
	"testing"
	"time"

	"ambersill/internal/wire"
)

// The checker must report each rule that is broken, or the simulations show nothing.
func TestCheckerDetectsEachRule(t *testing.T) {
	now := time.Now
	const jobID = "req-000001" // of the job that is submitted
	for _, test := range []struct {
		rule    string
		violate func(cluster *simulatedCluster)
	}{
		{"went_back", func(cluster *simulatedCluster) { // queued, asked after done had arrived
			cluster.simulation.PhaseReported(jobID, wire.JobQueued, now())
			cluster.simulation.CancelRequested(jobID)
			cluster.simulation.PhaseReported(jobID, wire.JobCancelled, now())
			time.Sleep(time.Millisecond)
			cluster.simulation.PhaseReported(jobID, wire.JobQueued, now())
		}},
		{"went_back", func(cluster *simulatedCluster) { // cancelled, without a request
			cluster.simulation.PhaseReported(jobID, wire.JobCancelled, now())
		}},
		{"not_done", func(cluster *simulatedCluster) {
			cluster.simulation.PhaseReported(jobID, wire.JobDone, now())
		}},
		{"invented", func(cluster *simulatedCluster) {
			cluster.simulation.PhaseReported("req-000009", wire.JobQueued, now())
		}},
		{"forgotten", func(cluster *simulatedCluster) {
			cluster.simulation.PhaseReported(jobID, wire.JobQueued, now())
			time.Sleep(time.Millisecond)
			cluster.simulation.ReportedUnknown(jobID, 404, now())
		}},
		{"forgotten", func(cluster *simulatedCluster) {
			cluster.simulation.PhaseReported(jobID, wire.JobQueued, now())
			cluster.simulation.FaultsOver()
			time.Sleep(80 * second)
			cluster.simulation.PollFailed(jobID)
		}},
		{"accepted", func(cluster *simulatedCluster) { cluster.simulation.AcceptedInvalid("req-000009", 201) }},
		{"left_waiting", func(cluster *simulatedCluster) { // a machine with capacity, and nobody places the job
			cluster.cloud.Add("small", "a", true)
			time.Sleep(30 * second)
			cluster.simulation.PhaseReported(jobID, wire.JobQueued, now())
			cluster.simulation.FaultsOver()
			for range 30 {
				cluster.simulation.CheckWaiting(cluster.cloud.Workers())
				time.Sleep(5 * second)
			}
		}},
		{"ran_cancelled", func(cluster *simulatedCluster) { // no controller stops the task
			cluster.simulation.LeaseDuration = time.Hour // before there is a machine
			cluster.cloud.Add("small", "a", true)
			time.Sleep(21 * second)
			worker := cluster.cloud.Workers()[0]
			worker.Execute(wire.Command{Op: wire.StartTask, Task: jobID + "/0", Attempt: 1})
			time.Sleep(5 * second)
			cluster.simulation.CancelRequested(jobID)
			cluster.simulation.PhaseReported(jobID, wire.JobCancelled, now())
			time.Sleep(50 * second)
			worker.Execute(wire.Command{Op: wire.StopTask, Task: jobID + "/0", Attempt: 1})
		}},
	} {
		t.Run(test.rule, func(t *testing.T) {
			simulate(t, 1, func(_ *testing.T, cluster *simulatedCluster) {
				cluster.simulation.JobSubmitted(smallMachineJob(1, 1, 2, 300))
				test.violate(cluster)
				cluster.checkViolated(test.rule)
			})
		})
	}
	t.Run("a late response is no older phase", func(t *testing.T) {
		simulate(t, 1, func(t *testing.T, cluster *simulatedCluster) {
			cluster.simulation.JobSubmitted(smallMachineJob(1, 1, 2, 300))
			asked := now()
			cluster.simulation.CancelRequested(jobID)
			time.Sleep(time.Millisecond)
			cluster.simulation.PhaseReported(jobID, wire.JobCancelled, now())
			cluster.simulation.PhaseReported(jobID, wire.JobRunning, asked)
			if b := cluster.simulation.Violations(); len(b) != 0 {
				t.Errorf("reported as broken: %v", b)
			}
		})
	})
}
