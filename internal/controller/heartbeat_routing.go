package controller

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"ambersill/internal/tuning"
)

const (
	// redirectGrace is how long a worker may report to a node that it is not assigned to
	// before it is redirected. The worker may have changed nodes because it cannot reach its
	// assigned node, and may have used up most of its lease in the search.
	redirectGrace = 30 * time.Second
	// minNonOwnerNodes is the smallest number of live nodes other than a partition's owner with
	// which the owner is assigned none of the partition's machines. A single other node could
	// be overloaded just like the owner.
	minNonOwnerNodes = 2
)

// assignedNode returns the node to which a machine's worker should report. It selects one of
// the live nodes by rendezvous hashing, so that when a node fails only the machines assigned to
// it are reassigned. The owner of the machine's partition also has to schedule and commit, so it
// is excluded if there are at least minNonOwnerNodes other live nodes.
func (c *Controller) assignedNode(machine, owner string) string {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	otherNodes := len(c.cluster.nodes)
	if _, live := c.cluster.nodes[owner]; live {
		otherNodes--
	}
	excludeOwner := otherNodes >= minNonOwnerNodes
	best, highest := "", uint64(0)
	for node := range c.cluster.nodes {
		if node == owner && excludeOwner {
			continue
		}
		weight := rendezvousWeight(machine, node)
		if best == "" || weight > highest || (weight == highest && node < best) {
			best, highest = node, weight
		}
	}
	if best == "" {
		return owner
	}
	return best
}

// rendezvousWeight returns the weight of a node for a machine. All nodes compute the same weight.
func rendezvousWeight(machine, node string) uint64 {
	sum := sha256.Sum256([]byte(machine + "/" + node))
	return binary.BigEndian.Uint64(sum[:])
}

// redirectState is the state of a worker that reports to a node to which it is not assigned.
type redirectState struct {
	lastHeartbeat time.Time
	// redirectAt is when the grace period ends.
	redirectAt time.Time
	// redirected is whether the worker was redirected at its last heartbeat.
	redirected bool
}

// shouldRedirect records a heartbeat of a worker that is assigned to another node, and
// reports whether to redirect the worker to that node now.
func (c *Controller) shouldRedirect(machine string, now time.Time) bool {
	lease := tuning.Seconds(c.settings.Cluster.WorkerTiming.LeaseDurationS)
	c.mu.Lock()
	defer c.mu.Unlock()
	current, redirect := c.redirectStates[machine].next(now, lease)
	c.redirectStates[machine] = current
	return redirect
}

// next returns the state after a heartbeat, and whether to redirect the worker. A worker that
// returns within the duration of a lease after its redirection probably cannot reach the
// assigned node, for example because a network partition separates the two but not the nodes
// from each other. Such a worker gets a new grace period.
func (s redirectState) next(now time.Time, lease time.Duration) (next redirectState, redirect bool) {
	switch {
	case now.Sub(s.lastHeartbeat) > lease, s.redirected:
		return redirectState{lastHeartbeat: now, redirectAt: now.Add(redirectGrace)}, false
	case now.Before(s.redirectAt):
		return redirectState{lastHeartbeat: now, redirectAt: s.redirectAt}, false
	default:
		return redirectState{lastHeartbeat: now, redirectAt: s.redirectAt, redirected: true}, true
	}
}
