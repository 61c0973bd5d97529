package controller

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/tuning"
)

const (
	testSockets = 200 // commands may use a tenth of them
	testSlots   = 20
)

// testBackoff holds limits with which the wait grows from 3 s to 6 s and then to the longest.
var testBackoff = backoffLimits{shortest: 3 * time.Second, longest: 10 * time.Second}

// acquireAll tries to acquire a slot for each of n machines, and returns the machines for which
// it succeeded.
func acquireAll(slots *commandSlots, prefix string, n int, now time.Time) []string {
	var acquired []string
	for i := range n {
		if machine := fmt.Sprint(prefix, i); slots.acquire(machine, now) {
			acquired = append(acquired, machine)
		}
	}
	return acquired
}

// checkBackoff lets several requests to machine m fail in a row, and checks the length of the
// wait after each. It returns the time at which the last wait ends.
func checkBackoff(t *testing.T, slots *commandSlots, now time.Time) time.Time {
	t.Helper()
	for _, wait := range []time.Duration{3 * time.Second, 6 * time.Second, 10 * time.Second, 10 * time.Second} {
		if !slots.acquire("m", now) {
			t.Fatal("no slot for the machine at the end of its wait")
		}
		slots.release("m", false, now, testBackoff)
		if slots.acquire("m", now.Add(wait-1)) {
			t.Fatalf("got a slot before the end of the wait of %v", wait)
		}
		now = now.Add(wait)
	}
	return now
}

// Machines that do not answer must leave half of the slots to the other machines.
func TestCommandsToUnresponsiveMachinesLeaveSlots(t *testing.T) {
	const unresponsiveCount = 150
	slots, now := newCommandSlots(testSockets), time.Unix(1000, 0)
	// Machines are not in back-off before their first request has failed, so they may use all
	// slots until each of them was tried once.
	for left := unresponsiveCount; left > 0; {
		machines := acquireAll(slots, "unresponsive-", unresponsiveCount, now)
		if want := min(testSlots, left); len(machines) != want {
			t.Fatalf("%d requests in flight, want %d", len(machines), want)
		}
		for _, machine := range machines {
			slots.release(machine, false, now, testBackoff)
		}
		left -= len(machines)
	}
	now = now.Add(testBackoff.shortest)
	if n := len(acquireAll(slots, "unresponsive-", unresponsiveCount, now)); n != testSlots/2 {
		t.Errorf("%d requests in flight to machines in back-off, want half of the slots", n)
	}
	if n := len(acquireAll(slots, "answering-", unresponsiveCount, now)); n != testSlots/2 {
		t.Errorf("%d requests in flight to other machines, want half of the slots", n)
	}
}

func TestCommandBackoffDoublesUpToLimit(t *testing.T) {
	checkBackoff(t, newCommandSlots(testSockets), time.Unix(1000, 0))
}

// A heartbeat ends the wait of a machine in back-off. No state is left of a machine that was
// removed, even if it was removed while a request to it was in flight.
func TestCommandsResumeAfterHeartbeatOrRemoval(t *testing.T) {
	slots := newCommandSlots(testSockets)
	now := checkBackoff(t, slots, time.Unix(1000, 0))
	slots.acquire("m", now)
	slots.release("m", false, now, testBackoff)
	slots.resetBackoff("m")
	if !slots.acquire("m", now) {
		t.Error("no slot for a machine in back-off after its heartbeat")
	}
	slots.forget("m")
	slots.release("m", false, now, testBackoff)
	if len(slots.backoff)+len(slots.inFlight)+slots.inFlightBackedOff != 0 {
		t.Errorf("after removal of the machine: %d in back-off, %d in flight, %d of these in back-off, want none", len(slots.backoff), len(slots.inFlight), slots.inFlightBackedOff)
	}
}

// The sockets for all uses together stay within MaxSockets, down to values with which hardly any
// user or worker can be served.
func TestSocketUseStaysWithinLimit(t *testing.T) {
	c := newIsolatedController()
	for limit := 250; limit < 5000; limit += 50 {
		c.settings.Cluster.ControllerLimits.MaxSockets = limit
		c.commandSlots = newCommandSlots(limit)
		sum := c.publicSockets() + tuning.ReservedSockets + tuning.MaxIdleWorkerConns + c.commandSlots.limit
		if sum > limit {
			t.Errorf("%d sockets are used in total, want at most %d", sum, limit)
		}
	}
}
