package core

import (
	"sort"
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// preemptFor stops work of lower rank, or what another team runs beyond its
// guarantee, for a job that finds no room.
func (p *Partition) preemptFor(j *Job, n int, now time.Time) {
	if now.Sub(j.preempted) < tuning.Seconds(p.t.PreemptGapS) {
		return
	}
	if !p.mayOutrank(j) || now.Sub(j.searched) < tuning.Seconds(p.t.SearchGapS) {
		return
	}
	j.searched = now
	where := p.fit(j, n, now, p.all(), func(m *Machine) Room { return p.freeFor(j, m) })
	if len(where) == 0 || (j.Shape == wire.Gang && len(where) < n) {
		return
	}
	want := map[*Machine]int{}
	for _, m := range where {
		want[m]++
	}
	j.preempted, j.held = now, true
	for _, m := range where {
		if tasks, ok := want[m]; ok {
			delete(want, m)
			p.makeRoom(j, m, tasks, now)
		}
	}
}

// freeFor is a machine's room for a job with all that yields to it gone.
func (p *Partition) freeFor(j *Job, m *Machine) Room {
	room := m.free()
	for _, pl := range m.places {
		if p.yields(pl, j) {
			room = room.add(need(pl.job.Job))
		}
	}
	return room
}

// makeRoom stops as much on a machine as some tasks of a job take, and keeps the room.
func (p *Partition) makeRoom(j *Job, m *Machine, tasks int, now time.Time) {
	goal := need(j.Job).times(tasks)
	room := m.free()
	for _, pl := range m.places {
		if pl.kill != nil {
			room = room.add(need(pl.job.Job))
		}
	}
	grace := 0.0
	for _, pl := range p.victims(j, m, now) {
		if room.holds(goal) {
			break
		}
		if pl.kill != nil {
			continue
		}
		room = room.add(need(pl.job.Job))
		if pl.job.placed[pl.task] != pl {
			continue // its gang was stopped with a mate before it, and it had not left yet
		}
		grace = max(grace, pl.job.Save)
		p.Preempted++
		p.stopWhole(pl, now)
	}
	m.reserved = j.ID
	m.resUntil = now.Add(tuning.Seconds(grace + p.t.GraceS + 3*p.s.Cluster.Workers.ReportS))
}

// victims lists what yields to a job on a machine, in the order in which it is stopped. A
// start that is stopped at once does not count, so settled tasks that can save go first; of
// the others those that have run the least lose the least.
func (p *Partition) victims(j *Job, m *Machine, now time.Time) []*Placement {
	var out []*Placement
	for _, k := range sortedAttempts(m.places) {
		if pl := m.places[k]; p.yields(pl, j) {
			out = append(out, pl)
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		x, y := p.settled(out[a], now), p.settled(out[b], now)
		if x != y {
			return x
		}
		return out[a].began.After(out[b].began)
	})
	return out
}

// settled tells whether a task has run long enough for its start to count, and
// loses little when it is stopped.
func (p *Partition) settled(pl *Placement, now time.Time) bool {
	return pl.job.Checkpoint > 0 && !pl.began.IsZero() && now.Sub(pl.began) > tuning.Seconds(p.t.SettledS)
}

func (p *Partition) mayOutrank(j *Job) bool { return j.covered || j.Rank.Level() > 0 }

// yields tells whether a placement may be stopped for a job.
func (p *Partition) yields(pl *Placement, j *Job) bool {
	o := pl.job
	if o == j || pl.over || pl.shielded && (pl.began.IsZero() || p.now.Sub(pl.began) < tuning.Seconds(p.t.SettledS)) {
		return false
	}
	if o.Rank.Level() < j.Rank.Level() {
		return !(o.covered && !j.covered)
	}
	return j.covered && !o.covered && o.Team != j.Team
}
