package controller

import (
	"sync"
	"time"

	"ambersill/internal/tuning"
)

// minCommandSlots is the smallest limit of requests in flight: one for machines in back-off
// and one for all others.
const minCommandSlots = 2

// commandSlots limits the requests that are sent directly to workers: one at a time for each
// machine, and a limit for all machines together. Each request uses a socket, and a worker that
// does not answer occupies the socket until the request times out. Without the limit, a zone
// whose workers stop answering would take all sockets, including the one that renews the lease.
//
// A machine that has not executed its last request is in back-off. Its next request is sent
// after a wait that doubles with each failure. Machines in back-off may use only half of the
// slots, so that machines that answer never wait for them.
type commandSlots struct {
	limit int

	// mu guards the fields below.
	mu sync.Mutex
	// inFlight holds the requests that have not completed, by machine.
	inFlight map[string]*inFlightCommand
	// inFlightBackedOff is the number of requests in inFlight that were started while the
	// machine was in back-off.
	inFlightBackedOff int
	// backoff holds the machines in back-off, by machine ID.
	backoff map[string]commandBackoff
}

// inFlightCommand is a request to a machine that has not completed.
type inFlightCommand struct {
	// backedOff is whether the machine was in back-off when the request was started.
	backedOff bool
	// machineGone is whether the machine was removed after the request was started.
	machineGone bool
}

// commandBackoff is the back-off state of a machine. No request is sent before until; wait is
// the length of the current wait.
type commandBackoff struct {
	until time.Time
	wait  time.Duration
}

// backoffLimits holds the first and the longest wait of a machine in back-off.
type backoffLimits struct {
	shortest, longest time.Duration
}

// newCommandSlots returns a commandSlots whose limit is the fraction tuning.CommandSocketFraction
// of the given number of sockets, but at least minCommandSlots.
func newCommandSlots(sockets int) *commandSlots {
	return &commandSlots{
		limit:    max(minCommandSlots, int(float64(sockets)*tuning.CommandSocketFraction)),
		inFlight: map[string]*inFlightCommand{},
		backoff:  map[string]commandBackoff{},
	}
}

// acquire takes a slot for a request to a machine, and reports whether one was available. If it
// returns true, the caller must release the slot.
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

// release frees the slot of a machine's request. If the machine has not executed the request, it
// is put into back-off, or its wait is doubled if it was in back-off already. A machine that was
// removed in the meantime gets no back-off.
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

// resetBackoff ends the wait of a machine that has sent a heartbeat. The machine still counts
// as in back-off until it executes a request.
func (s *commandSlots) resetBackoff(machine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, backedOff := s.backoff[machine]; backedOff && s.inFlight[machine] == nil {
		s.backoff[machine] = commandBackoff{}
	}
}

// forget removes the state of a machine that was removed from the cluster.
func (s *commandSlots) forget(machine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.backoff, machine)
	if command := s.inFlight[machine]; command != nil {
		command.machineGone = true
	}
}
