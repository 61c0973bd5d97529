package core

import (
	"sort"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// Partition holds the jobs and machines of one part. Its caller serialises calls.
type Partition struct {
	Index    int
	Stamp    uint64 // of the part's ownership: the fence of all its writes
	s        *config.Settings
	t        *tuning.Tuning
	types    map[string]wire.MachineType
	jobs     map[string]*Job
	machines map[string]*Machine
	teams    map[string]*team
	room     int // counts changes of free room
	passed   int // room as the last pass left it
	perChunk int
	// limits are those that all that is written keeps to; level is the cluster's
	// feature level.
	limits    config.StateLimits
	level     FeatureLevel
	converted time.Time // last rewrite of a record for the sake of its format
	// ending are jobs that are over but whose records still stand.
	ending []*Job
	order  []string        // machine names, sorted
	roomy  []*Machine      // those that could take work when the pass began
	marks  map[string]bool // jobs marked as cancelled, by the last listing
	// over are jobs that ended here, so that a late word of their submission does not
	// revive them; overBefore those of before, once there were many.
	over, overBefore map[string]bool
	// The journal: the last number given out, the stamps of its keys, the chunks
	// with changes to record and those whose records lack some of it.
	seq      uint64
	slots    []uint64
	dirty    map[*chunk]bool
	unfolded map[*chunk]bool
	touches  int
	now      time.Time // of the pass under way
	// stats for the log line
	Started, Finished, Requeued, Preempted, Moved int
	Journaled, Folded, Gathered, Incomplete       int
	consolidated                                  time.Time
}

// NewPartition makes an empty part owned under the given stamp.
func NewPartition(index int, stamp uint64, s *config.Settings, t *tuning.Tuning) *Partition {
	p := &Partition{Index: index, Stamp: stamp, s: s, t: t, types: map[string]wire.MachineType{}, jobs: map[string]*Job{},
		machines: map[string]*Machine{}, teams: map[string]*team{}, over: map[string]bool{}, dirty: map[*chunk]bool{}, unfolded: map[*chunk]bool{}, slots: make([]uint64, tuning.JournalSlots),
		perChunk: ChunkTasks(s), limits: s.WriteLimits()}
	for _, c := range s.Cluster.Teams {
		p.teams[c.Name] = &team{Team: c}
	}
	return p
}

// SetTypes tells the machine types.
func (p *Partition) SetTypes(types []wire.MachineType) {
	for _, t := range types {
		p.types[t.Name] = t
	}
}

func (p *Partition) team(name string) *team {
	t := p.teams[name]
	if t == nil {
		// A team that the settings no longer name keeps its accepted jobs.
		t = &team{Team: config.Team{Name: name}}
		p.teams[name] = t
	}
	return t
}

// AddJob takes in a new job, or one read from its records, with the stamp at
// which both its record and its first chunk were created. Known jobs are left alone.
func (p *Partition) AddJob(d *wire.Job, at time.Time, stamp uint64) *Job {
	if j := p.jobs[d.ID]; j != nil {
		if stamp > j.Stamp {
			j.Stamp = stamp
		}
		return j
	}
	if p.over[d.ID] || p.overBefore[d.ID] {
		return nil
	}
	j := &Job{Job: d, At: at, Stamp: stamp, Cancelled: p.marks[d.ID], tasks: make([]taskState, d.Tasks), waiting: d.Tasks,
		placed: map[int]*Placement{}, noRoom: -1}
	for from := 0; from < d.Tasks; from += p.perChunk {
		j.chunks = append(j.chunks, p.newChunk(j, from, min(from+p.perChunk, d.Tasks), p.level >= SizedChunks))
	}
	j.chunks[0].stamp, j.chunks[0].ranged = stamp, p.level >= SizedChunks
	p.jobs[d.ID] = j
	return j
}

func (p *Partition) attach(pl *Placement) {
	j, m := pl.job, pl.machine
	j.tasks[pl.task] = live
	j.waiting--
	j.placed[pl.task] = pl
	m.places[attempt{wire.TaskName(j.ID, pl.task), pl.try}] = pl
	m.used = m.used.add(need(j.Job))
	p.team(j.Team).used = p.team(j.Team).used.add(need(j.Job))
	m.images[j.Image] = time.Time{}
}

// detach frees a placement's room once it can no longer be in effect.
func (p *Partition) detach(pl *Placement) {
	j, m := pl.job, pl.machine
	if j.placed[pl.task] != pl {
		return
	}
	delete(j.placed, pl.task)
	delete(m.places, attempt{wire.TaskName(j.ID, pl.task), pl.try})
	m.used = m.used.sub(need(j.Job))
	if len(m.places) == 0 {
		m.used = Room{}
	}
	if !pl.fetched && !m.fetches(j.Image) {
		delete(m.images, j.Image) // the fetch is given up when no task waits for it
	}
	t := p.team(j.Team)
	t.used = t.used.sub(need(j.Job))
	if j.tasks[pl.task] == live {
		j.tasks[pl.task] = waiting
		j.waiting++
		p.Requeued++
		j.noRoom = -1
	}
	p.touch(pl.chunk(), pl.task)
	p.room++
}

// incomplete handles a task of a gang that has waited in vain for the others. Those
// that still fetch their image go on until they have it, and the machines are kept
// for the gang, so that its next attempt starts at once. Stopped, they would have
// to fetch again while the first one waits in vain again, and so for ever.
func (p *Partition) incomplete(pl *Placement, now time.Time) {
	j := pl.job
	p.keep(pl, now)
	p.detach(pl)
	j.broken = len(j.placed) > 0
	for _, o := range placements(j) {
		if o.state != wire.Fetching || o.kill != nil {
			p.keep(o, now)
			p.stop(o, 0, now)
		}
	}
}

// keep holds a machine for the next attempt of a gang that fetches.
func (p *Partition) keep(pl *Placement, now time.Time) {
	m, j := pl.machine, pl.job
	wait := 0.0
	for _, o := range j.placed {
		if o.machine.typ.FetchRate > 0 && !o.fetched {
			wait = max(wait, 2*j.ImageGB/o.machine.typ.FetchRate)
		}
	}
	m.reserved, m.resUntil = j.ID, now.Add(tuning.Seconds(wait+3*p.s.Cluster.Workers.ReportS))
}

// requeue frees a placement that ended without a result, and breaks its gang up.
func (p *Partition) requeue(pl *Placement, now time.Time) {
	j := pl.job
	p.detach(pl)
	if j.Shape != wire.Gang || pl.over {
		return
	}
	if len(j.placed) == 0 {
		j.broken = false
		return
	}
	j.broken = true
	for _, o := range j.placed {
		p.stop(o, 0, now)
	}
}

// stop orders a placement's end. One that was never sent ends at once.
func (p *Partition) stop(pl *Placement, grace float64, now time.Time) {
	if !pl.sent {
		p.detach(pl)
		if j := pl.job; j.Shape == wire.Gang && len(j.placed) == 0 {
			j.broken = false
		}
		return
	}
	if pl.kill == nil || grace < pl.kill.grace {
		pl.kill = &killOrder{grace: grace, at: now}
	}
}

// Marked takes in a listing of the jobs that are marked as cancelled, and tells whether
// one of them was news. A job that is marked before its submission is known, as when
// the watch is behind, is cancelled from the start.
func (p *Partition) Marked(ids []string, now time.Time) bool {
	some := false
	p.marks = make(map[string]bool, len(ids))
	for _, id := range ids {
		p.marks[id] = true
		some = some || (p.jobs[id] != nil && !p.jobs[id].Cancelled)
		p.Cancel(id, now)
	}
	return some
}

// Cancel stops a job whose cancellation is committed.
func (p *Partition) Cancel(id string, now time.Time) {
	j := p.jobs[id]
	if j == nil || j.Cancelled {
		return
	}
	j.Cancelled = true
	for _, pl := range placements(j) {
		p.stop(pl, 0, now)
	}
}

// placements lists a job's placements in the order of its tasks.
func placements(j *Job) []*Placement {
	out := make([]*Placement, 0, len(j.placed))
	for _, pl := range j.placed {
		out = append(out, pl)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].task < out[b].task })
	return out
}

func sortedAttempts(m map[attempt]*Placement) []attempt {
	out := make([]attempt, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].task != out[b].task {
			return out[a].task < out[b].task
		}
		return out[a].try < out[b].try
	})
	return out
}

// View counts a job's tasks for display.
func (p *Partition) View(id string) (doneTasks, running int, ok bool) {
	j := p.jobs[id]
	if j == nil {
		return 0, 0, false
	}
	for _, pl := range j.placed {
		if pl.state == wire.RunningTask || pl.state == wire.Saving {
			running++
		}
	}
	return j.done, running, true
}

// Jobs is how many jobs are not over.
func (p *Partition) Jobs() int { return len(p.jobs) }

// MachineIDs lists the part's machines.
func (p *Partition) MachineIDs() []string { return p.order }
