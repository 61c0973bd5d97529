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

func TestRandomJobsWithoutFaults(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runSimulation(t, 1, 1, false, func(cluster *simulatedCluster) {
		cluster.submitRandomJobs(20, 2*time.Minute)
		cluster.waitAndCheck(15 * time.Minute)
	})
}

// A controller that loses the workers, but not the others, must not cost the work
// that runs: its workers' reports come by way of another node.
func TestHeartbeatsAreForwardedPastACut(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runSimulation(t, 2, 1, false, func(cluster *simulatedCluster) {
		job := &wire.Job{
			ID:            "req-000001",
			Class:         "c",
			Team:          "free",
			Shape:         wire.ArrayJob,
			Priority:      "standard",
			Tasks:         6,
			CPUs:          4,
			MemoryGB:      4,
			Image:         "img",
			ImageGB:       1,
			EstimatedRunS: 120,
		}
		cluster.submit(job, 0)
		time.Sleep(time.Minute)
		if cluster.simulation.Starts() != 6 {
			cluster.t.Fatalf("%d tasks started", cluster.simulation.Starts())
		}
		for _, n := range cluster.nodes[:2] { // one of the two may own the part, the third can
			cluster.setWorkersCut(n.Name, true)
		}
		time.Sleep(50 * time.Second)
		for _, n := range cluster.nodes[:2] {
			cluster.setWorkersCut(n.Name, false)
		}
		cluster.waitAndCheck(10 * time.Minute)
		if cluster.simulation.Starts() != 6 {
			cluster.t.Errorf("%d starts of 6 tasks", cluster.simulation.Starts())
		}
	})
}

// A gang whose image takes longer to fetch than a task waits for the others, with
// the image on one of its machines already, must come to run.
func TestGangWithLargeImageRuns(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runSimulation(t, 4, 1, false, func(cluster *simulatedCluster) {
		job := func(id string, tasks int) *wire.Job {
			return &wire.Job{
				ID:            id,
				Class:         "c",
				Team:          "free",
				Shape:         wire.GangJob,
				Priority:      "standard",
				Tasks:         tasks,
				CPUs:          16,
				GPUs:          4,
				MemoryGB:      64,
				Image:         "img",
				ImageGB:       90,
				EstimatedRunS: 20,
			}
		}
		cluster.submit(job("req-000001", 1), 0)
		time.Sleep(150 * time.Second) // its image is there, the task under way or just over
		cluster.submit(job("req-000002", 2), 0)
		cluster.waitAndCheck(8 * time.Minute)
	})
}

// More is asked for than the cloud has: once it has refused a kind, the other
// rentals recorded for that kind must not be called for one by one.
func TestRefusedOfferingsAreNotRequestedAgain(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runSimulation(t, 3, 1, false, func(cluster *simulatedCluster) {
		job := &wire.Job{
			ID:            "req-000001",
			Class:         "c",
			Team:          "free",
			Shape:         wire.ArrayJob,
			Priority:      "standard",
			Tasks:         150,
			CPUs:          8,
			MemoryGB:      4,
			Image:         "img",
			ImageGB:       1,
			EstimatedRunS: 120,
			AllowSpot:     true,
			MachineTypes:  []string{"small"},
		}
		cluster.submit(job, 0)
		time.Sleep(25 * time.Second) // before kinds are asked for again
		if n := len(cluster.cloud.Workers()); n == 0 {
			cluster.t.Error("nothing rented")
		}
		if n := cluster.cloud.Refusals(); n > 4 {
			cluster.t.Errorf("%d refused calls for four kinds", n)
		}
	})
}

// A machine whose reports arrive, but which no answer and no order reaches: its work
// goes on elsewhere once its session has risen, and the cloud gets it back.
func TestMachineWithInboundCutIsReplaced(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runSimulation(t, 2, 1, false, func(cluster *simulatedCluster) {
		cluster.submit(&wire.Job{
			ID:            "req-000001",
			Class:         "c",
			Team:          "free",
			Shape:         wire.ArrayJob,
			Priority:      "standard",
			Tasks:         3,
			CPUs:          8,
			MemoryGB:      4,
			Image:         "img",
			ImageGB:       1,
			EstimatedRunS: 90,
		}, 0)
		time.Sleep(40 * time.Second)
		ws := cluster.cloud.Workers()
		if len(ws) != 3 || cluster.simulation.Starts() != 3 {
			cluster.t.Fatalf("%d machines, %d starts", len(ws), cluster.simulation.Starts())
		}
		deaf := ws[0]
		deaf.CutInbound(true)
		time.Sleep(90 * time.Second)
		for _, worker := range cluster.cloud.Workers() {
			if worker == deaf {
				cluster.t.Error("the machine that does not hear was not given back")
			}
		}
		cluster.waitAndCheck(10 * time.Minute)
		if n := cluster.simulation.Starts(); n != 4 {
			cluster.t.Errorf("%d starts of 3 tasks, one of them lost", n)
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
	runSimulation(t, 5, 1, false, func(cluster *simulatedCluster) {
		cluster.submit(&wire.Job{
			ID:            "req-000001",
			Class:         "c",
			Team:          "free",
			Shape:         wire.ArrayJob,
			Priority:      "standard",
			Tasks:         4,
			CPUs:          8,
			MemoryGB:      4,
			Image:         "img",
			ImageGB:       1,
			EstimatedRunS: 120,
		}, 0)
		time.Sleep(50 * time.Second)
		if cluster.simulation.Starts() != 4 {
			cluster.t.Fatalf("%d starts", cluster.simulation.Starts())
		}
		for i := range cluster.nodes { // whichever owns the part, one after the other
			cluster.setNodeIsolated(i, true, cluster.random)
			time.Sleep(8 * time.Second)
			began := time.Now()
			if status := cluster.requestStatus(i, "/up"); status != http.StatusServiceUnavailable {
				cluster.t.Errorf("/up answers %d", status)
			}
			if status := cluster.requestStatus(i, "/work/req-000001"); status != http.StatusServiceUnavailable {
				cluster.t.Errorf("a query is answered %d", status)
			}
			if took := time.Since(began); took > 600*time.Millisecond {
				cluster.t.Errorf("answered after %v", took)
			}
			cluster.setNodeIsolated(i, false, cluster.random)
			time.Sleep(6 * time.Second)
		}
		cluster.waitAndCheck(10 * time.Minute)
		if n := cluster.simulation.Starts(); n != 4 {
			cluster.t.Errorf("%d starts of 4 tasks", n)
		}
	})
}

// requestStatus sends a node a question, and returns the status.
func (cluster *simulatedCluster) requestStatus(i int, path string) int {
	cl := transport.Client(cluster.network.Host("asker"), 1, 1, time.Second)
	defer cl.CloseIdleConnections()
	resp, err := transport.Send(cluster.ctx, cl, http.MethodGet, "http://"+cluster.nodes[i].Addr+path, nil)
	if err != nil {
		cluster.t.Error(err)
		return 0
	}
	defer resp.Body.Close()
	transport.Discard(resp)
	return resp.StatusCode
}

// Sustained small and urgent work must not keep the largest gang, or an array of the
// lowest rank, from beginning within four minutes, over slow links neither.
func TestNoJobStarves(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{0, 150 * time.Millisecond} {
		t.Run(fmt.Sprint("links slower by ", delay), func(t *testing.T) { runStarvationScenario(t, delay) })
	}
}

func runStarvationScenario(t *testing.T, delay time.Duration) {
	if runInChildProcess(t) {
		return
	}
	runSimulation(t, 5, 1, false, func(cluster *simulatedCluster) {
		cluster.simulation.SetLinkDelay(delay)
		job := func(n int, shape wire.JobShape, rank wire.Priority, tasks int, cpus, seconds float64) *wire.Job {
			return &wire.Job{
				ID:            fmt.Sprintf("req-%06d", n),
				Class:         "c",
				Team:          []string{"red", "blue", "free"}[n%3],
				Shape:         shape,
				Priority:      rank,
				Tasks:         tasks,
				CPUs:          cpus,
				MemoryGB:      4,
				Image:         "img",
				ImageGB:       0.5,
				EstimatedRunS: seconds,
				MachineTypes:  []string{"small"},
				AllowSpot:     true,
			}
		}
		big := map[string]time.Time{}
		many := 240
		if delay > 0 {
			many = 180 // 450 s, four minutes beyond the last of the large ones
		}
		for n := range many { // 16 small machines are there; this asks for more than they can do
			cluster.submit(job(n, wire.ArrayJob, "urgent", 6, 2, 25), 0)
			if n == 40 || n == 80 {
				g := job(1000+n, wire.GangJob, "urgent", 7, 8, 30) // of the eight machines of a zone
				g.Team = "free"
				g.SingleZone = true
				a := job(2000+n, wire.ArrayJob, "idle", 60, 2, 20)
				for _, job := range []*wire.Job{g, a} {
					cluster.submit(job, 0)
					big[job.ID] = time.Now()
				}
			}
			time.Sleep(2500 * time.Millisecond)
		}
		for id, at := range big {
			if first, ok := cluster.simulation.FirstStart(id); !ok || first.Sub(at) > 4*time.Minute {
				cluster.t.Errorf("%s began after %v (%v)", id, first.Sub(at), ok)
			}
		}
		cluster.waitAndCheck(time.Hour)
	})
}

func TestRandomFaults(t *testing.T) {
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
			runSimulation(t, uint64(100+seed), seed%4, true, func(cluster *simulatedCluster) { // 0 parts: one for each controller
				go cluster.injectRandomFaults(uint64(seed), 4*time.Minute)
				cluster.submitRandomJobs(40, 4*time.Minute)
				time.Sleep(time.Minute)
				cluster.faultsOver.Store(true)
				cluster.simulation.FaultsOver()
				cluster.waitAndCheck(40 * time.Minute)
			})
		})
	}
}
