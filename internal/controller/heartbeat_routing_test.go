package controller

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/tuning"
)

// If a network partition makes some nodes unreachable, a worker may use up most of its lease
// before it finds a node that answers, and it may still be unable to reach its assigned node. If
// it is then redirected at its first heartbeat, its lease expires during the next search and its
// tasks are lost, which happened to 250 tasks at a time.
func TestWorkersAreRedirectedAfterAGracePeriod(t *testing.T) {
	c := newIsolatedController()
	lease := tuning.Seconds(c.settings.Cluster.WorkerTiming.LeaseDurationS)
	now := time.Unix(1000, 0)
	step := func(wait time.Duration, want bool, situation string) {
		t.Helper()
		now = now.Add(wait)
		if got := c.shouldRedirect("m-1", now); got != want {
			t.Errorf("%s: redirected = %v, want the opposite", situation, got)
		}
	}
	stepThroughGrace := func(situation string) {
		t.Helper()
		for range 14 {
			step(2*time.Second, false, situation)
		}
		step(2*time.Second, true, "after the grace period")
	}
	step(0, false, "the first heartbeat")
	stepThroughGrace("within the grace period")
	step(lease-time.Second, false, "back within its lease")
	stepThroughGrace("while it cannot reach its assigned node")
	step(lease+time.Second, false, "the first heartbeat after its lease has expired")
	for range 14 {
		step(2*time.Second, false, "within the grace period")
	}
	if c.shouldRedirect("m-2", now.Add(2*time.Second)) {
		t.Error("the first heartbeat of m-2 was redirected because of the state of m-1")
	}
	step(2*time.Second, true, "after the grace period")
}

// Machines are assigned evenly to all live nodes except the owner, as long as there are at least
// two such nodes. The failure of a node reassigns only that node's machines.
func TestMachinesAreAssignedEvenlyToNodes(t *testing.T) {
	const machines = 1000
	c := newIsolatedController()
	assign := func(owner string, nodes ...string) (nodeOf map[string]string, count map[string]int) {
		c.cluster.nodes = map[string]nodeEntry{}
		for _, n := range nodes {
			c.cluster.nodes[n] = nodeEntry{revision: 1}
		}
		nodeOf, count = map[string]string{}, map[string]int{}
		for i := range machines {
			id := fmt.Sprintf("m-%06d", i)
			nodeOf[id] = c.assignedNode(id, owner)
			count[nodeOf[id]]++
		}
		return nodeOf, count
	}
	checkEven := func(count map[string]int, nodes ...string) {
		t.Helper()
		if len(count) != len(nodes) {
			t.Errorf("machines by node: %v, want machines on exactly the nodes %v", count, nodes)
		}
		for _, n := range nodes {
			if fair := machines / len(nodes); count[n] < fair*8/10 || count[n] > fair*12/10 {
				t.Errorf("%s has %d machines, want %d within 20 %%", n, count[n], fair)
			}
		}
	}
	four, count := assign("n-0", "n-0", "n-1", "n-2", "n-3", "n-4")
	checkEven(count, "n-1", "n-2", "n-3", "n-4")
	three, count := assign("n-0", "n-0", "n-1", "n-2", "n-4")
	checkEven(count, "n-1", "n-2", "n-4")
	for id, n := range four {
		if n != "n-3" && three[id] != n {
			t.Fatalf("%s was reassigned from %s to %s, but only n-3 failed", id, n, three[id])
		}
	}
	_, count = assign("n-0", "n-0", "n-1")
	checkEven(count, "n-0", "n-1") // a single other node could be overloaded like the owner
	_, count = assign("n-0", "n-1", "n-2")
	checkEven(count, "n-1", "n-2")
	_, count = assign("n-0", "n-0")
	checkEven(count, "n-0")
	_, count = assign("n-0")
	checkEven(count, "n-0") // the owner is used if the cache does not list any live node
}
