package controller

import (
	"context"
	"errors"
	"time"

	"ambersill/internal/scheduler"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
	"ambersill/internal/workerclient"
)

// maxOutdatedRequests is how often commands are sent directly to a worker that refuses each request
// because it has seen a higher token of this owner by then.
const maxOutdatedRequests = 3

// sendCommands sends commands to start and stop tasks to workers without waiting for their next
// heartbeats. Commands for which no slot is free are sent in a later scheduling cycle, or in
// the response to a heartbeat. While the owner's listing of cancellations is too old to start
// tasks, it only sends commands that stop the tasks of cancelled jobs. These are correct even
// if another node owns the partition by now.
func (o *ownedPartition) sendCommands(ctx context.Context) {
	cancellationsFresh := o.mayStartTasks()
	o.mu.Lock()
	ids := o.partition.MachinesAwaitingCommands(cancellationsFresh)
	o.mu.Unlock()
	for _, id := range ids {
		o.startRequest(ctx, id, o.sendCommandsTo)
	}
}

// machineRequest is a function that sends a request to the worker of a machine, and reports
// whether the worker has executed it.
type machineRequest func(ctx context.Context, id, address string) (executed bool)

// startRequest runs send in a goroutine if the machine's address is known and a command slot
// is free. If the worker does not execute the request, the machine is put into back-off.
func (o *ownedPartition) startRequest(ctx context.Context, id string, send machineRequest) {
	slots := o.controller.commandSlots
	address := o.controller.address(id)
	if address == "" || !slots.acquire(id, time.Now()) {
		return
	}
	go func() {
		executed := send(ctx, id, address)
		slots.release(id, executed, time.Now(), o.controller.commandBackoffLimits())
	}()
}

// commandBackoffLimits returns the limits of the wait after a request that a worker did not
// execute. The shortest is the time between two heartbeats, and the longest is the duration of
// a worker's lease.
func (c *Controller) commandBackoffLimits() backoffLimits {
	workers := c.settings.Cluster.WorkerTiming
	return backoffLimits{shortest: tuning.Seconds(workers.HeartbeatIntervalS), longest: tuning.Seconds(workers.LeaseDurationS)}
}

// sendCommandsTo sends the pending commands of a machine to its worker, and reports whether the
// worker has executed them. It returns true if there is nothing to send.
func (o *ownedPartition) sendCommandsTo(ctx context.Context, id, address string) (executed bool) {
	for range maxOutdatedRequests {
		request, ok := o.nextRequest(ctx, id)
		if !ok {
			return true
		}
		heartbeat, executed, err := o.controller.workers.SendCommands(ctx, address, request)
		logRequestOutcome(id, request, heartbeat, executed, err)
		outdated := o.handleCommandResponse(id, request, heartbeat, commandOutcome(executed, err))
		if !outdated {
			return executed
		}
	}
	// The worker answers, and receives the commands with its next heartbeat.
	return true
}

// nextRequest returns the request with a machine's pending commands. The result is false if there are
// none.
func (o *ownedPartition) nextRequest(ctx context.Context, id string) (wire.CommandRequest, bool) {
	cancellationsFresh := o.mayStartTasks()
	o.mu.Lock()
	defer o.mu.Unlock()
	request, ok := o.partition.DirectCommands(id, cancellationsFresh)
	if ok {
		o.logCommands(ctx, id, viaRequest, request.FencingToken, request.Commands)
	}
	return request, ok
}

// commandOutcome returns the outcome of a request to a worker.
func commandOutcome(executed bool, err error) scheduler.CommandOutcome {
	switch {
	case executed:
		return scheduler.CommandsExecuted
	case err == nil, errors.Is(err, workerclient.ErrNotSent):
		return scheduler.CommandsNotExecuted
	default:
		return scheduler.CommandsUnknown
	}
}

// handleCommandResponse updates the partition from the outcome of a request and from the
// heartbeat in the worker's response. The heartbeat is nil if there was no response. outdated is set
// if the commands may be sent again at once, under a token that was raised meanwhile.
func (o *ownedPartition) handleCommandResponse(
	id string, request wire.CommandRequest, heartbeat *wire.Heartbeat, outcome scheduler.CommandOutcome,
) (outdated bool) {
	o.mu.Lock()
	o.partition.HandleCommandOutcome(request, id, outcome)
	if heartbeat != nil {
		outdated = outcome == scheduler.CommandsNotExecuted && o.partition.IsOutdated(request, heartbeat)
		o.partition.HandleCommandResponse(heartbeat, time.Now())
	}
	o.mu.Unlock()
	o.requestCycle()
	return outdated
}
