package controller

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/core"
	"ambersill/internal/standin"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// aloneController is a controller on a network without anybody else.
func aloneController(t *testing.T) *Controller {
	d := &day{nodes: []standin.Node{{Name: "node-0", Addr: "10.0.0.1:8080"}, {Name: "node-1", Addr: "10.0.0.2:8080"}}}
	return New(d.settings(0), tuning.Default(), standin.NewFabric().Host("node-0"))
}

// Calls to the cloud have no fence. A leader that was cut off for a while and has its
// contact back, but not yet the news of its successor, once gave back the 100 machines
// that this one had rented meanwhile: it may act only while its own hold surely lasts.
func TestLeaderActsOnlyUnderItsHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := aloneController(t)
		c.cluster.lead = owner{node: "node-0", stamp: 5}
		c.setHold(1, time.Now())
		l := newLeader(c, 5, 1)
		if !l.sure() {
			t.Fatal("a leader does not act under its hold")
		}
		time.Sleep(tuning.Seconds(c.t.HoldS))
		if l.sure() {
			t.Error("acts although its hold may have run out")
		}
		c.setHold(1, time.Now()) // renewed after all, as after an outage
		if !l.sure() {
			t.Error("does not act under its renewed hold")
		}
		c.setHold(2, time.Now())
		if l.sure() || l.leads() {
			t.Error("acts under another hold than that of its lead")
		}
	})
}

// With nodes behind cuts, a worker may have lost most of its lease before it finds one
// that answers, and may not reach its owner from there either. It was once sent to the
// owner first, and its lease ran out on the second way round (250 tasks at a time).
func TestFirstReportIsRelayed(t *testing.T) {
	c := aloneController(t)
	lease := tuning.Seconds(c.s.Cluster.Workers.LeaseS)
	now := time.Unix(1000, 0)
	step := func(wait time.Duration, want bool, what string) {
		t.Helper()
		now = now.Add(wait)
		if got := c.relays("m-1", "node-1", now); got != want {
			t.Errorf("%s: relayed %v", what, got)
		}
	}
	step(0, true, "the first report")
	step(2*time.Second, false, "the second, which goes to the owner")
	step(lease-time.Second, true, "back within its lease")
	for range 14 {
		step(2*time.Second, true, "while it cannot reach its owner")
	}
	step(2*time.Second, false, "to see whether the way is open again")
	step(lease+time.Second, true, "as if it were the first")
	c.redirected("m-1") // the owner did not answer
	step(2*time.Second, true, "back at once, since it cannot reach the owner")
	if c.relays("m-1", "node-2", now); !c.relays("m-2", "node-1", now) {
		t.Error("machines are not told apart")
	}
}

// A group of machines that is written or removed while a part's records are read, as when
// the lead and the part change hands together, must not be missed: the part once knew
// nothing of a machine that was up, or kept the tasks of one that was gone, for good.
func TestChangesWhileAPartIsRead(t *testing.T) {
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprintf("gone %v", gone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				d := newDay(t, ctx, 1)
				key := machinePrefix + "m-1"
				g := core.GroupRecord{Machines: map[string]core.MachineRecord{"m-1": {Type: "small", Zone: "a"}}}
				other := New(d.settings(1), d.tune, d.fabric.Host("node-1"))
				write := func(w wire.Write) uint64 {
					rev, err := other.store.Commit(ctx, wire.Txn{Then: []wire.Write{w}})
					if err != nil {
						t.Fatal(err)
					}
					return rev
				}
				var c *Controller
				met := false
				change := func() { // after the machines were listed, before all is read
					met = true
					if gone {
						c.cluster.apply(key, nil, write(wire.Write{Delete: key}), true)
					} else {
						c.cluster.apply(key, must(wire.Marshal(g)), write(wire.Write{Put: key, Value: g}), false)
					}
				}
				h := d.state.Handler()
				d.serve("meddler", "10.2.0.9:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Query().Get("prefix") == core.ChunkPrefix(0) && !met {
						change()
					}
					h.ServeHTTP(w, r)
				}))
				s := d.settings(0)
				s.Outside.State = "10.2.0.9:1"
				c = New(s, d.tune, d.fabric.Host("node-0"))
				c.types = dayTypes
				if gone {
					rec := core.JobRecord{Job: work(1, 1, 1, 10), Phase: wire.Queued, At: 1}
					chunk := core.FirstChunk(&rec)
					chunk.Live = []core.LiveRecord{{Task: 0, Try: 1, Machine: "m-1", Session: 1}}
					write(wire.Write{Put: core.JobKey(rec.Job.ID), Value: rec})
					write(wire.Write{Put: core.ChunkKey(0, rec.Job.ID, 0), Value: chunk})
					c.cluster.apply(key, must(wire.Marshal(g)), write(wire.Write{Put: key, Value: g}), false)
				}
				hold, err := c.store.Grant(ctx, 4*time.Second)
				if err != nil {
					t.Fatal(err)
				}
				c.setHold(hold, time.Now())
				c.claim(ctx, 0, 0, true)
				time.Sleep(3 * time.Second)
				o := c.ownedPart(0)
				o.mu.Lock()
				if n := len(o.p.MachineIDs()); !met || n != len(c.cluster.machines) {
					t.Errorf("met %v: the part has %d machines, the copy %d", met, n, len(c.cluster.machines))
				}
				o.mu.Unlock()
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
