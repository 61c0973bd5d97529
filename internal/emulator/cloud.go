package emulator

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"ambersill/internal/wire"
)

// Limits of requests, by the protocol.
const (
	maxRentedMachines = 50  // in one request
	maxListedMachines = 500 // in a page of the list
)

// firstWorkerPort is the port of the first machine's worker; the others use the next ones.
const firstWorkerPort = 20000

// Capacity is how many machines of a kind there are.
type Capacity struct {
	MachineType, Zone string
	Spot              bool
	Count             int
}

// offers reports whether the capacity is of the kind that a request asks for.
func (c *Capacity) offers(request *wire.RentRequest) bool {
	return c.MachineType == request.MachineType && c.Zone == request.Zone && c.Spot == request.Spot
}

// instance is a rented machine.
type instance struct {
	machine  wire.CloudMachine
	rentedAt time.Time
	worker   *Worker // nil until the machine has booted
}

// occupies reports whether the machine takes from the capacity that a request asks for.
func (i *instance) occupies(request *wire.RentRequest) bool {
	machine := &i.machine
	return machine.MachineType == request.MachineType && machine.Zone == request.Zone &&
		machine.Spot == request.Spot && machine.State != wire.MachineFailed
}

// Cloud emulates the cloud. Its machines run Workers.
type Cloud struct {
	MachineTypes []wire.MachineType
	Capacity     []Capacity
	Lag          time.Duration // by which the list of machines is late
	// Faults, if set, decides what happens to each rental and return.
	Faults func() (RequestFault, time.Duration)
	// Boot starts a machine's worker once it is up.
	Boot func(m wire.CloudMachine) *Worker
	// BootTime returns how long one machine takes to boot; 0: it never comes up.
	BootTime func(t wire.MachineType) time.Duration

	mu        sync.Mutex
	next      int // number of the next machine
	machines  map[string]*instance
	rentals   map[string][]string // IDs of the machines that each request ID has rented
	refusals  int
	snapshots []listSnapshot
}

// listSnapshot is the list as it was at a time; the cloud shows an old one.
type listSnapshot struct {
	at       time.Time
	machines []wire.CloudMachine
}

// Handler serves the protocol.
func (c *Cloud) Handler() http.Handler {
	c.mu.Lock()
	if c.machines == nil {
		c.machines = map[string]*instance{}
		c.rentals = map[string][]string{}
	}
	c.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", c.handleCatalog)
	mux.HandleFunc("POST /hosts", c.handleRent)
	mux.HandleFunc("POST /hosts/return", c.handleReturn)
	mux.HandleFunc("GET /hosts", c.handleList)
	return deferResponses(mux)
}

func (c *Cloud) handleCatalog(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, http.StatusOK, wire.Catalog{Types: c.MachineTypes})
}

func (c *Cloud) handleRent(w http.ResponseWriter, r *http.Request) {
	var request wire.RentRequest
	if !readRequest(w, r, &request) {
		return
	}
	if request.RequestID == "" || request.Count < 1 || request.Count > maxRentedMachines {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	fault, delay := c.fault()
	executeWithFault(w, fault, delay, func() (int, any) {
		ids := c.rent(&request)
		if ids == nil {
			return http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"}
		}
		return http.StatusOK, wire.MachineIDs{Machines: ids}
	})
}

func (c *Cloud) handleReturn(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineIDs
	if !readRequest(w, r, &request) {
		return
	}
	fault, delay := c.fault()
	executeWithFault(w, fault, delay, func() (int, any) {
		c.remove(request.Machines)
		return http.StatusOK, map[string]bool{}
	})
}

func (c *Cloud) fault() (RequestFault, time.Duration) {
	if c.Faults == nil {
		return NoFault, 0
	}
	return c.Faults()
}

// Refusals counts the rentals for which there was no capacity.
func (c *Cloud) Refusals() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusals
}

// rent rents as many of the requested machines as there is capacity for, and returns their IDs;
// nil if there is none. A repeated request returns the machines that it has rented before.
func (c *Cloud) rent(request *wire.RentRequest) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ids, ok := c.rentals[request.RequestID]; ok {
		return ids
	}
	count := min(request.Count, c.freeCapacity(request))
	if count <= 0 {
		c.refusals++
		return nil
	}
	var ids []string
	for range count {
		ids = append(ids, c.add(request.MachineType, request.Zone, request.Spot))
	}
	c.rentals[request.RequestID] = ids
	return ids
}

// freeCapacity counts the machines of the requested kind that are not rented. The lock must be
// held.
func (c *Cloud) freeCapacity(request *wire.RentRequest) int {
	free := 0
	for _, capacity := range c.Capacity {
		if capacity.offers(request) {
			free += capacity.Count
		}
	}
	for _, rented := range c.machines {
		if rented.occupies(request) {
			free--
		}
	}
	return free
}

// Add rents a machine without a request, whatever the capacity, and returns its ID. Handler
// must have been called before.
func (c *Cloud) Add(machineType, zone string, spot bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.add(machineType, zone, spot)
}

// add rents one machine, and returns its ID. The lock must be held.
func (c *Cloud) add(machineType, zone string, spot bool) string {
	id := fmt.Sprintf("m-%06d", c.next)
	added := &instance{
		machine: wire.CloudMachine{
			ID:          id,
			Address:     fmt.Sprintf("127.0.0.1:%d", firstWorkerPort+c.next),
			MachineType: machineType,
			Zone:        zone,
			Spot:        spot,
			State:       wire.MachineStarting,
		},
		rentedAt: time.Now(),
	}
	c.next++
	c.machines[id] = added
	for _, offered := range c.MachineTypes {
		if offered.Name != machineType {
			continue
		}
		if bootTime := c.BootTime(offered); bootTime > 0 {
			time.AfterFunc(bootTime, func() { c.boot(added) })
		}
	}
	return id
}

// boot starts a machine's worker, unless the machine has been returned meanwhile.
func (c *Cloud) boot(booting *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines[booting.machine.ID] != booting {
		return
	}
	booting.machine.State = wire.MachineRunning
	booting.worker = c.Boot(booting.machine)
}

// remove ends machines with their workers.
func (c *Cloud) remove(ids []string) {
	for _, worker := range c.removeInstances(ids) {
		worker.Kill()
	}
}

// removeInstances removes machines, and returns the workers of those that had booted.
func (c *Cloud) removeInstances(ids []string) []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*Worker
	for _, id := range ids {
		removed := c.machines[id]
		if removed == nil {
			continue
		}
		delete(c.machines, id)
		if removed.worker != nil {
			workers = append(workers, removed.worker)
		}
	}
	return workers
}

// TakeBack removes a machine without notice, as the cloud does with spot instances.
func (c *Cloud) TakeBack(id string) { c.remove([]string{id}) }

// Workers lists the workers of the machines that are up, by machine ID.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*Worker
	for _, rented := range c.machines {
		if rented.worker != nil {
			workers = append(workers, rented.worker)
		}
	}
	sort.Slice(workers, func(a, b int) bool { return workers[a].Machine.ID < workers[b].Machine.ID })
	return workers
}

func (c *Cloud) handleList(w http.ResponseWriter, r *http.Request) {
	machines := c.laggingList()
	since := r.URL.Query().Get("since")
	pageSize := pageSizeOf(r, maxListedMachines)
	page := wire.MachinePage{Machines: []wire.CloudMachine{}} // an empty list on the wire, not null
	for _, machine := range machines {
		if machine.ID <= since {
			continue
		}
		if len(page.Machines) == pageSize {
			page.HasMore = true
			break
		}
		page.Machines = append(page.Machines, machine)
	}
	writeResponse(w, http.StatusOK, page)
}

// laggingList takes a snapshot of the list, and returns the newest one that is at least Lag
// old; none yet: an empty list. Snapshots are taken on request only, so that the list can be
// as old as its reader is slow.
func (c *Cloud) laggingList() []wire.CloudMachine {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.snapshots = append(c.snapshots, listSnapshot{at: now, machines: c.currentList(now)})
	var shown []wire.CloudMachine
	shownIndex := 0
	for i, snapshot := range c.snapshots {
		if now.Sub(snapshot.at) >= c.Lag {
			shown = snapshot.machines
			shownIndex = i
		}
	}
	c.snapshots = c.snapshots[shownIndex:]
	return shown
}

// currentList lists the rented machines by ID. The lock must be held.
func (c *Cloud) currentList(now time.Time) []wire.CloudMachine {
	var machines []wire.CloudMachine
	for _, rented := range c.machines {
		machine := rented.machine
		machine.AgeS = now.Sub(rented.rentedAt).Seconds()
		machines = append(machines, machine)
	}
	sort.Slice(machines, func(a, b int) bool { return machines[a].ID < machines[b].ID })
	return machines
}
