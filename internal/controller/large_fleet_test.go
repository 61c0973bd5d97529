package controller

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/kvstore"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// runFleetSimulation is a day on hundreds of machines.
func runFleetSimulation(t *testing.T, seed uint64, perKind int, f func(cluster *simulatedCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := newSimulatedCluster(ctx, t, seed)
		for i := range cluster.cloud.Capacity {
			cluster.cloud.Capacity[i].Count = perKind
		}
		for i := range 3 {
			cluster.startNode(i)
		}
		f(cluster)
		cancel()
		cluster.background.Wait()
		time.Sleep(time.Minute)
	})
}

func idleArrayJob(n, tasks int, cpus, seconds float64) *wire.Job {
	return &wire.Job{
		ID:            fmt.Sprintf("req-%06d", n),
		Class:         "c",
		Team:          "free",
		Shape:         wire.ArrayJob,
		Priority:      "idle",
		Tasks:         tasks,
		CPUs:          cpus,
		MemoryGB:      1,
		Image:         "img",
		ImageGB:       0.5,
		EstimatedRunS: seconds,
		AllowSpot:     true,
		MachineTypes:  []string{"small"},
	}
}

// Some hundred machines, and what strikes many of them together with the controllers:
// a third hang, the rest of them is deaf, while the owner ends; all controllers are back
// within a fraction of a second, twice, in an outage's wake; copies of reports come late
// by up to twice a lease; a job of 1,200 tasks is cancelled meanwhile.
func TestManyMachinesFailTogether(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runFleetSimulation(t, 7, 60, func(cluster *simulatedCluster) {
		cluster.injectRequestFaults()
		for n := range 12 {
			cluster.submit(idleArrayJob(n, 100, 1, 30), 0)
		}
		cluster.submit(idleArrayJob(50, 1200, 1, 40), 80*time.Second)
		for n := range 6 {
			g := &wire.Job{
				ID:                  fmt.Sprintf("req-%06d", 100+n),
				Class:               "c",
				Team:                "free",
				Shape:               wire.GangJob,
				Priority:            "urgent",
				Tasks:               8,
				CPUs:                16,
				GPUs:                4,
				MemoryGB:            64,
				Image:               "big",
				ImageGB:             2,
				EstimatedRunS:       40,
				SingleZone:          true,
				AllowSpot:           true,
				CheckpointIntervalS: 15,
				CheckpointSaveS:     3,
			}
			cluster.submit(g, 0)
		}
		time.Sleep(70 * time.Second)
		ws := cluster.cloud.Workers()
		if len(ws) < 150 {
			cluster.t.Errorf("only %d machines", len(ws))
		}
		for i, worker := range ws {
			switch i % 3 {
			case 0:
				worker.Hang(time.Duration(10+cluster.random.IntN(30)) * time.Second)
			case 1:
				worker.CutInbound(true)
				time.AfterFunc(25*time.Second, func() { worker.CutInbound(false) })
			}
		}
		cluster.crashNode(0)
		time.Sleep(5 * time.Second)
		cluster.startNode(0)
		cluster.store.SetDown(true)
		time.Sleep(8 * time.Second)
		cluster.store.SetDown(false)
		for range 2 {
			for i := range cluster.nodes {
				cluster.crashNode(i)
			}
			for i := range cluster.nodes {
				time.Sleep(time.Duration(20+cluster.random.IntN(200)) * time.Millisecond)
				cluster.startNode(i)
			}
			time.Sleep(300 * time.Millisecond)
		}
		for n := range 6 {
			cluster.submit(idleArrayJob(200+n, 60, 2, 20), 0)
		}
		time.Sleep(40 * time.Second)
		cluster.faultsOver.Store(true)
		cluster.simulation.FaultsOver()
		cluster.waitAndCheck(30 * time.Minute)
	})
}

// A zone's machines fall silent in the moment of a takeover: the others must hear of the
// new owner, and go on, however many orders hang.
func TestFailoverBesideHungMachines(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runFleetSimulation(t, 8, 30, func(cluster *simulatedCluster) {
		cluster.submit(idleArrayJob(1, 110, 8, 120), 0)
		time.Sleep(50 * time.Second)
		ws := cluster.cloud.Workers()
		if len(ws) < 110 || cluster.simulation.Starts() != 110 {
			cluster.t.Fatalf("%d machines, %d starts", len(ws), cluster.simulation.Starts())
		}
		for _, worker := range ws {
			if worker.Machine.Zone == "a" {
				worker.Hang(13 * time.Second) // within their lease
			}
		}
		for i := range cluster.nodes {
			cluster.crashNode(i)
		}
		time.Sleep(time.Second)
		for i := range cluster.nodes {
			cluster.startNode(i)
		}
		time.Sleep(40 * time.Second)
		if n := cluster.simulation.Starts(); n != 110 {
			cluster.t.Errorf("%d starts of 110 tasks: some were lost", n)
		}
		cluster.waitAndCheck(20 * time.Minute)
	})
}

// Finished jobs, which are kept for ever, cost a takeover nothing.
func TestFailoverReadsNoFinishedJobs(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	const finished = 10000
	runFleetSimulation(t, 11, 4, func(cluster *simulatedCluster) {
		store := kvstore.New(kvstore.Options{
			Net:       cluster.network.Host("history"),
			Addr:      "10.2.0.1:1",
			Timeout:   2 * time.Second,
			ReadRate:  1e6,
			WriteRate: 1e6,
		})
		for n := 0; n < finished; {
			var txn wire.Txn
			for range 20 {
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
		cluster.submit(idleArrayJob(1, 20, 1, 60), 0)
		time.Sleep(40 * time.Second)
		for i := range cluster.nodes {
			cluster.crashNode(i)
		}
		before := cluster.store.Listed()
		for i := range cluster.nodes {
			cluster.startNode(i)
		}
		time.Sleep(10 * time.Second)
		if n := cluster.store.Listed() - before; n == 0 || n > finished/10 {
			cluster.t.Errorf("%d items were read after a takeover with one job under way", n)
		}
		cluster.waitAndCheck(10 * time.Minute)
	})
}

// The model must see a version that frees what a silent machine runs before its lease
// has run out, and one whose answers about a job stay away.
func TestCheckerDetectsBrokenControllers(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	broken := func(rule string, cluster *simulatedCluster) {
		t.Helper()
		for _, b := range cluster.simulation.Violations() {
			if strings.Contains(b, rule) {
				return
			}
		}
		t.Errorf("%s was broken and not seen", rule)
	}
	runFleetSimulation(t, 9, 4, func(cluster *simulatedCluster) {
		for i := range cluster.nodes { // anew, with leases taken to be over too early
			cluster.crashNode(i)
		}
		cluster.tuning.MarginS = -12
		for i := range cluster.nodes {
			cluster.startNode(i)
		}
		cluster.submit(idleArrayJob(1, 20, 2, 300), 0)
		cluster.submit(idleArrayJob(2, 20, 2, 40), 0) // which leaves room when it is over
		time.Sleep(70 * time.Second)
		for i, worker := range cluster.cloud.Workers() {
			if i%2 == 0 {
				worker.Hang(13 * time.Second)
			}
		}
		time.Sleep(20 * time.Second)
		broken("ran_twice", cluster)
	})
	runFleetSimulation(t, 10, 4, func(cluster *simulatedCluster) {
		cluster.submit(idleArrayJob(1, 4, 1, 300), 0)
		time.Sleep(30 * time.Second)
		cluster.simulation.FaultsOver()
		cluster.store.SetDown(true) // no node answers anybody
		time.Sleep(90 * time.Second)
		cluster.store.SetDown(false)
		broken("forgotten", cluster)
	})
}
