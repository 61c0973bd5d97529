// Simulations in which requests to the key-value store, to the cloud and to the controllers that were
// carried out and answered are executed once more, late.

package controller

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/emulator"
	"ambersill/internal/peerrpc"
	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// requestCopyDelays are the times after which a copy of each request is executed.
var requestCopyDelays = []time.Duration{100 * time.Millisecond, 2 * second, 9 * second, 40 * second, 2 * time.Minute}

// requestCopyTest selects requests to be executed again.
type requestCopyTest struct {
	name           string
	method         string
	prefix, suffix string // of the path
}

var requestCopyTests = []requestCopyTest{
	{name: "commits", method: http.MethodPost, prefix: "/commit"},
	{name: "grants of leases", method: http.MethodPost, prefix: "/holds", suffix: "holds"},
	{name: "renewals of leases", method: http.MethodPost, prefix: "/holds", suffix: "extend"},
	{name: "revocations of leases", method: http.MethodDelete, prefix: "/holds"},
	{name: "rentals", method: http.MethodPost, prefix: "/hosts", suffix: "hosts"},
	{name: "returns", method: http.MethodPost, prefix: "/hosts/return"},
}

func (test *requestCopyTest) selects(r *http.Request) bool {
	path := r.URL.Path
	return r.Method == test.method && strings.HasPrefix(path, test.prefix) && strings.HasSuffix(path, test.suffix)
}

// Guards against requests to the key-value store and the cloud that change something when they are
// executed a second time, late, while little else happens and controllers end and return.
func TestLateCopyOfStoreOrCloudRequestChangesNothing(t *testing.T) {
	t.Parallel()
	for _, test := range requestCopyTests {
		t.Run(test.name, func(t *testing.T) {
			if runInChildProcess(t) {
				return
			}
			simulate(t, 1, func(_ *testing.T, cluster *simulatedCluster) {
				cluster.tuning.Parts = 1
				copies := cluster.repeatRequests(test.selects)
				cluster.startNodes()
				go cluster.replaceOwners()
				runJobsOnQuietCluster(cluster, test.name)
				checkCopies(cluster, copies)
			})
			simulateMovesAndRestarts(t, func(cluster *simulatedCluster) *atomic.Int64 {
				return cluster.repeatRequests(test.selects)
			})
		})
	}
}

// checkCopies checks that some messages were copied.
func checkCopies(cluster *simulatedCluster, copies *atomic.Int64) {
	cluster.t.Helper()
	if copies.Load() == 0 {
		cluster.t.Error("copied messages: got 0, want some")
	}
}

// simulateMovesAndRestarts runs random jobs, of which users cancel some, on a cluster whose machines move
// between three partitions, while controllers are terminated, crash and return. repeat has messages copied
// and returns the number of copies so far.
func simulateMovesAndRestarts(t *testing.T, repeat func(cluster *simulatedCluster) *atomic.Int64) {
	moves := 0
	simulate(t, 1, func(_ *testing.T, cluster *simulatedCluster) {
		cluster.tuning.Parts = 0
		cluster.countMachineMoves(&moves)
		copies := repeat(cluster)
		cluster.startNodes()
		go cluster.replaceOwners()
		cluster.submitRandomJobs(24, 80*second)
		cluster.waitForJobsAndCheck(scenarioTimeout)
		time.Sleep(requestCopyDelays[len(requestCopyDelays)-1])
		for _, violation := range cluster.simulation.Violations() {
			cluster.t.Errorf("broken rule: %s", violation)
		}
		checkCopies(cluster, copies)
	})
	if moves == 0 {
		t.Error("machines told to move to another partition: got 0, want some")
	}
}

// repeatRequests has the selected requests to the key-value store and the cloud executed again after
// each of requestCopyDelays. It returns the number of requests that were copied so far.
func (cluster *simulatedCluster) repeatRequests(selects func(r *http.Request) bool) *atomic.Int64 {
	var copies atomic.Int64
	cluster.repeatRequest = func(r *http.Request) []time.Duration {
		if !selects(r) {
			return nil
		}
		copies.Add(1)
		return requestCopyDelays
	}
	return &copies
}

// replaceOwners terminates, and later crashes, the controller that owns the partition.
func (cluster *simulatedCluster) replaceOwners() {
	time.Sleep(20 * second)
	owner, _ := cluster.firstPartitionOwner()
	cluster.terminateNode(owner)
	time.Sleep(second)
	cluster.startNode(owner)
	time.Sleep(60 * second)
	owner, _ = cluster.firstPartitionOwner()
	cluster.restartNode(owner, second/2)
}

// Guards against copies of submissions and cancellations, seconds to minutes late, that a user is
// answered with an older phase, or that have a job run once more (went_back, forgotten, ran_cancelled).
func TestLateCopyOfUserRequestChangesNothing(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	simulateOnePartition(t, 1, func(cluster *simulatedCluster) {
		cluster.repeatUserRequests = requestCopyDelays
		go cluster.replaceOwners()
		runJobsOnQuietCluster(cluster, "copies of users' requests")
	})
	simulateMovesAndRestarts(t, func(cluster *simulatedCluster) *atomic.Int64 {
		cluster.repeatUserRequests = requestCopyDelays
		var copies atomic.Int64
		copies.Store(int64(len(requestCopyDelays))) // of each request, by the users
		return &copies
	})
}

// Guards against late copies of heartbeats, of earlier incarnations, owners and partitions too, by which a
// task counts as ended, lost or running (ran_twice, not_done).
func TestLateCopyOfHeartbeatChangesNothing(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	simulateMovesAndRestarts(t, func(cluster *simulatedCluster) *atomic.Int64 {
		return cluster.copyHeartbeats(func(_ *wire.Heartbeat, send func(to emulator.Node), to emulator.Node) { send(to) })
	})
}

// Guards against late copies of calls between controllers: forwarded heartbeats, announcements of claims and
// of cancellations.
func TestLateCopyOfCallBetweenControllersChangesNothing(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	t.Run("forwarded heartbeats", func(t *testing.T) {
		simulateMovesAndRestarts(t, func(cluster *simulatedCluster) *atomic.Int64 {
			peers := cluster.newPeers()
			return cluster.copyHeartbeats(func(heartbeat *wire.Heartbeat, _ func(to emulator.Node), to emulator.Node) {
				_, _ = peers[to.Name].ForwardHeartbeats([]*wire.Heartbeat{heartbeat}, second)
			})
		})
	})
	t.Run("announcements", func(t *testing.T) {
		simulateMovesAndRestarts(t, (*simulatedCluster).copyAnnouncements)
	})
}

// newPeers returns clients of all nodes, by name.
func (cluster *simulatedCluster) newPeers() map[string]*peerrpc.Peer {
	host := cluster.network.Host("copies")
	peers := map[string]*peerrpc.Peer{}
	for i, node := range cluster.nodes {
		peers[node.Name] = &peerrpc.Peer{Member: config.Member{Node: node.Name, Addr: peerAddr(i)}, Net: host}
	}
	return peers
}

// later calls send after each of requestCopyDelays, unless the simulation has ended by then.
func (cluster *simulatedCluster) later(copies *atomic.Int64, send func()) {
	for _, delay := range requestCopyDelays {
		go func() {
			transport.Pause(cluster.ctx, delay)
			if cluster.ctx.Err() == nil {
				copies.Add(1)
				send()
			}
		}()
	}
}

// copyHeartbeats has copies of one in heartbeatCopyInterval heartbeats sent late, to all nodes in turn. It
// returns the number of copies so far.
func (cluster *simulatedCluster) copyHeartbeats(
	sendCopy func(heartbeat *wire.Heartbeat, send func(to emulator.Node), to emulator.Node),
) *atomic.Int64 {
	const heartbeatCopyInterval = 7
	var heartbeats, copies atomic.Int64
	cluster.simulation.OnHeartbeat = func(heartbeat *wire.Heartbeat, send func(to emulator.Node)) {
		n := heartbeats.Add(1)
		if n%heartbeatCopyInterval != 0 {
			return
		}
		copied := *heartbeat
		to := cluster.nodes[int(n)%len(cluster.nodes)]
		cluster.later(&copies, func() { sendCopy(&copied, send, to) })
	}
	return &copies
}

// copyAnnouncements has announcements of all claims and cancellations that are stored sent to all nodes late.
// It returns the number of copies so far.
func (cluster *simulatedCluster) copyAnnouncements() *atomic.Int64 {
	var copies atomic.Int64
	peers := cluster.newPeers()
	toAll := func(send func(peer *peerrpc.Peer)) {
		for _, peer := range peers {
			cluster.later(&copies, func() { send(peer) })
		}
	}
	check := cluster.store.OnPut
	cluster.store.OnPut = func(key string, before, after wire.Raw) {
		check(key, before, after)
		for partition := range cluster.partitionCount() {
			if job, cancelled := strings.CutPrefix(key, records.CancellationPrefix(partition)); cancelled {
				cancellation := peerrpc.JobCancellation{Partition: partition, JobID: job}
				toAll(func(peer *peerrpc.Peer) { _ = peer.AnnounceCancellation(cancellation, second) })
			}
			if key != records.PartitionKey(partition) {
				continue
			}
			go func() { // the store's lock is held until the claim has its revision
				var owner records.OwnerRecord
				value, revision := cluster.store.Value(key)
				if wire.Unmarshal(value, &owner) == nil {
					claim := peerrpc.OwnershipClaim{Partition: partition, Revision: revision, Node: owner.Node}
					toAll(func(peer *peerrpc.Peer) { _ = peer.AnnounceClaim(claim, second) })
				}
			}()
		}
	}
	return &copies
}
