package controller

import (
	"context"
	"log/slog"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/tuning"
)

// fencingRetryInterval is the pause between two attempts to fence the machines that have not
// acknowledged the owner's fencing token yet. It is a small fraction of the workers' lease,
// since a machine may need several attempts.
const fencingRetryInterval = 200 * time.Millisecond

// fenceMachines raises the fencing token of every machine with tasks of an earlier owner, and
// repeats this until all machines have acknowledged the token. Waiting for their next
// heartbeats is not enough: a worker may send its heartbeats to an earlier owner that is cut
// off by a network partition and does not know that it was replaced. Such a worker learns of
// the new owner only by this request.
func (o *ownedPartition) fenceMachines(ctx context.Context) {
	var lookup addressLookup
	for ctx.Err() == nil {
		o.mu.Lock()
		ids := o.partition.UnfencedMachines()
		o.mu.Unlock()
		if len(ids) == 0 {
			return
		}
		lookup.readAddresses(ctx, o.controller)
		for _, id := range ids {
			o.startRequest(ctx, id, o.fenceMachine)
		}
		transport.Pause(ctx, fencingRetryInterval)
	}
}

// addressLookup reads the machines' addresses from the cloud's listing until it has succeeded
// once. A new owner may know no addresses; it learns those of later machines from heartbeats.
type addressLookup struct {
	succeeded bool
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
}

// readAddresses reads the listing, unless an earlier attempt has succeeded or the latest one
// was made less than a heartbeat interval ago.
func (l *addressLookup) readAddresses(ctx context.Context, c *Controller) {
	now := time.Now()
	if l.succeeded || !now.After(l.notBefore) {
		return
	}
	machines, err := c.cloud.List(ctx)
	for _, machine := range machines {
		c.recordAddress(machine.ID, machine.Address)
	}
	l.succeeded = err == nil
	l.notBefore = now.Add(tuning.Seconds(c.settings.Cluster.WorkerTiming.HeartbeatIntervalS))
}

// fenceMachine sends the current fencing token to the worker of one machine, and reports
// whether the worker has executed the request. The response contains the state of the
// machine's tasks and is handled like a heartbeat.
func (o *ownedPartition) fenceMachine(ctx context.Context, id, address string) (executed bool) {
	o.mu.Lock()
	request, ok := o.partition.FencingRequest(id)
	o.mu.Unlock()
	if !ok {
		return false
	}
	// A machine that is up answers within milliseconds. One that is down must not occupy a
	// command slot for long.
	ctx, cancel := context.WithTimeout(ctx, tuning.FencingTimeout)
	defer cancel()
	heartbeat, executed, err := o.controller.workers.SendCommands(ctx, address, request)
	if err != nil {
		slog.Debug("raising fencing token of machine failed, retrying", "machine", id, "err", err)
		return executed
	}
	o.mu.Lock()
	// A worker that has seen a higher token of this owner needs no other request.
	executed = executed || o.partition.IsOutdated(request, heartbeat)
	o.partition.HandleCommandResponse(heartbeat, time.Now())
	o.mu.Unlock()
	o.requestCycle()
	return executed
}
