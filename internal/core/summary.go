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
	soon := p.soonFree(now)
	for _, q := range p.queues(now) {
		for _, j := range q.jobs {
			if j.held && now.Sub(j.preempted).Seconds() < p.t.PreemptGapS {
				continue
			}
			n := min(j.waiting, q.team.left(need(j.Job)))
			if j.Shape == wire.Gang && n < j.Tasks {
				continue
			}
			n -= p.canWait(j, n, soon)
			if n > 0 && len(s.Waiting) < maxDemands {
				s.Waiting = append(s.Waiting, demand(j, n))
			}
		}
	}
	return s
}

func demand(j *Job, n int) Demand {
	return Demand{Types: j.Types, Zone: j.Zone, Spot: j.Spot, OneZone: j.OneZone, Spread: j.Spread, Gang: j.Shape == wire.Gang,
		CPUs: j.CPUs, GPUs: j.GPUs, RAM: j.RAM, Tasks: n, Seconds: j.Estimate, Level: j.Rank.Level()}
}

// rest guesses how long a placement still takes. One that has outrun its
// estimate is expected to take half as long again as it has run.
func rest(pl *Placement, now time.Time) float64 {
	if pl.began.IsZero() {
		return pl.job.Estimate + pl.job.ImageGB/max(pl.machine.typ.FetchRate, 0.01)
	}
	ran := now.Sub(pl.began).Seconds()
	return max(pl.job.Estimate-ran, ran/2)
}

// soonFree is the room that each machine is expected to have before long. How
// long work may wait for it goes by what a machine costs: a dear one is worth a
// wait, a cheap one is rented.
func (p *Part) soonFree(now time.Time) map[*Machine]Room {
	cheapest := math.Inf(1)
	for _, t := range p.types {
		cheapest = min(cheapest, t.Price)
	}
	out := map[*Machine]Room{}
	for _, id := range p.order {
		m := p.machines[id]
		if !m.usable() || m.reserved == draining {
			continue
		}
		patience := min(p.t.PatienceS*m.typ.Price/cheapest, p.t.PatienceBoots*m.typ.BootS)
		r := Room{}
		for _, pl := range m.places {
			if pl.kill != nil || rest(pl, now) <= patience {
				r = r.add(need(pl.job.Job))
			}
		}
		if r != (Room{}) {
			out[m] = r.add(m.free())
		}
	}
	return out
}

// canWait is how many of a job's n waiting tasks find room soon, which they take.
func (p *Part) canWait(j *Job, n int, soon map[*Machine]Room) int {
	found := 0
	claim := map[*Machine]int{}
	for _, id := range p.order {
		m := p.machines[id]
		r, ok := soon[m]
		if !ok || !allowed(j.Job, m) || found == n {
			continue
		}
		if k := min(n-found, r.count(need(j.Job))); k > 0 {
			claim[m] = k
			found += k
		}
	}
	if j.Shape == wire.Gang && found < n {
		return 0
	}
	for m, k := range claim {
		soon[m] = soon[m].sub(need(j.Job).times(k))
	}
	return found
}
