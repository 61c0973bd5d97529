package emulator

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"ambersill/internal/wire"
)

// minRetainedChanges is how many changes a watch can go back, by the protocol.
const minRetainedChanges = 10000

// entry is a key's value with its metadata.
type entry struct {
	value    wire.Raw
	revision uint64 // of the key's last change
	leaseID  uint64 // lease that the key depends on; 0: none
}

// change is one put or delete in the store's history.
type change struct {
	key      string
	value    wire.Raw
	deleted  bool
	revision uint64
}

// lease is a granted lease. The keys that depend on it are deleted when it expires.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// KeyValueStore emulates the key-value store. Its HTTP handlers are in kvstore_handlers.go,
// watches in kvstore_watch.go, and the switches of its faults in kvstore_faults.go.
type KeyValueStore struct {
	// ChooseFault, if set, decides what happens to each commit of a host.
	ChooseFault func(from string, t *wire.Txn) (RequestFault, time.Duration)
	// AnswerRefusedWatches has a watch that times out while its host is refused answered with no
	// events, though there may be some. The protocol says only that watches stay open, so
	// controllers must not take such an answer as proof that the store serves them.
	AnswerRefusedWatches bool
	// OnPut, if set, is called with each key that is put, and its previous value.
	OnPut func(key string, previous, now wire.Raw)

	mu             sync.Mutex
	revision       uint64
	entries        map[string]entry
	leases         map[uint64]lease
	nextLeaseID    uint64
	history        []change
	changed        chan struct{} // closed, and replaced, at each change
	faults         storeFaults
	limits         *limits  // on what is written; nil: none
	invalidReasons []string // why requests were answered 400
	listedItems    int      // items that listings have held
}

// NewKeyValueStore returns an empty store.
func NewKeyValueStore() *KeyValueStore {
	return &KeyValueStore{
		entries: map[string]entry{},
		leases:  map[uint64]lease{},
		changed: make(chan struct{}),
		faults:  storeFaults{refusedRequests: map[string]int{}},
	}
}

// Value returns a key's value and revision, also during an outage.
func (s *KeyValueStore) Value(key string) (wire.Raw, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key].value, s.entries[key].revision
}

// CountListedItems counts the items that listings have held so far.
func (s *KeyValueStore) CountListedItems() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listedItems
}

// CountKeys counts the keys with a prefix.
func (s *KeyValueStore) CountKeys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// Dump lists all keys with their values, for the output of a failing test.
func (s *KeyValueStore) Dump() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var text strings.Builder
	for _, key := range s.sortedKeys(func(string, entry) bool { return true }) {
		var value any
		if err := wire.Unmarshal(s.entries[key].value, &value); err != nil {
			value = err
		}
		fmt.Fprintf(&text, "%s @%d: %v\n", key, s.entries[key].revision, value)
	}
	return text.String()
}

// sortedKeys lists the keys that match. The lock must be held.
func (s *KeyValueStore) sortedKeys(matches func(key string, e entry) bool) []string {
	var keys []string
	for key, e := range s.entries {
		if matches(key, e) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// apply executes a transaction, and returns the status and the body of its answer.
func (s *KeyValueStore) apply(txn *rawTxn) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if status, reason := s.validate(txn); status != http.StatusOK {
		return status, wire.ErrorResponse{Error: reason}
	}
	if failed := s.failedCompares(txn.Compares); len(failed) > 0 {
		return http.StatusConflict, wire.TxnResponse{Failed: failed, Revision: s.revision}
	}
	if len(txn.Writes) > 0 {
		s.write(txn.Writes)
	}
	return http.StatusOK, wire.TxnResponse{Revision: s.revision}
}

// validate returns StatusOK, or the status and the reason with which a transaction is refused
// whatever its compares say. The lock must be held.
func (s *KeyValueStore) validate(txn *rawTxn) (status int, reason string) {
	if s.limits != nil {
		if reason := s.limits.exceeded(txn); reason != "" {
			s.invalidReasons = append(s.invalidReasons, reason)
			return http.StatusBadRequest, reason
		}
		if !s.limits.changes.AllowN(time.Now(), len(txn.Writes)) {
			return http.StatusTooManyRequests, "too many changes"
		}
	}
	for _, write := range txn.Writes {
		if write.Put == "" || write.LeaseID == 0 {
			continue
		}
		if _, ok := s.leases[write.LeaseID]; !ok {
			return http.StatusBadRequest, noSuchLease
		}
	}
	return http.StatusOK, ""
}

// failedCompares lists the keys that are at another revision than required. The lock must be
// held.
func (s *KeyValueStore) failedCompares(compares []wire.Compare) []string {
	var failed []string
	for _, compare := range compares {
		if s.entries[compare.Key].revision != compare.Revision {
			failed = append(failed, compare.Key)
		}
	}
	return failed
}

// write executes the writes of one transaction. The lock must be held.
func (s *KeyValueStore) write(writes []rawWrite) {
	s.revision++
	for _, write := range writes {
		if write.Put != "" {
			s.put(write)
		} else {
			s.delete(write.Delete)
		}
	}
	s.notifyWatches()
}

// put sets a key at the current revision. The lock must be held.
func (s *KeyValueStore) put(write rawWrite) {
	if s.OnPut != nil {
		s.OnPut(write.Put, s.entries[write.Put].value, write.Value)
	}
	s.entries[write.Put] = entry{
		value:    write.Value,
		revision: s.revision,
		leaseID:  write.LeaseID,
	}
	s.appendChange(change{
		key:      write.Put,
		value:    write.Value,
		revision: s.revision,
	})
}

// delete removes a key, if it exists, at the current revision. The lock must be held.
func (s *KeyValueStore) delete(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	s.appendChange(change{
		key:      key,
		deleted:  true,
		revision: s.revision,
	})
}

// appendChange adds a change to the history, and compacts it once it is twice as long as
// watches need. The lock must be held.
func (s *KeyValueStore) appendChange(c change) {
	s.history = append(s.history, c)
	if len(s.history) > 2*minRetainedChanges {
		s.history = append([]change(nil), s.history[len(s.history)-minRetainedChanges:]...)
	}
}

// grantLease returns the ID of a new lease.
func (s *KeyValueStore) grantLease(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLeaseID++
	s.leases[s.nextLeaseID] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return s.nextLeaseID
}

// renewLease extends a lease by its time to live, and reports whether it exists. The lock must
// be held.
func (s *KeyValueStore) renewLease(id uint64) bool {
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	return true
}

// expireLeases ends the leases that have expired; none expires during an outage. The lock must
// be held.
func (s *KeyValueStore) expireLeases() {
	if s.faults.down {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease with the keys that depend on it. The lock must be held.
func (s *KeyValueStore) endLease(id uint64) {
	delete(s.leases, id)
	keys := s.sortedKeys(func(_ string, e entry) bool { return e.leaseID == id })
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.delete(key)
	}
	s.notifyWatches()
}
