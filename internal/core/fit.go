package core

import (
	"cmp"
	"slices"
	"time"

	"ambersill/internal/wire"
)

// zoneCount counts the job's tasks that may be live, by zone.
func zoneCount(j *Job) map[string]int {
	out := map[string]int{}
	for _, pl := range j.placed {
		out[pl.machine.Rec.Zone]++
	}
	return out
}

func allowed(j *wire.Job, m *Machine) bool {
	if m.Rec.Spot && !j.Spot {
		return false
	}
	if j.Zone != "" && m.Rec.Zone != j.Zone {
		return false
	}
	return typeAllowed(j.Types, m.Rec.Type)
}

func typeAllowed(types []string, name string) bool {
	if len(types) == 0 {
		return true
	}
	for _, t := range types {
		if t == name {
			return true
		}
	}
	return false
}

// fit finds machines for up to n tasks of a job among those given, for a gang for all
// n or none. free tells what room of a machine counts.
func (p *Partition) fit(j *Job, n int, now time.Time, among []*Machine, free func(*Machine) Room) []*Machine {
	r := need(j.Job)
	zones := zoneCount(j)
	var cands []*Machine
	for _, m := range among {
		if !m.usable() || !allowed(j.Job, m) || j.failedOn[m.ID] {
			continue
		}
		if m.reserved != "" && m.reserved != j.ID && now.Before(m.resUntil) {
			continue
		}
		if j.overdue && !j.forced && j.Shape != wire.Gang && len(m.places) == 0 {
			continue // others that go after it may need the machine as a whole
		}
		if f := free(m); !f.holds(r) || !spare(j, m, f) {
			continue
		}
		cands = append(cands, m)
	}
	if len(cands) == 0 {
		return nil
	}
	if !j.OneZone {
		return p.pick(j, n, cands, zones, free)
	}
	// All tasks in one zone, old attempts that may be live included.
	names := map[string][]*Machine{}
	for _, m := range cands {
		names[m.Rec.Zone] = append(names[m.Rec.Zone], m)
	}
	var best []*Machine
	bestCost := 0.0
	for _, z := range sortedKeys(names) {
		if len(zones) > 0 && zones[z] == 0 {
			continue
		}
		got := p.pick(j, n, names[z], zones, free)
		if j.Shape == wire.Gang && len(got) < n {
			continue
		}
		c := 0.0
		for _, m := range got {
			c += p.cost(j, m)
		}
		if len(got) > len(best) || (len(got) == len(best) && c < bestCost) {
			best, bestCost = got, c
		}
	}
	return best
}

// plain tells whether a type without GPUs could take a job's tasks.
func (p *Partition) plain(j *wire.Job) bool {
	for _, t := range p.types {
		if t.GPUs == 0 && typeAllowed(j.Types, t.Name) && size(t).holds(need(j)) {
			return true
		}
	}
	return false
}

// spare tells whether a task that needs no GPU leaves a machine's free GPUs their
// share of its other room, where other types could do its work: GPUs are the scarce
// part, and idle with nothing beside. A job that has waited long takes any room.
func spare(j *Job, m *Machine, free Room) bool {
	if j.GPUs > 0 || m.size.GPUs == 0 || !j.plain || j.old {
		return true
	}
	rest := free.sub(need(j.Job))
	k := free.GPUs / m.size.GPUs
	return rest.CPUs >= k*m.size.CPUs-eps && rest.RAM >= k*m.size.RAM-eps
}

// pick takes the cheapest machines one after the other.
func (p *Partition) pick(j *Job, n int, cands []*Machine, zones map[string]int, free func(*Machine) Room) []*Machine {
	// What a machine costs does not change while tasks are put there, so the machines
	// are taken in one order, each until it is full.
	type choice struct {
		m    *Machine
		cost float64
	}
	choices := make([]choice, len(cands))
	for i, m := range cands {
		choices[i] = choice{m, p.cost(j, m)}
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
	r := need(j.Job)
	perZone := map[string]int{}
	for z, c := range zones {
		perZone[z] = c
	}
	limit := (j.Tasks + 1) / 2
	var out []*Machine
	for _, c := range choices {
		for left := free(c.m); len(out) < n && left.holds(r) && spare(j, c.m, left); left = left.sub(r) {
			if j.Spread && perZone[c.m.Rec.Zone] >= limit {
				break
			}
			perZone[c.m.Rec.Zone]++
			out = append(out, c.m)
		}
		if len(out) == n {
			break
		}
	}
	return out
}

// fetch is how many seconds a machine would take to fetch a job's image.
func (p *Partition) fetch(j *Job, m *Machine) float64 {
	if _, ok := m.images[j.Image]; ok || m.typ.FetchRate <= 0 {
		return 0
	}
	return j.ImageGB / m.typ.FetchRate
}

// leastFetch is the shortest fetch of a job's image among the machines that have
// room for a task of it now. A job whose image is there goes before one that would
// hold on to the machine while it fetches.
func (p *Partition) leastFetch(j *Job) float64 {
	least := -1.0
	r := need(j.Job)
	for _, m := range p.roomy {
		if !m.free().holds(r) || !allowed(j.Job, m) {
			continue
		}
		if f := p.fetch(j, m); least < 0 || f < least {
			least = f
		}
	}
	return max(0, least)
}

// cost orders machines for a task, in seconds: the image's fetch, then the
// scarcer machine, then the emptier one, so that whole machines fall empty.
func (p *Partition) cost(j *Job, m *Machine) float64 {
	c := p.fetch(j, m)
	if j.GPUs == 0 && m.typ.GPUs > 0 {
		c += 120
	}
	c += 10 * (1 - m.size.share(m.used))
	if j.Spot && !m.Rec.Spot {
		c += p.t.OrdinaryCostS
	}
	return c
}

// all lists the part's machines in the order of their names.
func (p *Partition) all() []*Machine {
	out := make([]*Machine, len(p.order))
	for i, id := range p.order {
		out[i] = p.machines[id]
	}
	return out
}
