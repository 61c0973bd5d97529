package emulator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// Node is a controller's public address.
type Node struct{ Name, Addr string }

// World joins the workers, and is the slow plain model of the rules: it sees
// every task come and go, knows what users were told, and notes what is broken.
type World struct {
	Ctx       context.Context
	Net       transport.Net
	ZoneNets  map[string]transport.Net // of zones that can be cut off; others use Net
	Nodes     []Node
	Types     map[string]wire.MachineType
	Teams     []config.Team
	Report    time.Duration
	Lease     time.Duration
	GangWait  time.Duration
	GangPeer  time.Duration
	Cancelled time.Duration // cancel_s
	// RunTime of a task; nil: its estimate.
	RunTime func(job *wire.Job, task int) time.Duration
	// Copies, if set, is shown each report, and may send copies of it to nodes later.
	Copies func(heartbeat *wire.Heartbeat, send func(to Node))
	// Ended, if set, is told when the last task of a job completes.
	Ended func(job string)

	mu          sync.Mutex
	replicaEnds func(job *wire.Job, task int) (time.Duration, bool)

	jobs   map[string]*wire.Job
	on     map[string]map[*Worker]*task // tasks on machines, by name
	done   map[string]bool
	told   map[string]wire.JobPhase
	asked  map[string]bool      // cancellations that users have asked for
	since  map[string]time.Time // when a cancellation was told
	broken []string
	starts int
	begun  map[string]bool      // attempts that have begun, by task and number
	again  int                  // attempts that began once more
	calm   time.Time            // since when all troubles are over
	heard  map[string]time.Time // when a question about a job was last answered
	first  map[string]time.Time // when a job's first task started
	goneAt time.Time            // when the tasks that are taken off are gone, if not now
	final  map[string]time.Time // when a job was first called done or cancelled
	taken  map[string]time.Time // when a job was first called accepted
	idle   map[string]time.Time // since when a job has waited although there is room
	delay  time.Duration        // of the links of workers and users
	late   int                  // starts after a confirmed cancellation
}

// Init prepares the model.
func (w *World) Init() {
	w.jobs, w.on, w.done = map[string]*wire.Job{}, map[string]map[*Worker]*task{}, map[string]bool{}
	w.told, w.asked, w.since = map[string]wire.JobPhase{}, map[string]bool{}, map[string]time.Time{}
	w.begun = map[string]bool{}
	w.heard, w.first = map[string]time.Time{}, map[string]time.Time{}
	w.final, w.taken, w.idle = map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
}

// Delay has what workers and users send and get take that much longer each way.
func (w *World) Delay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = d
}

// link waits for as long as the link takes.
func (w *World) link(ctx context.Context) {
	w.mu.Lock()
	d := w.delay
	w.mu.Unlock()
	if d > 0 {
		transport.Pause(ctx, d)
	}
}

// net is the network of a machine's zone.
func (w *World) net(m wire.CloudMachine) transport.Net {
	if n := w.ZoneNets[m.Zone]; n != nil {
		return n
	}
	return w.Net
}

func (w *World) client(m wire.CloudMachine) *http.Client {
	return transport.Client(w.net(m), 1, 2, time.Second)
}

func (w *World) node(name string) int {
	for i, n := range w.Nodes {
		if n.Name == name {
			return i
		}
	}
	return -1
}

func (w *World) breaks(rule, format string, args ...any) {
	w.broken = append(w.broken, time.Now().Format("15:04:05.000 ")+rule+": "+fmt.Sprintf(format, args...))
}

// Broken lists the broken rules, Starts counts the tasks started.
func (w *World) Broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sweep()
	return append([]string(nil), w.broken...)
}

// Starts counts the tasks started.
func (w *World) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// ReportsTo names the node that a worker reports to.
func (w *World) ReportsTo(k *Worker) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Nodes[k.node%len(w.Nodes)].Name
}

// Repeats counts the attempts that began more than once, which only a start that was
// carried out again after the attempt was cleared can bring about.
func (w *World) Repeats() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.again
}

// EndReplicas sets what tells whether a replica of a service ends by itself, and how long
// after its start. It is called with the world's lock held.
func (w *World) EndReplicas(f func(job *wire.Job, task int) (after time.Duration, ends bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replicaEnds = f
}

// Replicas counts the tasks of a job that run.
func (w *World) Replicas(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	job := w.jobs[id]
	if job == nil {
		return 0
	}
	n := 0
	for i := range job.Tasks {
		n += len(w.on[wire.TaskName(id, i)])
	}
	return n
}

// Running counts the tasks on machines.
func (w *World) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	return len(w.on)
}

// Submitted uploads a job's description, which users do before they submit it.
func (w *World) Submitted(job *wire.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[job.ID] = job
}

// Asked notes that a user asks for a cancellation.
func (w *World) Asked(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked[id] = true
}

// hasAsked tells whether a user has asked for a cancellation.
func (w *World) hasAsked(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.asked[id]
}

// Told notes what a user was told of a job, and when the question was sent: an answer is
// older than another only if the question was sent after the other had arrived.
func (w *World) Told(id string, phase wire.JobPhase, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	job := w.jobs[id]
	if job == nil {
		w.breaks("invented", "%s is called %s", id, phase)
		return
	}
	w.heard[id] = time.Now()
	was := w.told[id]
	if was.Final() && was != phase {
		if phase.Final() || sent.After(w.final[id]) {
			w.breaks("went_back", "%s was called %s, then %s", id, was, phase)
		}
		return
	}
	if w.taken[id].IsZero() {
		w.taken[id] = time.Now()
	}
	if phase.Final() && !was.Final() {
		w.final[id] = time.Now()
	}
	if phase == wire.JobCancelled && !w.asked[id] {
		w.breaks("went_back", "%s is called cancelled, but nobody asked", id)
	}
	if phase == wire.JobDone {
		for i := range job.Tasks {
			if !w.done[wire.TaskName(id, i)] {
				w.breaks("not_done", "%s is called done before task %d is", id, i)
				break
			}
		}
	}
	if phase == wire.JobCancelled && was != phase {
		w.since[id] = time.Now()
	}
	w.told[id] = phase
}

// Calm notes that all troubles are over.
func (w *World) Calm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calm = time.Now()
}

// unanswered is how long, all troubles being over, no question about an accepted
// job may go without an answer, however others fare.
const unanswered = 75 * time.Second

// Unanswered notes that a question about an accepted job was not answered.
func (w *World) Unanswered(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.heard[id]
	if last.Before(w.calm) {
		last = w.calm
	}
	if !w.calm.IsZero() && time.Since(last) > unanswered {
		w.breaks("forgotten", "no question about %s was answered for %v", id, time.Since(last))
	}
}

// First tells when a job's first task started.
func (w *World) First(id string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.first[id]
	return at, ok
}

// Missing notes that a question sent at that time got an answer as if the job were not known.
func (w *World) Missing(id string, status int, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at := w.taken[id]; !at.IsZero() && sent.After(at) {
		w.breaks("forgotten", "%s was accepted and is answered %d", id, status)
	}
}

// Accepted notes that a job was accepted that can't run or lacks a field.
func (w *World) Accepted(id string, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaks("accepted", "%s can't run or lacks a field, and is answered %d", id, status)
}

// LateStarts counts the starts after a confirmed cancellation.
func (w *World) LateStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late
}

// waitLimit is how long, all troubles being over, a job may wait while a machine that
// fits has room and its team is under its limit.
const waitLimit = 90 * time.Second

// Waiting looks for jobs that have waited for too long beside free room. It is to be
// called every few seconds.
func (w *World) Waiting(up []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calm.IsZero() {
		return
	}
	now := time.Now()
	here := map[string]int{} // tasks on some machine, fetching ones included, by job
	for _, k := range up {
		for _, t := range k.tasks {
			if t.state != wire.TaskExited {
				here[t.job.ID]++
			}
		}
	}
	for id := range w.taken {
		job := w.jobs[id]
		enough := 1
		if job.Shape == wire.ServiceJob {
			enough = job.Tasks // each replica has to be there
		}
		if here[id] >= enough || w.told[id].Final() || w.allDone(job) || !w.fits(job, up) {
			delete(w.idle, id)
			continue
		}
		if w.idle[id].IsZero() {
			w.idle[id] = now
		}
		if d := now.Sub(w.idle[id]); d > waitLimit {
			w.breaks("left_waiting", "%s has waited %v beside free room", id, d)
			w.idle[id] = now
		}
	}
}

func (w *World) allDone(job *wire.Job) bool {
	for i := range job.Tasks {
		if !w.done[wire.TaskName(job.ID, i)] {
			return false
		}
	}
	return true
}

// fits tells whether a job's first start would find room: a task of an array, all of a
// gang (one that must be spread is left out).
func (w *World) fits(job *wire.Job, up []*Worker) bool {
	need := 1
	if job.Shape == wire.GangJob {
		need = job.Tasks
		if job.SpreadZones {
			return false
		}
	}
	cpus, gpus := job.CPUs*float64(need), job.GPUs*float64(need)
	for _, k := range up {
		for _, t := range k.tasks {
			if t.job.Team == job.Team && t.state != wire.TaskExited {
				cpus, gpus = cpus+t.job.CPUs, gpus+t.job.GPUs
			}
		}
	}
	for _, c := range w.Teams {
		if c.Name == job.Team && ((c.CPUsMax > 0 && cpus > c.CPUsMax+1e-6) || (c.GPUsMax > 0 && gpus > c.GPUsMax+1e-6)) {
			return false
		}
	}
	room := map[string]int{}
	for _, k := range up {
		if k.dead || k.hung || k.faulty || k.notice != nil || (k.M.Spot && !job.AllowSpot) || (job.Zone != "" && job.Zone != k.M.Zone) {
			continue
		}
		ok := len(job.MachineTypes) == 0
		for _, t := range job.MachineTypes {
			ok = ok || t == k.M.MachineType
		}
		if !ok {
			continue
		}
		c, g, r := k.typ.CPUs, k.typ.GPUs, k.typ.MemoryGB
		for _, t := range k.tasks {
			if t.state != wire.TaskExited {
				c, g, r = c-t.job.CPUs, g-t.job.GPUs, r-t.job.MemoryGB
			}
		}
		zone := ""
		if job.SingleZone {
			zone = k.M.Zone
		}
		for c >= job.CPUs && g >= job.GPUs && r >= job.MemoryGB && room[zone] < need {
			c, g, r = c-job.CPUs, g-job.GPUs, r-job.MemoryGB
			room[zone]++
		}
		if room[zone] >= need {
			return true
		}
	}
	return false
}

// sweep looks for tasks of jobs cancelled too long ago.
func (w *World) sweep() {
	w.expire()
	for name := range w.on {
		id, _, _ := wire.ParseTaskName(name)
		if at, ok := w.since[id]; ok && time.Since(at) > w.Cancelled {
			w.breaks("ran_cancelled", "%s is on a machine %v after its cancellation", name, time.Since(at))
		}
	}
}

// expire ends the sessions of machines that hang beyond their leases.
func (w *World) expire() {
	late := map[*Worker]bool{}
	for _, ks := range w.on {
		for k := range ks {
			late[k] = true
		}
	}
	for k := range late {
		k.checkLease()
	}
}

// begin puts a task on its machine: its image is there.
func (w *World) begin(k *Worker, t *task) {
	w.sweep()
	job := t.job
	w.starts++
	if try := fmt.Sprintf("%s %d", t.name, t.try); w.begun[try] {
		w.again++
	} else {
		w.begun[try] = true
	}
	if _, ok := w.since[job.ID]; ok {
		w.late++
	}
	if _, ok := w.first[job.ID]; !ok {
		w.first[job.ID] = time.Now()
	}
	if len(w.on[t.name]) > 0 {
		w.breaks("ran_twice", "%s attempt %d starts on %s while it is on another machine", t.name, t.try, k.M.ID)
	}
	if at, ok := w.since[job.ID]; ok && time.Since(at) > w.Cancelled {
		w.breaks("ran_cancelled", "%s starts %v after its cancellation", t.name, time.Since(at))
	}
	w.place(k, job)
	if w.on[t.name] == nil {
		w.on[t.name] = map[*Worker]*task{}
	}
	w.on[t.name][k] = t
	t.state = wire.TaskWaitingForGang
	w.quota(job.Team)
	switch {
	case w.done[t.name]:
		k.exit(t, wire.ExitDone, false)
	case k.faulty:
		t.state = wire.TaskRunning
		k.after(t, time.Second, func() { k.exit(t, wire.ExitError, false) })
	case job.Shape == wire.GangJob:
		w.gather(k, t)
	case job.Shape == wire.ServiceJob:
		t.state = wire.TaskRunning
		t.timer = nil // the fetch's, which must not fire again when the machine goes on
		if w.replicaEnds != nil {
			if d, ends := w.replicaEnds(job, t.index); ends {
				k.after(t, d, func() { k.exit(t, wire.ExitDone, false) })
			}
		}
	default:
		t.state = wire.TaskRunning
		k.after(t, w.runTime(job, t.index), func() {
			w.complete(t)
			k.exit(t, wire.ExitDone, false)
		})
	}
}

func (w *World) runTime(job *wire.Job, task int) time.Duration {
	if w.RunTime != nil {
		return w.RunTime(job, task)
	}
	return time.Duration(job.EstimatedRunS * float64(time.Second))
}

// place checks type, zone and kind of a start against the job's tasks on machines.
func (w *World) place(k *Worker, job *wire.Job) {
	ok := len(job.MachineTypes) == 0
	for _, t := range job.MachineTypes {
		ok = ok || t == k.M.MachineType
	}
	if !ok || (job.Zone != "" && job.Zone != k.M.Zone) || (k.M.Spot && !job.AllowSpot) {
		w.breaks("wrong_place", "%s on %s", job.ID, k.M.ID)
	}
	same := 1
	for i := range job.Tasks {
		for o := range w.on[wire.TaskName(job.ID, i)] {
			if o.M.Zone == k.M.Zone {
				same++
			} else if job.SingleZone {
				w.breaks("wrong_place", "%s has tasks in two zones", job.ID)
			}
		}
	}
	if job.SpreadZones && same > (job.Tasks+1)/2 {
		w.breaks("wrong_place", "%s has %d tasks in one zone", job.ID, same)
	}
}

// Used is what a team's tasks use.
func (w *World) Used(team string) (cpus, gpus float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used(team)
}

func (w *World) used(team string) (cpus, gpus float64) {
	for _, ks := range w.on {
		for _, t := range ks {
			if t.job.Team == team {
				cpus += t.job.CPUs
				gpus += t.job.GPUs
			}
		}
	}
	return cpus, gpus
}

func (w *World) quota(team string) {
	cpus, gpus := w.used(team)
	for _, c := range w.Teams {
		if c.Name == team && ((c.CPUsMax > 0 && cpus > c.CPUsMax+1e-6) || (c.GPUsMax > 0 && gpus > c.GPUsMax+1e-6)) {
			w.breaks("quota", "%s uses %v CPUs and %v GPUs", team, cpus, gpus)
		}
	}
}

// mates lists the tasks of the same gang attempt, with their machines.
func (w *World) mates(t *task) map[*task]*Worker {
	out := map[*task]*Worker{}
	for i := range t.job.Tasks {
		for k, o := range w.on[wire.TaskName(t.job.ID, i)] {
			if o.try == t.try {
				out[o] = k
			}
		}
	}
	return out
}

// gather lets a gang start once all its tasks are there, and ends it at once.
func (w *World) gather(k *Worker, t *task) {
	k.after(t, w.GangWait, func() {
		if t.state == wire.TaskWaitingForGang {
			k.exit(t, wire.ExitGangIncomplete, false)
		}
	})
	ms := w.mates(t)
	if len(ms) < t.job.Tasks {
		return
	}
	for m, mk := range ms {
		if m.state != wire.TaskWaitingForGang {
			return
		}
		_ = mk
	}
	for m, mk := range ms {
		m.state = wire.TaskRunning
		mk.after(m, w.runTime(t.job, 0), func() {
			for o, ok := range w.mates(m) {
				if o.state == wire.TaskRunning {
					w.complete(o)
					ok.exit(o, wire.ExitDone, false)
				}
			}
		})
	}
}

// complete notes that a task has completed.
func (w *World) complete(t *task) {
	w.done[t.name] = true
	if w.Ended != nil && w.allDone(t.job) {
		w.Ended(t.job.ID)
	}
}

// off takes a task from its machine; the rest of a running gang notices.
func (w *World) off(k *Worker, t *task) {
	if w.on[t.name][k] != t {
		return
	}
	gone := time.Now()
	if !w.goneAt.IsZero() {
		gone = w.goneAt
	}
	if at, ok := w.since[t.job.ID]; ok && gone.Sub(at) > w.Cancelled {
		w.breaks("ran_cancelled", "%s leaves its machine %v after its cancellation", t.name, gone.Sub(at))
	}
	delete(w.on[t.name], k)
	if len(w.on[t.name]) == 0 {
		delete(w.on, t.name)
	}
	if t.job.Shape != wire.GangJob || w.done[t.name] || t.state == wire.TaskWaitingForGang {
		return
	}
	for m, mk := range w.mates(t) {
		if m.state == wire.TaskRunning {
			mk.after(m, w.GangPeer, func() { mk.exit(m, wire.ExitGangMemberLost, false) })
		}
	}
}
