package core

import (
	"math"
	"time"

	"ambersill/internal/wire"
)

// maxDemands bounds a summary's size; the leader sizes for the first ones.
const maxDemands = 24

// Summary sums up the part for the leader.
func (p *Part) Summary(now time.Time) Summary {
	s := Summary{Booked: map[string]float64{}, Firm: map[string]float64{}}
	for _, id := range p.order {
		m := p.machines[id]
		if m.acked {
			s.Up = append(s.Up, id)
		}
		var firm Room
		for _, pl := range m.places {
			if !pl.job.Spot {
				firm = firm.add(need(pl.job.Job))
			}
		}
		s.Firm[m.Rec.Type] += m.size.share(firm)
		if len(m.places) > 0 {
			s.Booked[m.Rec.Type] += m.size.share(m.used)
		} else if m.usable() && !(m.reserved != "" && now.Before(m.resUntil)) {
			s.Empty = append(s.Empty, id)
		}
		if m.sick || m.silent {
			s.Bad = append(s.Bad, id)
		}
		if !m.acked && len(m.places) > 0 && now.Sub(m.adopted).Seconds() > p.s.Cluster.Workers.LeaseS+3*p.s.Cluster.Workers.ReportS {
			// Never heard since the takeover: only its return frees its tasks.
			s.Bad = append(s.Bad, id)
		}
	}
	for _, b := range []map[string]float64{s.Booked, s.Firm} {
		for k, v := range b {
			b[k] = math.Round(v*1000) / 1000
		}
	}
	for _, q := range p.queues(now) {
		for _, j := range q.jobs {
			if j.held && now.Sub(j.preempted).Seconds() < p.t.PreemptGapS {
				continue
			}
			n := min(j.waiting, q.team.left(need(j.Job)))
			if j.Shape == wire.Gang && n < j.Tasks {
				continue
			}
			if n > 0 && len(s.Waiting) < maxDemands {
				s.Waiting = append(s.Waiting, demand(j, n))
			}
		}
	}
	return s
}

func demand(j *Job, n int) Demand {
	d := Demand{Types: j.Types, Zone: j.Zone, Spot: j.Spot, OneZone: j.OneZone, Gang: j.Shape == wire.Gang,
		CPUs: j.CPUs, GPUs: j.GPUs, RAM: j.RAM, Tasks: n, Seconds: j.Estimate, Level: j.Rank.Level()}
	if j.Spread {
		d.ZoneMax = (j.Tasks + 1) / 2
	}
	if j.OneZone {
		// Where its other tasks are, the rest has to go.
		for z := range zoneCount(j) {
			d.Zone = z
		}
	}
	return d
}
