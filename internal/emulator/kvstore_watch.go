package emulator

import (
	"context"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"ambersill/internal/wire"
)

const (
	// leaseCheckInterval is how often a waiting watch checks for expired leases. Expiry itself
	// wakes no watch, because a lease is removed only when a request or a watch checks it.
	leaseCheckInterval = 200 * time.Millisecond
	// cborNull is the CBOR encoding of null, which delete events have as their value.
	cborNull = 0xf6
)

// watchState is the state of the store for one watch at one time.
type watchState struct {
	response  wire.WatchResponse
	changed   <-chan struct{} // closed at the next change
	served    bool            // the watch may be answered now
	compacted bool            // the history lacks some changes after the watch's revision
}

// notifyWatches wakes all waiting watches after a change. The lock must be held.
func (s *KeyValueStore) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *KeyValueStore) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "since")
		return
	}
	// If waitMs is not a number, the wait is 0 and the watch times out at once.
	waitMS, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	timeoutPassed := false
	for {
		state := s.watchState(r.RemoteAddr, since, prefix)
		switch {
		case state.compacted:
			writeError(w, http.StatusGone, "too old")
			return
		case !state.served && timeoutPassed && s.AnswerRefusedWatches:
			writeResponse(w, http.StatusOK, wire.WatchResponse{Revision: since, Events: []wire.Event{}})
			return
		case state.served && (timeoutPassed || len(state.response.Events) > 0):
			writeResponse(w, http.StatusOK, state.response)
			return
		}
		timedOut, err := awaitChange(r.Context(), state.changed, timeout.C)
		if err != nil {
			return
		}
		timeoutPassed = timeoutPassed || timedOut
	}
}

// watchState returns the current state of the store for a host's watch of a prefix: the events
// after revision since, and whether the watch is served. If changes after that revision have been
// compacted, it reports only that.
func (s *KeyValueStore) watchState(host string, since uint64, prefix string) watchState {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.compacted(since) {
		return watchState{compacted: true}
	}
	return watchState{
		response: wire.WatchResponse{
			Revision: s.revision,
			Events:   s.eventsSince(since, prefix),
		},
		changed: s.changed,
		served:  s.serves(host) && !s.faults.watchesStalled,
	}
}

// compacted reports whether changes after a revision are missing from the history. The lock must
// be held.
func (s *KeyValueStore) compacted(since uint64) bool {
	return s.revision > since && len(s.history) >= minRetainedChanges && s.history[0].revision > since+1
}

// eventsSince returns the events after a revision for the keys with a prefix. The lock must be
// held.
func (s *KeyValueStore) eventsSince(since uint64, prefix string) []wire.Event {
	events := []wire.Event{} // encoded as an empty list, not as null
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > since })
	for _, c := range s.history[first:] {
		if strings.HasPrefix(c.key, prefix) {
			events = append(events, c.event())
		}
	}
	return events
}

// event returns the change as an event of a watch response.
func (c *change) event() wire.Event {
	if c.deleted {
		return wire.Event{
			Delete:   c.key,
			Value:    wire.Raw{cborNull},
			Revision: c.revision,
		}
	}
	return wire.Event{
		Put:      c.key,
		Value:    c.value,
		Revision: c.revision,
	}
}

// awaitChange waits until the store changes, the watch times out or leaseCheckInterval has passed.
// It reports whether the watch timed out, and returns an error if the context ends first.
func awaitChange(ctx context.Context, changed <-chan struct{}, timeout <-chan time.Time) (timedOut bool, err error) {
	interval := time.NewTimer(leaseCheckInterval)
	defer interval.Stop()
	select {
	case <-changed:
		return false, nil
	case <-interval.C:
		return false, nil
	case <-timeout:
		return true, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}
