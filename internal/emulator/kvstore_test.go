package emulator

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/wire"
)

// testHost is the host that the requests of these tests come from.
const testHost = "node-1"

// request sends a request to a handler, decodes the body of the response unless response is
// nil, and returns the status.
func request(t *testing.T, handler http.Handler, method, target string, body, response any) int {
	t.Helper()
	encoded, err := wire.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRequestWithContext(t.Context(), method, target, bytes.NewReader(encoded))
	r.RemoteAddr = testHost
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	if response == nil {
		return recorder.Code
	}
	if err := wire.Unmarshal(recorder.Body.Bytes(), response); err != nil {
		t.Fatalf("%s %s answers %d with a body that can't be decoded: %v", method, target, recorder.Code, err)
	}
	return recorder.Code
}

// commit sends a transaction to a store, and returns the status and the response.
func commit(t *testing.T, store *KeyValueStore, txn wire.Txn) (int, wire.TxnResponse) {
	t.Helper()
	var response wire.TxnResponse
	status := request(t, store.Handler(), http.MethodPost, "/commit", txn, &response)
	return status, response
}

// put writes a key on the condition that it is at a revision, which must hold.
func put(t *testing.T, store *KeyValueStore, key string, revision uint64, value any, leaseID uint64) uint64 {
	t.Helper()
	status, response := commit(t, store, wire.Txn{
		Compares: []wire.Compare{{Key: key, Revision: revision}},
		Writes:   []wire.Write{{Put: key, Value: value, LeaseID: leaseID}},
	})
	if status != http.StatusOK {
		t.Fatalf("putting %s answers %d", key, status)
	}
	return response.Revision
}

// grantLease asks a store for a lease, and returns its ID.
func grantLease(t *testing.T, store *KeyValueStore, ttl time.Duration) uint64 {
	t.Helper()
	var response wire.LeaseResponse
	status := request(t, store.Handler(), http.MethodPost, "/holds", wire.LeaseRequest{TTLMS: ttl.Milliseconds()}, &response)
	if status != http.StatusOK || response.LeaseID == 0 {
		t.Fatalf("asking for a lease answers %d with lease %d", status, response.LeaseID)
	}
	return response.LeaseID
}

// hasKey reports whether a store answers with a key.
func hasKey(t *testing.T, store *KeyValueStore, key string) bool {
	t.Helper()
	status := request(t, store.Handler(), http.MethodGet, "/store/"+key, nil, nil)
	if status != http.StatusOK && status != http.StatusNotFound {
		t.Fatalf("reading %s answers %d", key, status)
	}
	return status == http.StatusOK
}

func TestCommitWithFailedCompareWritesNothing(t *testing.T) {
	store := NewKeyValueStore()
	first := put(t, store, "a", 0, "old", 0)
	second := put(t, store, "b", 0, "old", 0)

	status, response := commit(t, store, wire.Txn{
		Compares: []wire.Compare{{Key: "a", Revision: first}, {Key: "b", Revision: first}},
		Writes:   []wire.Write{{Put: "a", Value: "new"}, {Delete: "b"}},
	})

	if status != http.StatusConflict || !slices.Equal(response.Failed, []string{"b"}) || response.Revision != second {
		t.Errorf("a failed compare answers %d with %+v", status, response)
	}
	value, revision := store.Value("a")
	want, err := wire.Marshal("old")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(value, want) || revision != first {
		t.Errorf("after a failed commit a is %x at revision %d", value, revision)
	}
	if !hasKey(t, store, "b") {
		t.Error("a failed commit has deleted b")
	}
}

func TestCommitRequiresThatNewKeyDoesNotExist(t *testing.T) {
	store := NewKeyValueStore()
	put(t, store, "a", 0, "first", 0)
	status, _ := commit(t, store, wire.Txn{
		Compares: []wire.Compare{{Key: "a", Revision: 0}},
		Writes:   []wire.Write{{Put: "a", Value: "second"}},
	})
	if status != http.StatusConflict {
		t.Errorf("creating an existing key answers %d", status)
	}
}

func TestLeaseExpiryDeletesItsKeysOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewKeyValueStore()
		short, long := grantLease(t, store, time.Second), grantLease(t, store, time.Minute)
		put(t, store, "short", 0, 1, short)
		put(t, store, "long", 0, 1, long)
		before := put(t, store, "kept", 0, 1, 0)

		time.Sleep(2 * time.Second)

		if hasKey(t, store, "short") {
			t.Error("a key outlives its lease")
		}
		if !hasKey(t, store, "long") || !hasKey(t, store, "kept") {
			t.Error("the expiry of a lease deletes a key that does not depend on it")
		}
		var response wire.WatchResponse
		target := fmt.Sprintf("/watch?prefix=&since=%d&waitMs=1000", before)
		if status := request(t, store.Handler(), http.MethodGet, target, nil, &response); status != http.StatusOK {
			t.Fatalf("a watch answers %d", status)
		}
		if len(response.Events) != 1 || response.Events[0].Delete != "short" || response.Revision != before+1 {
			t.Errorf("after the expiry a watch answers %+v", response)
		}
		if status := request(t, store.Handler(), http.MethodPost, fmt.Sprintf("/holds/%d/extend", short), nil, nil); status != http.StatusNotFound {
			t.Errorf("renewing an expired lease answers %d", status)
		}
	})
}

func TestRenewedLeaseLastsForItsTimeToLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewKeyValueStore()
		id := grantLease(t, store, 3*time.Second)
		put(t, store, "a", 0, 1, id)
		for range 3 {
			time.Sleep(2 * time.Second)
			if status := request(t, store.Handler(), http.MethodPost, fmt.Sprintf("/holds/%d/extend", id), nil, nil); status != http.StatusOK {
				t.Fatalf("renewing a lease answers %d", status)
			}
		}
		if !hasKey(t, store, "a") {
			t.Error("a renewed lease has expired")
		}
	})
}

func TestOutageRenewsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewKeyValueStore()
		put(t, store, "a", 0, 1, grantLease(t, store, 3*time.Second))

		store.SetDown(true)
		time.Sleep(time.Minute)
		if status := request(t, store.Handler(), http.MethodGet, "/store/a", nil, nil); status != http.StatusServiceUnavailable {
			t.Errorf("a request during an outage answers %d", status)
		}
		store.SetDown(false)

		time.Sleep(2 * time.Second)
		if !hasKey(t, store, "a") {
			t.Error("a lease has expired less than its time to live after an outage")
		}
		time.Sleep(2 * time.Second)
		if hasKey(t, store, "a") {
			t.Error("a lease outlives its time to live after an outage")
		}
	})
}

func TestLeasesOfRefusedHostExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewKeyValueStore()
		put(t, store, "a", 0, 1, grantLease(t, store, time.Second))
		store.RefuseHost(testHost, true)
		time.Sleep(2 * time.Second)
		if status := request(t, store.Handler(), http.MethodGet, "/store/a", nil, nil); status != http.StatusServiceUnavailable {
			t.Errorf("a refused host is answered %d", status)
		}
		if refused := store.Refused(testHost); refused != 1 {
			t.Errorf("%d refused requests are counted, want 1", refused)
		}
		store.RefuseHost(testHost, false)
		if hasKey(t, store, "a") {
			t.Error("the lease of a refused host has not expired")
		}
	})
}

func TestWatchOfCompactedRevisionAnswersGone(t *testing.T) {
	store := NewKeyValueStore()
	var last uint64
	for range 2*keptChanges + 1 { // the history is compacted when it is twice as long as kept
		last = put(t, store, "a", last, 1, 0)
	}
	watch := func(since uint64) int {
		return request(t, store.Handler(), http.MethodGet, fmt.Sprintf("/watch?prefix=a&since=%d&waitMs=0", since), nil, nil)
	}
	if status := watch(last - keptChanges - 1); status != http.StatusGone {
		t.Errorf("a watch of a compacted revision answers %d", status)
	}
	if status := watch(last - keptChanges); status != http.StatusOK {
		t.Errorf("a watch of the oldest kept revision answers %d", status)
	}
}

func TestWatchAnswersWhenKeyOfItsPrefixChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewKeyValueStore()
		start := time.Now()
		time.AfterFunc(time.Second, func() { put(t, store, "other", 0, 1, 0) })
		time.AfterFunc(2*time.Second, func() { put(t, store, "watched", 0, 1, 0) })
		var response wire.WatchResponse
		request(t, store.Handler(), http.MethodGet, "/watch?prefix=w&since=0&waitMs=10000", nil, &response)
		if len(response.Events) != 1 || response.Events[0].Put != "watched" || response.Revision != 2 {
			t.Errorf("a watch answers %+v", response)
		}
		if waited := time.Since(start); waited != 2*time.Second {
			t.Errorf("a watch answers after %v, want 2s", waited)
		}
	})
}

func TestListPagesHaveNoGaps(t *testing.T) {
	store := NewKeyValueStore()
	var want []string
	for i := range 7 {
		key := fmt.Sprintf("a/%d", i)
		want = append(want, key)
		put(t, store, key, 0, i, 0)
	}
	put(t, store, "b/0", 0, 0, 0)
	var listed []string
	page := wire.KeyValuePage{HasMore: true}
	for page.HasMore {
		since := ""
		if len(listed) > 0 {
			since = listed[len(listed)-1]
		}
		page = wire.KeyValuePage{}
		request(t, store.Handler(), http.MethodGet, "/store?prefix=a/&most=3&since="+since, nil, &page)
		if len(page.Items) > 3 {
			t.Fatalf("a page of 3 has %d keys", len(page.Items))
		}
		for _, item := range page.Items {
			listed = append(listed, item.Key)
		}
	}
	if !slices.Equal(listed, want) {
		t.Errorf("the pages list %v, want %v", listed, want)
	}
}

func TestValueOverLimitIsInvalid(t *testing.T) {
	store := NewKeyValueStore()
	store.Limit(config.StoreLimits{WritesPerS: 10, MaxValueKiB: 1, MaxTxnWrites: 2})
	status, _ := commit(t, store, wire.Txn{Writes: []wire.Write{{Put: "a", Value: string(make([]byte, 1100))}}})
	if status != http.StatusBadRequest || len(store.Invalid()) != 1 {
		t.Errorf("a value over the limit answers %d, invalid: %v", status, store.Invalid())
	}
	put(t, store, "a", 0, "short", 0)
}

func TestJSONSizeMeasuresDecodedValue(t *testing.T) {
	for _, c := range []struct {
		value any
		want  int
	}{
		{"abc", len(`"abc"`)},
		{map[int]any{1: []any{map[int]string{2: "x"}}}, len(`{"1":[{"2":"x"}]}`)},
		{nil, len(`null`)},
	} {
		raw, err := wire.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		if size, err := JSONSize(raw); err != nil || size != c.want {
			t.Errorf("the size of %v is %d (%v), want %d", c.value, size, err, c.want)
		}
	}
	if _, err := JSONSize(nil); err == nil {
		t.Error("no value has a size")
	}
}
