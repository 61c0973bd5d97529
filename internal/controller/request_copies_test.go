// Simulations in which requests to the key-value store, to the cloud and to the controllers that were
// carried out and answered are executed once more, late.

package controller

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ambersill/internal/emulator"
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
				if copies.Load() == 0 {
					cluster.t.Error("copied requests: got 0, want some")
				}
			})
		})
	}
}

// repeatRequests has the selected requests to the key-value store and the cloud executed again after
// each of requestCopyDelays. It returns the number of requests that were copied so far.
func (cluster *simulatedCluster) repeatRequests(selects func(r *http.Request) bool) *atomic.Int64 {
	var copies atomic.Int64
	delays := func(r *http.Request) []time.Duration {
		if !selects(r) {
			return nil
		}
		copies.Add(1)
		return requestCopyDelays
	}
	repeat := func(handler http.Handler) http.Handler {
		return emulator.RepeatRequests(cluster.ctx, handler, delays)
	}
	cluster.interceptRequests(repeat)
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
}
