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

// minRetainedChanges is the number of latest changes that the key-value store guarantees to keep
// for watches. A watch may start at any revision that is followed by at most this many changes.
const minRetainedChanges = 10000

// entry is the value of a key, with its metadata.
type entry struct {
	value    wire.Raw
	revision uint64 // store revision at the last change of the key
	leaseID  uint64 // lease that the key is attached to; 0 if none
}

// change is the put or delete of one key, as the store's history records it.
type change struct {
	key      string
	value    wire.Raw
	deleted  bool
	revision uint64
}

// lease is a granted lease. When it expires, the keys attached to it are deleted.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// KeyValueStore emulates the key-value store. Its HTTP handlers are in kvstore_handlers.go,
// watches in kvstore_watch.go, and the methods that inject faults in kvstore_faults.go.
type KeyValueStore struct {
	// ChooseFault, if set, returns the fault of each commit, and the delay of ExecuteLate. It
	// is called with the host that sent the commit, and the transaction without its values.
	ChooseFault func(from string, t *wire.Txn) (RequestFault, time.Duration)
	// AnswerRefusedWatches makes a watch return 200 without events if it times out while its
	// host is refused, the store is down or watches are stalled, even if there are events. The
	// store's protocol says only that watches stay open, so a controller must not take such a
	// response as proof that the store serves its requests.
	AnswerRefusedWatches bool
	// OnPut, if set, is called for each put with the key, its previous value (nil if the key is
	// new) and its new value. The store's lock is held.
	OnPut func(key string, previous, current wire.Raw)

	mu          sync.Mutex
	revision    uint64
	entries     map[string]entry
	leases      map[uint64]lease
	nextLeaseID uint64
	history     []change
	changed     chan struct{} // closed and replaced at each change
	faults      storeFaults
	limits      *limits // limits on transactions; nil if there are none
	// invalidReasons has the exceeded limit of each transaction that was answered 400 for its
	// size.
	invalidReasons []string
	listedKeys     int // keys returned by all listings so far
	heldCommits    []*HeldCommit
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

// Value returns the value and the revision of a key, even during an outage; nil and 0 if the
// key does not exist.
func (s *KeyValueStore) Value(key string) (wire.Raw, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key].value, s.entries[key].revision
}

// CountListedKeys returns how many keys all listings so far have returned.
func (s *KeyValueStore) CountListedKeys() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listedKeys
}

// Keys returns the keys with a prefix in ascending order.
func (s *KeyValueStore) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sortedKeys(func(key string, _ entry) bool { return strings.HasPrefix(key, prefix) })
}

// CountKeys returns the number of keys with a prefix.
func (s *KeyValueStore) CountKeys(prefix string) int { return len(s.Keys(prefix)) }

// Dump returns one line for each key with its revision and decoded value, for the output of a
// failing test.
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

// sortedKeys returns the matching keys in ascending order. The lock must be held.
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

// apply executes a transaction, and returns the status and the body of the response. If a compare
// fails it writes nothing and returns StatusConflict.
func (s *KeyValueStore) apply(txn *rawTxn) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, body = s.applyLocked(txn)
	if status == http.StatusOK {
		s.executeHeldAfter(txn)
	}
	return status, body
}

// applyLocked is apply for callers that hold the lock.
func (s *KeyValueStore) applyLocked(txn *rawTxn) (status int, body any) {
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

// validate checks a transaction against the limits, and checks that the leases it names exist. It
// returns StatusOK, or the status and the reason of the refusal. It does not evaluate the compares.
// The lock must be held.
func (s *KeyValueStore) validate(txn *rawTxn) (status int, reason string) {
	if s.limits != nil {
		if reason := s.limits.exceededLimit(txn); reason != "" {
			s.invalidReasons = append(s.invalidReasons, reason)
			return http.StatusBadRequest, reason
		}
		if !s.limits.writeLimiter.AllowN(time.Now(), len(txn.Writes)) {
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

// failedCompares returns the keys whose revision differs from the one that their compare requires.
// The lock must be held.
func (s *KeyValueStore) failedCompares(compares []wire.Compare) []string {
	var failed []string
	for _, compare := range compares {
		if s.entries[compare.Key].revision != compare.Revision {
			failed = append(failed, compare.Key)
		}
	}
	return failed
}

// write executes the writes of one transaction, all at one new revision. The lock must be held.
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

// put sets a key, and records the change at the current revision. The lock must be held.
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

// delete removes a key if it exists, and records the change at the current revision. The lock must
// be held.
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

// appendChange adds a change to the history. When the history is longer than twice
// minRetainedChanges, it is cut to the latest minRetainedChanges. The lock must be held.
func (s *KeyValueStore) appendChange(c change) {
	s.history = append(s.history, c)
	if len(s.history) > 2*minRetainedChanges {
		s.history = append([]change(nil), s.history[len(s.history)-minRetainedChanges:]...)
	}
}

// grantLease grants a lease that expires after ttl unless it is renewed, and returns its ID.
func (s *KeyValueStore) grantLease(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLeaseID++
	s.leases[s.nextLeaseID] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return s.nextLeaseID
}

// renewLease restarts the time to live of a lease, and reports whether the lease exists. The lock
// must be held.
func (s *KeyValueStore) renewLease(id uint64) bool {
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	return true
}

// expireLeases removes the leases whose time to live has passed, except during an outage, when no
// lease expires. The lock must be held.
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

// endLease removes a lease, and deletes the keys attached to it. The lock must be held.
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
