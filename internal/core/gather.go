package core

import (
	"sort"
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// vacancy is a place for one task of a job that a machine will have.
type vacancy struct {
	m  *Machine
	in float64 // seconds until then, by the estimates of what runs there
}

// gather keeps machines free for a gang that has waited long, as the tasks on them
// end: where all the room it needs comes together the soonest. Nothing is stopped
// for it. Without this, small work takes each place as it falls free, and a gang of
// many machines never finds them empty together.
func (p *Partition) gather(j *Job, n int, now time.Time) {
	if j.Shape != wire.Gang || !j.aged || now.Before(j.gathers) {
		return
	}
	zones := map[string][]vacancy{}
	for _, id := range p.order {
		m := p.machines[id]
		if !m.usable() || !allowed(j.Job, m) || j.failedOn[id] {
			continue
		}
		if m.reserved != "" && m.reserved != j.ID && now.Before(m.resUntil) {
			if m.reserved != draining {
				zones[m.Rec.Zone] = append(zones[m.Rec.Zone], vacancy{in: -1})
			}
			continue
		}
		z := m.Rec.Zone
		if !j.OneZone {
			z = ""
		}
		zones[z] = append(zones[z], p.vacancies(j, m, now)...)
	}
	var best []vacancy
	limit := (j.Tasks + 1) / 2
	for _, z := range sortedKeys(zones) {
		vs := zones[z]
		sort.SliceStable(vs, func(a, b int) bool { return vs[a].in < vs[b].in })
		if len(vs) > 0 && vs[0].in < 0 {
			continue // room is kept for another there, and one at a time gets it
		}
		var got []vacancy
		perZone := map[string]int{}
		for _, v := range vs {
			if len(got) == n {
				break
			}
			if j.Spread && perZone[v.m.Rec.Zone] >= limit {
				continue
			}
			perZone[v.m.Rec.Zone]++
			got = append(got, v)
		}
		if len(got) == n && (best == nil || got[n-1].in < best[n-1].in) {
			best = got
		}
	}
	if best == nil {
		return
	}
	wait := min(max(best[n-1].in, 0), p.t.StarveS) + 3*p.s.Cluster.Workers.ReportS
	j.gathers = now.Add(tuning.Seconds(wait))
	for _, v := range best {
		v.m.reserved, v.m.resUntil = j.ID, j.gathers
	}
	p.Gathered++
}

// vacancies lists when a machine will have room for one task of a job, for a second
// one, and so on, if nothing else is placed there.
func (p *Partition) vacancies(j *Job, m *Machine, now time.Time) []vacancy {
	type end struct {
		in   float64
		room Room
	}
	var ends []end
	for _, k := range sortedAttempts(m.places) {
		pl := m.places[k]
		o := pl.job
		left := runSeconds(o.Job) + p.fetch(o, m)
		if !pl.began.IsZero() {
			left = max(runSeconds(o.Job)-now.Sub(pl.began).Seconds(), 1)
		}
		ends = append(ends, end{left, need(o.Job)})
	}
	sort.SliceStable(ends, func(a, b int) bool { return ends[a].in < ends[b].in })
	r := need(j.Job)
	free, in := m.free(), 0.0
	var out []vacancy
	for i := 0; ; i++ {
		for free.holds(r) && len(out) < j.Tasks {
			free = free.sub(r)
			out = append(out, vacancy{m, in})
		}
		if i == len(ends) || len(out) == j.Tasks {
			return out
		}
		free, in = free.add(ends[i].room), ends[i].in
	}
}
