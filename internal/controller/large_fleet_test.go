// Tests of a large fleet: many machines fail together with the controllers, machines hang during a
// failover, and a failover with many records of finished jobs.

package controller

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/kvstore"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// Many of several hundred machines fail together with the controllers: a third hang and a third
// lose inbound traffic while a controller crashes. Right after a store outage, all controllers
// are restarted twice, each time within a fraction of a second. Copies of heartbeats arrive up to
// 40 s late, which is more than twice the 14 s of a lease. A job of 1,200 tasks is cancelled
// meanwhile.
func TestManyMachinesFailTogether(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	simulateWithCapacity(t, 7, 60, func(cluster *simulatedCluster) {
		cluster.injectRequestFaults()
		submitLargeLoad(cluster)
		time.Sleep(70 * time.Second)
		failTwoThirdsOfMachines(cluster)
		cluster.restartNode(0, 5*time.Second)
		cluster.store.SetDown(true)
		time.Sleep(8 * time.Second)
		cluster.store.SetDown(false)
		for range 2 {
			restartNodesImmediately(cluster)
			time.Sleep(300 * time.Millisecond)
		}
		for n := range 6 {
			cluster.submit(newIdlePriorityJob(200+n, 60, 2, 20), 0)
		}
		time.Sleep(40 * time.Second)
		cluster.endFaults()
		cluster.waitForJobsAndCheck(30 * time.Minute)
	})
}

// submitLargeLoad submits job arrays, a large job array that is cancelled after 80 s, and gangs.
func submitLargeLoad(cluster *simulatedCluster) {
	for n := range 12 {
		cluster.submit(newIdlePriorityJob(n, 100, 1, 30), 0)
	}
	cluster.submit(newIdlePriorityJob(50, 1200, 1, 40), 80*time.Second)
	for n := range 6 {
		gang := newArrayJob(100+n, 8, 16, 40, asGang, inOneZone, allowSpot, withPriority("urgent"),
			withGPUs(4), withMemory(64), withImage("big", 2), withCheckpoints(15, 3))
		cluster.submit(gang, 0)
	}
}

// failTwoThirdsOfMachines makes a third of the machines hang and blocks traffic to another third.
func failTwoThirdsOfMachines(cluster *simulatedCluster) {
	workers := cluster.cloud.Workers()
	if len(workers) < 150 {
		cluster.t.Errorf("machines before the faults: got %d, want at least 150", len(workers))
	}
	for i, worker := range workers {
		switch i % 3 {
		case 0:
			worker.Hang(time.Duration(10+cluster.random.IntN(30)) * time.Second)
		case 1:
			worker.CutInbound(true)
			time.AfterFunc(25*time.Second, func() { worker.CutInbound(false) })
		}
	}
}

// restartNodesImmediately kills all controllers and restarts them within a fraction of a second.
func restartNodesImmediately(cluster *simulatedCluster) {
	cluster.crashNodes()
	for node := range cluster.nodes {
		time.Sleep(time.Duration(20+cluster.random.IntN(200)) * time.Millisecond)
		cluster.startNode(node)
	}
}

// When the machines of a zone hang during a failover, the other machines must still learn the new
// owner's fencing token and continue, however many commands are blocked.
func TestFailoverWithHungMachines(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	simulateWithCapacity(t, 8, 30, func(cluster *simulatedCluster) {
		cluster.submit(newIdlePriorityJob(1, 110, 8, 120), 0)
		time.Sleep(50 * time.Second)
		workers := cluster.cloud.Workers()
		if len(workers) < 110 {
			cluster.t.Fatalf("machines before the failover: got %d, want at least 110", len(workers))
		}
		cluster.requireTaskStarts(110)
		for _, worker := range workers {
			if worker.Machine.Zone == "a" {
				worker.Hang(13 * time.Second) // shorter than their lease
			}
		}
		cluster.restartNodes(time.Second)
		time.Sleep(40 * time.Second)
		cluster.checkTaskStarts(110)
		cluster.waitForJobsAndCheck(20 * time.Minute)
	})
}

// Guards against a fleet that grows slowly beside a large backlog: machines were rented for some 80
// of the waiting gangs only, and for others once these machines had booted.
func TestBacklogOfManyGangsIsRentedForAtOnce(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	const gangs = 120 // of one task, which needs a machine of its own
	simulateWithCapacity(t, 12, gangs, func(cluster *simulatedCluster) {
		for n := range gangs {
			cluster.submit(newArrayJob(n, 1, 8, 40, asGang, onSmallMachines), 0)
		}
		time.Sleep(35 * time.Second) // a machine boots in 20 s
		if machines := len(cluster.cloud.Workers()); machines < gangs {
			t.Errorf("machines that have booted: got %d, want at least %d", machines, gangs)
		}
		cluster.waitForJobsAndCheck(10 * time.Minute)
	})
}

// The records of finished jobs are kept forever, so a failover must not read them.
func TestFailoverReadsNoFinishedJobs(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	const finishedJobs = 10000
	simulateWithCapacity(t, 11, 4, func(cluster *simulatedCluster) {
		writeFinishedJobs(cluster, finishedJobs)
		cluster.submit(newIdlePriorityJob(1, 20, 1, 60), 0)
		time.Sleep(40 * time.Second)
		cluster.crashNodes()
		before := cluster.store.CountListedKeys()
		cluster.startNodes()
		time.Sleep(10 * time.Second)
		if n := cluster.store.CountListedKeys() - before; n == 0 || n > finishedJobs/10 {
			cluster.t.Errorf("store keys listed in a failover with one running job: got %d, want 1 to 1000", n)
		}
		cluster.waitForJobsAndCheck(10 * time.Minute)
	})
}

// writeFinishedJobs writes the records of count finished jobs.
func writeFinishedJobs(cluster *simulatedCluster, count int) {
	const jobsPerTxn = 20
	store := kvstore.New(kvstore.Options{
		Net:         cluster.network.Host("history"),
		Addr:        storeAddr,
		Timeout:     2 * time.Second,
		RequestRate: 1e6,
		WriteRate:   1e6,
	})
	for n := 0; n < count; {
		var txn wire.Txn
		for range jobsPerTxn {
			id := fmt.Sprintf("req-9%06d", n)
			txn.Writes = append(txn.Writes, wire.Write{
				Put:   records.JobKey(id),
				Value: records.JobRecord{Job: &wire.Job{ID: id, Team: "free", Shape: wire.ArrayJob, TaskCount: 1}, Phase: wire.JobDone},
			})
			n++
		}
		if _, err := store.Commit(cluster.ctx, txn); err != nil {
			cluster.t.Fatal(err)
		}
	}
}

// The checker must detect a controller that frees the placements on a hung machine before its lease
// has expired, and controllers that do not answer queries about a job.
func TestCheckerDetectsBrokenControllers(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	simulateWithCapacity(t, 9, 4, func(cluster *simulatedCluster) {
		cluster.crashNodes()
		cluster.tuning.MarginS = -12 // controllers consider workers' leases expired too early
		cluster.startNodes()
		cluster.submit(newIdlePriorityJob(1, 20, 2, 300), 0)
		cluster.submit(newIdlePriorityJob(2, 20, 2, 40), 0) // frees capacity when it ends
		time.Sleep(70 * time.Second)
		for i, worker := range cluster.cloud.Workers() {
			if i%2 == 0 {
				worker.Hang(13 * time.Second)
			}
		}
		time.Sleep(20 * time.Second)
		cluster.checkViolationReported("ran_twice")
	})
	simulateWithCapacity(t, 10, 4, func(cluster *simulatedCluster) {
		cluster.submit(newIdlePriorityJob(1, 4, 1, 300), 0)
		time.Sleep(30 * time.Second)
		cluster.simulation.RecordFaultsOver()
		cluster.store.SetDown(true) // no node can answer
		time.Sleep(90 * time.Second)
		cluster.store.SetDown(false)
		cluster.checkViolationReported("forgotten")
	})
}
