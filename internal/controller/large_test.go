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

// fleet is a day on hundreds of machines.
func fleet(t *testing.T, seed uint64, perKind int, f func(d *day)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDay(ctx, t, seed)
		for i := range d.cloud.Capacity {
			d.cloud.Capacity[i].Count = perKind
		}
		for i := range 3 {
			d.start(i)
		}
		f(d)
		cancel()
		d.wg.Wait()
		time.Sleep(time.Minute)
	})
}

func largeArray(n, tasks int, cpus, seconds float64) *wire.Job {
	return &wire.Job{
		ID: fmt.Sprintf("req-%06d", n), Class: "c", Team: "free", Shape: wire.ArrayJob, Priority: "idle", Tasks: tasks, CPUs: cpus, MemoryGB: 1,
		Image: "img", ImageGB: 0.5, EstimatedRunS: seconds, AllowSpot: true, MachineTypes: []string{"small"},
	}
}

// Some hundred machines, and what strikes many of them together with the controllers:
// a third hang, the rest of them is deaf, while the owner ends; all controllers are back
// within a fraction of a second, twice, in an outage's wake; copies of reports come late
// by up to twice a lease; a job of 1,200 tasks is cancelled meanwhile.
func TestManyMachinesFallTogether(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	fleet(t, 7, 60, func(d *day) {
		d.loseSome()
		for n := range 12 {
			d.submit(largeArray(n, 100, 1, 30), 0)
		}
		d.submit(largeArray(50, 1200, 1, 40), 80*time.Second)
		for n := range 6 {
			g := &wire.Job{
				ID: fmt.Sprintf("req-%06d", 100+n), Class: "c", Team: "free", Shape: wire.GangJob, Priority: "urgent", Tasks: 8, CPUs: 16, GPUs: 4, MemoryGB: 64,
				Image: "big", ImageGB: 2, EstimatedRunS: 40, SingleZone: true, AllowSpot: true, CheckpointIntervalS: 15, CheckpointSaveS: 3,
			}
			d.submit(g, 0)
		}
		time.Sleep(70 * time.Second)
		ws := d.cloud.Workers()
		if len(ws) < 150 {
			d.t.Errorf("only %d machines", len(ws))
		}
		for i, worker := range ws {
			switch i % 3 {
			case 0:
				worker.Hang(time.Duration(10+d.rnd.IntN(30)) * time.Second)
			case 1:
				worker.CutInbound(true)
				time.AfterFunc(25*time.Second, func() { worker.CutInbound(false) })
			}
		}
		d.crash(0)
		time.Sleep(5 * time.Second)
		d.start(0)
		d.state.SetDown(true)
		time.Sleep(8 * time.Second)
		d.state.SetDown(false)
		for range 2 {
			for i := range d.nodes {
				d.crash(i)
			}
			for i := range d.nodes {
				time.Sleep(time.Duration(20+d.rnd.IntN(200)) * time.Millisecond)
				d.start(i)
			}
			time.Sleep(300 * time.Millisecond)
		}
		for n := range 6 {
			d.submit(largeArray(200+n, 60, 2, 20), 0)
		}
		time.Sleep(40 * time.Second)
		d.calm.Store(true)
		d.world.FaultsOver()
		d.finish(30 * time.Minute)
	})
}

// A zone's machines fall silent in the moment of a takeover: the others must hear of the
// new owner, and go on, however many orders hang.
func TestTakeoverBesideSilentMachines(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	fleet(t, 8, 30, func(d *day) {
		d.submit(largeArray(1, 110, 8, 120), 0)
		time.Sleep(50 * time.Second)
		ws := d.cloud.Workers()
		if len(ws) < 110 || d.world.Starts() != 110 {
			d.t.Fatalf("%d machines, %d starts", len(ws), d.world.Starts())
		}
		for _, worker := range ws {
			if worker.Machine.Zone == "a" {
				worker.Hang(13 * time.Second) // within their lease
			}
		}
		for i := range d.nodes {
			d.crash(i)
		}
		time.Sleep(time.Second)
		for i := range d.nodes {
			d.start(i)
		}
		time.Sleep(40 * time.Second)
		if n := d.world.Starts(); n != 110 {
			d.t.Errorf("%d starts of 110 tasks: some were lost", n)
		}
		d.finish(20 * time.Minute)
	})
}

// Finished jobs, which are kept for ever, cost a takeover nothing.
func TestTakeoverReadsNoFinishedJobs(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	const finished = 10000
	fleet(t, 11, 4, func(d *day) {
		store := kvstore.New(kvstore.Options{Net: d.fabric.Host("history"), Addr: "10.2.0.1:1", Timeout: 2 * time.Second, ReadRate: 1e6, WriteRate: 1e6})
		for n := 0; n < finished; {
			var txn wire.Txn
			for range 20 {
				id := fmt.Sprintf("req-9%06d", n)
				txn.Writes = append(txn.Writes, wire.Write{Put: records.JobKey(id), Value: records.JobRecord{Job: &wire.Job{ID: id, Tasks: 1}, Phase: wire.JobDone}})
				n++
			}
			if _, err := store.Commit(d.ctx, txn); err != nil {
				d.t.Fatal(err)
			}
		}
		d.submit(largeArray(1, 20, 1, 60), 0)
		time.Sleep(40 * time.Second)
		for i := range d.nodes {
			d.crash(i)
		}
		before := d.state.Listed()
		for i := range d.nodes {
			d.start(i)
		}
		time.Sleep(10 * time.Second)
		if n := d.state.Listed() - before; n == 0 || n > finished/10 {
			d.t.Errorf("%d items were read after a takeover with one job under way", n)
		}
		d.finish(10 * time.Minute)
	})
}

// The model must see a version that frees what a silent machine runs before its lease
// has run out, and one whose answers about a job stay away.
func TestModelSeesBrokenRules(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	broken := func(rule string, d *day) {
		t.Helper()
		for _, b := range d.world.Violations() {
			if strings.Contains(b, rule) {
				return
			}
		}
		t.Errorf("%s was broken and not seen", rule)
	}
	fleet(t, 9, 4, func(d *day) {
		for i := range d.nodes { // anew, with leases taken to be over too early
			d.crash(i)
		}
		d.tune.MarginS = -12
		for i := range d.nodes {
			d.start(i)
		}
		d.submit(largeArray(1, 20, 2, 300), 0)
		d.submit(largeArray(2, 20, 2, 40), 0) // which leaves room when it is over
		time.Sleep(70 * time.Second)
		for i, worker := range d.cloud.Workers() {
			if i%2 == 0 {
				worker.Hang(13 * time.Second)
			}
		}
		time.Sleep(20 * time.Second)
		broken("ran_twice", d)
	})
	fleet(t, 10, 4, func(d *day) {
		d.submit(largeArray(1, 4, 1, 300), 0)
		time.Sleep(30 * time.Second)
		d.world.FaultsOver()
		d.state.SetDown(true) // no node answers anybody
		time.Sleep(90 * time.Second)
		d.state.SetDown(false)
		broken("forgotten", d)
	})
}
