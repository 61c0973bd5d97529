//go:build review2

package main

import (
	"maps"
	"net/http"
	"time"
)

// prairieZones are the zones of the site prairiecraft-sched, with one controller each.
var prairieZones = []string{"regina-east", "saskatoon-north", "winnipeg-west"}

// prairieCluster is the part of the settings that the controllers of prairiecraft-sched share.
const prairieCluster = `[cluster]
count = 3
zones = ["regina-east", "saskatoon-north", "winnipeg-west"]
clock_error_ms = 25.0

[[cluster.teams]]
name = "search-hearth"
cpus = 0.0
cpus_max = 0.0
gpus = 8.0
gpus_max = 24.0

[[cluster.teams]]
name = "loom-vision"
cpus = 0.0
cpus_max = 0.0
gpus = 16.0
gpus_max = 64.0

[cluster.workers]
report_s = 3.0
lease_s = 24.0
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 49.0

[cluster.state]
rps = 250.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 24

[cluster.cloud]
rps = 6.0
list_lag_s = 8.0

[cluster.machine_limits]
cpu = 0.06
ram_mb = 98.0
max_sockets = 700
`

// setPrairie sets the timing and the machine type of prairiecraft-sched. Machines are up within two
// seconds.
func (c *cluster) setPrairie(capacity int) {
	c.breeds = []*breed{{
		Sku: "bison", Cores: 16, Gpus: 2, RamGb: 64, LocalGb: 150, PullGbPerS: 0.8,
		Hourly: 5.65, MarketPrice: 2.05, BootS: 50, Fields: prairieZones,
	}}
	c.capacity, c.bootS, c.listLagS = capacity, 2, 8
	c.reportS, c.leaseS, c.gangWaitS = 3, 24, 35
}

// replicaOfLostMachine plays case 5: a service is spread over zones, and the machine of one replica
// dies. The zone of the other replicas may take no more of them, and has the cheapest machines.
func replicaOfLostMachine(c *cluster) (bool, error) {
	c.setPrairie(48)
	c.breeds[0].Fields = prairieZones[:1]
	c.breeds = append(c.breeds, &breed{
		Sku: "elk", Cores: 16, Gpus: 2, RamGb: 64, LocalGb: 150, PullGbPerS: 0.8,
		Hourly: 5.95, MarketPrice: 2.15, BootS: 50, Fields: prairieZones[1:],
	})
	if err := c.start(c.program, prairieCluster, prairieZones); err != nil {
		return false, err
	}
	service := &job{
		UID: "req-000412", Lane: "recs-serve", Crew: "loom-vision", Shape: "service", Rank: "production",
		Pieces: 3, Cores: 1, RamGb: 3.2, Pattern: "img-recs-01", ImageGb: 1, Spread: true,
	}
	if err := c.submit(service); err != nil {
		return false, err
	}
	if err := c.waitFor("the replicas do not run", 30*time.Second, func() bool { return c.running(service) == 3 }); err != nil {
		return false, err
	}
	if c.trouble {
		c.die(service, prairieZones[0])
	}
	return c.notPutBack(service, 106*time.Second)
}

// notPutBack reports whether the last of a service's replicas does not run again within a time. In
// the first seconds they all run if nothing is amiss, and must run at the end.
func (c *cluster) notPutBack(service *job, limit time.Duration) (bool, error) {
	began, lost := time.Now(), false
	for c.ctx.Err() == nil {
		if _, err := c.query(service); err != nil {
			return false, err
		}
		c.mu.Lock()
		running := c.running(service)
		c.mu.Unlock()
		lost = lost || running < service.Pieces
		if lost && running == service.Pieces {
			c.note("%s has all its replicas again after %.1f s", service.UID, time.Since(began).Seconds())
			return false, nil
		}
		if !lost && time.Since(began) > quietTime {
			return false, nil
		}
		if time.Since(began) > limit {
			c.note("%s has %d of %d replicas after %.1f s", service.UID, running, service.Pieces, time.Since(began).Seconds())
			return true, nil
		}
		sleep(c.ctx, time.Second)
	}
	return false, errPlay
}

// quietTime is how long a service is watched that loses no replica.
const quietTime = 30 * time.Second

// running returns how many tasks of a job run; mu must be held.
func (w *world) running(j *job) int {
	count := 0
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.job == j && t.Phase == "running" && !k.gone {
				count++
			}
		}
	}
	return count
}

// die makes a machine outside a zone that runs tasks of a job stop with all that is on it.
func (w *world) die(j *job, zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, k := range w.workers {
		if k.field != zone && len(k.tasks) > 0 {
			w.log("machine=%s dies", id)
			for _, m := range w.machines {
				if m.id == id {
					m.died = time.Now()
				}
			}
			delete(w.workers, id)
			go k.stop()
			return
		}
	}
}

// workHiddenByLateWrite plays case 4: a transaction of the partition's owner gets no answer, and is
// carried out after a newer one. No machine is rented yet, and one job is submitted.
func workHiddenByLateWrite(c *cluster) (bool, error) {
	c.setPrairie(48)
	if c.trouble {
		c.late = &lateCommit{key: "s/0"}
	}
	if err := c.start(c.program, prairieCluster, prairieZones); err != nil {
		return false, err
	}
	sleep(c.ctx, 4*time.Second)
	if c.trouble {
		if !c.late.isHeld() {
			return false, errPlay
		}
		c.late.arm()
	}
	work := &job{
		UID: "req-000412", Lane: "rank-retrain", Crew: "search-hearth", Shape: "ensemble", Rank: "standard",
		Pieces: 1, Cores: 14, Gpus: 2, RamGb: 51, Pattern: "img-rank-07", ImageGb: 2, SamePlace: true,
		GuessS: 10, StitchS: 45, BankS: 3,
	}
	if err := c.submit(work); err != nil {
		return false, err
	}
	began := time.Now()
	for time.Since(began) < 105*time.Second {
		status, err := c.query(work)
		if err != nil {
			return false, err
		}
		if status.Phase == "done" {
			break
		}
		sleep(c.ctx, 5*time.Second)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log("%d tasks were started", c.started)
	return c.started == 0, nil
}

// fieldNobodyKnows plays case 6: a user sends a job that lacks a field, and one that has all fields,
// both with a field besides that the protocol does not know.
func fieldNobodyKnows(c *cluster) (bool, error) {
	const unknownField = "Pieces"
	c.setPrairie(48)
	if err := c.start(c.program, prairieCluster, prairieZones); err != nil {
		return false, err
	}
	work := &job{
		UID: "req-000412", Lane: "photo-tagging", Crew: "loom-vision", Shape: "array", Rank: "idle",
		Pieces: 2, Cores: 6, Gpus: 1, RamGb: 24, Pattern: "img-photo-03", ImageGb: 1, GuessS: 5,
	}
	message, err := fieldsOf(work)
	if err != nil {
		return false, err
	}
	broken := false
	if c.trouble {
		lacking := maps.Clone(message)
		lacking["uid"], lacking[unknownField] = "req-000398", 2
		delete(lacking, "pieces")
		status, err := c.askOnce(http.MethodPost, "/work", lacking)
		if err != nil {
			return false, err
		}
		if status == http.StatusCreated || status == http.StatusOK {
			c.note("a job that lacks pieces was accepted")
			broken = true
		}
		message[unknownField] = 3
	}
	if err := c.submitAs(work, message); err != nil {
		return false, err
	}
	if err := c.waitFor("the tasks do not complete", 40*time.Second, func() bool { return len(work.done) == work.Pieces }); err != nil {
		return false, err
	}
	c.note("all tasks of %s have completed", work.UID)
	for completed := time.Now(); time.Since(completed) < doneLimit; sleep(c.ctx, 5*time.Second) {
		status, err := c.query(work)
		if err != nil {
			return false, err
		}
		if status.Phase == "done" {
			return broken, nil
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log("%s is not done; %d starts of tasks that it does not have reached workers", work.UID, c.unknownStarts)
	return broken || c.unknownStarts > 0, nil
}

// doneLimit is how long a job is watched after its last task has completed. Its user expects done
// after 3 s.
const doneLimit = 60 * time.Second
