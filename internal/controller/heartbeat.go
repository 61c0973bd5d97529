package controller

import (
	"context"
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
// heartbeats to the owner in batches and returns the owner's responses. Reading the requests
// is most of the cost of a heartbeat, and on small processors it overloaded the owner when the
// owner alone had to do it.
func (c *Controller) Heartbeat(heartbeat *wire.Heartbeat) api.HeartbeatResult {
	entry, known := c.cluster.machine(heartbeat.Machine)
	if !known {
		// Either the machine's record has not reached this node yet, or the machine was
		// returned to the cloud. In the second case a delayed heartbeat must not restore
		// the machine's address.
		return api.HeartbeatResult{}
	}
	partition := entry.record.Partition
	owner := c.cluster.partitionOwner(partition).node
	assigned := c.assignedNode(heartbeat.Machine, owner)
	if assigned != c.settings.Node && c.shouldRedirect(heartbeat.Machine, time.Now()) {
		return api.HeartbeatResult{RedirectTo: assigned}
	}
	if c.ownedPartition(partition) != nil {
		return apiHeartbeatResult(c.AnswerHeartbeatAsOwner(heartbeat))
	}
	return c.forwardHeartbeat(heartbeat, owner)
}

// forwardHeartbeat forwards a heartbeat to the owner of the machine's partition and returns the
// owner's answer. If the owner does not answer, the worker is redirected to it.
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

// apiHeartbeatResult converts the answer of a partition's owner to the answer to the worker.
func apiHeartbeatResult(result peerrpc.HeartbeatResult) api.HeartbeatResult {
	return api.HeartbeatResult{Accepted: result.Accepted, Response: result.Response}
}

// AnswerHeartbeatAsOwner answers a heartbeat as the owner of the machine's partition. The
// heartbeat is not accepted if this node does not own the partition.
func (c *Controller) AnswerHeartbeatAsOwner(heartbeat *wire.Heartbeat) peerrpc.HeartbeatResult {
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

// handleHeartbeat updates the partition from a heartbeat and returns the answer to it.
func (o *ownedPartition) handleHeartbeat(heartbeat *wire.Heartbeat) peerrpc.HeartbeatResult {
	permissions := o.controller.permissionsAt(o.cancellationListingAge())
	if !permissions.mayAnswer {
		// Other nodes may have confirmed cancellations that this owner has not read. Without
		// an answer the workers' leases expire and their tasks end.
		return peerrpc.HeartbeatResult{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.partition == nil {
		return peerrpc.HeartbeatResult{}
	}
	verdict, response := o.partition.HandleHeartbeat(heartbeat, time.Now(), permissions.mayStart)
	if verdict != scheduler.HeartbeatAccepted {
		slog.Debug("heartbeat not accepted by partition owner",
			"machine", heartbeat.Machine, "verdict", verdict.String(), "token", heartbeat.FencingToken)
		o.releaseIfSuperseded(verdict, permissions)
		return peerrpc.HeartbeatResult{Response: response}
	}
	o.logCommands(context.Background(), heartbeat.Machine, viaHeartbeat, response.FencingToken, response.Commands)
	o.controller.commandSlots.resetBackoff(heartbeat.Machine)
	// Most heartbeats change nothing, and a scheduling cycle for each of them would cost too
	// much on a small processor.
	if o.partition.NeedsScheduling() {
		o.requestCycle()
	}
	return peerrpc.HeartbeatResult{Accepted: true, Response: response}
}

// releaseIfSuperseded releases the partition if a worker has seen another owner's fencing token
// and this node's listing of cancellations is outdated. Such a node may not be able to learn of
// the other owner from the key-value store, and must not go on answering heartbeats of the
// remaining machines in place of that owner.
func (o *ownedPartition) releaseIfSuperseded(
	verdict scheduler.HeartbeatVerdict, permissions ownerPermissions,
) {
	if verdict != scheduler.HeartbeatSuperseded || permissions.mayStart {
		return
	}
	// Releasing takes the controller's lock, which must not be taken under o.mu.
	go o.controller.releasePartition(o, releasedSuperseded)
}
