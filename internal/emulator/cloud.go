package emulator

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"ambersill/internal/wire"
)

// Limits that the cloud's API sets on requests.
const (
	maxRentedMachines = 50  // in one rental request
	maxListedMachines = 500 // in one page of the list of machines
)

// firstWorkerPort is the port of the first machine's worker. Each further machine uses the next
// port.
const firstWorkerPort = 20000

// Capacity is the number of machines that the cloud has of one type, in one zone, as spot or
// regular machines.
type Capacity struct {
	MachineType, Zone string
	Spot              bool
	Count             int
}

// offers reports whether a request asks for machines of this capacity.
func (c *Capacity) offers(request *wire.RentRequest) bool {
	return c.MachineType == request.MachineType && c.Zone == request.Zone && c.Spot == request.Spot
}

// rentedMachine is a machine from its rental until it is returned or reclaimed.
type rentedMachine struct {
	machine  wire.CloudMachine
	rentedAt time.Time
	worker   *Worker // nil until the machine has booted
}

// occupies reports whether the machine counts against the capacity that a request asks for. A
// failed machine does not.
func (m *rentedMachine) occupies(request *wire.RentRequest) bool {
	machine := &m.machine
	return machine.MachineType == request.MachineType && machine.Zone == request.Zone &&
		machine.Spot == request.Spot && machine.State != wire.MachineFailed
}

// Cloud emulates the cloud provider. Each machine that has booted runs a Worker.
type Cloud struct {
	MachineTypes []wire.MachineType
	Capacity     []Capacity
	ListLag      time.Duration // minimum age of the list of machines that is returned
	// ChooseFault, if set, returns the fault of each request to rent or return machines, and the
	// delay of ExecuteLate.
	ChooseFault func() (RequestFault, time.Duration)
	// BootWorker starts the worker of a machine that has booted. The cloud's lock is held.
	BootWorker func(m wire.CloudMachine) *Worker
	// BootTime returns how long one machine takes to boot; 0 if it never finishes booting.
	BootTime func(t wire.MachineType) time.Duration

	mu             sync.Mutex
	nextNumber     int // number from which the next machine's ID and port are built
	machines       map[string]*rentedMachine
	rentals        map[string][]string // by request ID: IDs of the machines that the request rented
	refusedRentals int
	snapshots      []listSnapshot
}

// listSnapshot is the list of machines at one time.
type listSnapshot struct {
	takenAt  time.Time
	machines []wire.CloudMachine
}

// Handler returns the HTTP handler of the cloud.
func (c *Cloud) Handler() http.Handler {
	c.mu.Lock()
	if c.machines == nil {
		c.machines = map[string]*rentedMachine{}
		c.rentals = map[string][]string{}
	}
	c.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", c.handleCatalog)
	mux.HandleFunc("POST /hosts", c.handleRent)
	mux.HandleFunc("POST /hosts/return", c.handleReturn)
	mux.HandleFunc("GET /hosts", c.handleList)
	return bufferResponses(mux)
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
		c.terminate(request.Machines)
		return http.StatusOK, map[string]bool{}
	})
}

// fault returns the fault of a request, and the delay of ExecuteLate.
func (c *Cloud) fault() (RequestFault, time.Duration) {
	if c.ChooseFault == nil {
		return NoFault, 0
	}
	return c.ChooseFault()
}

// RefusedRentals returns how many rentals were refused because there was no capacity.
func (c *Cloud) RefusedRentals() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusedRentals
}

// RentedMachines returns how many machines all requests together have rented so far.
func (c *Cloud) RentedMachines() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	rented := 0
	for _, ids := range c.rentals {
		rented += len(ids)
	}
	return rented
}

// rent rents as many of the requested machines as there is capacity for, and returns their IDs, or
// nil if there is no capacity. If machines have already been rented with the same request ID, it
// rents none and returns the IDs of those machines.
func (c *Cloud) rent(request *wire.RentRequest) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ids, ok := c.rentals[request.RequestID]; ok {
		return ids
	}
	count := min(request.Count, c.freeCapacity(request))
	if count <= 0 {
		c.refusedRentals++
		return nil
	}
	var ids []string
	for range count {
		ids = append(ids, c.addMachine(request.MachineType, request.Zone, request.Spot))
	}
	c.rentals[request.RequestID] = ids
	return ids
}

// freeCapacity returns how many machines of the requested type, zone and spot setting can still be
// rented. The lock must be held.
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

// AddMachine rents a machine without a request and without regard to the capacity, and returns its
// ID. Handler must have been called before.
func (c *Cloud) AddMachine(machineType, zone string, spot bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addMachine(machineType, zone, spot)
}

// addMachine rents one machine, starts to boot it, and returns its ID. The lock must be held.
func (c *Cloud) addMachine(machineType, zone string, spot bool) string {
	id := fmt.Sprintf("m-%06d", c.nextNumber)
	added := &rentedMachine{
		machine: wire.CloudMachine{
			ID:          id,
			Address:     fmt.Sprintf("127.0.0.1:%d", firstWorkerPort+c.nextNumber),
			MachineType: machineType,
			Zone:        zone,
			Spot:        spot,
			State:       wire.MachineStarting,
		},
		rentedAt: time.Now(),
	}
	c.nextNumber++
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

// boot marks a machine as running and starts its worker, unless the machine was returned or
// reclaimed while it booted.
func (c *Cloud) boot(booting *rentedMachine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines[booting.machine.ID] != booting {
		return
	}
	booting.machine.State = wire.MachineRunning
	booting.worker = c.BootWorker(booting.machine)
}

// terminate removes machines, and kills their workers.
func (c *Cloud) terminate(ids []string) {
	for _, worker := range c.removeMachines(ids) {
		worker.Kill()
	}
}

// removeMachines removes the machines that are rented, and returns the workers of those that had
// booted.
func (c *Cloud) removeMachines(ids []string) []*Worker {
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

// Reclaim removes a machine without a request, as the cloud does with spot machines. It gives the
// machine no termination notice.
func (c *Cloud) Reclaim(id string) { c.terminate([]string{id}) }

// Workers returns the workers of all machines that have booted, sorted by machine ID.
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
	machines := c.laggedList()
	since := r.URL.Query().Get("since")
	pageSize := requestedPageSize(r, maxListedMachines)
	// A page without machines is encoded as an empty list, not as null.
	page := wire.MachinePage{Machines: []wire.CloudMachine{}}
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

// laggedList takes a snapshot of the machines, and returns the newest snapshot that is at least
// ListLag old, or nil if there is none. Snapshots are taken only here, so if the time between two
// requests for the list is longer than ListLag, the returned list may be as old as that time.
func (c *Cloud) laggedList() []wire.CloudMachine {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.snapshots = append(c.snapshots, listSnapshot{takenAt: now, machines: c.currentList(now)})
	var shown []wire.CloudMachine
	shownIndex := 0
	for i, snapshot := range c.snapshots {
		if now.Sub(snapshot.takenAt) >= c.ListLag {
			shown = snapshot.machines
			shownIndex = i
		}
	}
	c.snapshots = c.snapshots[shownIndex:]
	return shown
}

// currentList returns the rented machines, sorted by ID, with their age at now. The lock must be
// held.
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
