package emulator

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"ambersill/internal/wire"
)

// maxListedKeys is the store's limit on the keys in one page of a listing.
const maxListedKeys = 1000

// noSuchLease is the error text of responses to requests that name an unknown lease.
const noSuchLease = "no such lease"

// rawTxn is a wire.Txn whose values are not decoded.
type rawTxn struct {
	Compares []wire.Compare `cbor:"when"`
	Writes   []rawWrite     `cbor:"then"`
}

// rawWrite is a wire.Write whose value is not decoded, so that reads return the bytes that were
// sent.
type rawWrite struct {
	Put     string   `cbor:"put"`
	Value   wire.Raw `cbor:"value"`
	LeaseID uint64   `cbor:"hold"`
	Delete  string   `cbor:"delete"`
}

// withoutValues returns the transaction without the values and leases of its writes. ChooseFault
// needs only the keys.
func (t *rawTxn) withoutValues() *wire.Txn {
	txn := &wire.Txn{Compares: t.Compares}
	for _, write := range t.Writes {
		txn.Writes = append(txn.Writes, wire.Write{Put: write.Put, Delete: write.Delete})
	}
	return txn
}

// Handler returns the HTTP handler of the store.
func (s *KeyValueStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.handleGet)
	mux.HandleFunc("GET /store", s.handleList)
	mux.HandleFunc("POST /commit", s.handleCommit)
	mux.HandleFunc("POST /holds", s.handleGrantLease)
	mux.HandleFunc("POST /holds/{id}/extend", s.handleRenewLease)
	mux.HandleFunc("DELETE /holds/{id}", s.handleEndLease)
	mux.HandleFunc("GET /watch", s.handleWatch)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served, responseDelay := s.admit(r.RemoteAddr)
		if !served {
			writeError(w, http.StatusServiceUnavailable, unavailableReason)
			return
		}
		response := newBufferedResponse(w)
		mux.ServeHTTP(response, r)
		if responseDelay > 0 {
			time.Sleep(responseDelay)
		}
		response.send()
	})
}

// admit reports whether a request of a host is served, and returns the delay of its response. It
// counts the request if the host is refused.
func (s *KeyValueStore) admit(host string) (served bool, responseDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.refusesHost(host) {
		s.faults.refusedRequests[host]++
	}
	return s.serves(host), s.faults.responseDelay
}

func (s *KeyValueStore) handleGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	e, ok := s.entries[key]
	storeRevision := s.revision
	s.mu.Unlock()
	if !ok {
		writeResponse(w, http.StatusNotFound, wire.TxnResponse{Revision: storeRevision})
		return
	}
	writeResponse(w, http.StatusOK, keyValue(key, e))
}

func (s *KeyValueStore) handleList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, since := query.Get("prefix"), query.Get("since")
	pageSize := requestedPageSize(r, maxListedKeys)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.listsRefused {
		writeError(w, http.StatusTooManyRequests, "too many requests")
		return
	}
	keys := s.sortedKeys(func(key string, _ entry) bool {
		return strings.HasPrefix(key, prefix) && key > since
	})
	page := wire.KeyValuePage{
		Items:    []wire.KeyValue{}, // encoded as an empty list, not as null
		Revision: s.revision,
	}
	if len(keys) > pageSize {
		keys = keys[:pageSize]
		page.HasMore = true
	}
	s.listedKeys += len(keys)
	for _, key := range keys {
		page.Items = append(page.Items, keyValue(key, s.entries[key]))
	}
	writeResponse(w, http.StatusOK, page)
}

func keyValue(key string, e entry) wire.KeyValue {
	return wire.KeyValue{
		Key:      key,
		Value:    e.value,
		Revision: e.revision,
		LeaseID:  e.leaseID,
	}
}

func (s *KeyValueStore) handleCommit(w http.ResponseWriter, r *http.Request) {
	var txn rawTxn
	if !readRequest(w, r, &txn) {
		return
	}
	if s.holdsCommit(r.RemoteAddr, &txn) {
		panic(http.ErrAbortHandler)
	}
	fault, delay := NoFault, time.Duration(0)
	if s.ChooseFault != nil {
		fault, delay = s.ChooseFault(r.RemoteAddr, txn.withoutValues())
	}
	executeWithFault(w, fault, delay, func() (int, any) { return s.apply(&txn) })
}

func (s *KeyValueStore) handleGrantLease(w http.ResponseWriter, r *http.Request) {
	var request wire.LeaseRequest
	if !readRequest(w, r, &request) {
		return
	}
	id := s.grantLease(time.Duration(request.TTLMS) * time.Millisecond)
	writeResponse(w, http.StatusOK, wire.LeaseResponse{LeaseID: id})
}

func (s *KeyValueStore) handleRenewLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := leaseIDOf(r)
	if !s.renewLease(id) {
		writeError(w, http.StatusNotFound, noSuchLease)
		return
	}
	writeResponse(w, http.StatusOK, wire.LeaseResponse{LeaseID: id})
}

func (s *KeyValueStore) handleEndLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(leaseIDOf(r))
	writeResponse(w, http.StatusOK, map[string]bool{})
}

// leaseIDOf returns the lease ID in the path of a request. If the path has no valid ID, it returns
// 0, which is never the ID of a lease.
func leaseIDOf(r *http.Request) uint64 {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}
