package emulator

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/wire"
)

// putWithoutResponse sends a transaction that puts a key, and expects the store to give no response.
func putWithoutResponse(t *testing.T, store *KeyValueStore, txn wire.Txn) {
	t.Helper()
	encoded, err := wire.Marshal(txn)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if recovered := recover(); recovered != http.ErrAbortHandler { //nolint:errorlint // the value of a panic
			t.Errorf("held commit: got panic %v, want http.ErrAbortHandler", recovered)
		}
	}()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/commit", bytes.NewReader(encoded))
	r.RemoteAddr = testHost
	store.Handler().ServeHTTP(httptest.NewRecorder(), r)
}

func unconditionalPut(value any) wire.Txn {
	return wire.Txn{Compares: []wire.Compare{}, Writes: []wire.Write{{Put: heldKey, Value: value}}}
}

// heldKey is the key that the tests put.
const heldKey = "s/0"

// heldKeyValue returns the decoded value of heldKey.
func heldKeyValue(t *testing.T, store *KeyValueStore) int {
	t.Helper()
	var decoded int
	raw, _ := store.Value(heldKey)
	if err := wire.Unmarshal(raw, &decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

// A held commit is executed once its delay is over, and the commits that it skips are not held.
func TestHeldCommitIsExecutedAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewKeyValueStore()
		held := store.HoldCommit(CommitHold{From: testHost, Prefix: "s/", Skip: 1, Delay: 3 * time.Second})
		put(t, store, "other", 0, 1, 0)
		put(t, store, heldKey, 0, 1, 0)
		putWithoutResponse(t, store, unconditionalPut(2))
		time.Sleep(2 * time.Second)
		if got := heldKeyValue(t, store); got != 1 || held.Status() != 0 {
			t.Errorf("before the delay is over: got value %d and status %d, want 1 and 0", got, held.Status())
		}
		time.Sleep(2 * time.Second)
		if got := heldKeyValue(t, store); got != 2 || held.Status() != http.StatusOK {
			t.Errorf("after the delay: got value %d and status %d, want 2 and 200", got, held.Status())
		}
	})
}

// With AfterNewer a held commit is executed right after the first later commit that puts the same
// key and arrives after the delay. A condition that the newer commit has broken refuses it.
func TestHeldCommitIsExecutedAfterNewer(t *testing.T) {
	for _, conditional := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := NewKeyValueStore()
			held := store.HoldCommit(CommitHold{Prefix: "s/", Delay: 3 * time.Second, AfterNewer: true})
			txn, want, wantStatus := unconditionalPut(9), 9, http.StatusOK
			if conditional {
				txn.Compares = []wire.Compare{{Key: heldKey, Revision: 0}}
				want, wantStatus = 2, http.StatusConflict
			}
			putWithoutResponse(t, store, txn)
			revision := put(t, store, heldKey, 0, 1, 0)
			time.Sleep(4 * time.Second)
			if got := heldKeyValue(t, store); got != 1 || held.Status() != 0 {
				t.Errorf("before a newer commit after the delay: got value %d and status %d, want 1 and 0", got, held.Status())
			}
			put(t, store, heldKey, revision, 2, 0)
			if got := heldKeyValue(t, store); got != want || held.Status() != wantStatus {
				t.Errorf("after a newer commit: got value %d and status %d, want %d and %d", got, held.Status(), want, wantStatus)
			}
		})
	}
}
