package controller

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// A group of machines may be written or removed while a partition's records are read, for
// example when leadership and the partition move to other nodes at the same time. If the change
// is missed, the partition never learns of a running machine, or keeps the tasks of a removed
// machine forever.
func TestMachineChangeWhilePartitionIsRead(t *testing.T) {
	t.Run("written", func(t *testing.T) { testMachineChangeWhilePartitionIsRead(t, false) })
	t.Run("removed", func(t *testing.T) { testMachineChangeWhilePartitionIsRead(t, true) })
}

func testMachineChangeWhilePartitionIsRead(t *testing.T, removed bool) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test := newChangeDuringReadTest(ctx, t, removed)
		if removed {
			test.writeGroupAndItsTask()
		}
		test.claimPartition()
		time.Sleep(3 * time.Second)
		test.checkMachines()
		cancel()
		time.Sleep(time.Minute)
	})
}

// changeDuringReadTest is a controller that reads a partition through a proxy of the key-value
// store. The proxy changes a group of machines after the controller has listed the machines and
// before it has read all records of the partition.
type changeDuringReadTest struct {
	t       *testing.T
	ctx     context.Context
	removed bool // the change removes the group rather than writing it
	changed bool // the change was made

	controller *Controller
	other      *Controller // connected to the store without the proxy
	group      records.MachineGroupRecord
}

const (
	changedMachine  = "m-1"
	changedGroupKey = records.MachinePrefix + changedMachine
	storeProxyAddr  = "10.2.0.9:1"
)

func newChangeDuringReadTest(ctx context.Context, t *testing.T, removed bool) *changeDuringReadTest {
	cluster := newSimulatedCluster(ctx, t, 1)
	test := &changeDuringReadTest{
		t:       t,
		ctx:     ctx,
		removed: removed,
		other:   New(cluster.settings(1), cluster.tuning, cluster.network.Host("node-1")),
		group: records.MachineGroupRecord{Machines: map[string]records.MachineRecord{
			changedMachine: {MachineType: "small", Zone: "a", CreatedAtMS: 1},
		}},
	}
	store := cluster.store.Handler()
	cluster.serveHost("store-proxy", storeProxyAddr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("prefix") == records.ChunkPrefix(0) && !test.changed {
			test.change()
		}
		store.ServeHTTP(w, r)
	}))
	settings := cluster.settings(0)
	settings.Endpoints.Store = storeProxyAddr
	test.controller = New(settings, cluster.tuning, cluster.network.Host("node-0"))
	test.controller.machineTypes = testMachineTypes
	return test
}

func (test *changeDuringReadTest) write(write wire.Write) (revision uint64) {
	test.t.Helper()
	revision, err := test.other.store.Commit(test.ctx, wire.Txn{Writes: []wire.Write{write}})
	if err != nil {
		test.t.Fatal(err)
	}
	return revision
}

func (test *changeDuringReadTest) writeGroup() {
	revision := test.write(wire.Write{Put: changedGroupKey, Value: test.group})
	test.controller.cluster.applyChange(putChange(changedGroupKey, test.group, revision))
}

func (test *changeDuringReadTest) change() {
	test.changed = true
	if !test.removed {
		test.writeGroup()
		return
	}
	revision := test.write(wire.Write{Delete: changedGroupKey})
	test.controller.cluster.applyChange(deletionOf(changedGroupKey, revision))
}

// writeGroupAndItsTask writes the group of machines, and a job with a task that runs on its
// machine. It is called before the partition is read.
func (test *changeDuringReadTest) writeGroupAndItsTask() {
	record := records.JobRecord{Job: newSmallMachineJob(1, 1, 1, 10), Phase: wire.JobQueued, SubmittedAtMS: 1}
	chunk := records.NewFirstChunk(&record, records.FeatureInitialFormat, test.controller.settings)
	chunk.Placements = []records.PlacementRecord{{Task: 0, Attempt: 1, Machine: changedMachine, Incarnation: 1}}
	test.write(wire.Write{Put: records.JobKey(record.Job.ID), Value: record})
	test.write(wire.Write{Put: records.FirstChunkKey(0, record.Job.ID), Value: chunk})
	test.writeGroup()
}

func (test *changeDuringReadTest) claimPartition() {
	test.t.Helper()
	leaseID, err := test.controller.store.GrantLease(test.ctx, 4*time.Second)
	if err != nil {
		test.t.Fatal(err)
	}
	test.controller.setLease(leaseID, time.Now())
	test.controller.claimUnownedPartition(test.ctx, 0)
}

// checkMachines checks that the proxy made the change, and that the partition has as many
// machines as the cache.
func (test *changeDuringReadTest) checkMachines() {
	test.t.Helper()
	owned := test.controller.ownedPartition(0)
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if n := owned.partition.MachineCount(); !test.changed || n != len(test.controller.cluster.machines) {
		test.t.Errorf("change made = %v, want true; the partition has %d machines, want %d as in the cache", test.changed, n, len(test.controller.cluster.machines))
	}
}

// Guards against a claim that counts as applied although its commit was not executed: the key was
// attached to the same lease by an earlier claim of the node.
func TestUnansweredClaimDoesNotCountAsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := newSimulatedCluster(ctx, t, 1)
		controller := New(cluster.settings(0), cluster.tuning, cluster.network.Host("node-0"))
		key := records.PartitionKey(0)
		leaseID, err := controller.store.GrantLease(ctx, 30*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		first, err := controller.claimKey(ctx, key, 0, leaseID)
		if err != nil {
			t.Fatal(err)
		}
		held := cluster.store.HoldCommit(emulator.CommitHold{Prefix: key, Delay: 5 * time.Second})
		if revision, err := controller.claimKey(ctx, key, first, leaseID); err == nil {
			t.Errorf("claim whose commit was not executed: got revision %d, want an error", revision)
		}
		time.Sleep(10 * time.Second)
		if _, revision := cluster.store.Value(key); held.Status() == 0 || revision == first {
			t.Errorf("late claim: status %d of its execution and revision %d of the key, want another one than %d", held.Status(), revision, first)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
