package core

import (
	"math"
	"sort"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// eps absorbs rounding where amounts are added and taken away again.
const eps = 1e-6

// Room is an amount of a machine.
type Room struct{ CPUs, GPUs, RAM float64 }

func (r Room) add(o Room) Room { return Room{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.RAM + o.RAM} }
func (r Room) sub(o Room) Room { return Room{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.RAM - o.RAM} }
func (r Room) times(n int) Room {
	f := float64(n)
	return Room{r.CPUs * f, r.GPUs * f, r.RAM * f}
}

// holds tells whether o fits into r.
func (r Room) holds(o Room) bool {
	return o.CPUs <= r.CPUs+eps && o.GPUs <= r.GPUs+eps && o.RAM <= r.RAM+eps
}

// count is how many of o fit into r.
func (r Room) count(o Room) int {
	n := math.Inf(1)
	for _, p := range [][2]float64{{r.CPUs, o.CPUs}, {r.GPUs, o.GPUs}, {r.RAM, o.RAM}} {
		if p[1] > eps {
			n = math.Min(n, math.Floor((p[0]+eps)/p[1]))
		}
	}
	if math.IsInf(n, 1) {
		return 1 << 20
	}
	return max(0, int(n))
}

// share is how much of a machine of size r o takes: its scarcest dimension.
func (r Room) share(o Room) float64 {
	s := 0.0
	for _, p := range [][2]float64{{r.CPUs, o.CPUs}, {r.GPUs, o.GPUs}, {r.RAM, o.RAM}} {
		if p[0] > eps {
			s = math.Max(s, p[1]/p[0])
		}
	}
	return s
}

func need(j *wire.Job) Room { return Room{j.CPUs, j.GPUs, j.RAM} }

func size(t wire.MachineType) Room { return Room{t.CPUs, t.GPUs, t.RAM} }

type taskState uint8

const (
	waiting taskState = iota
	live
	done
)

// chunk is the part of a job's tasks that shares one record.
type chunk struct {
	job       *Job
	index     int
	from, to  int
	stamp     uint64 // of the key, as last read or written
	version   int    // counts changes in memory
	committed int    // version known to be in the state service
	// touched are the tasks with changes that are not committed, by the version
	// of their last one; since orders chunks by how long they have any.
	touched map[int]int
	since   int
	// oldest journal record with something that the chunk's own lacks; 0: none.
	oldest uint64
}

// Job is a job that is not over, with the state of its tasks.
type Job struct {
	*wire.Job
	At        time.Time
	Stamp     uint64 // of the job's record
	Cancelled bool
	tasks     []taskState
	chunks    []*chunk
	placed    map[int]*Placement
	waiting   int
	done      int
	try       uint64
	// broken: a gang that lost a task; no new attempt before all of it is gone.
	broken bool
	// final: the end is committed, the records may still have to be deleted.
	final bool
	// Failures: where its tasks exited with an error, and when to try again.
	failedOn map[string]bool
	retryAt  time.Time
	backoff  float64
	// A search for room is repeated only after room has changed.
	noRoom    int
	preempted time.Time
	searched  time.Time // last search for work that yields to it
	held      bool      // room is being made for it, so it is no demand for rentals
	fetchS    float64   // seconds that its image's fetch takes at least, where it has room
	covered   bool      // fits the guarantee with the team's earlier jobs
	started   bool      // a task of it has been seen running under this owner
	old       bool      // has waited so long that it takes any room
	plain     bool      // types without GPUs could do it
	gathers   time.Time // until then machines are kept free for it
	aged      bool      // has waited so long for its first start that it goes first among equals
	overdue   bool      // so long that it goes before all
	forced    bool      // so long that it takes any machine, and keeps it
}

// Placement is a task that may be, or may come to be, on a machine.
type Placement struct {
	job     *Job
	task    int
	try     uint64
	machine *Machine
	session uint64
	version int // of the chunk that records it
	sent    bool
	sentSeq uint64
	direct  uint64 // token of the order that carried the start, if one did
	seen    bool   // a report has shown it
	listed  uint64 // number of the machine's list that last had it
	state   wire.TaskState
	began   time.Time // first seen running
	fetched bool      // has been seen with its image
	kill    *killOrder
	over    bool // its gang is done; only the machine's word is awaited
	// shielded: placed when its job was forced, and not to be stopped for others until
	// its start counts; it would else be stopped again and again before it ran.
	shielded bool
}

type killOrder struct {
	grace float64
	at    time.Time
	told  bool // has left at least once
}

func (p *Placement) chunk() *chunk { return p.job.chunks[p.task/p.job.chunkSize()] }

func (j *Job) chunkSize() int { return j.chunks[0].to - j.chunks[0].from }

type attempt struct {
	task string
	try  uint64
}

// clearance is an exited task that may be cleared once its end is committed.
type clearance struct {
	chunk   *chunk
	version int
}

func (c clearance) ready() bool {
	return c.chunk == nil || c.chunk.job.final || c.chunk.committed >= c.version
}

// Machine is a machine of this part.
type Machine struct {
	ID      string
	Rec     MachineRecord
	stamp   uint64 // of its record
	size    Room
	typ     wire.MachineType
	used    Room
	token   uint64
	session uint64
	seq     uint64
	// acked: a report under the present token has come, so that whatever an
	// earlier owner ordered has taken effect or never will.
	acked    bool
	spoken   bool      // has been acked under this ownership at least once
	lists    uint64    // counts the lists of tasks taken in
	reported uint64    // number of the newest message that was a report
	overtook uint64    // number of the newest report that an order's answer overtook
	answered time.Time // last report answered
	run      time.Time // since when its reports have been answered without a gap
	deaf     time.Time // since when it reports without showing the present token
	heard    bool
	notice   bool
	// ordering: an order with starts is under way. doubt: one was not answered,
	// and may be carried out until the worker has seen a token above doubtToken.
	ordering   bool
	doubt      bool
	doubtToken uint64
	silent     bool
	lost       time.Time // when its lease had surely run out, if silent
	sick       bool
	places     map[attempt]*Placement
	clearing   map[attempt]clearance
	images     map[string]time.Time
	failures   map[string]bool // jobs that failed here since the last success
	reserved   string          // job that room is kept for
	resUntil   time.Time
	adopted    time.Time
}

func (m *Machine) free() Room { return m.size.sub(m.used) }

// usable tells whether tasks may be placed here.
func (m *Machine) usable() bool {
	return m.acked && !m.doubt && !m.notice && !m.silent && !m.sick && m.Rec.Wish == WishNone && !m.Rec.Free
}

type team struct {
	config.Team
	used Room
}

// within tells whether the team may use more by the given room.
func (t *team) within(r Room) bool {
	u := t.used.add(r)
	return (t.CPUsMax == 0 || u.CPUs <= t.CPUsMax+eps) && (t.GPUsMax == 0 || u.GPUs <= t.GPUsMax+eps)
}

// left is how many tasks of the given room the team may still start.
func (t *team) left(r Room) int {
	n := 1 << 20
	if t.CPUsMax > 0 && r.CPUs > eps {
		n = min(n, int((t.CPUsMax-t.used.CPUs+eps)/r.CPUs))
	}
	if t.GPUsMax > 0 && r.GPUs > eps {
		n = min(n, int((t.GPUsMax-t.used.GPUs+eps)/r.GPUs))
	}
	return max(0, n)
}

// covers tells whether the guarantee holds the given room; a team without one
// is guaranteed nothing.
func (t *team) covers(r Room) bool {
	if t.CPUs == 0 && t.GPUs == 0 {
		return false
	}
	return (t.CPUs == 0 || r.CPUs <= t.CPUs+eps) && (t.GPUs == 0 || r.GPUs <= t.GPUs+eps) &&
		(t.GPUs > 0 || r.GPUs == 0)
}

// Part holds the jobs and machines of one part. Its caller serialises calls.
type Part struct {
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
	// ending are jobs that are over but whose records still stand.
	ending []*Job
	order  []string        // machine names, sorted
	roomy  []*Machine      // those that could take work when the pass began
	marks  map[string]bool // jobs marked as cancelled, by the last listing
	over   map[string]bool // jobs that ended here, so that a late word of their submission does not revive them
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

// NewPart makes an empty part owned under the given stamp.
func NewPart(index int, stamp uint64, s *config.Settings, t *tuning.Tuning) *Part {
	p := &Part{Index: index, Stamp: stamp, s: s, t: t, types: map[string]wire.MachineType{}, jobs: map[string]*Job{},
		machines: map[string]*Machine{}, teams: map[string]*team{}, over: map[string]bool{}, dirty: map[*chunk]bool{}, unfolded: map[*chunk]bool{}, slots: make([]uint64, tuning.JournalSlots),
		perChunk: max(1, int(s.Cluster.State.ValueKB*1024)/tuning.TaskBytes)}
	for _, c := range s.Cluster.Teams {
		p.teams[c.Name] = &team{Team: c}
	}
	return p
}

// SetTypes tells the machine types.
func (p *Part) SetTypes(types []wire.MachineType) {
	for _, t := range types {
		p.types[t.Name] = t
	}
}

func (p *Part) team(name string) *team {
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
func (p *Part) AddJob(d *wire.Job, at time.Time, stamp uint64) *Job {
	if j := p.jobs[d.ID]; j != nil {
		if stamp > j.Stamp {
			j.Stamp = stamp
		}
		return j
	}
	if p.over[d.ID] {
		return nil
	}
	j := &Job{Job: d, At: at, Stamp: stamp, Cancelled: p.marks[d.ID], tasks: make([]taskState, d.Tasks), waiting: d.Tasks,
		placed: map[int]*Placement{}, noRoom: -1}
	for from := 0; from < d.Tasks; from += p.perChunk {
		j.chunks = append(j.chunks, &chunk{job: j, index: len(j.chunks), from: from, to: min(from+p.perChunk, d.Tasks)})
	}
	j.chunks[0].stamp = stamp
	p.jobs[d.ID] = j
	return j
}

// loadChunk takes in a chunk as its record and the journal show it.
func (p *Part) loadChunk(l *LoadedChunk) {
	j := p.jobs[l.Job]
	if j == nil || l.Index < 0 || l.Index >= len(j.chunks) {
		return
	}
	c, r := j.chunks[l.Index], &l.Record
	c.stamp, c.oldest = l.Stamp, l.oldest
	if c.oldest > 0 {
		p.unfolded[c] = true
	}
	if r.JobStamp > 0 {
		j.Stamp = r.JobStamp
	}
	j.try = max(j.try, r.Try)
	eachIn(r.Done, func(t int) {
		if t >= c.from && t < c.to && j.tasks[t] == waiting {
			j.tasks[t] = done
			j.waiting--
			j.done++
		}
	})
	for _, l := range r.Live {
		if l.Task < c.from || l.Task >= c.to || j.tasks[l.Task] != waiting {
			continue
		}
		m := p.machines[l.Machine]
		if m == nil {
			// The machine's record goes only after its return was answered
			// with 200, so nothing of it can be live.
			p.touch(c, l.Task)
			continue
		}
		// An earlier owner's start counts as sent and seen: it is never
		// repeated, since it may have been cleared.
		pl := &Placement{job: j, task: l.Task, try: l.Try, machine: m, session: l.Session, sent: true, seen: true}
		p.attach(pl)
	}
}

func (p *Part) attach(pl *Placement) {
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
func (p *Part) detach(pl *Placement) {
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

// fetches tells whether some task placed here wants the image.
func (m *Machine) fetches(image string) bool {
	for _, pl := range m.places {
		if pl.job.Image == image {
			return true
		}
	}
	return false
}

// incomplete handles a task of a gang that has waited in vain for the others. Those
// that still fetch their image go on until they have it, and the machines are kept
// for the gang, so that its next attempt starts at once. Stopped, they would have
// to fetch again while the first one waits in vain again, and so for ever.
func (p *Part) incomplete(pl *Placement, now time.Time) {
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
func (p *Part) keep(pl *Placement, now time.Time) {
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
func (p *Part) requeue(pl *Placement, now time.Time) {
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
func (p *Part) stop(pl *Placement, grace float64, now time.Time) {
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
func (p *Part) Marked(ids []string, now time.Time) bool {
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
func (p *Part) Cancel(id string, now time.Time) {
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

// SetMachine takes in a machine's record, new or changed.
func (p *Part) SetMachine(id string, rec MachineRecord, stamp uint64, now time.Time) {
	if rec.Part != p.Index {
		if p.machines[id] != nil {
			p.drop(id, now)
		}
		return
	}
	m := p.machines[id]
	if m == nil {
		m = &Machine{ID: id, places: map[attempt]*Placement{}, clearing: map[attempt]clearance{},
			images: map[string]time.Time{}, failures: map[string]bool{}, adopted: now}
		p.machines[id] = m
		p.order = sortedKeys(p.machines)
	} else if stamp < m.stamp {
		return
	}
	m.Rec, m.stamp = rec, stamp
	m.typ = p.types[rec.Type]
	m.size = size(m.typ)
	if tok := max(p.Stamp, rec.Token); tok > m.token {
		m.token = tok
		m.acked = false
	}
	p.room++
}

// RemoveMachine is told when a machine's record is gone, which it is only after
// the cloud has confirmed that the machine is: all on it is gone too.
func (p *Part) RemoveMachine(id string, now time.Time) {
	if p.machines[id] != nil {
		p.drop(id, now)
	}
}

func (p *Part) drop(id string, now time.Time) {
	m := p.machines[id]
	for _, k := range sortedAttempts(m.places) {
		if pl := m.places[k]; pl != nil {
			p.requeue(pl, now)
		}
	}
	delete(p.machines, id)
	p.order = sortedKeys(p.machines)
	p.room++
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

// Releasable lists the machines on which nothing of this part can be live, so
// that they may be let go as the leader wishes, with the records to write.
func (p *Part) Releasable() map[string]MachineRecord {
	out := map[string]MachineRecord{}
	for id, m := range p.machines {
		if m.Rec.Wish == WishNone || m.Rec.Free || len(m.places) > 0 || len(m.clearing) > 0 {
			continue
		}
		r := m.Rec
		if r.Wish == WishMove {
			r.Part, r.Wish, r.To = r.To, WishNone, 0
		} else {
			r.Free = true
		}
		out[id] = r
	}
	return out
}

// View counts a job's tasks for display.
func (p *Part) View(id string) (doneTasks, running int, ok bool) {
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
func (p *Part) Jobs() int { return len(p.jobs) }

// MachineIDs lists the part's machines.
func (p *Part) MachineIDs() []string { return p.order }
