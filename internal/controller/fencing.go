package controller

import (
	"context"
	"log/slog"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/tuning"
)

// fencingInterval is the wait between two rounds over the machines that have not shown the
// owner's fencing token yet: a small fraction of a lease, since a machine may need several.
const fencingInterval = 200 * time.Millisecond

// fenceMachines raises the fencing token of every machine with work of a former owner, and
// repeats this until all have shown it. Waiting for their next heartbeats is not enough:
// workers that send them to a former owner, which is partitioned away and does not know that
// it was replaced, cannot learn of this owner in any other way.
func (o *ownedPartition) fenceMachines(ctx context.Context) {
	var lookup addressLookup
	for ctx.Err() == nil {
		o.mu.Lock()
		ids := o.partition.UnfencedMachines()
		o.mu.Unlock()
		if len(ids) == 0 {
			return
		}
		lookup.run(ctx, o.controller)
		for _, id := range ids {
			o.startRequest(ctx, id, o.fenceMachine)
		}
		transport.Pause(ctx, fencingInterval)
	}
}

// addressLookup reads the machines' addresses from the cloud's list, once with success: a
// new owner may know none, and learns later ones from heartbeats.
type addressLookup struct {
	succeeded bool
	// notBefore is when the next attempt may be made.
	notBefore time.Time
}

// run reads the list, unless that has succeeded or the last attempt was just made.
func (l *addressLookup) run(ctx context.Context, c *Controller) {
	now := time.Now()
	if l.succeeded || !now.After(l.notBefore) {
		return
	}
	machines, err := c.cloud.List(ctx)
	for _, machine := range machines {
		c.recordAddress(machine.ID, machine.Address)
	}
	l.succeeded = err == nil
	l.notBefore = now.Add(tuning.Seconds(c.settings.Cluster.Workers.ReportS))
}

// fenceMachine raises one machine's fencing token, and reports whether the worker has
// executed the request. The response is reconciled like a heartbeat.
func (o *ownedPartition) fenceMachine(ctx context.Context, id, address string) (executed bool) {
	o.mu.Lock()
	request, ok := o.partition.FencingRequest(id)
	o.mu.Unlock()
	if !ok {
		return false
	}
	// A machine that is up answers in milliseconds; others must not occupy slots for long.
	ctx, cancel := context.WithTimeout(ctx, tuning.TakeoverTimeout)
	defer cancel()
	heartbeat, executed, err := o.controller.workers.SendCommands(ctx, address, request)
	if err != nil {
		slog.Debug("machine not fenced yet", "machine", id, "err", err)
		return executed
	}
	o.mu.Lock()
	o.partition.HandleCommandResponse(heartbeat, time.Now())
	o.mu.Unlock()
	o.requestCycle()
	return executed
}
