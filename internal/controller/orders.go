package controller

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"ambersill/internal/scheduler"
	"ambersill/internal/tuning"
	"ambersill/internal/worker"
)

// orders bounds what is sent straight to workers. Each order is a socket, and a worker
// that does not answer holds one until it times out, so that without a bound a zone
// that falls silent would take them all, the lease's renewal included.
type orders struct {
	mu    sync.Mutex
	most  int
	under map[string]*underway // machines that one is under way to
	// A machine that has not carried the last one out is tried again after a while,
	// each time twice as long, and all such machines share half of the room, so that
	// those that answer are never behind them.
	backoff map[string]pause
	slow    int // under way to machines in rest
}

type underway struct{ slow, gone bool }

type pause struct {
	until time.Time
	wait  time.Duration
}

func newOrders(sockets int) *orders {
	return &orders{most: max(2, int(float64(sockets)*tuning.OrderShare)), under: map[string]*underway{}, backoff: map[string]pause{}}
}

// begin takes room for an order to a machine; false: not now.
func (q *orders) begin(id string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, slow := q.backoff[id]
	if q.under[id] != nil || len(q.under) >= q.most || (slow && (now.Before(r.until) || q.slow >= q.most/2)) {
		return false
	}
	q.under[id] = &underway{slow: slow}
	if slow {
		q.slow++
	}
	return true
}

// end gives the room back, and notes whether the order was carried out; least and most
// bound how long the machine is left alone if not.
func (q *orders) end(id string, executed bool, now time.Time, least, most time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	u := q.under[id]
	delete(q.under, id)
	if u.slow {
		q.slow--
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

// heard notes that a machine reports, so that it may be tried at once.
func (q *orders) heard(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.backoff[id]; ok && q.under[id] == nil {
		q.backoff[id] = pause{}
	}
}

// forget drops what is known of a machine that is gone.
func (q *orders) forget(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.backoff, id)
	if u := q.under[id]; u != nil {
		u.gone = true
	}
}

// begin takes room for an order to a machine of this part.
func (o *ownedPartition) begin(id string) bool { return o.controller.orders.begin(id, time.Now()) }

// end gives it back.
func (o *ownedPartition) end(id string, executed bool) {
	w := o.controller.settings.Cluster.Workers
	o.controller.orders.end(id, executed, time.Now(), tuning.Seconds(w.ReportS), tuning.Seconds(w.LeaseS))
}

// direct sends starts and stops without waiting for the next report. What finds no
// room now goes with a later pass, or in the answer to a report. Without news only the
// tasks of cancelled jobs are stopped, which is right whoever owns the part by now.
func (o *ownedPartition) direct() {
	fresh := o.fresh()
	o.mu.Lock()
	ids := o.partition.MachinesAwaitingCommands(fresh)
	o.mu.Unlock()
	for _, id := range ids {
		if addr := o.controller.addr(id); addr != "" && o.begin(id) {
			go o.order(id, addr)
		}
	}
}

// order sends a machine its starts and stops.
func (o *ownedPartition) order(id, addr string) {
	outcome := scheduler.CommandsExecuted
	defer func() { o.end(id, outcome == scheduler.CommandsExecuted) }()
	fresh := o.fresh()
	o.mu.Lock()
	ord, ok := o.partition.DirectCommands(id, fresh)
	o.mu.Unlock()
	if !ok {
		return
	}
	r, executed, err := o.controller.workers.Order(o.ctx, addr, ord)
	outcome = scheduler.CommandsUnknown
	switch {
	case executed:
		outcome = scheduler.CommandsExecuted
	case err == nil, errors.Is(err, worker.ErrNotSent):
		outcome = scheduler.CommandsNotExecuted
	}
	if err != nil {
		slog.Debug("order unanswered", "machine", id, "err", err)
	}
	o.mu.Lock()
	o.partition.HandleCommandOutcome(ord, id, outcome)
	if err == nil {
		o.partition.HandleCommandResponse(r, time.Now())
	}
	o.mu.Unlock()
	o.poke()
}
