package controller

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/tuning"
)

// Machines that do not answer must cost the others nothing but half of the room, and
// each is left alone for longer and longer; one that reports is tried at once.
func TestSilentMachinesLeaveRoomForOrders(t *testing.T) {
	q, now := newCommandSlots(200), time.Unix(1000, 0) // room for 20
	limits := backoffLimits{shortest: 3 * time.Second, longest: 10 * time.Second}
	begun := func(prefix string) (out []string) {
		for i := range 150 {
			if id := fmt.Sprint(prefix, i); q.acquire(id, now) {
				out = append(out, id)
			}
		}
		return out
	}
	end := func(ids []string, executed bool) {
		for _, id := range ids {
			q.release(id, executed, now, limits)
		}
	}
	// The first time nobody knows that they are silent.
	for tried := 0; tried < 150; {
		ids := begun("silent-")
		if tried += len(ids); len(ids) != min(20, 150-tried+len(ids)) {
			t.Fatalf("%d orders under way", len(ids))
		}
		end(ids, false)
	}
	now = now.Add(limits.shortest)
	if n := len(begun("silent-")); n != 10 {
		t.Errorf("%d orders to silent machines", n)
	}
	if n := len(begun("there-")); n != 10 {
		t.Errorf("%d orders to machines that answer", n)
	}
	q = newCommandSlots(200)
	waits := []time.Duration{3, 6, 10, 10}
	for _, w := range waits {
		if !q.acquire("m", now) {
			t.Fatal("not tried again")
		}
		q.release("m", false, now, limits)
		if now = now.Add(w*time.Second - 1); q.acquire("m", now) {
			t.Fatalf("tried again before %d s", w)
		}
		now = now.Add(1)
	}
	q.acquire("m", now)
	q.release("m", false, now, limits)
	q.resetBackoff("m")
	if !q.acquire("m", now) {
		t.Error("a machine that reports was not tried")
	}
	q.forget("m")
	q.release("m", false, now, limits)
	if len(q.backoff)+len(q.inFlight)+q.inFlightBackedOff != 0 {
		t.Errorf("%d, %d, %d left of a machine that is gone", len(q.backoff), len(q.inFlight), q.inFlightBackedOff)
	}
}

// All uses of sockets together stay within the limit, down to limits with which hardly
// anybody can be served.
func TestSocketsAddUp(t *testing.T) {
	c := aloneController(t)
	for n := 250; n < 5000; n += 50 {
		c.settings.Cluster.Limits.MaxSockets, c.commandSlots = n, newCommandSlots(n)
		if sum := c.publicSockets() + tuning.OwnSockets + tuning.IdleOrders + c.commandSlots.limit; sum > n {
			t.Errorf("%d sockets of %d", sum, n)
		}
	}
}
