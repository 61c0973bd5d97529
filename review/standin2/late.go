//go:build review2

package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of the time by which a transaction may be late.
const (
	leastLate = 2 * time.Second
	mostLate  = 12 * time.Second
)

// lateCommit is a state service that gives no answer to the first transaction that puts a key, and
// carries it out late: right after the first transaction that puts the same key once it is armed.
type lateCommit struct {
	key   string
	world *world
	store http.Handler

	mu     sync.Mutex
	held   []byte // the transaction, until it is carried out
	heldAt time.Time
	armed  bool
	done   bool
}

func (l *lateCommit) isHeld() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held != nil
}

func (l *lateCommit) arm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.armed = true
}

func (l *lateCommit) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/commit" {
		l.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !l.puts(body) {
		l.commit(w, body)
		return
	}
	if l.hold(body) {
		<-r.Context().Done() // the client gives up
		panic(http.ErrAbortHandler)
	}
	l.commit(w, body)
	l.release()
}

// puts reports whether a transaction puts the key.
func (l *lateCommit) puts(body []byte) bool {
	var transaction struct {
		Then []struct {
			Put string `cbor:"put"`
		} `cbor:"then"`
	}
	if cbor.Unmarshal(body, &transaction) != nil {
		return false
	}
	for _, write := range transaction.Then {
		if write.Put == l.key {
			return true
		}
	}
	return false
}

// hold holds up the first transaction, and reports whether this is it.
func (l *lateCommit) hold(body []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held != nil || l.done {
		return false
	}
	l.held, l.heldAt = body, time.Now()
	l.note("the state service gives no answer to a transaction that puts %s", l.key)
	return true
}

// release carries out the transaction that is held up, if it is late enough and not too late.
func (l *lateCommit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := time.Since(l.heldAt)
	if l.held == nil || !l.armed || late < leastLate || late > mostLate {
		return
	}
	answer := httptest.NewRecorder()
	l.commit(answer, l.held)
	l.held, l.done = nil, true
	l.note("the state service carries the transaction out, %.1f s late: %d", late.Seconds(), answer.Code)
}

func (l *lateCommit) commit(w http.ResponseWriter, body []byte) {
	r := httptest.NewRequest(http.MethodPost, "/commit", bytes.NewReader(body))
	l.store.ServeHTTP(w, r)
}

func (l *lateCommit) note(format string, args ...any) {
	l.world.mu.Lock()
	defer l.world.mu.Unlock()
	l.world.log(format, args...)
}
