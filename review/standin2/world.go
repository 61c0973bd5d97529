//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"ambersill/internal/emulator"

	"github.com/fxamacker/cbor/v2"
)

// breed is a machine type, as in the cloud's catalog.
type breed struct {
	Sku         string   `cbor:"sku"`
	Cores       float64  `cbor:"cores"`
	Gpus        float64  `cbor:"gpus"`
	RamGb       float64  `cbor:"ramGb"`
	LocalGb     float64  `cbor:"localGb"`
	PullGbPerS  float64  `cbor:"pullGbPerS"`
	Hourly      float64  `cbor:"hourly"`
	MarketPrice float64  `cbor:"marketPrice"`
	BootS       float64  `cbor:"bootS"`
	Fields      []string `cbor:"fields"`
}

// need is what tasks take of a machine.
type need struct{ cores, gpus, ramGb float64 }

func (n need) plus(o need) need { return need{n.cores + o.cores, n.gpus + o.gpus, n.ramGb + o.ramGb} }

func (n need) fits(b *breed) bool {
	const tolerance = 1e-6
	return n.cores <= b.Cores+tolerance && n.gpus <= b.Gpus+tolerance && n.ramGb <= b.RamGb+tolerance
}

// job is a submission, and what the stand-in knows of its tasks.
type job struct {
	UID       string   `cbor:"uid"`
	Lane      string   `cbor:"lane"`
	Crew      string   `cbor:"crew"`
	Shape     string   `cbor:"shape"`
	Rank      string   `cbor:"rank"`
	Pieces    int      `cbor:"pieces"`
	Cores     float64  `cbor:"cores"`
	Gpus      float64  `cbor:"gpus"`
	RamGb     float64  `cbor:"ramGb"`
	Pattern   string   `cbor:"pattern"`
	ImageGb   float64  `cbor:"imageGb"`
	Breeds    []string `cbor:"breeds"`
	Field     *string  `cbor:"field"`
	SamePlace bool     `cbor:"samePlace"`
	Spread    bool     `cbor:"spread"`
	Windfall  bool     `cbor:"windfall"`
	GuessS    float64  `cbor:"guessS"`
	StitchS   float64  `cbor:"stitchS"`
	BankS     float64  `cbor:"bankS"`
	DueS      *float64 `cbor:"dueS"`

	done  map[int]bool
	saved map[int]float64
}

func (j *job) need() need { return need{j.Cores, j.Gpus, j.RamGb} }

// left returns the run time that a task has left, in seconds.
func (j *job) left(index int) float64 {
	if j.done[index] {
		return 0
	}
	return max(0, j.GuessS-j.saved[index])
}

// node is a controller.
type node struct {
	name, zone, public, mesh string
}

// world holds the stand-ins of the cloud, the workers and the state service.
type world struct {
	mu        sync.Mutex // guards jobs, machines, hires, workers and the workers' state
	ctx       context.Context
	store     *emulator.KeyValueStore
	record    *os.File
	begun     time.Time
	nodes     []node
	breeds    []*breed
	capacity  int     // machines that the cloud has, of all types together
	bootS     float64 // actual boot time
	listLagS  float64
	reportS   float64
	leaseS    float64
	gangWaitS float64

	jobs     map[string]*job
	machines []*machine
	hires    map[string][]string
	workers  map[string]*worker
	// started counts the starts of tasks, unknownStarts those of tasks that no user has submitted.
	started, unknownStarts int
	// late, if set, holds up a transaction of the state service.
	late *lateCommit
}

// machine is a rented machine, in the order of its name.
type machine struct {
	id       string
	breed    *breed
	field    string
	windfall bool
	rented   time.Time
	up       time.Time // zero until it is up
	died     time.Time // zero until it stops by itself
	gone     time.Time // zero until it is returned
	address  string
}

func (w *world) log(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) nodeIndex(name string) int {
	for i := range w.nodes {
		if w.nodes[i].name == name {
			return i
		}
	}
	return -1
}

// gangMembers returns the workers and tasks of an attempt of a gang that have not ended.
func (w *world) gangMembers(j *job, try uint64) (workers []*worker, tasks []*task) {
	for _, id := range w.workerIDs() {
		k := w.workers[id]
		for _, t := range k.tasks {
			if t.job == j && t.Try == try && t.Phase != "ended" && !k.gone {
				workers, tasks = append(workers, k), append(tasks, t)
			}
		}
	}
	return workers, tasks
}

func (w *world) workerIDs() []string {
	var ids []string
	for id := range w.workers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// gatherGang starts the tasks of a gang together once the last one has its image.
func (w *world) gatherGang(j *job, try uint64) {
	workers, tasks := w.gangMembers(j, try)
	gathered := map[int]bool{}
	for _, t := range tasks {
		if t.Phase == "gathering" {
			gathered[t.index] = true
		}
	}
	if len(gathered) < j.Pieces {
		return
	}
	for i, t := range tasks {
		workers[i].run(t)
	}
}

// gangDone ends all tasks of a gang's attempt together.
func (w *world) gangDone(j *job, try uint64) {
	workers, tasks := w.gangMembers(j, try)
	for i, t := range tasks {
		j.done[t.index] = true
		workers[i].end(t, "done")
	}
}

// gangLost makes the other tasks of a running gang exit, since one of its tasks is gone.
func (w *world) gangLost(lost *task) {
	if lost.job.Shape != "ensemble" {
		return
	}
	workers, tasks := w.gangMembers(lost.job, lost.Try)
	for i, t := range tasks {
		if t.Phase == "running" || t.Phase == "saving" {
			k := workers[i]
			k.after(t, 1, func() { k.end(t, "mates_gone") })
		}
	}
}

// serveStore serves the state service: the project's own emulator of it.
func (w *world) serveStore() (string, error) {
	w.store = emulator.NewKeyValueStore()
	if w.late != nil {
		w.late.world, w.late.store = w, w.store.Handler()
		return w.serve(w.late)
	}
	return w.serve(w.store.Handler())
}

func (w *world) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }() //nolint:gosec // loopback only
	return listener.Addr().String(), nil
}

type hire struct {
	Hire     string `cbor:"hire"`
	Breed    string `cbor:"breed"`
	Field    string `cbor:"field"`
	Windfall bool   `cbor:"windfall"`
	Count    int    `cbor:"count"`
}

func (w *world) serveCloud() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(rw http.ResponseWriter, _ *http.Request) {
		respond(rw, http.StatusOK, map[string]any{"breeds": w.breeds})
	})
	mux.HandleFunc("POST /hosts", w.handleHire)
	mux.HandleFunc("POST /hosts/return", w.handleReturn)
	mux.HandleFunc("GET /hosts", w.handleList)
	return w.serve(mux)
}

func (w *world) handleHire(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var h hire
	if cbor.Unmarshal(body, &h) != nil || h.Count < 1 || h.Count > 50 {
		respond(rw, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if ids, ok := w.hires[h.Hire]; ok {
		respond(rw, http.StatusOK, map[string]any{"hearths": ids})
		return
	}
	var b *breed
	for _, candidate := range w.breeds {
		if candidate.Sku == h.Breed {
			b = candidate
		}
	}
	there := 0
	for _, m := range w.machines {
		if m.gone.IsZero() {
			there++
		}
	}
	count := min(h.Count, w.capacity-there)
	if b == nil || count <= 0 || h.Windfall { // there are no spot machines
		w.log("hire=%s breed=%s windfall=%t count=%d refused: no capacity", h.Hire, h.Breed, h.Windfall, h.Count)
		respond(rw, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	ids := []string{}
	for range count {
		m := &machine{
			id:    fmt.Sprintf("m-%06d", len(w.machines)+1),
			breed: b, field: h.Field, windfall: h.Windfall, rented: time.Now(),
		}
		w.machines = append(w.machines, m)
		ids = append(ids, m.id)
		w.log("hire=%s breed=%s machine=%s rented", h.Hire, h.Breed, m.id)
		time.AfterFunc(seconds(w.bootS), func() { w.boot(m) })
	}
	w.hires[h.Hire] = ids
	respond(rw, http.StatusOK, map[string]any{"hearths": ids})
}

func (w *world) boot(m *machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !m.gone.IsZero() || w.ctx.Err() != nil {
		return
	}
	k, err := w.startWorker(m.id, m.breed, m.field, m.windfall)
	if err != nil {
		w.log("machine=%s did not come up: %v", m.id, err)
		return
	}
	w.workers[m.id] = k
	m.up, m.address = time.Now(), k.address
	w.log("machine=%s up", m.id)
}

func (w *world) handleReturn(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var request struct {
		Hearths []string `cbor:"hearths"`
	}
	if cbor.Unmarshal(body, &request) != nil || len(request.Hearths) > 100 {
		respond(rw, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	var stopped []*worker
	w.mu.Lock()
	for _, id := range request.Hearths {
		for _, m := range w.machines {
			if m.id == id && m.gone.IsZero() {
				m.gone = time.Now()
				w.log("machine=%s returned", id)
				if k := w.workers[id]; k != nil {
					delete(w.workers, id)
					stopped = append(stopped, k)
					for _, t := range k.tasks {
						if t.Phase == "running" || t.Phase == "saving" {
							w.gangLost(t)
						}
					}
				}
			}
		}
	}
	w.mu.Unlock()
	for _, k := range stopped {
		k.stop()
	}
	respond(rw, http.StatusOK, map[string]any{})
}

// diedListedAfter is how long a machine that has died is still listed as running.
const diedListedAfter = 30 * time.Second

func (w *world) handleList(rw http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || most > 500 {
		most = 500
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	at := time.Now().Add(-seconds(w.listLagS))
	list, more := []map[string]any{}, false
	for _, m := range w.machines {
		if m.id <= since || m.rented.After(at) || (!m.gone.IsZero() && m.gone.Before(at)) {
			continue
		}
		if len(list) == most {
			more = true
			break
		}
		phase, address := "starting", m.address
		if !m.up.IsZero() && m.up.Before(at) {
			phase = "running"
		}
		if !m.died.IsZero() && at.Sub(m.died) > diedListedAfter {
			phase = "failed"
		}
		if address == "" {
			address = "127.0.0.1:1" // nothing listens there
		}
		list = append(list, map[string]any{
			"uid": m.id, "address": address, "breed": m.breed.Sku, "field": m.field,
			"windfall": m.windfall, "phase": phase, "ageS": at.Sub(m.rented).Seconds(),
		})
	}
	respond(rw, http.StatusOK, map[string]any{"hearths": list, "hasNext": more})
}

// settings returns the settings of a controller, as DEPLOY describes them.
func (w *world) settings(index int, cluster, cloud, state string) string {
	var b strings.Builder
	n := w.nodes[index]
	fmt.Fprintf(&b, "node = %q\nzone = %q\npublic_addr = %q\nmesh_addr = %q\n", n.name, n.zone, n.public, n.mesh)
	for i, m := range w.nodes {
		if i != index {
			fmt.Fprintf(&b, "\n[[members]]\nnode = %q\nzone = %q\naddr = %q\n", m.name, m.zone, m.mesh)
		}
	}
	fmt.Fprintf(&b, "\n[outside]\ncloud = %q\nstate = %q\n\n%s", cloud, state, cluster)
	return b.String()
}
