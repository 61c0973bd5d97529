package core

import (
	"time"

	"ambersill/internal/tuning"
)

// Sweep handles what passes with time alone: silent machines, and starts whose
// order is withdrawn.
func (p *Partition) Sweep(now time.Time) {
	lease := tuning.Seconds(p.s.Cluster.Workers.LeaseS*(1+p.t.Drift) + p.t.MarginS)
	for _, id := range p.order {
		m := p.machines[id]
		// Only an owner that has itself spoken with the worker under its token
		// knows when the lease was last renewed; after a takeover the
		// machine's return must be confirmed instead.
		if !m.spoken || m.leaseExpired || now.Sub(m.answered) <= lease {
			continue
		}
		m.leaseExpired, m.leaseExpiredAt = true, now
		p.room++
		for _, k := range sortedAttempts(m.places) {
			if pl := m.places[k]; pl != nil {
				p.requeue(pl, now)
			}
		}
	}
	// A start that was sent but never seen, and is to be stopped, is gone once
	// a newer report does not show it. An answer to an order would not do: the
	// start may be under way in the answer to a report.
	for _, id := range p.order {
		m := p.machines[id]
		if m.ordering || m.unconfirmed || !m.acked {
			continue
		}
		gone := func(pl *Placement) bool {
			return pl != nil && pl.kill != nil && !pl.seen && pl.sent && pl.session == m.session && m.reported > pl.sentSeq
		}
		some := false
		for _, pl := range m.places {
			some = some || gone(pl)
		}
		if !some {
			continue
		}
		for _, k := range sortedAttempts(m.places) {
			if pl := m.places[k]; gone(pl) {
				p.requeue(pl, now)
			}
		}
	}
}
