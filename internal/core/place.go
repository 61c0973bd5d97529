package core

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"ambersill/internal/tuning"
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

type queue struct {
	team *team
	jobs []*Job
}

// load is how much a team uses, by its guarantee where it has one.
func (q *queue) load() float64 {
	t := q.team
	l := 0.0
	if t.GPUs > 0 {
		l = max(l, t.used.GPUs/t.GPUs)
	} else {
		l = max(l, t.used.GPUs/8)
	}
	if t.CPUs > 0 {
		l = max(l, t.used.CPUs/t.CPUs)
	} else if t.GPUs == 0 {
		l = max(l, t.used.CPUs/64)
	}
	return l
}

func (p *Partition) before(q, o *queue) bool {
	a, b := q.jobs[0], o.jobs[0]
	if d := urgency(a, b); d != 0 {
		return d > 0
	}
	// Shares are compared in steps, since even shares to the last bit would have
	// all teams' jobs end late together.
	if x, y := math.Floor(q.load()/p.t.LoadStep), math.Floor(o.load()/p.t.LoadStep); x != y && !a.aged {
		return x < y
	}
	return p.earlier(a, b)
}

// urgency compares two jobs by what comes before size and shares; above 0: a first.
// Work that has to begin now goes before all; then guaranteed work, then by rank,
// and among equals what has waited long for its first start.
func urgency(a, b *Job) int {
	first := func(x, y bool) int {
		switch {
		case x == y:
			return 0
		case x:
			return 1
		}
		return -1
	}
	if d := first(a.overdue, b.overdue); d != 0 {
		return d
	}
	if d := first(a.covered, b.covered); d != 0 && !a.overdue {
		return d
	}
	if d := a.Rank.Level() - b.Rank.Level(); d != 0 && !a.overdue {
		return d
	}
	return first(a.aged, b.aged)
}

// due is when a job's turn is. Without a deadline, little work comes before much:
// that gets the most jobs over in good time, and age still wins in the end.
func (p *Partition) due(j *Job) time.Time {
	switch {
	case isService(j.Job):
		return j.At
	case j.Deadline > 0:
		return j.At.Add(tuning.Seconds(j.Deadline - j.Estimate))
	}
	work := (float64(j.Tasks-j.done)*j.Estimate + j.fetchS) * max(j.CPUs, 1)
	return j.At.Add(tuning.Seconds(p.t.WorkWeight * work))
}

func (p *Partition) earlier(a, b *Job) bool {
	if a.aged && b.aged && !a.At.Equal(b.At) {
		return a.At.Before(b.At)
	}
	if x, y := p.due(a), p.due(b); !x.Equal(y) {
		return x.Before(y)
	}
	return a.ID < b.ID
}

// queues sorts the jobs with waiting tasks by team.
func (p *Partition) queues(now time.Time) []*queue {
	all := map[string][]*Job{}
	for _, j := range p.jobs {
		if !j.Cancelled && j.done < j.Tasks {
			all[j.Team] = append(all[j.Team], j)
		}
	}
	var out []*queue
	for _, name := range sortedKeys(all) {
		jobs := all[name]
		t := p.team(name)
		sort.Slice(jobs, func(a, b int) bool {
			if !jobs[a].At.Equal(jobs[b].At) {
				return jobs[a].At.Before(jobs[b].At)
			}
			return jobs[a].ID < jobs[b].ID
		})
		var sum Room
		for _, j := range jobs {
			sum = sum.add(need(j.Job).times(j.Tasks - j.done))
			j.covered = t.covers(sum)
			begun := j.started || j.done > 0 || (j.Shape != wire.Gang && len(j.placed) > 0)
			j.aged = !begun && now.Sub(j.At) > tuning.Seconds(p.t.StarveS)
			j.overdue = !begun && now.Sub(j.At) > tuning.Seconds(p.t.OverdueS)
			j.forced = !begun && now.Sub(j.At) > tuning.Seconds(p.t.ForceS)
			j.old = now.Sub(j.At) > tuning.Seconds(2*p.t.StarveS)
			j.plain = j.GPUs == 0 && p.plain(j.Job)
		}
		q := &queue{team: t}
		for _, j := range jobs {
			if j.waiting > 0 && !j.broken && !now.Before(j.retryAt) {
				j.fetchS = p.leastFetch(j)
				q.jobs = append(q.jobs, j)
			}
		}
		sort.SliceStable(q.jobs, func(a, b int) bool {
			x, y := q.jobs[a], q.jobs[b]
			if d := urgency(x, y); d != 0 {
				return d > 0
			}
			return p.earlier(x, y)
		})
		if len(q.jobs) > 0 {
			out = append(out, q)
		}
	}
	return out
}

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
	victims := func(m *Machine) []*Placement {
		var out []*Placement
		for _, k := range sortedAttempts(m.places) {
			if pl := m.places[k]; p.yields(pl, j) {
				out = append(out, pl)
			}
		}
		return out
	}
	where := p.fit(j, n, now, p.all(), func(m *Machine) Room {
		f := m.free()
		for _, pl := range m.places {
			if p.yields(pl, j) {
				f = f.add(need(pl.job.Job))
			}
		}
		return f
	})
	if len(where) == 0 || (j.Shape == wire.Gang && len(where) < n) {
		return
	}
	want := map[*Machine]int{}
	for _, m := range where {
		want[m]++
	}
	j.preempted, j.held = now, true
	for _, m := range where {
		k, ok := want[m]
		if !ok {
			continue
		}
		delete(want, m)
		goal := need(j.Job).times(k)
		room := m.free()
		grace := 0.0
		for _, pl := range m.places {
			if pl.kill != nil {
				room = room.add(need(pl.job.Job))
			}
		}
		vs := victims(m)
		// A start that is stopped at once does not count, so settled tasks that can
		// save go first; of the others those that have run the least lose the least.
		sort.SliceStable(vs, func(a, b int) bool {
			x, y := p.settled(vs[a], now), p.settled(vs[b], now)
			if x != y {
				return x
			}
			return vs[a].began.After(vs[b].began)
		})
		for _, pl := range vs {
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
