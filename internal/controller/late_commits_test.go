// Tests of commits that the key-value store leaves without a response and executes late, after
// newer ones. The clusters are quiet, so that no later write corrects what a late one has changed.

package controller

import (
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/records"
)

// Guards against tasks that wait forever because a late summary without their demand replaced a
// newer one that had it.
func TestLateSummaryDoesNotHideWaitingTasks(t *testing.T) {
	simulateOnePartition(t, 1, func(cluster *simulatedCluster) {
		held := cluster.store.HoldCommit(emulator.CommitHold{
			Prefix: records.SummaryKey(0), Delay: 3 * second, AfterNewer: true,
		})
		time.Sleep(6 * second)
		cluster.submit(newSmallMachineJob(1, 1, 8, 10), 0)
		cluster.waitForJobsAndCheck(2 * time.Minute)
		if held.Status() == 0 {
			t.Error("late summary: never executed, want it executed after a newer one")
		}
	})
}

// Guards against machines that are rented for a job which no longer exists: a late summary brought
// its demand back, because the owner did not write the summary again after a write without outcome.
func TestLateSummaryOfCancelledJobRentsNothing(t *testing.T) {
	simulateOnePartition(t, 1, func(cluster *simulatedCluster) {
		held := cluster.store.HoldCommit(emulator.CommitHold{
			Prefix: records.SummaryKey(0), Skip: 1, Delay: 10 * second,
		})
		time.Sleep(6 * second)
		job := newSmallMachineJob(1, 1, 8, 30)
		cluster.submit(job, 0)
		time.Sleep(500 * time.Millisecond)
		cluster.cancelJob(job.ID)
		time.Sleep(time.Minute)
		if rented := cluster.cloud.RentedMachines(); held.Status() == 0 || rented != 0 {
			t.Errorf("late summary: status %d of its execution, want one; got %d machines rented, want 0", held.Status(), rented)
		}
	})
}
