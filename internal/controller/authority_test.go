package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/standin"
	"ambersill/internal/tuning"
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
