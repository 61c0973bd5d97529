package controller

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/tuning"
)

// With nodes behind network partitions, a worker may have used up most of its lease before it
// finds one that answers, and may not reach the one it is assigned to from there either. It
// was once redirected with its first heartbeat, and its lease expired while it looked for a
// node again (250 tasks at a time).
func TestWorkersAreRedirectedAfterAGracePeriod(t *testing.T) {
	c := isolatedController()
	lease := tuning.Seconds(c.settings.Cluster.Workers.LeaseS)
	now := time.Unix(1000, 0)
	step := func(wait time.Duration, want bool, situation string) {
		t.Helper()
		now = now.Add(wait)
		if got := c.shouldRedirect("m-1", now); got != want {
			t.Errorf("%s: redirected %v", situation, got)
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
	step(lease+time.Second, false, "as if it were the first")
	for range 14 {
		step(2*time.Second, false, "within the grace period")
	}
	if c.shouldRedirect("m-2", now.Add(2*time.Second)) {
		t.Error("machines are confused")
	}
	step(2*time.Second, true, "after the grace period")
}

// Machines are assigned evenly to the nodes but the owner; all nodes agree, and a node that
// fails moves no machines but its own.
func TestMachinesAreAssignedEvenlyToNodes(t *testing.T) {
	const machines = 1000
	c := isolatedController()
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
			t.Errorf("assigned to %v, want %v", count, nodes)
		}
		for _, n := range nodes {
			if fair := machines / len(nodes); count[n] < fair*8/10 || count[n] > fair*12/10 {
				t.Errorf("%s has %d machines of a fair %d", n, count[n], fair)
			}
		}
	}
	four, count := assign("n-0", "n-0", "n-1", "n-2", "n-3", "n-4")
	checkEven(count, "n-1", "n-2", "n-3", "n-4")
	three, count := assign("n-0", "n-0", "n-1", "n-2", "n-4")
	checkEven(count, "n-1", "n-2", "n-4")
	for id, n := range four {
		if n != "n-3" && three[id] != n {
			t.Fatalf("%s went from %s to %s although only n-3 failed", id, n, three[id])
		}
	}
	_, count = assign("n-0", "n-0", "n-1")
	checkEven(count, "n-0", "n-1") // a single other node could be overloaded like the owner
	_, count = assign("n-0", "n-1", "n-2")
	checkEven(count, "n-1", "n-2")
	_, count = assign("n-0", "n-0")
	checkEven(count, "n-0")
	_, count = assign("n-0")
	checkEven(count, "n-0") // the copy of the cluster's keys may lag
}
