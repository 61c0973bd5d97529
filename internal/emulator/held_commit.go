package emulator

import (
	"slices"
	"strings"
	"time"
)

// CommitHold selects one commit that the key-value store leaves without a response and executes
// late.
type CommitHold struct {
	// From is the host whose commit is held; the commits of all hosts count if it is empty.
	From string
	// Prefix is the prefix of a key that the commit puts or deletes.
	Prefix string
	// Skip is the number of such commits that are executed at once before one is held.
	Skip int
	// Delay is the time between the arrival of the commit and its execution. With AfterNewer it
	// is the minimum of that time.
	Delay time.Duration
	// AfterNewer executes the commit right after another one that writes the same key, so that
	// nobody can read the key between the two.
	AfterNewer bool
}

// HeldCommit is the state of a CommitHold. Its fields are guarded by the store's lock.
type HeldCommit struct {
	hold   CommitHold
	store  *KeyValueStore
	txn    *rawTxn // nil until a commit is held
	sender string  // the host that sent it
	key    string  // the first matching key that the held commit writes
	heldAt time.Time
	status int // of the late execution; 0 until then
}

// HoldCommit makes the store hold one commit. It may be called several times.
func (s *KeyValueStore) HoldCommit(hold CommitHold) *HeldCommit {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := &HeldCommit{hold: hold, store: s}
	s.heldCommits = append(s.heldCommits, held)
	return held
}

// Status returns the HTTP status with which the store would have answered the late execution of
// the commit, or 0 if the commit has not been executed.
func (h *HeldCommit) Status() int {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	return h.status
}

// Sender returns the host whose commit is held or was executed late, or "" if there is none yet.
func (h *HeldCommit) Sender() string {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	return h.sender
}

// holdsCommit holds a commit if a CommitHold selects it, and reports whether one does.
func (s *KeyValueStore) holdsCommit(from string, txn *rawTxn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range s.heldCommits {
		if held.selects(from, txn) {
			held.begin(from, txn)
			return true
		}
	}
	return false
}

// selects reports whether the commit is the one to hold, and counts the commits to skip. The
// store's lock must be held.
func (h *HeldCommit) selects(from string, txn *rawTxn) bool {
	if h.txn != nil || (h.hold.From != "" && h.hold.From != from) {
		return false
	}
	key := txn.firstWrittenKey(h.hold.Prefix)
	if key == "" {
		return false
	}
	if h.hold.Skip > 0 {
		h.hold.Skip--
		return false
	}
	h.key = key
	return true
}

// begin holds a commit. The store's lock must be held.
func (h *HeldCommit) begin(from string, txn *rawTxn) {
	h.txn, h.sender, h.heldAt = txn, from, time.Now()
	if !h.hold.AfterNewer {
		time.AfterFunc(h.hold.Delay, func() {
			h.store.mu.Lock()
			defer h.store.mu.Unlock()
			h.execute()
		})
	}
}

// execute executes the held commit. The store's lock must be held.
func (h *HeldCommit) execute() {
	h.status, _ = h.store.applyLocked(h.txn)
}

// executeHeldAfter executes the held commits that are due after the execution of a newer one. The
// store's lock must be held.
func (s *KeyValueStore) executeHeldAfter(newer *rawTxn) {
	for _, held := range s.heldCommits {
		due := held.hold.AfterNewer && held.txn != nil && held.txn != newer && held.status == 0
		if due && time.Since(held.heldAt) >= held.hold.Delay && newer.writesKey(held.key) {
			held.execute()
		}
	}
}

// firstWrittenKey returns the first key with a prefix that the transaction puts or deletes, or "" if
// there is none.
func (t *rawTxn) firstWrittenKey(prefix string) string {
	for _, write := range t.Writes {
		if key := write.key(); strings.HasPrefix(key, prefix) {
			return key
		}
	}
	return ""
}

// writesKey reports whether the transaction puts or deletes a key.
func (t *rawTxn) writesKey(key string) bool {
	return slices.ContainsFunc(t.Writes, func(write rawWrite) bool { return write.key() == key })
}

// key returns the key that is put or deleted.
func (w *rawWrite) key() string {
	if w.Put != "" {
		return w.Put
	}
	return w.Delete
}
