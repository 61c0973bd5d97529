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
	// leaseCheckInterval is how often a watch looks for leases that have expired, which no request
	// announces.
	leaseCheckInterval = 200 * time.Millisecond
	// cborNull is the CBOR encoding of null, the value of a deleted key.
	cborNull = 0xf6
)

// watchState is what a watch finds when it looks at the store.
type watchState struct {
	response  wire.WatchResponse
	changed   <-chan struct{} // closed at the next change
	served    bool
	compacted bool // changes after the watch's revision are no longer kept
}

// notifyWatches wakes the watches after a change. The lock must be held.
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
	waitMS, _ := strconv.Atoi(query.Get("waitMs")) // no number: 0, an answer at once
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

// watchState returns what a host's watch of a prefix finds now.
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

// compacted reports whether a change after a revision is no longer kept. The lock must be held.
func (s *KeyValueStore) compacted(since uint64) bool {
	return s.revision > since && len(s.history) >= minRetainedChanges && s.history[0].revision > since+1
}

// eventsSince returns the changes after a revision of the keys under a prefix. The lock must
// be held.
func (s *KeyValueStore) eventsSince(since uint64, prefix string) []wire.Event {
	events := []wire.Event{} // an empty list on the wire, not null
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > since })
	for _, c := range s.history[first:] {
		if strings.HasPrefix(c.key, prefix) {
			events = append(events, c.event())
		}
	}
	return events
}

// event returns the change as watches are sent it.
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

// awaitChange waits for a change, the watch's timeout or, at most, the watch interval. It
// reports whether the timeout has passed, and fails if the context ends.
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
