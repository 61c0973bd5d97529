package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"ambersill/internal/wire"
)

// Capacity is how many machines of a kind there are.
type Capacity struct {
	MachineType, Zone string
	Spot              bool
	Count             int
}

type instance struct {
	machine  wire.CloudMachine
	rentedAt time.Time
	worker   *Worker
}

// Cloud emulates the cloud. Its machines run Workers.
type Cloud struct {
	MachineTypes []wire.MachineType
	Capacity     []Capacity
	Lag          time.Duration
	// Faults, if set, decides on each rental and return.
	Faults func() (RequestFault, time.Duration)
	// Boot starts a machine's worker once it is up.
	Boot func(m wire.CloudMachine) *Worker
	// BootTime of one machine; 0: it never comes up.
	BootTime func(t wire.MachineType) time.Duration
	Rand     *rand.Rand

	mu        sync.Mutex
	next      int
	machines  map[string]*instance
	rentals   map[string][]string
	refusals  int
	snapshots []listSnapshot
}

// listSnapshot is the list as it was at a time; the cloud shows an old one.
type listSnapshot struct {
	at   time.Time
	list []wire.CloudMachine
}

// Handler serves the protocol.
func (c *Cloud) Handler() http.Handler {
	c.mu.Lock()
	if c.machines == nil {
		c.machines, c.rentals = map[string]*instance{}, map[string][]string{}
	}
	c.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, http.StatusOK, wire.Catalog{Types: c.MachineTypes})
	})
	mux.HandleFunc("POST /hosts", c.rent)
	mux.HandleFunc("POST /hosts/return", c.returnMachines)
	mux.HandleFunc("GET /hosts", c.list)
	return deferResponses(mux)
}

func (c *Cloud) fault() (RequestFault, time.Duration) {
	if c.Faults == nil {
		return NoFault, 0
	}
	return c.Faults()
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var q wire.RentRequest
	if !readRequest(w, r, &q) {
		return
	}
	if q.RequestID == "" || q.Count < 1 || q.Count > 50 {
		writeResponse(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	f, wait := c.fault()
	switch f {
	case RefuseRequest:
		writeResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "trouble"})
	case ExecuteLate:
		time.AfterFunc(wait, func() { c.doRent(q) })
		panic(http.ErrAbortHandler)
	default:
		ids := c.doRent(q)
		if f == LoseResponse {
			panic(http.ErrAbortHandler)
		}
		if ids == nil {
			writeResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
			return
		}
		writeResponse(w, http.StatusOK, wire.MachineIDs{Machines: ids})
	}
}

// Refusals counts the rentals for which there was no room.
func (c *Cloud) Refusals() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusals
}

func (c *Cloud) doRent(q wire.RentRequest) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ids, ok := c.rentals[q.RequestID]; ok {
		return ids
	}
	free := 0
	for _, k := range c.Capacity {
		if k.MachineType == q.MachineType && k.Zone == q.Zone && k.Spot == q.Spot {
			free += k.Count
		}
	}
	for _, m := range c.machines {
		if m.machine.MachineType == q.MachineType && m.machine.Zone == q.Zone && m.machine.Spot == q.Spot && m.machine.State != wire.MachineFailed {
			free--
		}
	}
	n := min(q.Count, free)
	if n <= 0 {
		c.refusals++
		return nil
	}
	var ids []string
	for range n {
		id := c.add(q.MachineType, q.Zone, q.Spot)
		ids = append(ids, id)
	}
	c.rentals[q.RequestID] = ids
	return ids
}

// add rents one machine; mu must be held.
func (c *Cloud) add(typ, zone string, spot bool) string {
	id := fmt.Sprintf("m-%06d", c.next)
	m := &instance{rentedAt: time.Now(), machine: wire.CloudMachine{
		ID: id, Address: fmt.Sprintf("127.0.0.1:%d", 20000+c.next),
		MachineType: typ, Zone: zone, Spot: spot, State: wire.MachineStarting,
	}}
	c.next++
	c.machines[id] = m
	for _, t := range c.MachineTypes {
		if t.Name != typ {
			continue
		}
		if d := c.BootTime(t); d > 0 {
			time.AfterFunc(d, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.machines[id] == m {
					m.machine.State = wire.MachineRunning
					m.worker = c.Boot(m.machine)
				}
			})
		}
	}
	return id
}

// Add has a machine there from the start.
func (c *Cloud) Add(typ, zone string, spot bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.add(typ, zone, spot)
}

func (c *Cloud) returnMachines(w http.ResponseWriter, r *http.Request) {
	var q wire.MachineIDs
	if !readRequest(w, r, &q) {
		return
	}
	f, wait := c.fault()
	switch f {
	case RefuseRequest:
		writeResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "trouble"})
	case ExecuteLate:
		time.AfterFunc(wait, func() { c.remove(q.Machines) })
		panic(http.ErrAbortHandler)
	default:
		c.remove(q.Machines)
		if f == LoseResponse {
			panic(http.ErrAbortHandler)
		}
		writeResponse(w, http.StatusOK, map[string]bool{})
	}
}

func (c *Cloud) remove(ids []string) {
	c.mu.Lock()
	var workers []*Worker
	for _, id := range ids {
		if m := c.machines[id]; m != nil {
			workers = append(workers, m.worker)
			delete(c.machines, id)
		}
	}
	c.mu.Unlock()
	for _, worker := range workers {
		if worker != nil {
			worker.Kill()
		}
	}
}

// TakeBack removes a machine without notice, as the cloud does with spot machines.
func (c *Cloud) TakeBack(id string) { c.remove([]string{id}) }

// Workers lists the machines that are up, by name.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Worker
	for _, m := range c.machines {
		if m.worker != nil {
			out = append(out, m.worker)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Machine.ID < out[b].Machine.ID })
	return out
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	now := time.Now()
	var cur []wire.CloudMachine
	for _, m := range c.machines {
		x := m.machine
		x.AgeS = now.Sub(m.rentedAt).Seconds()
		cur = append(cur, x)
	}
	sort.Slice(cur, func(a, b int) bool { return cur[a].ID < cur[b].ID })
	c.snapshots = append(c.snapshots, listSnapshot{now, cur})
	// The list shown is the newest one that is at least Lag old, so it can be
	// as old as the reader is slow.
	show := []wire.CloudMachine{}
	keep := 0
	for i, s := range c.snapshots {
		if now.Sub(s.at) >= c.Lag {
			show, keep = s.list, i
		}
	}
	c.snapshots = c.snapshots[keep:]
	c.mu.Unlock()
	since := r.URL.Query().Get("since")
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || most < 1 || most > 500 {
		most = 500
	}
	p := wire.MachinePage{Machines: []wire.CloudMachine{}}
	for _, m := range show {
		if m.ID <= since {
			continue
		}
		if len(p.Machines) == most {
			p.More = true
			break
		}
		p.Machines = append(p.Machines, m)
	}
	writeResponse(w, http.StatusOK, p)
}
