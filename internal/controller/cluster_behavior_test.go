// Behavior of a cluster under one fault, or none: forwarding of heartbeats, images, refused
// rentals, one-way network failures, isolated controllers, and starvation.

package controller

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// Without any fault, random jobs of all shapes must end as their users expect.
func TestRandomJobsWithoutFaults(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runSimulation(t, 1, func(cluster *simulatedCluster) {
		cluster.submitRandomJobs(20, 2*time.Minute)
		cluster.waitAndCheck(15 * time.Minute)
	})
}

// A controller that loses the workers, but not the other controllers, must not cost the tasks
// that run: its workers' heartbeats are forwarded by another node.
func TestHeartbeatsAreForwardedPastACut(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runSimulation(t, 2, func(cluster *simulatedCluster) {
		cluster.submit(newArrayJob(1, 6, 4, 120), 0)
		time.Sleep(time.Minute)
		cluster.requireStarts(6)
		cutNodes := cluster.nodes[:2] // one of the two may own the partition, the third node can forward
		for _, node := range cutNodes {
			cluster.setWorkersCut(node.Name, true)
		}
		time.Sleep(50 * time.Second)
		for _, node := range cutNodes {
			cluster.setWorkersCut(node.Name, false)
		}
		cluster.waitAndCheck(10 * time.Minute)
		cluster.checkStarts(6)
	})
}

// A gang whose image takes longer to fetch than a task waits for the others, with
// the image on one of its machines already, must come to run.
func TestGangWithLargeImageRuns(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runSimulation(t, 4, func(cluster *simulatedCluster) {
		gang := func(n, tasks int) *wire.Job {
			return newArrayJob(n, tasks, 16, 20, asGang, withGPUs(4), withMemory(64), withImage("img", 90))
		}
		cluster.submit(gang(1, 1), 0)
		time.Sleep(150 * time.Second) // its image is cached, the task runs or has just ended
		cluster.submit(gang(2, 2), 0)
		cluster.waitAndCheck(8 * time.Minute)
	})
}

// More machines are needed than the cloud has: once it has refused an offering, it must not
// be called for each of the other rentals recorded for that offering.
func TestRefusedOfferingsAreNotRequestedAgain(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	const (
		offerings   = 4                // of small machines: two zones, spot or not
		beforeRetry = 25 * time.Second // before a refused offering is requested again
	)
	runSimulation(t, 3, func(cluster *simulatedCluster) {
		cluster.submit(smallMachineJob(1, 150, 8, 120), 0)
		time.Sleep(beforeRetry)
		if n := len(cluster.cloud.Workers()); n == 0 {
			cluster.t.Error("nothing rented")
		}
		if n := cluster.cloud.Refusals(); n > offerings {
			cluster.t.Errorf("%d refused calls for %d offerings", n, offerings)
		}
	})
}

// A machine whose heartbeats arrive, but which receives neither their responses nor commands:
// its tasks run elsewhere once its incarnation has risen, and it is returned to the cloud.
func TestMachineWithInboundCutIsReplaced(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runSimulation(t, 2, func(cluster *simulatedCluster) {
		cluster.submit(newArrayJob(1, 3, 8, 90), 0)
		time.Sleep(40 * time.Second)
		workers := cluster.cloud.Workers()
		if len(workers) != 3 {
			cluster.t.Fatalf("%d machines", len(workers))
		}
		cluster.requireStarts(3)
		cut := workers[0]
		cut.CutInbound(true)
		time.Sleep(90 * time.Second)
		if slices.Contains(cluster.cloud.Workers(), cut) {
			cluster.t.Error("the machine that receives nothing was not returned")
		}
		cluster.waitAndCheck(10 * time.Minute)
		cluster.checkStarts(4) // of 3 tasks, one of which was lost
	})
}

// A controller that has lost the key-value store and the other controllers, but not its
// workers, keeps running tasks alive and starts none; its users are refused at once, and it
// does not report itself healthy.
func TestControllerWithWorkersOnly(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runSimulation(t, 5, func(cluster *simulatedCluster) {
		cluster.submit(newArrayJob(1, 4, 8, 120), 0)
		time.Sleep(50 * time.Second)
		cluster.requireStarts(4)
		for node := range cluster.nodes { // one after the other, as any may own the partition
			cluster.setNodeIsolated(node, true, cluster.random)
			time.Sleep(8 * time.Second)
			checkRefusesAtOnce(cluster, node)
			cluster.setNodeIsolated(node, false, cluster.random)
			time.Sleep(6 * time.Second)
		}
		cluster.waitAndCheck(10 * time.Minute)
		cluster.checkStarts(4)
	})
}

// checkRefusesAtOnce checks that a node answers a health check and a query as unavailable,
// and does so at once.
func checkRefusesAtOnce(cluster *simulatedCluster, node int) {
	const limit = 600 * time.Millisecond // for both requests
	began := time.Now()
	for _, path := range []string{"/up", "/work/req-000001"} {
		if status := cluster.requestStatus(node, path); status != http.StatusServiceUnavailable {
			cluster.t.Errorf("%s is answered %d", path, status)
		}
	}
	if took := time.Since(began); took > limit {
		cluster.t.Errorf("answered after %v", took)
	}
}

// requestStatus sends a node a request, and returns the response's status.
func (cluster *simulatedCluster) requestStatus(node int, path string) int {
	client := transport.Client(cluster.network.Host("asker"), 1, 1, time.Second)
	defer client.CloseIdleConnections()
	url := "http://" + cluster.nodes[node].Addr + path
	response, err := transport.Send(cluster.ctx, client, http.MethodGet, url, nil)
	if err != nil {
		cluster.t.Error(err)
		return 0
	}
	defer response.Body.Close()
	transport.Discard(response)
	return response.StatusCode
}

// Sustained small and urgent jobs must not keep the largest gang, or an array of the lowest
// priority, from starting within four minutes, not over slow links either.
func TestNoJobStarves(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{0, 150 * time.Millisecond} {
		t.Run(fmt.Sprint("links slower by ", delay), func(t *testing.T) { runStarvationScenario(t, delay) })
	}
}

// maxStartDelay is the time from its submission in which each job has to start.
const maxStartDelay = 4 * time.Minute

func runStarvationScenario(t *testing.T, linkDelay time.Duration) {
	if runInChildProcess(t) {
		return
	}
	runSimulation(t, 5, func(cluster *simulatedCluster) {
		cluster.simulation.SetLinkDelay(linkDelay)
		smallJobs := 240
		if linkDelay > 0 {
			smallJobs = 180 // 450 s, four minutes beyond the last of the large ones
		}
		submittedAt := map[string]time.Time{} // of the large jobs
		for n := range smallJobs {            // more than the 16 small machines can do
			cluster.submit(contendingJob(n, 6, 2, 25, withPriority("urgent")), 0)
			if n == 40 || n == 80 {
				for _, job := range largeJobs(n) {
					cluster.submit(job, 0)
					submittedAt[job.ID] = time.Now()
				}
			}
			time.Sleep(2500 * time.Millisecond)
		}
		for id, at := range submittedAt {
			first, started := cluster.simulation.FirstStart(id)
			if !started || first.Sub(at) > maxStartDelay {
				cluster.t.Errorf("%s: started %v, after %v", id, started, first.Sub(at))
			}
		}
		cluster.waitAndCheck(time.Hour)
	})
}

// contendingJob returns a job of one of the teams in turn.
func contendingJob(n, tasks int, cpus, seconds float64, options ...jobOption) *wire.Job {
	teams := []string{"red", "blue", "free"}
	options = append([]jobOption{withTeam(teams[n%len(teams)]), withImage("img", 0.5)}, options...)
	return smallMachineJob(n, tasks, cpus, seconds, options...)
}

// largeJobs returns a gang that needs seven of the eight machines of a zone, and a large array
// of the lowest priority.
func largeJobs(n int) []*wire.Job {
	return []*wire.Job{
		contendingJob(1000+n, 7, 8, 30, withPriority("urgent"), withTeam("free"), asGang, inOneZone),
		contendingJob(2000+n, 60, 2, 20, withPriority("idle")),
	}
}
