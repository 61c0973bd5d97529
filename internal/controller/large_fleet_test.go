// Failures of a large fleet: many machines fail together with the controllers, hung machines
// delay a failover, and records of finished jobs make it slow.

package controller

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/kvstore"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// Some hundred machines, and faults of many of them together with the controllers: a third
// hang, a third lose inbound traffic, while a controller ends; all controllers are back within
// a fraction of a second, twice, right after an outage of the store; copies of heartbeats come
// late by up to twice a lease; a job of 1,200 tasks is cancelled meanwhile.
func TestManyMachinesFailTogether(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runFleetSimulation(t, 7, 60, func(cluster *simulatedCluster) {
		cluster.injectRequestFaults()
		submitLargeLoad(cluster)
		time.Sleep(70 * time.Second)
		failTwoThirdsOfMachines(cluster)
		cluster.restartNode(0, 5*time.Second)
		cluster.store.SetDown(true)
		time.Sleep(8 * time.Second)
		cluster.store.SetDown(false)
		for range 2 {
			restartNodesAtOnce(cluster)
			time.Sleep(300 * time.Millisecond)
		}
		for n := range 6 {
			cluster.submit(idleArrayJob(200+n, 60, 2, 20), 0)
		}
		time.Sleep(40 * time.Second)
		cluster.endFaults()
		cluster.waitAndCheck(30 * time.Minute)
	})
}

// submitLargeLoad submits job arrays, a large one that is cancelled, and gangs.
func submitLargeLoad(cluster *simulatedCluster) {
	for n := range 12 {
		cluster.submit(idleArrayJob(n, 100, 1, 30), 0)
	}
	cluster.submit(idleArrayJob(50, 1200, 1, 40), 80*time.Second)
	for n := range 6 {
		gang := newArrayJob(100+n, 8, 16, 40, asGang, inOneZone, allowSpot, withPriority("urgent"),
			withGPUs(4), withMemory(64), withImage("big", 2), withCheckpoints(15, 3))
		cluster.submit(gang, 0)
	}
}

// failTwoThirdsOfMachines has a third of the machines hang, and another third receive nothing.
func failTwoThirdsOfMachines(cluster *simulatedCluster) {
	workers := cluster.cloud.Workers()
	if len(workers) < 150 {
		cluster.t.Errorf("only %d machines", len(workers))
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

// restartNodesAtOnce kills all controllers, and has them back within a fraction of a second.
func restartNodesAtOnce(cluster *simulatedCluster) {
	cluster.crashNodes()
	for node := range cluster.nodes {
		time.Sleep(time.Duration(20+cluster.random.IntN(200)) * time.Millisecond)
		cluster.startNode(node)
	}
}

// A zone's machines hang at the moment of a failover: the others must learn the new owner's
// fencing token, and go on, however many commands hang.
func TestFailoverBesideHungMachines(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runFleetSimulation(t, 8, 30, func(cluster *simulatedCluster) {
		cluster.submit(idleArrayJob(1, 110, 8, 120), 0)
		time.Sleep(50 * time.Second)
		workers := cluster.cloud.Workers()
		if len(workers) < 110 {
			cluster.t.Fatalf("%d machines", len(workers))
		}
		cluster.requireStarts(110)
		for _, worker := range workers {
			if worker.Machine.Zone == "a" {
				worker.Hang(13 * time.Second) // within their lease
			}
		}
		cluster.restartNodes(time.Second)
		time.Sleep(40 * time.Second)
		cluster.checkStarts(110)
		cluster.waitAndCheck(20 * time.Minute)
	})
}

// The records of finished jobs are kept for ever. A failover must not read them.
func TestFailoverReadsNoFinishedJobs(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	const finished = 10000
	runFleetSimulation(t, 11, 4, func(cluster *simulatedCluster) {
		writeFinishedJobs(cluster, finished)
		cluster.submit(idleArrayJob(1, 20, 1, 60), 0)
		time.Sleep(40 * time.Second)
		cluster.crashNodes()
		before := cluster.store.Listed()
		cluster.startNodes()
		time.Sleep(10 * time.Second)
		if n := cluster.store.Listed() - before; n == 0 || n > finished/10 {
			cluster.t.Errorf("%d items were read after a failover with one job under way", n)
		}
		cluster.waitAndCheck(10 * time.Minute)
	})
}

// writeFinishedJobs writes the records of count finished jobs.
func writeFinishedJobs(cluster *simulatedCluster, count int) {
	const jobsPerTxn = 20
	store := kvstore.New(kvstore.Options{
		Net:       cluster.network.Host("history"),
		Addr:      storeAddr,
		Timeout:   2 * time.Second,
		ReadRate:  1e6,
		WriteRate: 1e6,
	})
	for n := 0; n < count; {
		var txn wire.Txn
		for range jobsPerTxn {
			id := fmt.Sprintf("req-9%06d", n)
			txn.Writes = append(txn.Writes, wire.Write{
				Put:   records.JobKey(id),
				Value: records.JobRecord{Job: &wire.Job{ID: id, Tasks: 1}, Phase: wire.JobDone},
			})
			n++
		}
		if _, err := store.Commit(cluster.ctx, txn); err != nil {
			cluster.t.Fatal(err)
		}
	}
}

// The checker must detect a version that frees what a hung machine runs before its lease has
// expired, and one that does not answer queries about a job.
func TestCheckerDetectsBrokenControllers(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runFleetSimulation(t, 9, 4, func(cluster *simulatedCluster) {
		cluster.crashNodes()
		cluster.tuning.MarginS = -12 // leases are taken to have expired too early
		cluster.startNodes()
		cluster.submit(idleArrayJob(1, 20, 2, 300), 0)
		cluster.submit(idleArrayJob(2, 20, 2, 40), 0) // whose capacity is free once it has ended
		time.Sleep(70 * time.Second)
		for i, worker := range cluster.cloud.Workers() {
			if i%2 == 0 {
				worker.Hang(13 * time.Second)
			}
		}
		time.Sleep(20 * time.Second)
		cluster.checkViolated("ran_twice")
	})
	runFleetSimulation(t, 10, 4, func(cluster *simulatedCluster) {
		cluster.submit(idleArrayJob(1, 4, 1, 300), 0)
		time.Sleep(30 * time.Second)
		cluster.simulation.FaultsOver()
		cluster.store.SetDown(true) // no node can answer
		time.Sleep(90 * time.Second)
		cluster.store.SetDown(false)
		cluster.checkViolated("forgotten")
	})
}
