package controller

import (
	"context"
	"log/slog"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/tuning"
)

// takeOverMachines raises the token of every machine at once, rather than at its next report,
// and goes on until all have shown it: workers that report to a former owner, which is
// cut off and does not know, hear of this one by no other way.
func (o *ownedPartition) takeOverMachines() {
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
			for _, m := range list {
				o.controller.learn(m.ID, m.Address)
			}
			listed, again = err == nil, now.Add(tuning.Seconds(o.controller.settings.Cluster.Workers.ReportS))
		}
		for _, id := range ids {
			if addr := o.controller.addr(id); addr != "" && o.begin(id) {
				go o.takeOverMachine(id, addr)
			}
		}
		transport.Pause(o.ctx, takeoverGap)
	}
}

// takeoverGap is how often machines are looked for that have not shown the token yet:
// a small part of a lease, so that rounds do not add up.
const takeoverGap = 200 * time.Millisecond

// takeOverMachine raises one machine's token, and takes the answer in as a report.
func (o *ownedPartition) takeOverMachine(id, addr string) {
	executed := false
	defer func() { o.end(id, executed) }()
	o.mu.Lock()
	ord, ok := o.partition.FencingRequest(id)
	o.mu.Unlock()
	if !ok {
		return
	}
	// A machine that is there answers in milliseconds; this one must not hold up the rest.
	ctx, cancel := context.WithTimeout(o.ctx, tuning.TakeoverTimeout)
	defer cancel()
	r, done, err := o.controller.workers.Order(ctx, addr, ord)
	executed = done
	if err != nil {
		slog.Debug("machine not taken over yet", "machine", id, "err", err)
		return
	}
	o.mu.Lock()
	o.partition.HandleCommandResponse(r, time.Now())
	o.mu.Unlock()
	o.poke()
}
