package emulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"ambersill/internal/wire"
)

// keptChanges is how many changes a watch can go back, by the protocol.
const keptChanges = 10000

type entry struct {
	value    wire.Raw
	revision uint64
	leaseID  uint64
}

type change struct {
	key      string
	value    wire.Raw
	deleted  bool
	revision uint64
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// RequestFault is what becomes of one request to an emulated system.
type RequestFault int

// The faults.
const (
	NoFault       RequestFault = iota
	LoseResponse               // carried out, but not answered
	ExecuteLate                // answered by nothing, carried out a while later
	RefuseRequest              // 503, not carried out
)

// KeyValueStore emulates the key-value store.
type KeyValueStore struct {
	// Faults, if set, decides on each commit of a host.
	Faults func(from string, t *wire.Txn) (RequestFault, time.Duration)
	// WatchesEnd: a watch whose time is over while its host is served with nothing is
	// answered that there is no news, though there may be. The protocol's page only says
	// that watches stay open, so controllers must not take such an answer for contact.
	WatchesEnd bool
	// Changed, if set, is told of each key that is put, with its value before.
	Changed func(key string, was, now wire.Raw)

	mu             sync.Mutex
	revision       uint64
	items          map[string]entry
	leases         map[uint64]lease
	nextLeaseID    uint64
	log            []change
	changed        chan struct{}
	down           bool
	refused        map[string]int // hosts that are refused alone, with what was refused
	delay          time.Duration  // that answers take
	watchesStalled bool           // watches are answered with nothing, while all else is served
	listsRefused   bool           // listings are refused
	limits         *limits        // on what is written; nil: none
	invalid        []string       // why requests were answered 400
	listed         int            // items that listings have held
}

// RefuseHost serves a host with nothing, while the others are served; its holds run out.
func (s *KeyValueStore) RefuseHost(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !on {
		delete(s.refused, host)
	} else if _, ok := s.refused[host]; !ok {
		s.refused[host] = 0
	}
}

// Refused counts the requests of a host that have been refused since it was refused alone.
func (s *KeyValueStore) Refused(host string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[host]
}

// SetDelay has every answer leave late; requests are carried out at once.
func (s *KeyValueStore) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// StallWatches has watches wait without an answer, or go on.
func (s *KeyValueStore) StallWatches(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesStalled = on
}

// RefuseLists answers listings with 429, as over a limit, while all else is served.
func (s *KeyValueStore) RefuseLists(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listsRefused = on
}

// Value reads a key as it stands, whoever is served.
func (s *KeyValueStore) Value(key string) (wire.Raw, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].value, s.items[key].revision
}

// served tells whether a host is served with anything.
func (s *KeyValueStore) served(host string) bool {
	_, refused := s.refused[host]
	return !s.down && !refused
}

// Listed counts the items that listings have held so far.
func (s *KeyValueStore) Listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

// NewKeyValueStore makes an empty store.
func NewKeyValueStore() *KeyValueStore {
	return &KeyValueStore{items: map[string]entry{}, leases: map[uint64]lease{}, refused: map[string]int{}, changed: make(chan struct{})}
}

// SetDown starts or ends an outage; at its end every hold has its full time again.
func (s *KeyValueStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for id, h := range s.leases {
			h.expiresAt = time.Now().Add(h.ttl)
			s.leases[id] = h
		}
	}
	s.down = down
}

// Count counts the keys with a prefix.
func (s *KeyValueStore) Count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

// Dump lists all keys with their values, for a test's report.
func (s *KeyValueStore) Dump() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var b strings.Builder
	for _, k := range keys {
		var v any
		if err := wire.Unmarshal(s.items[k].value, &v); err != nil {
			v = err
		}
		fmt.Fprintf(&b, "%s @%d: %v\n", k, s.items[k].revision, v)
	}
	return b.String()
}

// expire ends the holds whose time is over. It must be called with mu held.
func (s *KeyValueStore) expire() {
	if s.down {
		return
	}
	now := time.Now()
	for id, h := range s.leases {
		if now.After(h.expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *KeyValueStore) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, e := range s.items {
		if e.leaseID == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.revision++
	for _, k := range keys {
		delete(s.items, k)
		s.appendChange(change{key: k, deleted: true, revision: s.revision})
	}
	s.notifyWatches()
}

func (s *KeyValueStore) appendChange(c change) {
	s.log = append(s.log, c)
	if len(s.log) > 2*keptChanges {
		s.log = append([]change(nil), s.log[len(s.log)-keptChanges:]...)
	}
}

func (s *KeyValueStore) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the protocol.
func (s *KeyValueStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.get)
	mux.HandleFunc("GET /store", s.list)
	mux.HandleFunc("POST /commit", s.commit)
	mux.HandleFunc("POST /holds", s.grant)
	mux.HandleFunc("POST /holds/{id}/extend", s.extend)
	mux.HandleFunc("DELETE /holds/{id}", s.end)
	mux.HandleFunc("GET /watch", s.watch)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.expire()
		served, slow := s.served(r.RemoteAddr), s.delay
		if _, ok := s.refused[r.RemoteAddr]; ok {
			s.refused[r.RemoteAddr]++
		}
		s.mu.Unlock()
		if !served {
			writeResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "trouble"})
			return
		}
		answered := &deferredResponse{ResponseWriter: w, status: http.StatusOK}
		mux.ServeHTTP(answered, r)
		if slow > 0 {
			time.Sleep(slow)
		}
		answered.send()
	})
}

// deferredResponse keeps an answer until it may leave: later, or when its handler is done and holds no
// lock, since a host that stands still does not take it.
type deferredResponse struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

func (l *deferredResponse) WriteHeader(status int) { l.status = status }

func (l *deferredResponse) Write(b []byte) (int, error) { return l.body.Write(b) }

func (l *deferredResponse) send() {
	l.ResponseWriter.WriteHeader(l.status)
	_, _ = l.ResponseWriter.Write(l.body.Bytes())
}

// deferResponses has a handler's answers leave when it is done.
func deferResponses(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answered := &deferredResponse{ResponseWriter: w, status: http.StatusOK}
		h.ServeHTTP(answered, r)
		answered.send()
	})
}

func writeResponse(w http.ResponseWriter, status int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func readRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err == nil {
		err = wire.Unmarshal(b, v)
	}
	if err != nil {
		writeResponse(w, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
	}
	return err == nil
}

func (s *KeyValueStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	key := r.PathValue("key")
	e, ok := s.items[key]
	rev := s.revision
	s.mu.Unlock()
	if !ok {
		writeResponse(w, http.StatusNotFound, wire.TxnResponse{Revision: rev})
		return
	}
	writeResponse(w, http.StatusOK, wire.KeyValue{Key: key, Value: e.value, Revision: e.revision, LeaseID: e.leaseID})
}

func (s *KeyValueStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, since := r.URL.Query().Get("prefix"), r.URL.Query().Get("since")
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || most < 1 || most > 1000 {
		most = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listsRefused {
		writeResponse(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "too many requests"})
		return
	}
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > since {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	p := wire.KeyValuePage{Items: []wire.KeyValue{}, Revision: s.revision}
	if len(keys) > most {
		keys, p.More = keys[:most], true
	}
	s.listed += len(keys)
	for _, k := range keys {
		e := s.items[k]
		p.Items = append(p.Items, wire.KeyValue{Key: k, Value: e.value, Revision: e.revision, LeaseID: e.leaseID})
	}
	writeResponse(w, http.StatusOK, p)
}

// rawTxn keeps the values encoded.
type rawTxn struct {
	Compares []wire.Compare `cbor:"when"`
	Writes   []rawWrite     `cbor:"then"`
}

// rawWrite is a write whose value is kept as it was sent.
type rawWrite struct {
	Put    string   `cbor:"put"`
	Value  wire.Raw `cbor:"value"`
	Hold   uint64   `cbor:"hold"`
	Delete string   `cbor:"delete"`
}

func (s *KeyValueStore) commit(w http.ResponseWriter, r *http.Request) {
	var t rawTxn
	if !readRequest(w, r, &t) {
		return
	}
	fault, wait := NoFault, time.Duration(0)
	if s.Faults != nil {
		plain := wire.Txn{Compares: t.Compares}
		for _, o := range t.Writes {
			plain.Writes = append(plain.Writes, wire.Write{Put: o.Put, Delete: o.Delete})
		}
		fault, wait = s.Faults(r.RemoteAddr, &plain)
	}
	switch fault {
	case RefuseRequest:
		writeResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "trouble"})
	case LoseResponse:
		s.apply(&t)
		panic(http.ErrAbortHandler)
	case ExecuteLate:
		time.AfterFunc(wait, func() { s.apply(&t) })
		panic(http.ErrAbortHandler)
	default:
		status, v := s.apply(&t)
		writeResponse(w, status, v)
	}
}

func (s *KeyValueStore) apply(t *rawTxn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if status, why := s.validate(t); status != http.StatusOK {
		return status, wire.ErrorResponse{Error: why}
	}
	var failed []string
	for _, c := range t.Compares {
		if s.items[c.Key].revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TxnResponse{Failed: failed, Revision: s.revision}
	}
	if len(t.Writes) > 0 {
		s.write(t.Writes)
	}
	return http.StatusOK, wire.TxnResponse{Revision: s.revision}
}

// validate returns StatusOK, or the status and the reason with which a transaction is refused
// whatever its compares say. The lock must be held.
func (s *KeyValueStore) validate(t *rawTxn) (status int, why string) {
	if s.limits != nil {
		if why := s.limits.exceeded(t); why != "" {
			s.invalid = append(s.invalid, why)
			return http.StatusBadRequest, why
		}
		if !s.limits.changes.AllowN(time.Now(), len(t.Writes)) {
			return http.StatusTooManyRequests, "too many changes"
		}
	}
	for _, o := range t.Writes {
		if o.Put == "" || o.Hold == 0 {
			continue
		}
		if _, ok := s.leases[o.Hold]; !ok {
			return http.StatusBadRequest, "no such lease"
		}
	}
	return http.StatusOK, ""
}

// write carries out the writes of one transaction. The lock must be held.
func (s *KeyValueStore) write(writes []rawWrite) {
	s.revision++
	for _, o := range writes {
		if o.Put != "" {
			if s.Changed != nil {
				s.Changed(o.Put, s.items[o.Put].value, o.Value)
			}
			s.items[o.Put] = entry{value: o.Value, revision: s.revision, leaseID: o.Hold}
			s.appendChange(change{key: o.Put, value: o.Value, revision: s.revision})
			continue
		}
		if _, ok := s.items[o.Delete]; ok {
			delete(s.items, o.Delete)
			s.appendChange(change{key: o.Delete, deleted: true, revision: s.revision})
		}
	}
	s.notifyWatches()
}

func (s *KeyValueStore) grant(w http.ResponseWriter, r *http.Request) {
	var q wire.LeaseRequest
	if !readRequest(w, r, &q) {
		return
	}
	s.mu.Lock()
	s.nextLeaseID++
	id := s.nextLeaseID
	life := time.Duration(q.TTLMS) * time.Millisecond
	s.leases[id] = lease{ttl: life, expiresAt: time.Now().Add(life)}
	s.mu.Unlock()
	writeResponse(w, http.StatusOK, wire.LeaseResponse{LeaseID: id})
}

func (s *KeyValueStore) leaseID(r *http.Request) uint64 {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (s *KeyValueStore) extend(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.leaseID(r)
	h, ok := s.leases[id]
	if !ok {
		writeResponse(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such lease"})
		return
	}
	h.expiresAt = time.Now().Add(h.ttl)
	s.leases[id] = h
	writeResponse(w, http.StatusOK, wire.LeaseResponse{LeaseID: id})
}

func (s *KeyValueStore) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(s.leaseID(r))
	writeResponse(w, http.StatusOK, map[string]bool{})
}

// eventsSince returns the changes after a revision of the keys under a prefix. The lock must
// be held.
func (s *KeyValueStore) eventsSince(since uint64, prefix string) []wire.Event {
	events := []wire.Event{} // an empty list on the wire, not null
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].revision > since })
	for _, c := range s.log[first:] {
		if !strings.HasPrefix(c.key, prefix) {
			continue
		}
		event := wire.Event{Put: c.key, Value: c.value, Revision: c.revision}
		if c.deleted {
			event = wire.Event{Delete: c.key, Value: wire.Raw{cborNull}, Revision: c.revision}
		}
		events = append(events, event)
	}
	return events
}

// cborNull is the CBOR encoding of null, the value of a deleted key.
const cborNull = 0xf6

func (s *KeyValueStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	if err != nil {
		writeResponse(w, http.StatusBadRequest, wire.ErrorResponse{Error: "since"})
		return
	}
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	over := false
	for {
		s.mu.Lock()
		s.expire()
		if s.revision > since && len(s.log) >= keptChanges && s.log[0].revision > since+1 {
			s.mu.Unlock()
			writeResponse(w, http.StatusGone, wire.ErrorResponse{Error: "too old"})
			return
		}
		out := wire.WatchResponse{Revision: s.revision, Events: s.eventsSince(since, prefix)}
		changed, served := s.changed, s.served(r.RemoteAddr) && !s.watchesStalled
		s.mu.Unlock()
		if !served && over && s.WatchesEnd {
			out.Revision, out.Events = since, []wire.Event{}
			writeResponse(w, http.StatusOK, out)
			return
		}
		if served && (over || len(out.Events) > 0) {
			writeResponse(w, http.StatusOK, out)
			return
		}
		timedOut, err := awaitChange(r.Context(), changed, t.C)
		if err != nil {
			return
		}
		over = over || timedOut
	}
}

// watchInterval is how often a watch looks for leases that have expired, which no request
// announces.
const watchInterval = 200 * time.Millisecond

// awaitChange waits for a change, the watch's timeout or, at most, the watch interval. It
// reports whether the timeout has passed, and fails if the context ends.
func awaitChange(ctx context.Context, changed <-chan struct{}, timeout <-chan time.Time) (timedOut bool, err error) {
	interval := time.NewTimer(watchInterval)
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
