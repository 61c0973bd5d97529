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

// testHost is the remote address of the requests that these tests send.
const testHost = "node-1"

// request sends a request to a handler, and returns the HTTP status. Unless response is nil, it decodes
// the body into response, or checks that it has a reason if the request was refused.
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
	var refusal wire.ErrorResponse
	switch recorder.Code {
	case http.StatusBadRequest, http.StatusServiceUnavailable:
		response = &refusal
	}
	if err := wire.Unmarshal(recorder.Body.Bytes(), response); err != nil {
		t.Fatalf("%s %s: got status %d and a body that cannot be decoded: %v", method, target, recorder.Code, err)
	}
	if response == &refusal && refusal.Error == "" {
		t.Fatalf("%s %s: got status %d without a reason, want one", method, target, recorder.Code)
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

// put writes a key that must be at the given revision, and returns the new revision. Any response
// but 200 fails the test.
func put(t *testing.T, store *KeyValueStore, key string, revision uint64, value any, leaseID uint64) uint64 {
	t.Helper()
	status, response := commit(t, store, wire.Txn{
		Compares: []wire.Compare{{Key: key, Revision: revision}},
		Writes:   []wire.Write{{Put: key, Value: value, LeaseID: leaseID}},
	})
	if status != http.StatusOK {
		t.Fatalf("put of %s: got status %d, want 200", key, status)
	}
	return response.Revision
}

// grantLease requests a lease from a store, and returns its ID.
func grantLease(t *testing.T, store *KeyValueStore, ttl time.Duration) uint64 {
	t.Helper()
	var response wire.LeaseResponse
	status := request(t, store.Handler(), http.MethodPost, "/holds", wire.LeaseRequest{TTLMS: ttl.Milliseconds()}, &response)
	if status != http.StatusOK || response.LeaseID == 0 {
		t.Fatalf("requesting a lease: got status %d and lease ID %d, want 200 and an ID other than 0", status, response.LeaseID)
	}
	return response.LeaseID
}

// hasKey reports whether reading a key from a store returns 200, rather than 404.
func hasKey(t *testing.T, store *KeyValueStore, key string) bool {
	t.Helper()
	status := request(t, store.Handler(), http.MethodGet, "/store/"+key, nil, nil)
	if status != http.StatusOK && status != http.StatusNotFound {
		t.Fatalf("reading %s: got status %d, want 200 or 404", key, status)
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
		t.Errorf("commit with a failing compare of b: got status %d and %+v, want 409, failed key b and the current revision", status, response)
	}
	value, revision := store.Value("a")
	want, err := wire.Marshal("old")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(value, want) || revision != first {
		t.Errorf("key a after a commit with a failed compare: got value %x at revision %d, want the value and revision from before the commit", value, revision)
	}
	if !hasKey(t, store, "b") {
		t.Error("key b after a commit with a failed compare: got deleted, want kept")
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
		t.Errorf("commit that requires an existing key not to exist: got status %d, want 409", status)
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
			t.Error("key after its lease of 1 s expired: got kept, want deleted")
		}
		if !hasKey(t, store, "long") || !hasKey(t, store, "kept") {
			t.Error("keys without a lease or with an unexpired one, after another lease expired: got at least one deleted, want both kept")
		}
		var response wire.WatchResponse
		target := fmt.Sprintf("/watch?prefix=&since=%d&waitMs=1000", before)
		if status := request(t, store.Handler(), http.MethodGet, target, nil, &response); status != http.StatusOK {
			t.Fatalf("watch after a lease expired: got status %d, want 200", status)
		}
		if len(response.Events) != 1 || response.Events[0].Delete != "short" || response.Revision != before+1 {
			t.Errorf("watch after a lease expired: got %+v, want only the delete of key short, one revision later", response)
		}
		if status := request(t, store.Handler(), http.MethodPost, fmt.Sprintf("/holds/%d/extend", short), nil, nil); status != http.StatusNotFound {
			t.Errorf("renewing an expired lease: got status %d, want 404", status)
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
				t.Fatalf("renewing a lease before it expires: got status %d, want 200", status)
			}
		}
		if !hasKey(t, store, "a") {
			t.Error("key of a lease that is renewed in time: got deleted, want kept")
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
			t.Errorf("read during an outage: got status %d, want 503", status)
		}
		store.SetDown(false)

		time.Sleep(2 * time.Second)
		if !hasKey(t, store, "a") {
			t.Error("key 2 s after an outage, with a lease of 3 s: got deleted, want kept")
		}
		time.Sleep(2 * time.Second)
		if hasKey(t, store, "a") {
			t.Error("key 4 s after an outage, with a lease of 3 s: got kept, want deleted")
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
			t.Errorf("read from a refused host: got status %d, want 503", status)
		}
		if refused := store.RefusedRequests(testHost); refused != 1 {
			t.Errorf("refused requests: got %d, want 1", refused)
		}
		store.RefuseHost(testHost, false)
		if hasKey(t, store, "a") {
			t.Error("key of a refused host after its lease expired: got kept, want deleted")
		}
	})
}

func TestWatchOfCompactedRevisionAnswersGone(t *testing.T) {
	store := NewKeyValueStore()
	var last uint64
	for range 2*minRetainedChanges + 1 { // the last put makes the store compact its history
		last = put(t, store, "a", last, 1, 0)
	}
	watch := func(since uint64) int {
		return request(t, store.Handler(), http.MethodGet, fmt.Sprintf("/watch?prefix=a&since=%d&waitMs=0", since), nil, nil)
	}
	if status := watch(last - minRetainedChanges - 1); status != http.StatusGone {
		t.Errorf("watch since a compacted revision: got status %d, want 410", status)
	}
	if status := watch(last - minRetainedChanges); status != http.StatusOK {
		t.Errorf("watch since the oldest revision that is not compacted: got status %d, want 200", status)
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
			t.Errorf("watch of prefix w: got %+v, want only the put of key watched, at revision 2", response)
		}
		if waited := time.Since(start); waited != 2*time.Second {
			t.Errorf("time until the watch was answered: got %v, want 2s", waited)
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
			t.Fatalf("number of keys in a page: got %d, want at most 3", len(page.Items))
		}
		for _, item := range page.Items {
			listed = append(listed, item.Key)
		}
	}
	if !slices.Equal(listed, want) {
		t.Errorf("keys of all pages: got %v, want %v", listed, want)
	}
}

func TestValueOverLimitIsInvalid(t *testing.T) {
	store := NewKeyValueStore()
	store.Limit(config.StoreLimits{WritesPerS: 10, MaxValueKiB: 1, MaxTxnWrites: 2})
	status, _ := commit(t, store, wire.Txn{Writes: []wire.Write{{Put: "a", Value: string(make([]byte, 1100))}}})
	if status != http.StatusBadRequest || len(store.InvalidReasons()) != 1 {
		t.Errorf("commit of a value over the limit of 1 KiB: got status %d and recorded reasons %v, want 400 and one reason", status, store.InvalidReasons())
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
			t.Errorf("JSON size of %v: got %d and error %v, want %d and no error", c.value, size, err, c.want)
		}
	}
	if _, err := JSONSize(nil); err == nil {
		t.Error("JSON size of an empty encoding: got no error, want one")
	}
}
