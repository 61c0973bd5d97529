// Package emulator holds stand-ins for what lies outside ambersill - the state
// service, the cloud, its workers and users - written from the protocol's page.
// They serve a cluster for trying ambersill out, and the tests. They keep time
// by package time only, so that a test can run them in virtual time.
package emulator

import (
	"bytes"
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
	value wire.Raw
	stamp uint64
	hold  uint64
}

type change struct {
	key   string
	value wire.Raw
	gone  bool
	stamp uint64
}

type hold struct {
	life time.Duration
	ends time.Time
}

// Fault is what becomes of one request to a stand-in.
type Fault int

// The faults.
const (
	NoFault   Fault = iota
	LostReply       // carried out, but not answered
	Late            // answered by nothing, carried out a while later
	Refuse          // 503, not carried out
)

// State is a stand-in for the state service.
type State struct {
	// Faults, if set, decides on each commit of a host.
	Faults func(from string, t *wire.Txn) (Fault, time.Duration)
	// WatchesEnd: a watch whose time is over while its host is served with nothing is
	// answered that there is no news, though there may be. The protocol's page only says
	// that watches stay open, so controllers must not take such an answer for contact.
	WatchesEnd bool
	// Changed, if set, is told of each key that is put, with its value before.
	Changed func(key string, was, now wire.Raw)

	mu      sync.Mutex
	rev     uint64
	items   map[string]entry
	holds   map[uint64]hold
	nextID  uint64
	log     []change
	changed chan struct{}
	down    bool
	refused map[string]int // hosts that are refused alone, with what was refused
	slow    time.Duration  // that answers take
	stuck   bool           // watches are answered with nothing, while all else is served
	noLists bool           // listings are refused
	limits  *limits        // on what is written; nil: none
	invalid []string       // why requests were answered 400
	listed  int            // items that listings have held
}

// Refuse serves a host with nothing, while the others are served; its holds run out.
func (s *State) Refuse(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !on {
		delete(s.refused, host)
	} else if _, ok := s.refused[host]; !ok {
		s.refused[host] = 0
	}
}

// Refused counts the requests of a host that have been refused since it was refused alone.
func (s *State) Refused(host string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[host]
}

// Slow has every answer leave late; requests are carried out at once.
func (s *State) Slow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// Stall has watches wait without an answer, or go on.
func (s *State) Stall(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuck = on
}

// RefuseLists answers listings with 429, as over a limit, while all else is served.
func (s *State) RefuseLists(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noLists = on
}

// Value reads a key as it stands, whoever is served.
func (s *State) Value(key string) (wire.Raw, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].value, s.items[key].stamp
}

// served tells whether a host is served with anything.
func (s *State) served(host string) bool {
	_, refused := s.refused[host]
	return !s.down && !refused
}

// Listed counts the items that listings have held so far.
func (s *State) Listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

// NewState makes an empty state service.
func NewState() *State {
	return &State{items: map[string]entry{}, holds: map[uint64]hold{}, refused: map[string]int{}, changed: make(chan struct{})}
}

// SetDown starts or ends an outage; at its end every hold has its full time again.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for id, h := range s.holds {
			h.ends = time.Now().Add(h.life)
			s.holds[id] = h
		}
	}
	s.down = down
}

// Count counts the keys with a prefix.
func (s *State) Count(prefix string) int {
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
func (s *State) Dump() string {
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
		fmt.Fprintf(&b, "%s @%d: %v\n", k, s.items[k].stamp, v)
	}
	return b.String()
}

// expire ends the holds whose time is over. It must be called with mu held.
func (s *State) expire() {
	if s.down {
		return
	}
	now := time.Now()
	for id, h := range s.holds {
		if now.After(h.ends) {
			s.endHold(id)
		}
	}
}

func (s *State) endHold(id uint64) {
	delete(s.holds, id)
	var keys []string
	for k, e := range s.items {
		if e.hold == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.rev++
	for _, k := range keys {
		delete(s.items, k)
		s.note(change{key: k, gone: true, stamp: s.rev})
	}
	s.wake()
}

func (s *State) note(c change) {
	s.log = append(s.log, c)
	if len(s.log) > 2*keptChanges {
		s.log = append([]change(nil), s.log[len(s.log)-keptChanges:]...)
	}
}

func (s *State) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the protocol.
func (s *State) Handler() http.Handler {
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
		served, slow := s.served(r.RemoteAddr), s.slow
		if _, ok := s.refused[r.RemoteAddr]; ok {
			s.refused[r.RemoteAddr]++
		}
		s.mu.Unlock()
		if !served {
			reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "trouble"})
			return
		}
		answered := &late{ResponseWriter: w, status: http.StatusOK}
		mux.ServeHTTP(answered, r)
		if slow > 0 {
			time.Sleep(slow)
		}
		answered.leave()
	})
}

// late keeps an answer until it may leave: later, or when its handler is done and holds no
// lock, since a host that stands still does not take it.
type late struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

func (l *late) WriteHeader(status int) { l.status = status }

func (l *late) Write(b []byte) (int, error) { return l.body.Write(b) }

func (l *late) leave() {
	l.ResponseWriter.WriteHeader(l.status)
	_, _ = l.ResponseWriter.Write(l.body.Bytes())
}

// unlocked has a handler's answers leave when it is done.
func unlocked(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answered := &late{ResponseWriter: w, status: http.StatusOK}
		h.ServeHTTP(answered, r)
		answered.leave()
	})
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func read(w http.ResponseWriter, r *http.Request, v any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err == nil {
		err = wire.Unmarshal(b, v)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
	}
	return err == nil
}

func (s *State) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	key := r.PathValue("key")
	e, ok := s.items[key]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, wire.TxnResponse{Revision: rev})
		return
	}
	reply(w, http.StatusOK, wire.KeyValue{Key: key, Value: e.value, Revision: e.stamp, LeaseID: e.hold})
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	prefix, since := r.URL.Query().Get("prefix"), r.URL.Query().Get("since")
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || most < 1 || most > 1000 {
		most = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noLists {
		reply(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "too many requests"})
		return
	}
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > since {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	p := wire.KeyValuePage{Items: []wire.KeyValue{}, Revision: s.rev}
	if len(keys) > most {
		keys, p.More = keys[:most], true
	}
	s.listed += len(keys)
	for _, k := range keys {
		e := s.items[k]
		p.Items = append(p.Items, wire.KeyValue{Key: k, Value: e.value, Revision: e.stamp, LeaseID: e.hold})
	}
	reply(w, http.StatusOK, p)
}

// rawTxn keeps the values encoded.
type rawTxn struct {
	If   []wire.Compare `cbor:"when"`
	Then []struct {
		Put    string   `cbor:"put"`
		Value  wire.Raw `cbor:"value"`
		Hold   uint64   `cbor:"hold"`
		Delete string   `cbor:"delete"`
	} `cbor:"then"`
}

func (s *State) commit(w http.ResponseWriter, r *http.Request) {
	var t rawTxn
	if !read(w, r, &t) {
		return
	}
	fault, wait := NoFault, time.Duration(0)
	if s.Faults != nil {
		plain := wire.Txn{Compares: t.If}
		for _, o := range t.Then {
			plain.Writes = append(plain.Writes, wire.Write{Put: o.Put, Delete: o.Delete})
		}
		fault, wait = s.Faults(r.RemoteAddr, &plain)
	}
	switch fault {
	case Refuse:
		reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "trouble"})
	case LostReply:
		s.apply(&t)
		panic(http.ErrAbortHandler)
	case Late:
		time.AfterFunc(wait, func() { s.apply(&t) })
		panic(http.ErrAbortHandler)
	default:
		status, v := s.apply(&t)
		reply(w, status, v)
	}
}

func (s *State) apply(t *rawTxn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.limits != nil {
		if why := s.limits.exceeded(t); why != "" {
			s.invalid = append(s.invalid, why)
			return http.StatusBadRequest, wire.ErrorResponse{Error: why}
		}
		if !s.limits.changes.AllowN(time.Now(), len(t.Then)) {
			return http.StatusTooManyRequests, wire.ErrorResponse{Error: "too many changes"}
		}
	}
	for _, o := range t.Then {
		if o.Put != "" && o.Hold != 0 {
			if _, ok := s.holds[o.Hold]; !ok {
				return http.StatusBadRequest, wire.ErrorResponse{Error: "no such lease"}
			}
		}
	}
	var failed []string
	for _, c := range t.If {
		if s.items[c.Key].stamp != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TxnResponse{Failed: failed, Revision: s.rev}
	}
	if len(t.Then) > 0 {
		s.rev++
		for _, o := range t.Then {
			if o.Put != "" {
				if s.Changed != nil {
					s.Changed(o.Put, s.items[o.Put].value, o.Value)
				}
				s.items[o.Put] = entry{value: o.Value, stamp: s.rev, hold: o.Hold}
				s.note(change{key: o.Put, value: o.Value, stamp: s.rev})
				continue
			}
			if _, ok := s.items[o.Delete]; ok {
				delete(s.items, o.Delete)
				s.note(change{key: o.Delete, gone: true, stamp: s.rev})
			}
		}
		s.wake()
	}
	return http.StatusOK, wire.TxnResponse{Revision: s.rev}
}

func (s *State) grant(w http.ResponseWriter, r *http.Request) {
	var q wire.LeaseRequest
	if !read(w, r, &q) {
		return
	}
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	life := time.Duration(q.TTLMS) * time.Millisecond
	s.holds[id] = hold{life: life, ends: time.Now().Add(life)}
	s.mu.Unlock()
	reply(w, http.StatusOK, wire.LeaseResponse{LeaseID: id})
}

func (s *State) holdID(r *http.Request) uint64 {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (s *State) extend(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.holdID(r)
	h, ok := s.holds[id]
	if !ok {
		reply(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such lease"})
		return
	}
	h.ends = time.Now().Add(h.life)
	s.holds[id] = h
	reply(w, http.StatusOK, wire.LeaseResponse{LeaseID: id})
}

func (s *State) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endHold(s.holdID(r))
	reply(w, http.StatusOK, map[string]bool{})
}

func (s *State) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "since"})
		return
	}
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	over := false
	for {
		s.mu.Lock()
		s.expire()
		if s.rev > since && len(s.log) >= keptChanges && s.log[0].stamp > since+1 {
			s.mu.Unlock()
			reply(w, http.StatusGone, wire.ErrorResponse{Error: "too old"})
			return
		}
		out := wire.WatchResponse{Revision: s.rev, Events: []wire.Event{}}
		i := sort.Search(len(s.log), func(i int) bool { return s.log[i].stamp > since })
		for _, c := range s.log[i:] {
			if !strings.HasPrefix(c.key, prefix) {
				continue
			}
			e := wire.Event{Put: c.key, Value: c.value, Revision: c.stamp}
			if c.gone {
				e = wire.Event{Delete: c.key, Value: wire.Raw{0xf6}, Revision: c.stamp}
			}
			out.Events = append(out.Events, e)
		}
		changed, served := s.changed, s.served(r.RemoteAddr) && !s.stuck
		s.mu.Unlock()
		if !served && over && s.WatchesEnd {
			out.Revision, out.Events = since, []wire.Event{}
			reply(w, http.StatusOK, out)
			return
		}
		if served && (over || len(out.Events) > 0) {
			reply(w, http.StatusOK, out)
			return
		}
		// Holds end without a request too, so look again now and then.
		again := time.NewTimer(200 * time.Millisecond)
		select {
		case <-changed:
		case <-again.C:
		case <-t.C:
			over = true
		case <-r.Context().Done():
			again.Stop()
			return
		}
		again.Stop()
	}
}
