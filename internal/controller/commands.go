package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ambersill/internal/agentclient"
	"ambersill/internal/scheduler"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// sendCommands sends starts and stops without waiting for the machines' next heartbeats.
// Commands for which no slot is free are sent in a later scheduling cycle, or in the response
// to a heartbeat. While the owner's knowledge of cancellations is too old, only the tasks of
// cancelled jobs are stopped, which is right whoever owns the partition by now.
func (o *ownedPartition) sendCommands(ctx context.Context) {
	mayStart := o.mayStartTasks()
	o.mu.Lock()
	ids := o.partition.MachinesAwaitingCommands(mayStart)
	o.mu.Unlock()
	for _, id := range ids {
		o.startRequest(ctx, id, o.sendCommandsTo)
	}
}

// machineRequest sends a request to the worker of a machine, and reports whether the worker has
// executed it.
type machineRequest func(ctx context.Context, id, address string) (executed bool)

// startRequest runs send in a goroutine if the machine's address is known and a command slot
// is free. A request that is not executed puts the machine into back-off.
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

// commandBackoffLimits returns the waits after a request that a worker did not execute, from
// the time between two heartbeats up to a lease.
func (c *Controller) commandBackoffLimits() backoffLimits {
	workers := c.settings.Cluster.Workers
	return backoffLimits{shortest: tuning.Seconds(workers.ReportS), longest: tuning.Seconds(workers.LeaseS)}
}

// sendCommandsTo sends a machine its starts and stops, and reports whether the worker has
// executed them; nothing to send counts as executed.
func (o *ownedPartition) sendCommandsTo(ctx context.Context, id, address string) (executed bool) {
	mayStart := o.mayStartTasks()
	o.mu.Lock()
	request, ok := o.partition.DirectCommands(id, mayStart)
	o.mu.Unlock()
	if !ok {
		return true
	}
	heartbeat, executed, err := o.controller.workers.SendCommands(ctx, address, request)
	if err != nil {
		slog.Debug("commands not answered", "machine", id, "err", err)
	}
	o.handleCommandResponse(id, request, heartbeat, commandOutcome(executed, err))
	return executed
}

// commandOutcome classifies the result of a request to a worker.
func commandOutcome(executed bool, err error) scheduler.CommandOutcome {
	switch {
	case executed:
		return scheduler.CommandsExecuted
	case err == nil, errors.Is(err, agentclient.ErrNotSent):
		return scheduler.CommandsNotExecuted
	default:
		return scheduler.CommandsUnknown
	}
}

// handleCommandResponse reconciles the outcome of a request and the worker's response; the
// heartbeat is nil if there was none.
func (o *ownedPartition) handleCommandResponse(
	id string, request wire.CommandRequest, heartbeat *wire.Heartbeat, outcome scheduler.CommandOutcome,
) {
	o.mu.Lock()
	o.partition.HandleCommandOutcome(request, id, outcome)
	if heartbeat != nil {
		o.partition.HandleCommandResponse(heartbeat, time.Now())
	}
	o.mu.Unlock()
	o.requestCycle()
}
