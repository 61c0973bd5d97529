package controller

import (
	"sync"
	"time"

	"ambersill/internal/tuning"
)

// minCommandSlots is the least number of requests under way: one for machines in back-off
// and one for all others.
const minCommandSlots = 2

// commandSlots bounds the requests that are sent straight to workers: one at a time for a
// machine, and a limit for all. Each request is a socket, and a worker that does not answer
// occupies it until the request times out, so that without a limit a zone that falls silent
// would take all sockets, that of the lease's renewal included.
//
// A machine that has not executed its last request is in back-off: the next is sent after a
// wait that doubles each time, and all such machines share half of the slots, so that those
// that answer never wait for them.
type commandSlots struct {
	limit int

	// mu guards the fields below.
	mu sync.Mutex
	// inFlight are the requests under way, by machine.
	inFlight map[string]*inFlightCommand
	// inFlightBackedOff is how many of them go to machines in back-off.
	inFlightBackedOff int
	// backoff are the machines in back-off.
	backoff map[string]commandBackoff
}

// inFlightCommand is a request under way to a machine.
type inFlightCommand struct {
	// backedOff: the machine was in back-off when the request began.
	backedOff bool
	// machineGone: the machine was removed since.
	machineGone bool
}

// commandBackoff is the back-off of a machine.
type commandBackoff struct {
	until time.Time
	wait  time.Duration
}

// backoffLimits are the first and the longest wait of a machine in back-off.
type backoffLimits struct {
	shortest, longest time.Duration
}

// newCommandSlots returns slots for a fraction of the given number of sockets.
func newCommandSlots(sockets int) *commandSlots {
	return &commandSlots{
		limit:    max(minCommandSlots, int(float64(sockets)*tuning.CommandSocketFraction)),
		inFlight: map[string]*inFlightCommand{},
		backoff:  map[string]commandBackoff{},
	}
}

// acquire takes a slot for a request to a machine, and reports whether there was one. The
// caller must release it.
func (s *commandSlots) acquire(machine string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[machine] != nil || len(s.inFlight) >= s.limit {
		return false
	}
	backoff, backedOff := s.backoff[machine]
	if backedOff {
		if now.Before(backoff.until) || s.inFlightBackedOff >= s.limit/2 {
			return false
		}
		s.inFlightBackedOff++
	}
	s.inFlight[machine] = &inFlightCommand{backedOff: backedOff}
	return true
}

// release frees the slot of a machine's request. A machine that has not executed the request
// is put into back-off, or stays in it for longer.
func (s *commandSlots) release(machine string, executed bool, now time.Time, limits backoffLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	command := s.inFlight[machine]
	delete(s.inFlight, machine)
	if command.backedOff {
		s.inFlightBackedOff--
	}
	if executed || command.machineGone {
		delete(s.backoff, machine)
		return
	}
	wait := min(max(2*s.backoff[machine].wait, limits.shortest), limits.longest)
	s.backoff[machine] = commandBackoff{until: now.Add(wait), wait: wait}
}

// resetBackoff ends the wait of a machine that has sent a heartbeat. It still counts as
// in back-off until it executes a request.
func (s *commandSlots) resetBackoff(machine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, backedOff := s.backoff[machine]; backedOff && s.inFlight[machine] == nil {
		s.backoff[machine] = commandBackoff{}
	}
}

// forget drops the state of a machine that was removed.
func (s *commandSlots) forget(machine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.backoff, machine)
	if command := s.inFlight[machine]; command != nil {
		command.machineGone = true
	}
}
