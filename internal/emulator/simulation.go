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

// Simulation joins the workers, and is the slow plain model of the rules: it sees
// every task come and go, knows what users were told, and notes what is broken.
type Simulation struct {
	Ctx               context.Context
	Net               transport.Net
	ZoneNets          map[string]transport.Net // of zones that can be cut off; others use Net
	Nodes             []Node
	MachineTypes      map[string]wire.MachineType
	Teams             []config.Team
	HeartbeatInterval time.Duration
	LeaseDuration     time.Duration
	GangWaitTimeout   time.Duration
	GangPeerTimeout   time.Duration
	CancelDeadline    time.Duration // cancel_s
	// RunTime of a task; nil: its estimate.
	RunTime func(job *wire.Job, task int) time.Duration
	// OnHeartbeat, if set, is shown each report, and may send copies of it to nodes later.
	OnHeartbeat func(heartbeat *wire.Heartbeat, send func(to Node))
	// OnJobDone, if set, is told when the last task of a job completes.
	OnJobDone func(job string)

	mu          sync.Mutex
	replicaExit func(job *wire.Job, task int) (time.Duration, bool)

	jobs              map[string]*wire.Job
	running           map[string]map[*Worker]*task // tasks on machines, by name
	doneTasks         map[string]bool
	reportedPhase     map[string]wire.JobPhase
	cancelRequested   map[string]bool      // cancellations that users have asked for
	cancelledAt       map[string]time.Time // when a cancellation was told
	violations        []string
	starts            int
	startedAttempts   map[string]bool      // attempts that have begun, by task and number
	repeatedAttempts  int                  // attempts that began once more
	faultsOverAt      time.Time            // since when all troubles are over
	lastAnswered      map[string]time.Time // when a question about a job was last answered
	firstStart        map[string]time.Time // when a job's first task started
	removedAt         time.Time            // when the tasks that are taken off are gone, if not now
	finalAt           map[string]time.Time // when a job was first called done or cancelled
	acceptedAt        map[string]time.Time // when a job was first called accepted
	idleSince         map[string]time.Time // since when a job has waited although there is room
	linkDelay         time.Duration        // of the links of workers and users
	startsAfterCancel int                  // starts after a confirmed cancellation
}

// Init prepares the model.
func (w *Simulation) Init() {
	w.jobs, w.running, w.doneTasks = map[string]*wire.Job{}, map[string]map[*Worker]*task{}, map[string]bool{}
	w.reportedPhase, w.cancelRequested, w.cancelledAt = map[string]wire.JobPhase{}, map[string]bool{}, map[string]time.Time{}
	w.startedAttempts = map[string]bool{}
	w.lastAnswered, w.firstStart = map[string]time.Time{}, map[string]time.Time{}
	w.finalAt, w.acceptedAt, w.idleSince = map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
}

// SetLinkDelay has what workers and users send and get take that much longer each way.
func (w *Simulation) SetLinkDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.linkDelay = d
}

// waitLinkDelay waits for as long as the link takes.
func (w *Simulation) waitLinkDelay(ctx context.Context) {
	w.mu.Lock()
	d := w.linkDelay
	w.mu.Unlock()
	if d > 0 {
		transport.Pause(ctx, d)
	}
}

// net is the network of a machine's zone.
func (w *Simulation) net(m wire.CloudMachine) transport.Net {
	if n := w.ZoneNets[m.Zone]; n != nil {
		return n
	}
	return w.Net
}

func (w *Simulation) client(m wire.CloudMachine) *http.Client {
	return transport.Client(w.net(m), 1, 2, time.Second)
}

func (w *Simulation) node(name string) int {
	for i, n := range w.Nodes {
		if n.Name == name {
			return i
		}
	}
	return -1
}

func (w *Simulation) violation(rule, format string, args ...any) {
	w.violations = append(w.violations, time.Now().Format("15:04:05.000 ")+rule+": "+fmt.Sprintf(format, args...))
}

// Violations lists the broken rules, Starts counts the tasks started.
func (w *Simulation) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkCancelled()
	return append([]string(nil), w.violations...)
}

// Starts counts the tasks started.
func (w *Simulation) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// AssignedNode names the node that a worker reports to.
func (w *Simulation) AssignedNode(worker *Worker) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Nodes[worker.nodeIndex%len(w.Nodes)].Name
}

// RepeatedAttempts counts the attempts that began more than once, which only a start that was
// carried out again after the attempt was cleared can bring about.
func (w *Simulation) RepeatedAttempts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.repeatedAttempts
}

// SetReplicaExit sets what tells whether a replica of a service ends by itself, and how long
// after its start. It is called with the world's lock held.
func (w *Simulation) SetReplicaExit(f func(job *wire.Job, task int) (after time.Duration, ends bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replicaExit = f
}

// Replicas counts the tasks of a job that run.
func (w *Simulation) Replicas(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLeases()
	job := w.jobs[id]
	if job == nil {
		return 0
	}
	n := 0
	for i := range job.Tasks {
		n += len(w.running[wire.TaskName(id, i)])
	}
	return n
}

// Running counts the tasks on machines.
func (w *Simulation) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLeases()
	return len(w.running)
}

// JobSubmitted uploads a job's description, which users do before they submit it.
func (w *Simulation) JobSubmitted(job *wire.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[job.ID] = job
}

// CancelRequested notes that a user asks for a cancellation.
func (w *Simulation) CancelRequested(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelRequested[id] = true
}

// isCancelRequested tells whether a user has asked for a cancellation.
func (w *Simulation) isCancelRequested(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cancelRequested[id]
}

// PhaseReported notes what a user was told of a job, and when the question was sent: an answer is
// older than another only if the question was sent after the other had arrived.
func (w *Simulation) PhaseReported(id string, phase wire.JobPhase, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	job := w.jobs[id]
	if job == nil {
		w.violation("invented", "%s is called %s", id, phase)
		return
	}
	w.lastAnswered[id] = time.Now()
	was := w.reportedPhase[id]
	if was.Final() && was != phase {
		if phase.Final() || sent.After(w.finalAt[id]) {
			w.violation("went_back", "%s was called %s, then %s", id, was, phase)
		}
		return
	}
	if w.acceptedAt[id].IsZero() {
		w.acceptedAt[id] = time.Now()
	}
	if phase.Final() && !was.Final() {
		w.finalAt[id] = time.Now()
	}
	if phase == wire.JobCancelled && !w.cancelRequested[id] {
		w.violation("went_back", "%s is called cancelled, but nobody asked", id)
	}
	if phase == wire.JobDone {
		for i := range job.Tasks {
			if !w.doneTasks[wire.TaskName(id, i)] {
				w.violation("not_done", "%s is called done before task %d is", id, i)
				break
			}
		}
	}
	if phase == wire.JobCancelled && was != phase {
		w.cancelledAt[id] = time.Now()
	}
	w.reportedPhase[id] = phase
}

// FaultsOver notes that all troubles are over.
func (w *Simulation) FaultsOver() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultsOverAt = time.Now()
}

// maxUnanswered is how long, all troubles being over, no question about an accepted
// job may go without an answer, however others fare.
const maxUnanswered = 75 * time.Second

// PollFailed notes that a question about an accepted job was not answered.
func (w *Simulation) PollFailed(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.lastAnswered[id]
	if last.Before(w.faultsOverAt) {
		last = w.faultsOverAt
	}
	if !w.faultsOverAt.IsZero() && time.Since(last) > maxUnanswered {
		w.violation("forgotten", "no question about %s was answered for %v", id, time.Since(last))
	}
}

// FirstStart tells when a job's first task started.
func (w *Simulation) FirstStart(id string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.firstStart[id]
	return at, ok
}

// ReportedUnknown notes that a question sent at that time got an answer as if the job were not known.
func (w *Simulation) ReportedUnknown(id string, status int, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at := w.acceptedAt[id]; !at.IsZero() && sent.After(at) {
		w.violation("forgotten", "%s was accepted and is answered %d", id, status)
	}
}

// AcceptedInvalid notes that a job was accepted that can't run or lacks a field.
func (w *Simulation) AcceptedInvalid(id string, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violation("accepted", "%s can't run or lacks a field, and is answered %d", id, status)
}

// StartsAfterCancel counts the starts after a confirmed cancellation.
func (w *Simulation) StartsAfterCancel() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startsAfterCancel
}

// maxIdle is how long, all troubles being over, a job may wait while a machine that
// fits has room and its team is under its limit.
const maxIdle = 90 * time.Second

// CheckWaiting looks for jobs that have waited for too long beside free room. It is to be
// called every few seconds.
func (w *Simulation) CheckWaiting(up []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faultsOverAt.IsZero() {
		return
	}
	now := time.Now()
	here := map[string]int{} // tasks on some machine, fetching ones included, by job
	for _, worker := range up {
		for _, t := range worker.tasks {
			if t.state != wire.TaskExited {
				here[t.job.ID]++
			}
		}
	}
	for id := range w.acceptedAt {
		job := w.jobs[id]
		enough := 1
		if job.Shape == wire.ServiceJob {
			enough = job.Tasks // each replica has to be there
		}
		if here[id] >= enough || w.reportedPhase[id].Final() || w.allDone(job) || !w.hasCapacityFor(job, up) {
			delete(w.idleSince, id)
			continue
		}
		if w.idleSince[id].IsZero() {
			w.idleSince[id] = now
		}
		if d := now.Sub(w.idleSince[id]); d > maxIdle {
			w.violation("left_waiting", "%s has waited %v beside free room", id, d)
			w.idleSince[id] = now
		}
	}
}

func (w *Simulation) allDone(job *wire.Job) bool {
	for i := range job.Tasks {
		if !w.doneTasks[wire.TaskName(job.ID, i)] {
			return false
		}
	}
	return true
}

// hasCapacityFor tells whether a job's first start would find room: a task of an array, all of a
// gang (one that must be spread is left out).
func (w *Simulation) hasCapacityFor(job *wire.Job, up []*Worker) bool {
	need := 1
	if job.Shape == wire.GangJob {
		need = job.Tasks
		if job.SpreadZones {
			return false
		}
	}
	cpus, gpus := job.CPUs*float64(need), job.GPUs*float64(need)
	for _, worker := range up {
		for _, t := range worker.tasks {
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
	for _, worker := range up {
		if worker.dead || worker.hung || worker.faulty || worker.terminationNoticeS != nil || (worker.Machine.Spot && !job.AllowSpot) || (job.Zone != "" && job.Zone != worker.Machine.Zone) {
			continue
		}
		ok := len(job.MachineTypes) == 0
		for _, t := range job.MachineTypes {
			ok = ok || t == worker.Machine.MachineType
		}
		if !ok {
			continue
		}
		c, g, r := worker.machineType.CPUs, worker.machineType.GPUs, worker.machineType.MemoryGB
		for _, t := range worker.tasks {
			if t.state != wire.TaskExited {
				c, g, r = c-t.job.CPUs, g-t.job.GPUs, r-t.job.MemoryGB
			}
		}
		zone := ""
		if job.SingleZone {
			zone = worker.Machine.Zone
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

// checkCancelled looks for tasks of jobs cancelled too long ago.
func (w *Simulation) checkCancelled() {
	w.expireLeases()
	for name := range w.running {
		id, _, _ := wire.ParseTaskName(name)
		if at, ok := w.cancelledAt[id]; ok && time.Since(at) > w.CancelDeadline {
			w.violation("ran_cancelled", "%s is on a machine %v after its cancellation", name, time.Since(at))
		}
	}
}

// expireLeases ends the sessions of machines that hang beyond their leases.
func (w *Simulation) expireLeases() {
	late := map[*Worker]bool{}
	for _, ks := range w.running {
		for worker := range ks {
			late[worker] = true
		}
	}
	for worker := range late {
		worker.checkLease()
	}
}

// startTask puts a task on its machine: its image is there.
func (w *Simulation) startTask(worker *Worker, t *task) {
	w.checkCancelled()
	job := t.job
	w.starts++
	if try := fmt.Sprintf("%s %d", t.name, t.attempt); w.startedAttempts[try] {
		w.repeatedAttempts++
	} else {
		w.startedAttempts[try] = true
	}
	if _, ok := w.cancelledAt[job.ID]; ok {
		w.startsAfterCancel++
	}
	if _, ok := w.firstStart[job.ID]; !ok {
		w.firstStart[job.ID] = time.Now()
	}
	if len(w.running[t.name]) > 0 {
		w.violation("ran_twice", "%s attempt %d starts on %s while it is on another machine", t.name, t.attempt, worker.Machine.ID)
	}
	if at, ok := w.cancelledAt[job.ID]; ok && time.Since(at) > w.CancelDeadline {
		w.violation("ran_cancelled", "%s starts %v after its cancellation", t.name, time.Since(at))
	}
	w.checkPlacement(worker, job)
	if w.running[t.name] == nil {
		w.running[t.name] = map[*Worker]*task{}
	}
	w.running[t.name][worker] = t
	t.state = wire.TaskWaitingForGang
	w.checkQuota(job.Team)
	switch {
	case w.doneTasks[t.name]:
		worker.exit(t, wire.ExitDone, false)
	case worker.faulty:
		t.state = wire.TaskRunning
		worker.after(t, time.Second, func() { worker.exit(t, wire.ExitError, false) })
	case job.Shape == wire.GangJob:
		w.joinGang(worker, t)
	case job.Shape == wire.ServiceJob:
		t.state = wire.TaskRunning
		t.timer = nil // the fetch's, which must not fire again when the machine goes on
		if w.replicaExit != nil {
			if d, ends := w.replicaExit(job, t.index); ends {
				worker.after(t, d, func() { worker.exit(t, wire.ExitDone, false) })
			}
		}
	default:
		t.state = wire.TaskRunning
		worker.after(t, w.runTime(job, t.index), func() {
			w.completeTask(t)
			worker.exit(t, wire.ExitDone, false)
		})
	}
}

func (w *Simulation) runTime(job *wire.Job, task int) time.Duration {
	if w.RunTime != nil {
		return w.RunTime(job, task)
	}
	return time.Duration(job.EstimatedRunS * float64(time.Second))
}

// checkPlacement checks type, zone and kind of a start against the job's tasks on machines.
func (w *Simulation) checkPlacement(worker *Worker, job *wire.Job) {
	ok := len(job.MachineTypes) == 0
	for _, t := range job.MachineTypes {
		ok = ok || t == worker.Machine.MachineType
	}
	if !ok || (job.Zone != "" && job.Zone != worker.Machine.Zone) || (worker.Machine.Spot && !job.AllowSpot) {
		w.violation("wrong_place", "%s on %s", job.ID, worker.Machine.ID)
	}
	same := 1
	for i := range job.Tasks {
		for o := range w.running[wire.TaskName(job.ID, i)] {
			if o.Machine.Zone == worker.Machine.Zone {
				same++
			} else if job.SingleZone {
				w.violation("wrong_place", "%s has tasks in two zones", job.ID)
			}
		}
	}
	if job.SpreadZones && same > (job.Tasks+1)/2 {
		w.violation("wrong_place", "%s has %d tasks in one zone", job.ID, same)
	}
}

// Used is what a team's tasks use.
func (w *Simulation) Used(team string) (cpus, gpus float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used(team)
}

func (w *Simulation) used(team string) (cpus, gpus float64) {
	for _, ks := range w.running {
		for _, t := range ks {
			if t.job.Team == team {
				cpus += t.job.CPUs
				gpus += t.job.GPUs
			}
		}
	}
	return cpus, gpus
}

func (w *Simulation) checkQuota(team string) {
	cpus, gpus := w.used(team)
	for _, c := range w.Teams {
		if c.Name == team && ((c.CPUsMax > 0 && cpus > c.CPUsMax+1e-6) || (c.GPUsMax > 0 && gpus > c.GPUsMax+1e-6)) {
			w.violation("quota", "%s uses %v CPUs and %v GPUs", team, cpus, gpus)
		}
	}
}

// gangMembers lists the tasks of the same gang attempt, with their machines.
func (w *Simulation) gangMembers(t *task) map[*task]*Worker {
	out := map[*task]*Worker{}
	for i := range t.job.Tasks {
		for worker, o := range w.running[wire.TaskName(t.job.ID, i)] {
			if o.attempt == t.attempt {
				out[o] = worker
			}
		}
	}
	return out
}

// joinGang lets a gang start once all its tasks are there, and ends it at once.
func (w *Simulation) joinGang(worker *Worker, t *task) {
	worker.after(t, w.GangWaitTimeout, func() {
		if t.state == wire.TaskWaitingForGang {
			worker.exit(t, wire.ExitGangIncomplete, false)
		}
	})
	ms := w.gangMembers(t)
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
			for o, ok := range w.gangMembers(m) {
				if o.state == wire.TaskRunning {
					w.completeTask(o)
					ok.exit(o, wire.ExitDone, false)
				}
			}
		})
	}
}

// completeTask notes that a task has completed.
func (w *Simulation) completeTask(t *task) {
	w.doneTasks[t.name] = true
	if w.OnJobDone != nil && w.allDone(t.job) {
		w.OnJobDone(t.job.ID)
	}
}

// removeTask takes a task from its machine; the rest of a running gang notices.
func (w *Simulation) removeTask(worker *Worker, t *task) {
	if w.running[t.name][worker] != t {
		return
	}
	gone := time.Now()
	if !w.removedAt.IsZero() {
		gone = w.removedAt
	}
	if at, ok := w.cancelledAt[t.job.ID]; ok && gone.Sub(at) > w.CancelDeadline {
		w.violation("ran_cancelled", "%s leaves its machine %v after its cancellation", t.name, gone.Sub(at))
	}
	delete(w.running[t.name], worker)
	if len(w.running[t.name]) == 0 {
		delete(w.running, t.name)
	}
	if t.job.Shape != wire.GangJob || w.doneTasks[t.name] || t.state == wire.TaskWaitingForGang {
		return
	}
	for m, mk := range w.gangMembers(t) {
		if m.state == wire.TaskRunning {
			mk.after(m, w.GangPeerTimeout, func() { mk.exit(m, wire.ExitGangMemberLost, false) })
		}
	}
}
