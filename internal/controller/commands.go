package controller

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"ambersill/internal/agentclient"
	"ambersill/internal/scheduler"
	"ambersill/internal/tuning"
)

// commandSlots bounds what is sent straight to workers. Each order is a socket, and a worker
// that does not answer holds one until it times out, so that without a bound a zone
// that falls silent would take them all, the lease's renewal included.
type commandSlots struct {
	mu       sync.Mutex
	limit    int
	inFlight map[string]*inFlightCommand // machines that one is under way to
	// A machine that has not carried the last one out is tried again after a while,
	// each time twice as long, and all such machines share half of the room, so that
	// those that answer are never behind them.
	backoff           map[string]commandBackoff
	inFlightBackedOff int // under way to machines in rest
}

type inFlightCommand struct{ backedOff, gone bool }

type commandBackoff struct {
	until time.Time
	wait  time.Duration
}

func newCommandSlots(sockets int) *commandSlots {
	return &commandSlots{limit: max(2, int(float64(sockets)*tuning.OrderShare)), inFlight: map[string]*inFlightCommand{}, backoff: map[string]commandBackoff{}}
}

// acquire takes room for an order to a machine; false: not now.
func (q *commandSlots) acquire(id string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, slow := q.backoff[id]
	if q.inFlight[id] != nil || len(q.inFlight) >= q.limit || (slow && (now.Before(r.until) || q.inFlightBackedOff >= q.limit/2)) {
		return false
	}
	q.inFlight[id] = &inFlightCommand{backedOff: slow}
	if slow {
		q.inFlightBackedOff++
	}
	return true
}

// release gives the room back, and notes whether the order was carried out; least and most
// bound how long the machine is left alone if not.
func (q *commandSlots) release(id string, executed bool, now time.Time, least, most time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	u := q.inFlight[id]
	delete(q.inFlight, id)
	if u.backedOff {
		q.inFlightBackedOff--
	}
	if executed || u.gone {
		delete(q.backoff, id)
		return
	}
	r := q.backoff[id]
	r.wait = min(max(2*r.wait, least), most)
	r.until = now.Add(r.wait)
	q.backoff[id] = r
}

// resetBackoff notes that a machine reports, so that it may be tried at once.
func (q *commandSlots) resetBackoff(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.backoff[id]; ok && q.inFlight[id] == nil {
		q.backoff[id] = commandBackoff{}
	}
}

// forget drops what is known of a machine that is gone.
func (q *commandSlots) forget(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.backoff, id)
	if u := q.inFlight[id]; u != nil {
		u.gone = true
	}
}

// acquireCommandSlot takes room for an order to a machine of this part.
func (o *ownedPartition) acquireCommandSlot(id string) bool {
	return o.controller.commandSlots.acquire(id, time.Now())
}

// releaseCommandSlot gives it back.
func (o *ownedPartition) releaseCommandSlot(id string, executed bool) {
	w := o.controller.settings.Cluster.Workers
	o.controller.commandSlots.release(id, executed, time.Now(), tuning.Seconds(w.ReportS), tuning.Seconds(w.LeaseS))
}

// sendCommands sends starts and stops without waiting for the next report. What finds no
// room now goes with a later pass, or in the answer to a report. Without news only the
// tasks of cancelled jobs are stopped, which is right whoever owns the part by now.
func (o *ownedPartition) sendCommands() {
	fresh := o.fresh()
	o.mu.Lock()
	ids := o.partition.MachinesAwaitingCommands(fresh)
	o.mu.Unlock()
	for _, id := range ids {
		if addr := o.controller.address(id); addr != "" && o.acquireCommandSlot(id) {
			go o.sendCommandsTo(id, addr)
		}
	}
}

// sendCommandsTo sends a machine its starts and stops.
func (o *ownedPartition) sendCommandsTo(id, addr string) {
	outcome := scheduler.CommandsExecuted
	defer func() { o.releaseCommandSlot(id, outcome == scheduler.CommandsExecuted) }()
	fresh := o.fresh()
	o.mu.Lock()
	ord, ok := o.partition.DirectCommands(id, fresh)
	o.mu.Unlock()
	if !ok {
		return
	}
	heartbeat, executed, err := o.controller.workers.SendCommands(o.ctx, addr, ord)
	outcome = scheduler.CommandsUnknown
	switch {
	case executed:
		outcome = scheduler.CommandsExecuted
	case err == nil, errors.Is(err, agentclient.ErrNotSent):
		outcome = scheduler.CommandsNotExecuted
	}
	if err != nil {
		slog.Debug("order unanswered", "machine", id, "err", err)
	}
	o.mu.Lock()
	o.partition.HandleCommandOutcome(ord, id, outcome)
	if err == nil {
		o.partition.HandleCommandResponse(heartbeat, time.Now())
	}
	o.mu.Unlock()
	o.wakeUp()
}
