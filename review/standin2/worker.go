//go:build review2

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// taskStatus is the state of a task on a worker, as it is reported.
type taskStatus struct {
	Piece  string `cbor:"piece"`
	Try    uint64 `cbor:"try"`
	Phase  string `cbor:"phase"`
	Cause  string `cbor:"cause,omitempty"`
	Stored bool   `cbor:"stored,omitempty"`
}

type report struct {
	Hearth   string       `cbor:"hearth"`
	Address  string       `cbor:"address"`
	Breed    string       `cbor:"breed"`
	Field    string       `cbor:"field"`
	Windfall bool         `cbor:"windfall"`
	Tenure   uint64       `cbor:"tenure"`
	Tally    uint64       `cbor:"tally"`
	Mandate  uint64       `cbor:"mandate"`
	WarningS *float64     `cbor:"warningS"`
	Pieces   []taskStatus `cbor:"pieces"`
}

type bid struct {
	Verb   string  `cbor:"verb"`
	Piece  string  `cbor:"piece"`
	Try    uint64  `cbor:"try"`
	MercyS float64 `cbor:"mercyS"`
}

type beatResponse struct {
	Mandate  *uint64 `cbor:"mandate"`
	Bids     []bid   `cbor:"bids"`
	AnswerTo string  `cbor:"answerTo"`
}

type orders struct {
	Mandate *uint64 `cbor:"mandate"`
	Tenure  *uint64 `cbor:"tenure"`
	Bids    []bid   `cbor:"bids"`
}

// task is a task on a worker. A timer that fires compares step, so that a timer of an earlier
// state has no effect.
type task struct {
	taskStatus
	job     *job
	index   int
	step    int
	started time.Time // when it began to run
	left    float64   // run time left when it began to run, in seconds
}

// worker is the worker of one machine, as PROTOCOL describes it.
type worker struct {
	w        *world
	id       string
	breed    *breed
	field    string
	windfall bool
	address  string
	server   *http.Server
	cancel   context.CancelFunc

	// All fields below are guarded by w.mu.
	tenure, tally, mandate uint64
	tasks                  []*task
	images                 map[string]bool
	leaseFrom              time.Time // when the last answered report was sent, or the session began
	gone                   bool
	changed                chan struct{}
}

func (w *world) startWorker(id string, b *breed, field string, windfall bool) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(w.ctx)
	k := &worker{
		w: w, id: id, breed: b, field: field, windfall: windfall, address: listener.Addr().String(),
		cancel: cancel, tenure: 1, images: map[string]bool{}, leaseFrom: time.Now(),
		changed: make(chan struct{}, 1),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", k.handleOrders)
	mux.HandleFunc("GET /status", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		body := k.report()
		w.mu.Unlock()
		respond(rw, http.StatusOK, body)
	})
	k.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = k.server.Serve(listener) }()
	go k.runReports(ctx)
	return k, nil
}

func (k *worker) stop() {
	k.w.mu.Lock()
	k.gone = true
	k.w.mu.Unlock()
	k.cancel()
	_ = k.server.Close()
}

func (k *worker) signal() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// report returns the next report; w.mu must be held.
func (k *worker) report() report {
	k.checkLease()
	k.tally++
	r := report{
		Hearth: k.id, Address: k.address, Breed: k.breed.Sku, Field: k.field, Windfall: k.windfall,
		Tenure: k.tenure, Tally: k.tally, Mandate: k.mandate, Pieces: []taskStatus{},
	}
	for _, t := range k.tasks {
		r.Pieces = append(r.Pieces, t.taskStatus)
	}
	return r
}

// checkLease kills and forgets all tasks if the lease has ended; w.mu must be held.
func (k *worker) checkLease() {
	if time.Since(k.leaseFrom) <= seconds(k.w.leaseS) {
		return
	}
	for _, t := range k.tasks {
		t.step++
		if t.Phase != "ended" {
			k.w.log("machine=%s piece=%s try=%d killed: the lease has ended", k.id, t.Piece, t.Try)
			t.Phase = "ended"
		}
	}
	k.tasks = nil
	k.tenure++
	k.leaseFrom = time.Now()
}

func (k *worker) runReports(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}
	node := rand.IntN(len(k.w.nodes))
	for ctx.Err() == nil {
		begun := time.Now()
		k.w.mu.Lock()
		r := k.report()
		k.w.mu.Unlock()
		sent := time.Now()
		status, body, err := post(ctx, client, "http://"+k.w.nodes[node].public+"/agent/beat", r)
		var answer beatResponse
		if err == nil {
			_ = cbor.Unmarshal(body, &answer)
		}
		pause := time.Second // before the next node is tried
		switch {
		case err == nil && status == http.StatusOK:
			k.handleAnswer(r.Tenure, sent, &answer)
			pause = seconds(k.w.reportS * (0.75 + 0.5*rand.Float64()))
			k.waitForChange(ctx, begun, pause)
			continue
		case err == nil && status == http.StatusMisdirectedRequest:
			if other := k.w.nodeIndex(answer.AnswerTo); other >= 0 && other != node {
				client.CloseIdleConnections()
				node = other
				sleep(ctx, 100*time.Millisecond)
				continue
			}
		}
		client.CloseIdleConnections()
		node = (node + 1) % len(k.w.nodes)
		sleep(ctx, pause)
	}
}

// waitForChange waits for the next report: until the interval has passed, or until something has
// changed, but at least half a second since the last report was begun.
func (k *worker) waitForChange(ctx context.Context, begun time.Time, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.changed:
	}
	sleep(ctx, 500*time.Millisecond-time.Since(begun))
	select {
	case <-k.changed:
	default:
	}
}

func (k *worker) handleAnswer(tenure uint64, sent time.Time, answer *beatResponse) {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	k.checkLease()
	if answer.Mandate == nil || *answer.Mandate < k.mandate || tenure != k.tenure {
		return
	}
	if *answer.Mandate > k.mandate {
		k.mandate = *answer.Mandate
		k.signal()
	}
	k.leaseFrom = sent
	k.execute(answer.Bids)
}

func (k *worker) handleOrders(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var o orders
	if cbor.Unmarshal(body, &o) != nil || o.Mandate == nil || o.Tenure == nil {
		respond(rw, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	k.w.mu.Lock()
	k.checkLease()
	status := http.StatusOK
	if *o.Mandate < k.mandate || *o.Tenure != k.tenure {
		status = http.StatusConflict
	} else {
		k.mandate = *o.Mandate
		k.execute(o.Bids)
	}
	answer := k.report()
	k.w.mu.Unlock()
	respond(rw, status, answer)
}

func (k *worker) find(piece string, try uint64) *task {
	for _, t := range k.tasks {
		if t.Piece == piece && t.Try == try {
			return t
		}
	}
	return nil
}

// execute executes commands in order; w.mu must be held.
func (k *worker) execute(bids []bid) {
	for _, b := range bids {
		t := k.find(b.Piece, b.Try)
		switch {
		case b.Verb == "start" && t == nil:
			k.startTask(b)
		case b.Verb == "kill" && t != nil:
			k.killTask(t, b.MercyS)
		case b.Verb == "clear" && t != nil && t.Phase == "ended":
			for i := range k.tasks {
				if k.tasks[i] == t {
					k.tasks = append(k.tasks[:i:i], k.tasks[i+1:]...)
					break
				}
			}
		default:
			continue
		}
		k.signal()
	}
}

func (k *worker) startTask(b bid) {
	t := &task{taskStatus: taskStatus{Piece: b.Piece, Try: b.Try}}
	name, number, _ := strings.Cut(b.Piece, "/")
	t.job = k.w.jobs[name]
	t.index, _ = strconv.Atoi(number)
	used := need{}
	for _, other := range k.tasks {
		if other.Phase == "ended" {
			continue
		}
		if other.Piece == b.Piece {
			t.Cause = "busy"
		}
		used = used.plus(other.job.need())
	}
	if t.job == nil || t.index >= t.job.Pieces {
		t.Cause = "unknown"
		k.w.unknownStarts++
	} else if t.Cause == "" && !used.plus(t.job.need()).fits(k.breed) {
		t.Cause = "full"
	}
	k.tasks = append(k.tasks, t)
	if t.Cause != "" {
		k.end(t, t.Cause)
		return
	}
	t.Phase = "fetching"
	k.w.started++
	k.w.log("machine=%s piece=%s try=%d fetching", k.id, t.Piece, t.Try)
	fetch := 0.0
	if !k.images[t.job.Pattern] {
		fetch = t.job.ImageGb / k.breed.PullGbPerS
	}
	k.after(t, fetch, func() {
		k.images[t.job.Pattern] = true
		if t.job.Shape != "ensemble" {
			k.run(t)
			return
		}
		t.Phase = "gathering"
		k.w.log("machine=%s piece=%s try=%d gathering", k.id, t.Piece, t.Try)
		k.after(t, k.w.gangWaitS, func() { k.end(t, "incomplete") })
		k.w.gatherGang(t.job, t.Try)
	})
}

// after calls f, with w.mu held, after some seconds unless the task changes its state before.
func (k *worker) after(t *task, delayS float64, f func()) {
	t.step++
	step := t.step
	time.AfterFunc(seconds(delayS), func() {
		k.w.mu.Lock()
		defer k.w.mu.Unlock()
		k.checkLease()
		if t.step == step && !k.gone {
			f()
			k.signal()
		}
	})
}

// run makes a task run; w.mu must be held.
func (k *worker) run(t *task) {
	t.Phase = "running"
	t.started = time.Now()
	t.left = t.job.left(t.index)
	k.w.log("machine=%s piece=%s try=%d running", k.id, t.Piece, t.Try)
	k.signal()
	if t.job.Shape == "service" {
		t.step++
		return
	}
	k.after(t, t.left, func() {
		if t.job.Shape == "ensemble" {
			k.w.gangDone(t.job, t.Try)
			return
		}
		t.job.done[t.index] = true
		k.end(t, "done")
	})
}

func (k *worker) killTask(t *task, mercyS float64) {
	switch {
	case t.Phase == "running" && t.job.StitchS > 0 && mercyS >= t.job.BankS:
		t.Phase = "saving"
		ran := time.Since(t.started).Seconds()
		k.w.log("machine=%s piece=%s try=%d saving", k.id, t.Piece, t.Try)
		k.after(t, t.job.BankS, func() {
			t.job.saved[t.index] += ran
			t.Stored = true
			k.end(t, "halted")
		})
	case t.Phase == "saving" && mercyS >= t.job.BankS, t.Phase == "ended":
	default:
		wasRunning := t.Phase == "running" || t.Phase == "saving"
		k.end(t, "halted")
		if wasRunning {
			k.w.gangLost(t)
		}
	}
}

// end ends a task; w.mu must be held.
func (k *worker) end(t *task, cause string) {
	t.step++
	t.Phase, t.Cause = "ended", cause
	k.w.log("machine=%s piece=%s try=%d ended cause=%s", k.id, t.Piece, t.Try, cause)
	k.signal()
}

func post(ctx context.Context, client *http.Client, url string, message any) (int, []byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return 0, nil, err
	}
	return send(ctx, client, http.MethodPost, url, body)
}

func send(ctx context.Context, client *http.Client, method, url string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

func respond(rw http.ResponseWriter, status int, message any) {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(fmt.Sprint("encoding a response: ", err))
	}
	rw.Header().Set("Content-Type", "application/cbor")
	rw.WriteHeader(status)
	_, _ = rw.Write(body)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
