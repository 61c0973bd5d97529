package controller

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"ambersill/internal/tuning"
)

const (
	// redirectGrace is how long a worker may report to a node that it is not assigned to
	// before it is redirected. It may have changed nodes because it cannot reach the assigned
	// one, and have used up most of its lease in doing so.
	redirectGrace = 30 * time.Second
	// minNonOwnerNodes is the least number of other live nodes with which the owner of a
	// partition is assigned no machines of it. A single other node could be overloaded just
	// like the owner.
	minNonOwnerNodes = 2
)

// assignedNode returns the node to which a machine's worker should report: one of the live
// nodes by rendezvous hashing, so that a node that ends moves its own machines only. The
// owner has scheduling and commits to do as well, and is left out where others are enough.
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

// rendezvousWeight returns the rank of a node for a machine, the same on every node.
func rendezvousWeight(machine, node string) uint64 {
	sum := sha256.Sum256([]byte(machine + "/" + node))
	return binary.BigEndian.Uint64(sum[:])
}

// redirectState is the state of a worker that reports to a node it is not assigned to.
type redirectState struct {
	lastHeartbeat time.Time
	// redirectAt is when the grace ends.
	redirectAt time.Time
	// redirected: the worker was redirected when the grace ended.
	redirected bool
}

// shouldRedirect records a heartbeat of a worker that is assigned to another node, and
// reports whether the worker is to be redirected there now.
func (c *Controller) shouldRedirect(machine string, now time.Time) bool {
	lease := tuning.Seconds(c.settings.Cluster.Workers.LeaseS)
	c.mu.Lock()
	defer c.mu.Unlock()
	current, redirect := c.visits[machine].next(now, lease)
	c.visits[machine] = current
	return redirect
}

// next returns the state after a heartbeat, and whether to redirect the worker. A worker that
// is back within a lease of its redirection cannot reach the assigned node, as when a network
// partition separates the two but not the nodes; it has a new grace.
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
