package controller

import (
	"log/slog"
	"time"

	"ambersill/internal/peerrpc"
	"ambersill/internal/scheduler"
	"ambersill/internal/wire"
)

// Heartbeat answers a worker's heartbeat. If it is not accepted, redirect names the node to
// which the worker should send the next one, if any.
//
// Workers may report to any node. A node that does not own the machine's partition forwards
// the heartbeat to the owner, many at a time, and returns the owner's response: reading
// requests is most of what a heartbeat costs, and on small processors the owner alone was
// overloaded by it.
func (c *Controller) Heartbeat(heartbeat *wire.Heartbeat) (response wire.HeartbeatResponse, redirect string, accepted bool) {
	entry, known := c.cluster.machine(heartbeat.Machine)
	if !known {
		// Either its record has not reached this node yet, or it was returned: a late
		// copy of a heartbeat must not bring its address back.
		return wire.HeartbeatResponse{}, "", false
	}
	partition := entry.record.Partition
	owner := c.cluster.partitionOwner(partition).node
	assigned := c.assignedNode(heartbeat.Machine, owner)
	if assigned != c.settings.Node && c.shouldRedirect(heartbeat.Machine, time.Now()) {
		return wire.HeartbeatResponse{}, assigned, false
	}
	if c.ownedPartition(partition) != nil {
		result := c.OwnedHeartbeat(heartbeat)
		return result.Response, "", result.Accepted
	}
	return c.forwardHeartbeat(heartbeat, owner)
}

// forwardHeartbeat has the owner of the machine's partition answer a heartbeat. The results
// are those of Heartbeat.
func (c *Controller) forwardHeartbeat(heartbeat *wire.Heartbeat, owner string) (response wire.HeartbeatResponse, redirect string, accepted bool) {
	forwarder := c.forwarders[owner]
	if forwarder == nil {
		return wire.HeartbeatResponse{}, "", false
	}
	result, reached := forwarder.forward(heartbeat)
	if !reached {
		// The worker itself may still be able to reach the owner.
		return wire.HeartbeatResponse{}, owner, false
	}
	if !result.Accepted {
		return wire.HeartbeatResponse{}, "", false
	}
	return result.Response, "", true
}

// OwnedHeartbeat answers a heartbeat as the owner of its machine's partition. It is not
// accepted if this node does not own the partition.
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
	return owned.handleHeartbeat(heartbeat)
}

// handleHeartbeat reconciles a heartbeat with the partition, and returns the response.
func (o *ownedPartition) handleHeartbeat(heartbeat *wire.Heartbeat) peerrpc.HeartbeatResult {
	knowledge := o.controller.cancellationKnowledgeAt(o.cancellationAge())
	if !knowledge.answersHeartbeats {
		// Other nodes may have confirmed cancellations; the leases must expire.
		return peerrpc.HeartbeatResult{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.partition == nil {
		return peerrpc.HeartbeatResult{}
	}
	verdict, response := o.partition.HandleHeartbeat(heartbeat, time.Now(), knowledge.startsTasks)
	if verdict != scheduler.HeartbeatAccepted {
		slog.Debug("heartbeat not accepted", "machine", heartbeat.Machine, "verdict", verdict, "token", heartbeat.FencingToken)
		if verdict == scheduler.HeartbeatSuperseded && !knowledge.startsTasks {
			// Another owner has reached the worker, and nobody else can let this node
			// know: it must not keep other machines from that owner. Not under o.mu,
			// since releasing takes the controller's lock.
			go o.controller.releasePartition(o, "a worker has seen a higher fencing token")
		}
		return peerrpc.HeartbeatResult{Response: response}
	}
	o.controller.commandSlots.resetBackoff(heartbeat.Machine)
	// Most heartbeats change nothing, and a cycle for each costs too much on a small processor.
	if o.partition.NeedsScheduling() {
		o.wakeUp()
	}
	return peerrpc.HeartbeatResult{Accepted: true, Response: response}
}
