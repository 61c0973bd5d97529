// Tests of commits that the key-value store leaves without a response and executes late, after
// newer ones. The clusters are quiet, so that no later write corrects what a late one has changed.

package controller

import (
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/records"
	"ambersill/internal/wire"
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

// Guards against a live node without a record: an earlier process of the node registered late,
// under a lease that then expired, and took the record of the present process with it.
func TestLateRegistrationOfEarlierProcess(t *testing.T) {
	const node = 0
	simulateOnePartition(t, 1, func(cluster *simulatedCluster) {
		key := records.NodePrefix + cluster.nodes[node].Name
		time.Sleep(30 * second)
		held := cluster.store.HoldCommit(emulator.CommitHold{Prefix: key, Delay: second, AfterNewer: true})
		cluster.restartNode(node, 10*second) // the record of the first process expires
		time.Sleep(500 * time.Millisecond)   // the second process has a lease, and its registration is held
		cluster.restartNode(node, second)
		time.Sleep(30 * second)
		if value, _ := cluster.store.Value(key); held.Status() == 0 || len(value) == 0 {
			t.Errorf("late registration: status %d of its execution, want one; record of the live node %q, want one", held.Status(), value)
		}
	})
}

// Guards against the same fault beside a process of an earlier version, which names no condition:
// the node writes its record again once the watch shows another one, or none.
func TestReplacedNodeRecordIsWrittenAgain(t *testing.T) {
	simulateOnePartition(t, 1, func(cluster *simulatedCluster) {
		time.Sleep(10 * second)
		earlier := New(cluster.settings(0), cluster.tuning, cluster.network.Host("earlier")).store
		leaseID, err := earlier.GrantLease(cluster.ctx, 2*second)
		if err != nil {
			t.Fatal(err)
		}
		key := records.NodePrefix + cluster.nodes[0].Name
		put := wire.Write{Put: key, Value: records.NodeRecord{Node: cluster.nodes[0].Name}, LeaseID: leaseID}
		if _, err := earlier.Commit(cluster.ctx, wire.Txn{Writes: []wire.Write{put}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * second)
		var record records.NodeRecord
		value, _ := cluster.store.Value(key)
		if err := wire.Unmarshal(value, &record); err != nil || record.Level != records.CurrentFeatureLevel {
			t.Errorf("record of the live node: got %+v, error %v; want one of the present level", record, err)
		}
	})
}

// Guards against machines that are rented twice for the same tasks: a rental whose record was
// written late was requested from the cloud after another had taken its place.
func TestLateRentalIsNotRequested(t *testing.T) {
	const tasks, runS = 2, 70 // each task fills a machine, and runs too long to wait for another
	for _, delay := range []time.Duration{2 * second, 7 * second, 12 * second} {
		simulateOnePartition(t, 1, func(cluster *simulatedCluster) {
			held := cluster.store.HoldCommit(emulator.CommitHold{Prefix: records.RentalPrefix, Delay: delay})
			time.Sleep(5 * second)
			cluster.submit(newSmallMachineJob(1, tasks, 8, runS), 0)
			cluster.waitForJobsAndCheck(3 * time.Minute)
			if rented := cluster.cloud.RentedMachines(); held.Status() == 0 || rented != tasks {
				t.Errorf("rental recorded %v late: status %d of its execution, want one; got %d machines rented, want %d", delay, held.Status(), rented, tasks)
			}
			if rentals := cluster.store.CountKeys(records.RentalPrefix); rentals != 0 {
				t.Errorf("rental recorded %v late: got %d records of rentals at the end, want 0", delay, rentals)
			}
		})
	}
}
