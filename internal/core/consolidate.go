package core

import (
	"sort"
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// draining is put as the holder of the room of a machine that is being emptied;
// no job has such an id.
const draining = "draining"

func (m *Machine) price() float64 {
	if m.Rec.Spot {
		return m.typ.SpotPrice
	}
	return m.typ.Price
}

// consolidate empties a machine whose work fits into the room of others that are
// in use, so that it can go back: sizing counts booked room, but only an empty
// machine can be returned. Only work that can save is moved.
func (p *Partition) consolidate(now time.Time) {
	if now.Sub(p.consolidated) < tuning.Seconds(p.t.ConsolidateS) {
		return
	}
	p.consolidated = now
	wanted := map[string]bool{}
	for _, j := range p.jobs {
		if j.Cancelled || j.waiting == 0 {
			continue
		}
		for name := range p.types {
			if typeAllowed(j.Types, name) {
				wanted[name] = true
			}
		}
	}
	var cands []*Machine
	for _, id := range p.order {
		if m := p.machines[id]; m.usable() && !wanted[m.Rec.Type] && m.reserved == "" && len(m.places) > 0 && m.size.share(m.used) <= 0.5 {
			cands = append(cands, m)
		}
	}
	sort.SliceStable(cands, func(a, b int) bool {
		if x, y := cands[a].price(), cands[b].price(); x != y {
			return x > y
		}
		return cands[a].size.share(cands[a].used) < cands[b].size.share(cands[b].used)
	})
	for _, m := range cands {
		if p.empties(m, now) {
			for _, k := range sortedAttempts(m.places) {
				if pl := m.places[k]; pl != nil {
					p.Moved++
					p.stopWhole(pl, now)
				}
			}
			m.reserved, m.resUntil = draining, now.Add(tuning.Seconds(3*p.t.ConsolidateS))
			return
		}
	}
}

// empties tells whether all work of a machine can be moved, and is worth moving.
func (p *Partition) empties(m *Machine, now time.Time) bool {
	left := map[string]Room{}
	for _, k := range sortedAttempts(m.places) {
		pl := m.places[k]
		j := pl.job
		if pl.kill != nil || pl.over || j.Checkpoint == 0 || (j.Shape == wire.Gang && j.Tasks > 1) || !p.settled(pl, now) || j.OneZone || j.Spread {
			return false
		}
		rest := j.Estimate - now.Sub(pl.began).Seconds()
		found := false
		for _, id := range p.order {
			o := p.machines[id]
			if o == m || !o.usable() || len(o.places) == 0 || o.reserved != "" || o.Rec.Type != m.Rec.Type || !allowed(j.Job, o) || o.price() > m.price() {
				continue
			}
			if o.price() == m.price() && o.size.share(o.used) < m.size.share(m.used) {
				continue
			}
			if rest < 2*(p.fetch(j, o)+j.Save) {
				continue
			}
			r, ok := left[id]
			if !ok {
				r = o.free()
			}
			if !r.holds(need(j.Job)) {
				continue
			}
			left[id] = r.sub(need(j.Job))
			found = true
			break
		}
		if !found {
			return false
		}
	}
	return true
}
