//go:build review2

package main

import (
	"fmt"
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

// gangAfterSickMachine plays case 4: one of two machines fails every task that it starts for some
// seconds, in which a gang of two tasks fails there once.
func gangAfterSickMachine(c *cluster) (bool, error) {
	const sickFor = 10 * time.Second
	c.setPrairie(48)
	booted := false
	healthy := !c.trouble
	c.onBooted = func(k *worker) {
		if booted || !c.trouble {
			return
		}
		booted, k.sick = true, true
		c.log("machine=%s fails every task that it starts from now on", k.id)
		time.AfterFunc(sickFor, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			k.sick, healthy = false, true
			c.log("machine=%s fails no more tasks", k.id)
		})
	}
	if err := c.start(c.program, prairieCluster, prairieZones); err != nil {
		return false, err
	}
	gang := &job{
		UID: "req-000412", Lane: "rank-retrain", Crew: "search-hearth", Shape: "ensemble", Rank: "standard",
		Pieces: 2, Cores: 14, Gpus: 2, RamGb: 51, Pattern: "img-rank-07", ImageGb: 2, SamePlace: true,
		GuessS: 20, StitchS: 45, BankS: 3,
	}
	if err := c.submit(gang); err != nil {
		return false, err
	}
	if err := c.waitFor("the machines do not come up", 30*time.Second, func() bool { return healthy }); err != nil {
		return false, err
	}
	return c.leftWaiting(gang)
}

// preemptedByCancelledJob plays case 6: the cloud has one machine. A gang on it is stopped in favour
// of a job whose user cancels it while the gang saves its progress.
func preemptedByCancelledJob(c *cluster) (bool, error) {
	c.setPrairie(1)
	if err := c.start(c.program, prairieCluster, prairieZones); err != nil {
		return false, err
	}
	low := &job{
		UID: "req-000398", Lane: "fraud-fit", Crew: "loom-vision", Shape: "ensemble", Rank: "idle",
		Pieces: 2, Cores: 7, Gpus: 1, RamGb: 26, Pattern: "img-fraud-03", ImageGb: 1, SamePlace: true,
		GuessS: 15, StitchS: 30, BankS: 5,
	}
	high := &job{
		UID: "req-000412", Lane: "rank-retrain", Crew: "search-hearth", Shape: "ensemble", Rank: "standard",
		Pieces: 1, Cores: 14, Gpus: 2, RamGb: 51, Pattern: "img-rank-07", ImageGb: 1, SamePlace: true,
		GuessS: 5, StitchS: 45, BankS: 3,
	}
	if err := c.submit(low); err != nil {
		return false, err
	}
	if err := c.waitFor("the task does not run", 30*time.Second, func() bool { return c.phaseOf(low) == "running" }); err != nil {
		return false, err
	}
	// Four jobs of one task come within a second. The user of the last one cancels it.
	for i := range 3 {
		small := &job{
			UID: fmt.Sprintf("req-%06d", 401+i), Lane: "photo-tagging", Crew: "loom-vision", Shape: "array", Rank: "standard",
			Pieces: 1, Cores: 0.5, RamGb: 2, Pattern: "img-fraud-03", ImageGb: 1, GuessS: 1,
		}
		if err := c.submit(small); err != nil {
			return false, err
		}
		sleep(c.ctx, 250*time.Millisecond)
	}
	if err := c.submit(high); err != nil {
		return false, err
	}
	if c.trouble {
		sleep(c.ctx, 2*time.Second)
		if err := c.withdraw(high); err != nil {
			return false, err
		}
	}
	return c.leftWaiting(low)
}

// phaseOf returns the state of a job's first task on the workers; mu must be held.
func (w *world) phaseOf(j *job) string {
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.job == j {
				return t.Phase
			}
		}
	}
	return ""
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
