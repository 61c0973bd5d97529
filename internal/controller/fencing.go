package controller

import (
	"context"
	"log/slog"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/tuning"
)

// fenceMachines raises the token of every machine at once, rather than at its next report,
// and goes on until all have shown it: workers that report to a former owner, which is
// cut off and does not know, hear of this one by no other way.
func (o *ownedPartition) fenceMachines() {
	listed, again := false, time.Time{}
	for o.ctx.Err() == nil {
		o.mu.Lock()
		ids := o.partition.MachinesNotFenced()
		o.mu.Unlock()
		if len(ids) == 0 {
			return
		}
		if now := time.Now(); !listed && now.After(again) {
			list, err := o.controller.cloud.List(o.ctx)
			for _, machine := range list {
				o.controller.recordAddress(machine.ID, machine.Address)
			}
			listed, again = err == nil, now.Add(tuning.Seconds(o.controller.settings.Cluster.Workers.ReportS))
		}
		for _, id := range ids {
			if addr := o.controller.address(id); addr != "" && o.acquireCommandSlot(id) {
				go o.fenceMachine(id, addr)
			}
		}
		transport.Pause(o.ctx, fencingInterval)
	}
}

// fencingInterval is how often machines are looked for that have not shown the token yet:
// a small part of a lease, so that rounds do not add up.
const fencingInterval = 200 * time.Millisecond

// fenceMachine raises one machine's token, and takes the answer in as a report.
func (o *ownedPartition) fenceMachine(id, addr string) {
	executed := false
	defer func() { o.releaseCommandSlot(id, executed) }()
	o.mu.Lock()
	ord, ok := o.partition.FencingRequest(id)
	o.mu.Unlock()
	if !ok {
		return
	}
	// A machine that is there answers in milliseconds; this one must not hold up the rest.
	ctx, cancel := context.WithTimeout(o.ctx, tuning.TakeoverTimeout)
	defer cancel()
	heartbeat, done, err := o.controller.workers.SendCommands(ctx, addr, ord)
	executed = done
	if err != nil {
		slog.Debug("machine not taken over yet", "machine", id, "err", err)
		return
	}
	o.mu.Lock()
	o.partition.HandleCommandResponse(heartbeat, time.Now())
	o.mu.Unlock()
	o.wakeUp()
}
