//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/wire"
)

// cloud is a small cloud: machines boot after a fixed time, and their workers are the project's
// emulated ones. Its list is as old as the settings say.
type cloud struct {
	rig *rig
	ctx context.Context
	d   deployment

	mu       sync.Mutex
	next     int
	machines []*machine
	rentals  map[string][]string
	history  []snapshot
	refused  map[emulator.Capacity]bool
}

// machine is a rented machine.
type machine struct {
	wire.CloudMachine
	rentedAt time.Time
	worker   *emulator.Worker // nil until it is up
	gone     bool
}

// snapshot is the list of machines at one time.
type snapshot struct {
	at   time.Time
	list []wire.CloudMachine
}

func newCloud(ctx context.Context, r *rig, d deployment) *cloud {
	c := &cloud{rig: r, ctx: ctx, d: d, next: 1, rentals: map[string][]string{}, refused: map[emulator.Capacity]bool{}}
	go func() {
		for ctx.Err() == nil {
			c.takeSnapshot()
			time.Sleep(250 * time.Millisecond)
		}
	}()
	return c
}

func (c *cloud) takeSnapshot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	current := snapshot{at: now, list: []wire.CloudMachine{}}
	for _, m := range c.machines {
		if !m.gone {
			listed := m.CloudMachine
			listed.AgeS = now.Sub(m.rentedAt).Seconds()
			current.list = append(current.list, listed)
		}
	}
	c.history = append(c.history, current)
}

// handler returns the cloud's HTTP interface.
func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, wire.Catalog{Types: c.d.types})
	})
	mux.HandleFunc("POST /hosts", c.rent)
	mux.HandleFunc("POST /hosts/return", c.returnMachines)
	mux.HandleFunc("GET /hosts", c.list)
	return mux
}

func reply(w http.ResponseWriter, status int, message any) {
	body, err := wire.Marshal(message)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func read(w http.ResponseWriter, r *http.Request, message any) bool {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = wire.Unmarshal(body, message)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
	}
	return err == nil
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request wire.RentRequest
	if !read(w, r, &request) {
		return
	}
	c.mu.Lock()
	ids, known := c.rentals[request.RequestID]
	if !known {
		for range min(request.Count, c.free(&request)) {
			ids = append(ids, c.add(request.MachineType, request.Zone, request.Spot))
		}
		if len(ids) > 0 {
			c.rentals[request.RequestID] = ids
		}
	}
	offering := emulator.Capacity{MachineType: request.MachineType, Zone: request.Zone, Spot: request.Spot}
	firstRefusal := len(ids) == 0 && !c.refused[offering]
	c.refused[offering] = len(ids) == 0
	c.mu.Unlock()
	if len(ids) == 0 {
		if firstRefusal {
			c.rig.logf("cloud: rental %s of %d %s in %s, spot %v: no capacity (repeats are not recorded)",
				request.RequestID, request.Count, request.MachineType, request.Zone, request.Spot)
		}
		reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
		return
	}
	c.rig.logf("cloud: rental %s of %d %s in %s, spot %v: %v",
		request.RequestID, request.Count, request.MachineType, request.Zone, request.Spot, ids)
	reply(w, http.StatusOK, wire.MachineIDs{Machines: ids})
}

// free returns how many more machines can be rented. c.mu must be held.
func (c *cloud) free(request *wire.RentRequest) int {
	free := 0
	for _, capacity := range c.d.capacity {
		if capacity.MachineType == request.MachineType && capacity.Zone == request.Zone && capacity.Spot == request.Spot {
			free += capacity.Count
		}
	}
	for _, m := range c.machines {
		if !m.gone && m.MachineType == request.MachineType && m.Zone == request.Zone && m.Spot == request.Spot {
			free--
		}
	}
	return max(0, free)
}

// add rents a machine. c.mu must be held.
func (c *cloud) add(machineType, zone string, spot bool) string {
	address, err := freeAddress(c.ctx)
	if err != nil {
		c.rig.logf("cloud: %v", err)
	}
	m := &machine{rentedAt: time.Now(), CloudMachine: wire.CloudMachine{
		ID:          fmt.Sprintf("m-%06d", c.next),
		Address:     address,
		MachineType: machineType,
		Zone:        zone,
		Spot:        spot,
		State:       wire.MachineStarting,
	}}
	c.next++
	c.machines = append(c.machines, m)
	time.AfterFunc(c.d.bootTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !m.gone {
			m.State = wire.MachineRunning
			m.worker = c.rig.simulation.StartWorker(m.CloudMachine)
			c.rig.logf("cloud: machine %s is up", m.ID)
		}
	})
	return m.ID
}

func (c *cloud) returnMachines(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineIDs
	if !read(w, r, &request) {
		return
	}
	c.rig.logf("cloud: return of %v", request.Machines)
	var workers []*emulator.Worker
	c.mu.Lock()
	for _, m := range c.machines {
		if slices.Contains(request.Machines, m.ID) && !m.gone {
			m.gone = true
			if m.worker != nil {
				workers = append(workers, m.worker)
			}
		}
	}
	c.mu.Unlock()
	for _, worker := range workers {
		worker.Kill()
	}
	reply(w, http.StatusOK, map[string]bool{})
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	lag := time.Duration(c.d.cluster.Cloud.MaxListLagS * float64(time.Second))
	since := r.URL.Query().Get("since")
	page := wire.MachinePage{Machines: []wire.CloudMachine{}}
	c.mu.Lock()
	for _, s := range slices.Backward(c.history) {
		if time.Since(s.at) >= lag {
			for _, m := range s.list {
				if m.ID > since {
					page.Machines = append(page.Machines, m)
				}
			}
			break
		}
	}
	c.mu.Unlock()
	reply(w, http.StatusOK, page)
}

// up returns the machines that are up.
func (c *cloud) up() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*machine
	for _, m := range c.machines {
		if m.worker != nil && !m.gone {
			all = append(all, m)
		}
	}
	return all
}
