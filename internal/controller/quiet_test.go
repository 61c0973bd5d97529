package controller

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

func TestQuietDay(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	play(t, 1, 1, false, func(d *day) {
		d.jobs(20, 2*time.Minute)
		d.finish(15 * time.Minute)
	})
}

// A controller that loses the workers, but not the others, must not cost the work
// that runs: its workers' reports come by way of another node.
func TestReportsAreRelayed(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	play(t, 2, 1, false, func(d *day) {
		job := &wire.Job{
			ID: "req-000001", Class: "c", Team: "free", Shape: wire.ArrayJob, Priority: "standard", Tasks: 6, CPUs: 4, MemoryGB: 4,
			Image: "img", ImageGB: 1, EstimatedRunS: 120,
		}
		d.submit(job, 0)
		time.Sleep(time.Minute)
		if d.world.Starts() != 6 {
			d.t.Fatalf("%d tasks started", d.world.Starts())
		}
		for _, n := range d.nodes[:2] { // one of the two may own the part, the third can
			d.cutWorkers(n.Name, true)
		}
		time.Sleep(50 * time.Second)
		for _, n := range d.nodes[:2] {
			d.cutWorkers(n.Name, false)
		}
		d.finish(10 * time.Minute)
		if d.world.Starts() != 6 {
			d.t.Errorf("%d starts of 6 tasks", d.world.Starts())
		}
	})
}

// A gang whose image takes longer to fetch than a task waits for the others, with
// the image on one of its machines already, must come to run.
func TestGangWithLargeImageRuns(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	play(t, 4, 1, false, func(d *day) {
		job := func(id string, tasks int) *wire.Job {
			return &wire.Job{
				ID: id, Class: "c", Team: "free", Shape: wire.GangJob, Priority: "standard", Tasks: tasks, CPUs: 16, GPUs: 4, MemoryGB: 64,
				Image: "img", ImageGB: 90, EstimatedRunS: 20,
			}
		}
		d.submit(job("req-000001", 1), 0)
		time.Sleep(150 * time.Second) // its image is there, the task under way or just over
		d.submit(job("req-000002", 2), 0)
		d.finish(8 * time.Minute)
	})
}

// More is asked for than the cloud has: once it has refused a kind, the other
// rentals recorded for that kind must not be called for one by one.
func TestRefusedKindsAreNotCalledForAgain(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	play(t, 3, 1, false, func(d *day) {
		job := &wire.Job{
			ID: "req-000001", Class: "c", Team: "free", Shape: wire.ArrayJob, Priority: "standard", Tasks: 150, CPUs: 8, MemoryGB: 4,
			Image: "img", ImageGB: 1, EstimatedRunS: 120, AllowSpot: true, MachineTypes: []string{"small"},
		}
		d.submit(job, 0)
		time.Sleep(25 * time.Second) // before kinds are asked for again
		if n := len(d.cloud.Workers()); n == 0 {
			d.t.Error("nothing rented")
		}
		if n := d.cloud.Refusals(); n > 4 {
			d.t.Errorf("%d refused calls for four kinds", n)
		}
	})
}

// A machine whose reports arrive, but which no answer and no order reaches: its work
// goes on elsewhere once its session has risen, and the cloud gets it back.
func TestDeafMachineIsReplaced(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	play(t, 2, 1, false, func(d *day) {
		d.submit(&wire.Job{
			ID: "req-000001", Class: "c", Team: "free", Shape: wire.ArrayJob, Priority: "standard", Tasks: 3, CPUs: 8, MemoryGB: 4,
			Image: "img", ImageGB: 1, EstimatedRunS: 90,
		}, 0)
		time.Sleep(40 * time.Second)
		ws := d.cloud.Workers()
		if len(ws) != 3 || d.world.Starts() != 3 {
			d.t.Fatalf("%d machines, %d starts", len(ws), d.world.Starts())
		}
		deaf := ws[0]
		deaf.CutInbound(true)
		time.Sleep(90 * time.Second)
		for _, worker := range d.cloud.Workers() {
			if worker == deaf {
				d.t.Error("the machine that does not hear was not given back")
			}
		}
		d.finish(10 * time.Minute)
		if n := d.world.Starts(); n != 4 {
			d.t.Errorf("%d starts of 3 tasks, one of them lost", n)
		}
	})
}

// A controller that has lost the state service and the other controllers, but not its
// workers, keeps running work alive and starts none; its users are refused at once,
// and it does not call itself healthy.
func TestControllerWithWorkersOnly(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	play(t, 5, 1, false, func(d *day) {
		d.submit(&wire.Job{
			ID: "req-000001", Class: "c", Team: "free", Shape: wire.ArrayJob, Priority: "standard", Tasks: 4, CPUs: 8, MemoryGB: 4,
			Image: "img", ImageGB: 1, EstimatedRunS: 120,
		}, 0)
		time.Sleep(50 * time.Second)
		if d.world.Starts() != 4 {
			d.t.Fatalf("%d starts", d.world.Starts())
		}
		for i := range d.nodes { // whichever owns the part, one after the other
			d.alone(i, true, d.rnd)
			time.Sleep(8 * time.Second)
			began := time.Now()
			if status := d.ask(i, "/up"); status != http.StatusServiceUnavailable {
				d.t.Errorf("/up answers %d", status)
			}
			if status := d.ask(i, "/work/req-000001"); status != http.StatusServiceUnavailable {
				d.t.Errorf("a query is answered %d", status)
			}
			if took := time.Since(began); took > 600*time.Millisecond {
				d.t.Errorf("answered after %v", took)
			}
			d.alone(i, false, d.rnd)
			time.Sleep(6 * time.Second)
		}
		d.finish(10 * time.Minute)
		if n := d.world.Starts(); n != 4 {
			d.t.Errorf("%d starts of 4 tasks", n)
		}
	})
}

// ask sends a node a question, and returns the status.
func (d *day) ask(i int, path string) int {
	cl := transport.Client(d.fabric.Host("asker"), 1, 1, time.Second)
	defer cl.CloseIdleConnections()
	resp, err := transport.Send(d.ctx, cl, http.MethodGet, "http://"+d.nodes[i].Addr+path, nil)
	if err != nil {
		d.t.Error(err)
		return 0
	}
	defer resp.Body.Close()
	transport.Discard(resp)
	return resp.StatusCode
}

// Sustained small and urgent work must not keep the largest gang, or an array of the
// lowest rank, from beginning within four minutes, over slow links neither.
func TestNobodyIsStarved(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{0, 150 * time.Millisecond} {
		t.Run(fmt.Sprint("links slower by ", delay), func(t *testing.T) { nobodyIsStarved(t, delay) })
	}
}

func nobodyIsStarved(t *testing.T, delay time.Duration) {
	if runInChildProcess(t) {
		return
	}
	play(t, 5, 1, false, func(d *day) {
		d.world.SetLinkDelay(delay)
		job := func(n int, shape wire.JobShape, rank wire.Priority, tasks int, cpus, seconds float64) *wire.Job {
			return &wire.Job{
				ID: fmt.Sprintf("req-%06d", n), Class: "c", Team: []string{"red", "blue", "free"}[n%3], Shape: shape, Priority: rank,
				Tasks: tasks, CPUs: cpus, MemoryGB: 4, Image: "img", ImageGB: 0.5, EstimatedRunS: seconds, MachineTypes: []string{"small"}, AllowSpot: true,
			}
		}
		big := map[string]time.Time{}
		many := 240
		if delay > 0 {
			many = 180 // 450 s, four minutes beyond the last of the large ones
		}
		for n := range many { // 16 small machines are there; this asks for more than they can do
			d.submit(job(n, wire.ArrayJob, "urgent", 6, 2, 25), 0)
			if n == 40 || n == 80 {
				g := job(1000+n, wire.GangJob, "urgent", 7, 8, 30) // of the eight machines of a zone
				g.Team = "free"
				g.SingleZone = true
				a := job(2000+n, wire.ArrayJob, "idle", 60, 2, 20)
				for _, job := range []*wire.Job{g, a} {
					d.submit(job, 0)
					big[job.ID] = time.Now()
				}
			}
			time.Sleep(2500 * time.Millisecond)
		}
		for id, at := range big {
			if first, ok := d.world.FirstStart(id); !ok || first.Sub(at) > 4*time.Minute {
				d.t.Errorf("%s began after %v (%v)", id, first.Sub(at), ok)
			}
		}
		d.finish(time.Hour)
	})
}

func TestRoughDays(t *testing.T) {
	t.Parallel()
	seeds := 6
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = n
	}
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if runInChildProcess(t) {
				return
			}
			play(t, uint64(100+seed), seed%4, true, func(d *day) { // 0 parts: one for each controller
				go d.troubles(uint64(seed), 4*time.Minute)
				d.jobs(40, 4*time.Minute)
				time.Sleep(time.Minute)
				d.calm.Store(true)
				d.world.FaultsOver()
				d.finish(40 * time.Minute)
			})
		})
	}
}
