package core

import (
	"slices"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// TakeoverOrder is an empty order, which raises a machine's token, so that an earlier
// owner's commands can no longer take effect.
func (p *Partition) TakeoverOrder(id string) (wire.Orders, bool) {
	m := p.machines[id]
	if m == nil || m.Rec.Free {
		return wire.Orders{}, false
	}
	return wire.Orders{Token: m.token, Session: m.session, Commands: []wire.Command{}}, true
}

// Unheard lists the machines with work of an earlier owner that have not shown the
// present token yet.
func (p *Partition) Unheard() []string {
	var out []string
	for _, id := range p.order {
		if m := p.machines[id]; !m.acked && !m.spoken && len(m.places) > 0 {
			out = append(out, id)
		}
	}
	return out
}

// Urgent lists machines that should hear orders before their next report. fresh: as with
// Report; without, only stops of cancelled jobs are orders.
func (p *Partition) Urgent(fresh bool) []string {
	var out []string
	for _, id := range p.order {
		m := p.machines[id]
		if !m.acked || m.leaseExpired || m.ordering || m.unconfirmed {
			continue
		}
		for _, pl := range m.places {
			if pl.stops(fresh) || (fresh && !pl.sent && !m.notice && p.startable(pl)) {
				out = append(out, id)
				break
			}
		}
	}
	return out
}

// stops tells whether the placement's stop is still to be ordered.
func (pl *Placement) stops(fresh bool) bool {
	return pl.kill != nil && !pl.kill.told && (fresh || pl.job.Cancelled)
}

// startable tells whether a placement's start may leave: only after it is committed.
func (p *Partition) startable(pl *Placement) bool {
	return !pl.seen && pl.kill == nil && !pl.over && !pl.job.Cancelled &&
		pl.session == pl.machine.session && pl.chunk().committed >= pl.version
}

// startables are the machine's placements whose starts may leave, in order.
func (p *Partition) startables(m *Machine) []attempt {
	for _, pl := range m.places {
		if p.startable(pl) {
			return slices.DeleteFunc(sortedAttempts(m.places), func(k attempt) bool { return !p.startable(m.places[k]) })
		}
	}
	return nil
}

// Orders gives the starts and stops to send straight to a machine. Until the
// order is answered nothing else starts or is cleared there: a copy that is held
// back on the way could start a task once more after it was cleared.
func (p *Partition) Orders(id string, fresh bool) (wire.Orders, bool) {
	m := p.machines[id]
	if m == nil || m.ordering || m.unconfirmed || !m.acked {
		return wire.Orders{}, false
	}
	o := wire.Orders{Token: m.token, Session: m.session}
	for _, k := range sortedAttempts(m.places) {
		if len(o.Commands) >= tuning.MaxCommands {
			break
		}
		pl := m.places[k]
		switch {
		case pl.stops(fresh):
			pl.kill.told = true
			o.Commands = append(o.Commands, wire.Command{Op: wire.Stop, Task: k.task, Attempt: k.try, Grace: pl.kill.grace})
		case fresh && !pl.sent && !m.notice && p.startable(pl):
			// A start sent in the answer to a report is repeated only there.
			pl.sent, pl.sentSeq, pl.direct = true, m.reported, m.token
			o.Commands = append(o.Commands, wire.Command{Op: wire.Start, Task: k.task, Attempt: k.try})
			m.ordering = true
		}
	}
	return o, len(o.Commands) > 0
}

// OrderOutcome is what became of an order.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderExecuted OrderOutcome = iota
	OrderDropped               // refused by the worker, or never left
	OrderUnknown
)

// Ordered notes what became of an order. Without an answer its starts may
// still be carried out as long as token and session match, so the token has to
// be raised before anything is concluded from the tasks' absence.
func (p *Partition) Ordered(o wire.Orders, id string, outcome OrderOutcome) {
	m := p.machines[id]
	if m == nil {
		return
	}
	for _, c := range o.Commands {
		pl := m.places[attempt{c.Task, c.Attempt}]
		switch {
		case pl == nil:
		case c.Op == wire.Stop && outcome == OrderDropped && pl.kill != nil:
			pl.kill.told = false
		case c.Op != wire.Start || !m.ordering:
		case outcome == OrderExecuted:
			pl.seen = true
		case outcome == OrderDropped:
			// One that is to be stopped by now is not sent again; the next report shows
			// that it is not there. Taken as not sent, nothing would ever free it.
			pl.sent, pl.direct = pl.kill != nil, 0
		default:
			m.unconfirmed, m.unconfirmedToken = true, m.token
		}
	}
	if m.ordering {
		m.ordering = false
		p.room++
	}
}
