// Tests of a cluster with a single fault or none: forwarding of heartbeats, large images, refused
// rentals, one-way network failures, isolated controllers and starvation.

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

// Without faults, random job arrays and gangs must end without breaking any rule.
func TestRandomJobsWithoutFaults(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	simulateOnePartition(t, 1, func(cluster *simulatedCluster) {
		cluster.submitRandomJobs(20, 2*time.Minute)
		cluster.waitForJobsAndCheck(15 * time.Minute)
	})
}

// Running tasks must survive when their controller loses contact with the workers but not with the
// other controllers, because another node forwards the workers' heartbeats.
func TestHeartbeatsForwardedWhenOwnerLosesWorkers(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	simulateOnePartition(t, 2, func(cluster *simulatedCluster) {
		cluster.submit(newArrayJob(1, 6, 4, 120), 0)
		time.Sleep(time.Minute)
		cluster.requireTaskStarts(6)
		// Either of these nodes may own the partition. The third node can forward.
		disconnectedNodes := cluster.nodes[:2]
		for _, node := range disconnectedNodes {
			cluster.setWorkersCut(node.Name, true)
		}
		time.Sleep(50 * time.Second)
		for _, node := range disconnectedNodes {
			cluster.setWorkersCut(node.Name, false)
		}
		cluster.waitForJobsAndCheck(10 * time.Minute)
		cluster.checkTaskStarts(6)
	})
}

// A gang must start even if its image is cached on one of its machines and takes longer to fetch on
// the others than a task waits for the rest of its gang.
func TestGangWithLargeImageRuns(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	simulateOnePartition(t, 4, func(cluster *simulatedCluster) {
		gang := func(n, tasks int) *wire.Job {
			return newArrayJob(n, tasks, 16, 20, asGang, withGPUs(4), withMemory(64), withImage("img", 90))
		}
		cluster.submit(gang(1, 1), 0)
		time.Sleep(150 * time.Second) // the image is cached; the task is running or has just ended
		cluster.submit(gang(2, 2), 0)
		cluster.waitForJobsAndCheck(8 * time.Minute)
	})
}

// More machines are needed than the cloud has. Once the cloud has refused to rent out an offering,
// the other rentals recorded for that offering must not be requested from it one by one.
func TestRefusedOfferingsAreNotRequestedAgain(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	const (
		offerings   = 4                // of small machines: two zones, each spot and on demand
		beforeRetry = 25 * time.Second // ends before a refused offering is requested again
	)
	simulateOnePartition(t, 3, func(cluster *simulatedCluster) {
		cluster.submit(newSmallMachineJob(1, 150, 8, 120), 0)
		time.Sleep(beforeRetry)
		if n := len(cluster.cloud.Workers()); n == 0 {
			cluster.t.Error("rented machines: got 0, want at least 1")
		}
		if n := cluster.cloud.RefusedRentals(); n > offerings {
			cluster.t.Errorf("refused rental requests: got %d, want at most %d, one per offering", n, offerings)
		}
	})
}

// If a machine's heartbeats arrive but it receives neither responses nor commands, its tasks must
// be restarted elsewhere once its incarnation has increased, and the machine must be returned to
// the cloud.
func TestMachineWithInboundCutIsReplaced(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	simulateOnePartition(t, 2, func(cluster *simulatedCluster) {
		cluster.submit(newArrayJob(1, 3, 8, 90), 0)
		time.Sleep(40 * time.Second)
		workers := cluster.cloud.Workers()
		if len(workers) != 3 {
			cluster.t.Fatalf("rented machines: got %d, want 3", len(workers))
		}
		cluster.requireTaskStarts(3)
		cutWorker := workers[0]
		cutWorker.CutInbound(true)
		time.Sleep(90 * time.Second)
		if slices.Contains(cluster.cloud.Workers(), cutWorker) {
			cluster.t.Error("machine without inbound traffic was not returned to the cloud within 90 s")
		}
		cluster.waitForJobsAndCheck(10 * time.Minute)
		cluster.checkTaskStarts(4) // 3 tasks, one of which was lost and restarted
	})
}

// A controller that has lost contact with the key-value store and the other controllers, but not
// with its workers, must keep running tasks alive and start none. It must refuse user requests
// without delay and report itself unhealthy.
func TestControllerWithoutStoreAndPeers(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	simulateOnePartition(t, 5, func(cluster *simulatedCluster) {
		cluster.submit(newArrayJob(1, 4, 8, 120), 0)
		time.Sleep(50 * time.Second)
		cluster.requireTaskStarts(4)
		// Isolate one node after another, because any of them may own the partition.
		for node := range cluster.nodes {
			cluster.setNodeIsolated(node, true, cluster.random)
			time.Sleep(8 * time.Second)
			checkUnavailableWithoutDelay(cluster, node)
			cluster.setNodeIsolated(node, false, cluster.random)
			time.Sleep(6 * time.Second)
		}
		cluster.waitForJobsAndCheck(10 * time.Minute)
		cluster.checkTaskStarts(4)
	})
}

// checkUnavailableWithoutDelay checks that a node responds with status 503 to a health check and a
// job query, and that both requests together take at most 600 ms.
func checkUnavailableWithoutDelay(cluster *simulatedCluster, node int) {
	const maxElapsed = 600 * time.Millisecond // for both requests
	startedAt := time.Now()
	for _, path := range []string{"/up", "/work/req-000001"} {
		if status := cluster.getStatus(node, path); status != http.StatusServiceUnavailable {
			cluster.t.Errorf("status of GET %s at an isolated node: got %d, want 503", path, status)
		}
	}
	if elapsed := time.Since(startedAt); elapsed > maxElapsed {
		cluster.t.Errorf("time to refuse both requests: got %v, want at most 600ms", elapsed)
	}
}

// getStatus sends a GET request to a node and returns the status of the response, or 0 if the
// request failed.
func (cluster *simulatedCluster) getStatus(node int, path string) int {
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

// A sustained load of small, urgent jobs must not prevent the largest gang or an array of the
// lowest priority from starting within four minutes, even over slow links.
func TestNoJobStarves(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{0, 150 * time.Millisecond} {
		t.Run(fmt.Sprint("link delay ", delay), func(t *testing.T) { runStarvationScenario(t, delay) })
	}
}

// maxStartDelay is the time from submission within which each large job must start.
const maxStartDelay = 4 * time.Minute

func runStarvationScenario(t *testing.T, linkDelay time.Duration) {
	if runInChildProcess(t) {
		return
	}
	simulateOnePartition(t, 5, func(cluster *simulatedCluster) {
		cluster.simulation.SetLinkDelay(linkDelay)
		smallJobs := 240
		if linkDelay > 0 {
			smallJobs = 180 // submitted over 450 s, until four minutes after the last large job
		}
		submittedAt := map[string]time.Time{} // by ID of a large job
		for n := range smallJobs {            // more load than the 16 small machines can handle
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
			first, started := cluster.simulation.FirstStartTime(id)
			if !started || first.Sub(at) > maxStartDelay {
				cluster.t.Errorf("start of large job %s: got started %v after %v, want started within 4m0s", id, started, first.Sub(at))
			}
		}
		cluster.waitForJobsAndCheck(time.Hour)
	})
}

// contendingJob returns a job array on small machines whose team alternates with n.
func contendingJob(n, tasks int, cpus, runSeconds float64, options ...jobOption) *wire.Job {
	teams := []string{"red", "blue", "free"}
	options = append([]jobOption{withTeam(teams[n%len(teams)]), withImage("img", 0.5)}, options...)
	return newSmallMachineJob(n, tasks, cpus, runSeconds, options...)
}

// largeJobs returns a gang that needs seven of the eight small machines of a zone and a large job
// array of the lowest priority.
func largeJobs(n int) []*wire.Job {
	return []*wire.Job{
		contendingJob(1000+n, 7, 8, 30, withPriority("urgent"), withTeam("free"), asGang, inOneZone),
		contendingJob(2000+n, 60, 2, 20, withPriority("idle")),
	}
}
