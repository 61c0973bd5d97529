package controller

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// aloneController is a controller on a network without anybody else.
func aloneController(t *testing.T) *Controller {
	d := &day{nodes: []emulator.Node{{Name: "node-0", Addr: "10.0.0.1:8080"}, {Name: "node-1", Addr: "10.0.0.2:8080"}}}
	return New(d.settings(0), tuning.Default(), emulator.NewNetwork().Host("node-0"))
}

// Calls to the cloud have no fence. A leader that was cut off for a while and has its
// contact back, but not yet the news of its successor, once gave back the 100 machines
// that this one had rented meanwhile: it may act only while its own lease surely lasts.
func TestLeaderActsOnlyUnderItsHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := aloneController(t)
		c.cluster.leader = ownership{node: "node-0", revision: 5}
		c.setLease(1, time.Now())
		l := newLeader(c, 5, 1)
		if !l.mayCallCloud() {
			t.Fatal("a leader does not act under its hold")
		}
		time.Sleep(tuning.Seconds(c.tuning.HoldS))
		if l.mayCallCloud() {
			t.Error("acts although its hold may have run out")
		}
		c.setLease(1, time.Now()) // renewed after all, as after an outage
		if !l.mayCallCloud() {
			t.Error("does not act under its renewed hold")
		}
		c.setLease(2, time.Now())
		if l.mayCallCloud() || l.isLeader() {
			t.Error("acts under another hold than that of its lead")
		}
	})
}

// With nodes behind cuts, a worker may have lost most of its lease before it finds one
// that answers, and may not reach the one it is assigned to from there either. It was once
// sent on with its first report, and its lease ran out on the second way round (250 tasks
// at a time).
func TestWorkersStayBeforeTheyAreSentOn(t *testing.T) {
	c := aloneController(t)
	lease := tuning.Seconds(c.settings.Cluster.Workers.LeaseS)
	now := time.Unix(1000, 0)
	step := func(wait time.Duration, sent bool, what string) {
		t.Helper()
		now = now.Add(wait)
		if got := c.shouldRedirect("m-1", now); got != sent {
			t.Errorf("%s: sent on %v", what, got)
		}
	}
	stays := func(what string) {
		t.Helper()
		for range 14 {
			step(2*time.Second, false, what)
		}
		step(2*time.Second, true, "after its stay")
	}
	step(0, false, "the first report")
	stays("while it may stay")
	step(lease-time.Second, false, "back within its lease")
	stays("while it cannot reach its assigned node")
	step(lease+time.Second, false, "as if it were the first")
	for range 14 {
		step(2*time.Second, false, "while it may stay")
	}
	if c.shouldRedirect("m-2", now.Add(2*time.Second)) {
		t.Error("machines are not told apart")
	}
	step(2*time.Second, true, "after its stay")
}

// Machines are spread evenly over the nodes, the owner apart; all nodes agree, and a node
// that ends moves no machines but its own.
func TestMachinesAreSpreadOverTheNodes(t *testing.T) {
	const machines = 1000
	c := aloneController(t)
	assign := func(owner string, nodes ...string) (of map[string]string, count map[string]int) {
		c.cluster.nodes = map[string]nodeEntry{}
		for _, n := range nodes {
			c.cluster.nodes[n] = nodeEntry{revision: 1}
		}
		of, count = map[string]string{}, map[string]int{}
		for i := range machines {
			id := fmt.Sprintf("m-%06d", i)
			of[id] = c.assignedNode(id, owner)
			count[of[id]]++
		}
		return of, count
	}
	even := func(count map[string]int, nodes ...string) {
		t.Helper()
		if len(count) != len(nodes) {
			t.Errorf("assigned to %v, want %v", count, nodes)
		}
		for _, n := range nodes {
			if fair := machines / len(nodes); count[n] < fair*8/10 || count[n] > fair*12/10 {
				t.Errorf("%s has %d machines of a fair %d", n, count[n], fair)
			}
		}
	}
	four, count := assign("n-0", "n-0", "n-1", "n-2", "n-3", "n-4")
	even(count, "n-1", "n-2", "n-3", "n-4")
	three, count := assign("n-0", "n-0", "n-1", "n-2", "n-4")
	even(count, "n-1", "n-2", "n-4")
	for id, n := range four {
		if n != "n-3" && three[id] != n {
			t.Fatalf("%s went from %s to %s although only n-3 ended", id, n, three[id])
		}
	}
	_, count = assign("n-0", "n-0", "n-1")
	even(count, "n-0", "n-1") // a single other node could be overloaded like the owner
	_, count = assign("n-0", "n-1", "n-2")
	even(count, "n-1", "n-2")
	_, count = assign("n-0", "n-0")
	even(count, "n-0")
	_, count = assign("n-0")
	even(count, "n-0") // the copy of the cluster's keys may lag
}

// A group of machines that is written or removed while a part's records are read, as when
// the lead and the part change hands together, must not be missed: the part once knew
// nothing of a machine that was up, or kept the tasks of one that was gone, for good.
func TestChangesWhileAPartIsRead(t *testing.T) {
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprintf("gone %v", gone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				d := newDay(ctx, t, 1)
				key := records.MachinePrefix + "m-1"
				group := records.MachineGroupRecord{Machines: map[string]records.MachineRecord{"m-1": {MachineType: "small", Zone: "a"}}}
				other := New(d.settings(1), d.tune, d.fabric.Host("node-1"))
				write := func(w wire.Write) uint64 {
					revision, err := other.store.Commit(ctx, wire.Txn{Writes: []wire.Write{w}})
					if err != nil {
						t.Fatal(err)
					}
					return revision
				}
				var c *Controller
				met := false
				change := func() { // after the machines were listed, before all is read
					met = true
					if gone {
						c.cluster.apply(key, nil, write(wire.Write{Delete: key}), true)
					} else {
						c.cluster.apply(key, must(wire.Marshal(group)), write(wire.Write{Put: key, Value: group}), false)
					}
				}
				h := d.state.Handler()
				d.serve("meddler", "10.2.0.9:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Query().Get("prefix") == records.ChunkPrefix(0) && !met {
						change()
					}
					h.ServeHTTP(w, r)
				}))
				settings := d.settings(0)
				settings.Outside.State = "10.2.0.9:1"
				c = New(settings, d.tune, d.fabric.Host("node-0"))
				c.machineTypes = dayTypes
				if gone {
					record := records.JobRecord{Job: work(1, 1, 1, 10), Phase: wire.JobQueued, SubmittedAtMS: 1}
					chunk := records.NewFirstChunk(&record, records.FeatureInitialFormat, c.settings)
					chunk.Placements = []records.PlacementRecord{{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1}}
					write(wire.Write{Put: records.JobKey(record.Job.ID), Value: record})
					write(wire.Write{Put: records.FirstChunkKey(0, record.Job.ID), Value: chunk})
					c.cluster.apply(key, must(wire.Marshal(group)), write(wire.Write{Put: key, Value: group}), false)
				}
				leaseID, err := c.store.GrantLease(ctx, 4*time.Second)
				if err != nil {
					t.Fatal(err)
				}
				c.setLease(leaseID, time.Now())
				c.claimUnownedPartition(ctx, 0)
				time.Sleep(3 * time.Second)
				owned := c.ownedPartition(0)
				owned.mu.Lock()
				if n := len(owned.partition.MachineIDs()); !met || n != len(c.cluster.machines) {
					t.Errorf("met %v: the part has %d machines, the copy %d", met, n, len(c.cluster.machines))
				}
				owned.mu.Unlock()
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
