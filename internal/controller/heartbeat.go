package controller

import (
	"log/slog"
	"time"

	"ambersill/internal/api"
	"ambersill/internal/peerrpc"
	"ambersill/internal/scheduler"
	"ambersill/internal/wire"
)

// Heartbeat answers a worker's heartbeat.
//
// Workers may report to any node. A node that does not own the machine's partition forwards
// the heartbeat to the owner, many at a time, and returns the owner's response: reading
// requests is most of what a heartbeat costs, and on small processors the owner alone was
// overloaded by it.
func (c *Controller) Heartbeat(heartbeat *wire.Heartbeat) api.HeartbeatResult {
	entry, known := c.cluster.machine(heartbeat.Machine)
	if !known {
		// Either its record has not reached this node yet, or it was returned: a late
		// copy of a heartbeat must not restore its address.
		return api.HeartbeatResult{}
	}
	partition := entry.record.Partition
	owner := c.cluster.partitionOwner(partition).node
	assigned := c.assignedNode(heartbeat.Machine, owner)
	if assigned != c.settings.Node && c.shouldRedirect(heartbeat.Machine, time.Now()) {
		return api.HeartbeatResult{RedirectTo: assigned}
	}
	if c.ownedPartition(partition) != nil {
		return apiHeartbeatResult(c.OwnedHeartbeat(heartbeat))
	}
	return c.forwardHeartbeat(heartbeat, owner)
}

// forwardHeartbeat has the owner of the machine's partition answer a heartbeat.
func (c *Controller) forwardHeartbeat(heartbeat *wire.Heartbeat, owner string) api.HeartbeatResult {
	forwarder := c.forwarders[owner]
	if forwarder == nil {
		return api.HeartbeatResult{}
	}
	result, reached := forwarder.forward(heartbeat)
	if !reached {
		// The worker itself may still be able to reach the owner.
		return api.HeartbeatResult{RedirectTo: owner}
	}
	return apiHeartbeatResult(result)
}

// apiHeartbeatResult returns the answer of a partition's owner as that to the worker.
func apiHeartbeatResult(result peerrpc.HeartbeatResult) api.HeartbeatResult {
	return api.HeartbeatResult{Accepted: result.Accepted, Response: result.Response}
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
	permissions := o.controller.permissionsAt(o.cancellationListingAge())
	if !permissions.canAnswerHeartbeats {
		// Other nodes may have confirmed cancellations; the leases must expire.
		return peerrpc.HeartbeatResult{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.partition == nil {
		return peerrpc.HeartbeatResult{}
	}
	verdict, response := o.partition.HandleHeartbeat(heartbeat, time.Now(), permissions.canStartTasks)
	if verdict != scheduler.HeartbeatAccepted {
		slog.Debug("heartbeat not accepted",
			"machine", heartbeat.Machine, "verdict", verdict.String(), "token", heartbeat.FencingToken)
		o.releaseIfSuperseded(verdict, permissions)
		return peerrpc.HeartbeatResult{Response: response}
	}
	o.controller.commandSlots.resetBackoff(heartbeat.Machine)
	// Most heartbeats change nothing, and a cycle for each costs too much on a small
	// processor.
	if o.partition.NeedsScheduling() {
		o.requestCycle()
	}
	return peerrpc.HeartbeatResult{Accepted: true, Response: response}
}

// releaseIfSuperseded releases the partition if another owner has reached a worker, and this
// node cannot learn that in any other way: it must not keep other machines from that owner.
func (o *ownedPartition) releaseIfSuperseded(
	verdict scheduler.HeartbeatVerdict, permissions ownerPermissions,
) {
	if verdict != scheduler.HeartbeatSuperseded || permissions.canStartTasks {
		return
	}
	// Releasing takes the controller's lock, which must not be taken under o.mu.
	go o.controller.releasePartition(o, releasedSuperseded)
}
