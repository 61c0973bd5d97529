package core

import (
	"time"

	"ambersill/internal/wire"
)

// slice is how many tasks of an array a team places before it is another
// team's turn.
const slice = 8

// firstSlice is how many tasks of an array go first because it has waited too long
// for its first start; with that it has begun.
const firstSlice = 1

// Schedule places waiting tasks: a queue per team, the teams served in turn by
// shares, guaranteed work first, then by rank.
func (p *Partition) Schedule(now time.Time) {
	p.now = now
	p.Sweep(now)
	p.roomy = p.roomy[:0]
	for _, id := range p.order {
		if m := p.machines[id]; m.usable() && m.free().CPUs > eps {
			p.roomy = append(p.roomy, m)
		}
	}
	queues := p.queues(now)
	for len(queues) > 0 {
		best := 0
		for i := 1; i < len(queues); i++ {
			if p.before(queues[i], queues[best]) {
				best = i
			}
		}
		q := queues[best]
		j := q.jobs[0]
		if !p.place(j, q.team, now) {
			q.jobs = q.jobs[1:]
			if len(q.jobs) == 0 {
				queues = append(queues[:best], queues[best+1:]...)
			}
		}
	}
	p.consolidate(now)
	p.passed = p.room
}

// Stirred tells whether anything has changed since the last pass that one would act on
// before time alone makes it do so.
func (p *Partition) Stirred() bool { return len(p.dirty) > 0 || p.room != p.passed }

// place starts what it can of a job in this turn; false: nothing more now.
func (p *Partition) place(j *Job, t *team, now time.Time) bool {
	if j.noRoom == p.room {
		return false
	}
	n := min(j.waitingAt(now), slice)
	if n == 0 {
		return false
	}
	if j.overdue {
		n = min(n, firstSlice)
	}
	if j.Shape == wire.Gang {
		n = j.Tasks
		if j.waiting < n {
			return false
		}
	}
	left := t.left(need(j.Job))
	if left < n {
		if j.Shape == wire.Gang || left == 0 {
			return false
		}
		n = left
	}
	where := p.fit(j, n, now, p.roomy, (*Machine).free)
	if len(where) == 0 || (j.Shape == wire.Gang && len(where) < n) {
		j.noRoom = p.room
		p.preemptFor(j, min(n, 2*slice), now)
		if !j.held {
			p.gather(j, n, now)
		}
		return false
	}
	j.try++
	j.held = false
	if j.GPUs > 0 {
		p.room++ // what is left of its machines' other room is free for others now
	}
	k := 0
	for i := range j.tasks {
		if k == len(where) {
			break
		}
		if !j.startableAt(i, now) {
			continue
		}
		m := where[k]
		pl := &Placement{job: j, task: i, try: j.try, machine: m, session: m.session, shielded: j.forced}
		p.attach(pl)
		c := pl.chunk()
		p.touch(c, i)
		pl.version = c.version
		m.images[j.Image] = now
		p.trimImages(m)
		if m.reserved == j.ID {
			m.reserved = ""
		}
		p.Started++
		k++
	}
	return j.waitingAt(now) > 0 && j.Shape != wire.Gang
}

// trimImages keeps the guess of a machine's cache to the most recently used.
func (p *Partition) trimImages(m *Machine) {
	const most = 12 // images; the cloud's caches hold about as many
	for len(m.images) > most {
		oldest := ""
		for _, k := range sortedKeys(m.images) {
			if oldest == "" || m.images[k].Before(m.images[oldest]) {
				oldest = k
			}
		}
		delete(m.images, oldest)
	}
}
