package controller

import (
	"crypto/sha256"
	"encoding/binary"
	"log/slog"
	"time"

	"ambersill/internal/peerrpc"
	"ambersill/internal/scheduler"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// Workers report to any node. A node that does not own the machine's partition forwards
// the report to the owner, many at a time, and hands the owner's answer back: reading
// requests takes most of what a report costs, and the owner alone was overloaded by it
// on small processors. Machines are spread over the nodes by a hash of their names.

const (
	// redirectGrace is how long a worker that has come to a node reports there before it is
	// sent to the node it is assigned to. It may have come because it cannot reach that
	// one, and have lost most of its lease on the way.
	redirectGrace = 30 * time.Second
	// peerBackoff is how long nothing is forwarded to a node that did not answer.
	peerBackoff = 2 * time.Second
)

// visit is the state of a worker that reports to a node it is not assigned to.
type visit struct {
	lastHeartbeat time.Time // its newest report here
	redirectAt    time.Time // it may stay until then
	redirected    bool      // it was sent to its assigned node then
}

// Heartbeat answers a worker, or names the node to which it should report.
func (c *Controller) Heartbeat(heartbeat *wire.Heartbeat) (wire.HeartbeatResponse, string, bool) {
	entry, known := c.cluster.machine(heartbeat.Machine)
	if !known {
		// Not rented yet as far as is known here, or returned: a late copy of a report
		// must not bring its address back.
		return wire.HeartbeatResponse{}, "", false
	}
	owner := c.cluster.partitionOwner(entry.record.Partition).node
	if node := c.assignedNode(heartbeat.Machine, owner); node != c.settings.Node && c.shouldRedirect(heartbeat.Machine, time.Now()) {
		return wire.HeartbeatResponse{}, node, false
	}
	if c.ownedPartition(entry.record.Partition) != nil {
		result := c.OwnedHeartbeat(heartbeat)
		return result.Response, "", result.Accepted
	}
	forwarder := c.forwarders[owner]
	if forwarder == nil {
		return wire.HeartbeatResponse{}, "", false
	}
	answer, reached := forwarder.forward(heartbeat)
	switch {
	case !reached:
		// The way to the owner may be open for the worker itself.
		return wire.HeartbeatResponse{}, owner, false
	case !answer.Accepted:
		return wire.HeartbeatResponse{}, "", false
	}
	return answer.Response, "", true
}

// assignedNode is the node to which a machine's worker is to report: one of the live
// nodes by rendezvous hashing, so that a node that ends moves its own machines only. The
// owner has passes and commits to do besides, and takes part only where it must.
func (c *Controller) assignedNode(machine, owner string) string {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	others := len(c.cluster.nodes)
	if _, live := c.cluster.nodes[owner]; live {
		others--
	}
	best, highest := "", uint64(0)
	for node := range c.cluster.nodes {
		if node == owner && others >= minForwarders {
			continue
		}
		if rank := rendezvousRank(machine, node); best == "" || rank > highest || (rank == highest && node < best) {
			best, highest = node, rank
		}
	}
	if best == "" {
		return owner
	}
	return best
}

// minForwarders is how many other nodes must live for the owner to be spared reports.
const minForwarders = 2

// rendezvousRank orders the nodes for a machine, the same on every node.
func rendezvousRank(machine, node string) uint64 {
	sum := sha256.Sum256([]byte(machine + "/" + node))
	return binary.BigEndian.Uint64(sum[:])
}

// shouldRedirect tells whether a worker that reports here, but is assigned to another node, is
// to go there now. One that is back within a lease cannot reach that node, and may stay
// anew, as when a cut lies between the two but not between the nodes.
func (c *Controller) shouldRedirect(machine string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.visits[machine]
	ends := false
	switch {
	case now.Sub(v.lastHeartbeat) > tuning.Seconds(c.settings.Cluster.Workers.LeaseS), v.redirected:
		v = visit{redirectAt: now.Add(redirectGrace)}
	case !now.Before(v.redirectAt):
		v.redirected, ends = true, true
	}
	v.lastHeartbeat = now
	c.visits[machine] = v
	return ends
}

// OwnedHeartbeat answers a report as the owner of its machine's partition.
func (c *Controller) OwnedHeartbeat(heartbeat *wire.Heartbeat) peerrpc.HeartbeatResult {
	entry, known := c.cluster.machine(heartbeat.Machine)
	if !known {
		return peerrpc.HeartbeatResult{}
	}
	owned := c.ownedPartition(entry.record.Partition)
	if owned == nil {
		return peerrpc.HeartbeatResult{}
	}
	c.recordAddress(heartbeat.Machine, heartbeat.Address)
	knowledge := c.cancellationKnowledgeAt(owned.cancellationAge())
	if !knowledge.answersHeartbeats {
		// Cancellations may have been confirmed by other nodes; the leases must run out.
		return peerrpc.HeartbeatResult{}
	}
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if owned.partition == nil {
		return peerrpc.HeartbeatResult{}
	}
	v, reply := owned.partition.HandleHeartbeat(heartbeat, time.Now(), knowledge.startsTasks)
	if v != scheduler.HeartbeatAccepted {
		slog.Debug("report not taken", "machine", heartbeat.Machine, "verdict", v, "token", heartbeat.FencingToken)
		if v == scheduler.HeartbeatSuperseded && !knowledge.startsTasks {
			// Another owner has spoken to it, and nobody else can tell this node: it
			// must not keep other machines from that owner.
			go c.releasePartition(owned, "a worker has seen a higher token")
		}
		return peerrpc.HeartbeatResult{Response: reply}
	}
	c.commandSlots.resetBackoff(heartbeat.Machine)
	// Most reports change nothing, and on a small processor a pass for each is dear.
	if owned.partition.NeedsScheduling() {
		owned.wakeUp()
	}
	return peerrpc.HeartbeatResult{Accepted: true, Response: reply}
}
