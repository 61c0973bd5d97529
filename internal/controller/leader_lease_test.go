package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/tuning"
)

// Calls to the cloud have no fencing token. A leader that was cut off for a while and has
// regained contact, but whose cache does not show its successor yet, once returned the 100
// machines that the successor had rented meanwhile: it may act only while its own lease
// surely lasts.
func TestLeaderCallsCloudOnlyUnderItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := isolatedController()
		c.cluster.leader = ownership{node: "node-0", revision: 5}
		c.setLease(1, time.Now())
		l := newLeader(c, 5, 1)
		if !l.mayCallCloud() {
			t.Fatal("a leader does not act under its lease")
		}
		time.Sleep(tuning.Seconds(c.tuning.HoldS))
		if l.mayCallCloud() {
			t.Error("acts although its lease may have expired")
		}
		c.setLease(1, time.Now()) // renewed after all, as after an outage
		if !l.mayCallCloud() {
			t.Error("does not act under its renewed lease")
		}
		c.setLease(2, time.Now())
		if l.mayCallCloud() || l.isLeader() {
			t.Error("acts under another lease than that of its leadership")
		}
	})
}
