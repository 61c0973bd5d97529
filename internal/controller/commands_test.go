package controller

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/tuning"
)

const (
	testSockets = 200 // of which commands may take a tenth
	testSlots   = 20
)

// testBackoff are waits that double twice before they reach the longest.
var testBackoff = backoffLimits{shortest: 3 * time.Second, longest: 10 * time.Second}

// acquireAll tries to acquire a slot for each of n machines, and returns those that have one.
func acquireAll(slots *commandSlots, prefix string, n int, now time.Time) []string {
	var acquired []string
	for i := range n {
		if machine := fmt.Sprint(prefix, i); slots.acquire(machine, now) {
			acquired = append(acquired, machine)
		}
	}
	return acquired
}

// backOff has machine m not execute one request after the other, and checks that each wait is
// as long as it should be. It returns the time at which the last wait ends.
func backOff(t *testing.T, slots *commandSlots, now time.Time) time.Time {
	t.Helper()
	for _, wait := range []time.Duration{3 * time.Second, 6 * time.Second, 10 * time.Second, 10 * time.Second} {
		if !slots.acquire("m", now) {
			t.Fatal("not tried again")
		}
		slots.release("m", false, now, testBackoff)
		if slots.acquire("m", now.Add(wait-1)) {
			t.Fatalf("tried again before %v", wait)
		}
		now = now.Add(wait)
	}
	return now
}

// Machines that do not answer must cost the others nothing but half of the slots.
func TestCommandsToSilentMachinesLeaveSlots(t *testing.T) {
	const silent = 150
	slots, now := newCommandSlots(testSockets), time.Unix(1000, 0)
	// Nobody knows yet that they are silent, so that they take all slots until each has
	// been tried once.
	for left := silent; left > 0; {
		machines := acquireAll(slots, "silent-", silent, now)
		if want := min(testSlots, left); len(machines) != want {
			t.Fatalf("%d requests under way, want %d", len(machines), want)
		}
		for _, machine := range machines {
			slots.release(machine, false, now, testBackoff)
		}
		left -= len(machines)
	}
	now = now.Add(testBackoff.shortest)
	if n := len(acquireAll(slots, "silent-", silent, now)); n != testSlots/2 {
		t.Errorf("%d requests to silent machines", n)
	}
	if n := len(acquireAll(slots, "answering-", silent, now)); n != testSlots/2 {
		t.Errorf("%d requests to machines that answer", n)
	}
}

func TestCommandsBackOffUpToALimit(t *testing.T) {
	backOff(t, newCommandSlots(testSockets), time.Unix(1000, 0))
}

// A machine that sends a heartbeat is tried at once; nothing is kept of one that is removed,
// even while a request to it is under way.
func TestCommandsResumeAfterHeartbeatOrRemoval(t *testing.T) {
	slots := newCommandSlots(testSockets)
	now := backOff(t, slots, time.Unix(1000, 0))
	slots.acquire("m", now)
	slots.release("m", false, now, testBackoff)
	slots.resetBackoff("m")
	if !slots.acquire("m", now) {
		t.Error("a machine that has sent a heartbeat was not tried")
	}
	slots.forget("m")
	slots.release("m", false, now, testBackoff)
	if len(slots.backoff)+len(slots.inFlight)+slots.inFlightBackedOff != 0 {
		t.Errorf("%d, %d, %d left of a machine that is gone", len(slots.backoff), len(slots.inFlight), slots.inFlightBackedOff)
	}
}

// All uses of sockets together stay within the limit, down to limits with which hardly
// anybody can be served.
func TestSocketsAddUp(t *testing.T) {
	c := isolatedController()
	for limit := 250; limit < 5000; limit += 50 {
		c.settings.Cluster.Limits.MaxSockets = limit
		c.commandSlots = newCommandSlots(limit)
		sum := c.publicSockets() + tuning.ReservedSockets + tuning.MaxIdleWorkerConns + c.commandSlots.limit
		if sum > limit {
			t.Errorf("%d sockets of %d", sum, limit)
		}
	}
}
