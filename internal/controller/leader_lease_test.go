package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/tuning"
)

// A leader may call the cloud only while its lease cannot have expired, since calls to the
// cloud carry no fencing token. The test guards against a leader that regains contact after a
// network partition, with a cache that does not show its successor yet: such a leader returned the
// 100 machines that its successor had rented.
func TestLeaderCallsCloudOnlyUnderItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newIsolatedController()
		c.cluster.leader = ownership{node: "node-0", revision: 5}
		c.setLease(1, time.Now())
		l := newLeader(c, 5, 1)
		if !l.mayCallCloud() {
			t.Fatal("mayCallCloud = false under a valid lease, want true")
		}
		time.Sleep(tuning.Seconds(c.tuning.HoldS))
		if l.mayCallCloud() {
			t.Error("mayCallCloud = true although the lease may have expired, want false")
		}
		c.setLease(1, time.Now()) // the same lease is renewed late, as after an outage
		if !l.mayCallCloud() {
			t.Error("mayCallCloud = false after the lease was renewed, want true")
		}
		c.setLease(2, time.Now())
		if l.mayCallCloud() || l.isLeader() {
			t.Error("mayCallCloud or isLeader = true under a lease other than that of the term, want both false")
		}
	})
}
