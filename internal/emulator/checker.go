package emulator

import (
	"fmt"
	"slices"
	"time"

	"ambersill/internal/wire"
)

// The rules that the protocol states have one function each, named after the rule.

// rule is a rule's name, as the protocol has it where it names one.
type rule string

const (
	ruleRanTwice     rule = "ran_twice"
	ruleQuota        rule = "quota"
	ruleWrongPlace   rule = "wrong_place"
	ruleRanCancelled rule = "ran_cancelled"
	ruleForgotten    rule = "forgotten"
	ruleInvented     rule = "invented"
	ruleNotDone      rule = "not_done"
	ruleWentBack     rule = "went_back"
	ruleLeftWaiting  rule = "left_waiting" // a job waits beside capacity
	ruleAccepted     rule = "accepted"     // a job is accepted that can't run or lacks a field
)

const (
	// maxUnanswered is how long, all faults being over, no question about an accepted job
	// may go without an answer, however others fare.
	maxUnanswered = 75 * time.Second
	// maxIdle is how long, all faults being over, a job may wait while a machine that fits
	// has capacity and its team is under its limit.
	maxIdle = 90 * time.Second
	// rounding absorbs what adding amounts up loses.
	rounding = 1e-6
)

// jobState is what is known of one job, by its user and by its tasks. Times are zero as long
// as the event has not happened.
type jobState struct {
	job             *wire.Job
	reportedPhase   wire.JobPhase // what a user was answered last, or finally
	acceptedAt      time.Time     // when a user was first answered that the job is known
	finalAt         time.Time     // when a user was first answered done or cancelled
	cancelRequested bool
	cancelledAt     time.Time // when a user was first answered cancelled
	lastAnswered    time.Time // when a question about the job was last answered
	firstStart      time.Time // when its first task started
	idleSince       time.Time // since when the job has waited beside capacity
}

// violation records that a rule is broken.
func (w *Simulation) violation(broken rule, format string, args ...any) {
	at := time.Now().Format("15:04:05.000 ")
	w.violations = append(w.violations, at+string(broken)+": "+fmt.Sprintf(format, args...))
}

// Violations lists how rules were broken so far.
func (w *Simulation) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkCancelled()
	return slices.Clone(w.violations)
}

// FaultsOver notes that all faults are over.
func (w *Simulation) FaultsOver() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultsOverAt = time.Now()
}

// JobSubmitted uploads a job's description, which users do before they submit it.
func (w *Simulation) JobSubmitted(job *wire.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state := w.jobs[job.ID]; state != nil {
		state.job = job
		return
	}
	w.jobs[job.ID] = &jobState{job: job}
}

// description is a job's description as its user uploaded it; nil if there is none.
func (w *Simulation) description(id string) *wire.Job {
	if state := w.jobs[id]; state != nil {
		return state.job
	}
	return nil
}

// CancelRequested notes that a user asks for a cancellation.
func (w *Simulation) CancelRequested(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state := w.jobs[id]; state != nil {
		state.cancelRequested = true
	}
}

// isCancelRequested reports whether a user has asked for a cancellation.
func (w *Simulation) isCancelRequested(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.jobs[id]
	return state != nil && state.cancelRequested
}

// PhaseReported checks what a user was answered about a job. sent is when the question was
// sent: an answer is older than another only if its question was sent after the other had
// arrived.
func (w *Simulation) PhaseReported(id string, phase wire.JobPhase, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.jobs[id]
	if state == nil {
		w.violation(ruleInvented, "%s is called %s", id, phase)
		return
	}
	now := time.Now()
	state.lastAnswered = now
	if state.reportedPhase.IsFinal() && state.reportedPhase != phase {
		w.checkWentBack(state, phase, sent)
		return
	}
	if state.acceptedAt.IsZero() {
		state.acceptedAt = now
	}
	if phase.IsFinal() && !state.reportedPhase.IsFinal() {
		state.finalAt = now
	}
	w.checkCancelWasRequested(state, phase)
	w.checkNotDone(state, phase)
	if phase == wire.JobCancelled && state.reportedPhase != phase {
		state.cancelledAt = now
	}
	state.reportedPhase = phase
}

// checkWentBack: a job once called done or cancelled is called something else.
func (w *Simulation) checkWentBack(state *jobState, phase wire.JobPhase, sent time.Time) {
	if phase.IsFinal() || sent.After(state.finalAt) {
		w.violation(ruleWentBack, "%s was called %s, then %s", state.job.ID, state.reportedPhase, phase)
	}
}

// checkCancelWasRequested: a job its user didn't cancel is called cancelled.
func (w *Simulation) checkCancelWasRequested(state *jobState, phase wire.JobPhase) {
	if phase == wire.JobCancelled && !state.cancelRequested {
		w.violation(ruleWentBack, "%s is called cancelled, but nobody asked", state.job.ID)
	}
}

// checkNotDone: a job is called done before all of its tasks are.
func (w *Simulation) checkNotDone(state *jobState, phase wire.JobPhase) {
	if phase != wire.JobDone {
		return
	}
	for i := range state.job.TaskCount {
		if !w.done[wire.TaskName(state.job.ID, i)] {
			w.violation(ruleNotDone, "%s is called done before task %d is", state.job.ID, i)
			return
		}
	}
}

// PollFailed notes that a question about an accepted job was not answered, which after a
// while counts as forgotten.
func (w *Simulation) PollFailed(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faultsOverAt.IsZero() {
		return
	}
	last := w.faultsOverAt
	if state := w.jobs[id]; state != nil && state.lastAnswered.After(last) {
		last = state.lastAnswered
	}
	if time.Since(last) > maxUnanswered {
		w.violation(ruleForgotten, "no question about %s was answered for %v", id, time.Since(last))
	}
}

// ReportedUnknown checks an answer as if the job were not known, to a question sent at that
// time: an accepted job is forgotten.
func (w *Simulation) ReportedUnknown(id string, status int, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.jobs[id]
	if state != nil && !state.acceptedAt.IsZero() && sent.After(state.acceptedAt) {
		w.violation(ruleForgotten, "%s was accepted and is answered %d", id, status)
	}
}

// AcceptedInvalid notes that a job was accepted that can't run or lacks a field.
func (w *Simulation) AcceptedInvalid(id string, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violation(ruleAccepted, "%s can't run or lacks a field, and is answered %d", id, status)
}

// checkStart checks a start before the task is on its machine.
func (w *Simulation) checkStart(k *Worker, t *task) {
	w.checkRanTwice(k, t)
	w.checkStartCancelled(t)
	w.checkWrongPlace(k, t.job)
}

// checkRanTwice: a task starts on one machine while it is on another.
func (w *Simulation) checkRanTwice(k *Worker, t *task) {
	if len(w.running[t.name]) > 0 {
		w.violation(ruleRanTwice, "%s attempt %d starts on %s while it is on another machine", t.name, t.attempt, k.Machine.ID)
	}
}

// sinceCancelled is how long before the given time a user was answered that the job is
// cancelled.
func (w *Simulation) sinceCancelled(jobID string, at time.Time) (time.Duration, bool) {
	state := w.jobs[jobID]
	if state == nil || state.cancelledAt.IsZero() {
		return 0, false
	}
	return at.Sub(state.cancelledAt), true
}

// checkStartCancelled: a task starts too long after its job was cancelled.
func (w *Simulation) checkStartCancelled(t *task) {
	if since, cancelled := w.sinceCancelled(t.job.ID, time.Now()); cancelled && since > w.CancelDeadline {
		w.violation(ruleRanCancelled, "%s starts %v after its cancellation", t.name, since)
	}
}

// checkCancelled: a task is on a machine too long after its job was cancelled.
func (w *Simulation) checkCancelled() {
	w.expireLeases()
	now := time.Now()
	for name := range w.running {
		id, _, _ := wire.ParseTaskName(name)
		if since, cancelled := w.sinceCancelled(id, now); cancelled && since > w.CancelDeadline {
			w.violation(ruleRanCancelled, "%s is on a machine %v after its cancellation", name, since)
		}
	}
}

// checkRemoval: a task leaves its machine too long after its job was cancelled.
func (w *Simulation) checkRemoval(t *task) {
	removedAt := time.Now()
	if !w.removedAt.IsZero() {
		removedAt = w.removedAt
	}
	if since, cancelled := w.sinceCancelled(t.job.ID, removedAt); cancelled && since > w.CancelDeadline {
		w.violation(ruleRanCancelled, "%s leaves its machine %v after its cancellation", t.name, since)
	}
}

// typeAllowed reports whether a job may use a machine's type.
func typeAllowed(job *wire.Job, machineType string) bool {
	return len(job.MachineTypes) == 0 || slices.Contains(job.MachineTypes, machineType)
}

// checkWrongPlace: given the job's tasks on machines, a task starts on a type, in a zone or
// on a spot machine that its job doesn't allow.
func (w *Simulation) checkWrongPlace(k *Worker, job *wire.Job) {
	machine := k.Machine
	if !typeAllowed(job, machine.MachineType) || (job.Zone != "" && job.Zone != machine.Zone) || (machine.Spot && !job.AllowSpot) {
		w.violation(ruleWrongPlace, "%s on %s", job.ID, machine.ID)
	}
	inZone := 1
	for i := range job.TaskCount {
		for other := range w.running[wire.TaskName(job.ID, i)] {
			switch {
			case other.Machine.Zone == machine.Zone:
				inZone++
			case job.SingleZone:
				w.violation(ruleWrongPlace, "%s has tasks in two zones", job.ID)
			}
		}
	}
	if job.SpreadZones && inZone > (job.TaskCount+1)/2 {
		w.violation(ruleWrongPlace, "%s has %d tasks in one zone", job.ID, inZone)
	}
}

// checkQuota: a team's tasks use more than its limit.
func (w *Simulation) checkQuota(team string) {
	cpus, gpus := w.used(team)
	if w.overLimit(team, cpus, gpus) {
		w.violation(ruleQuota, "%s uses %v CPUs and %v GPUs", team, cpus, gpus)
	}
}

// overLimit reports whether amounts are over a team's limit.
func (w *Simulation) overLimit(team string, cpus, gpus float64) bool {
	for _, limits := range w.Teams {
		if limits.Name != team {
			continue
		}
		if limits.MaxCPUs > 0 && cpus > limits.MaxCPUs+rounding {
			return true
		}
		if limits.MaxGPUs > 0 && gpus > limits.MaxGPUs+rounding {
			return true
		}
	}
	return false
}

// CheckWaiting looks for jobs that have waited for too long beside capacity on the machines
// given. It is to be called every few seconds.
func (w *Simulation) CheckWaiting(up []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faultsOverAt.IsZero() {
		return
	}
	now := time.Now()
	placed := placedTasks(up)
	for id, state := range w.jobs {
		if state.acceptedAt.IsZero() {
			continue
		}
		if !w.waitsBesideCapacity(state, placed[id], up) {
			state.idleSince = time.Time{}
			continue
		}
		if state.idleSince.IsZero() {
			state.idleSince = now
		}
		if d := now.Sub(state.idleSince); d > maxIdle {
			w.violation(ruleLeftWaiting, "%s has waited %v beside free capacity", id, d)
			state.idleSince = now
		}
	}
}

// placedTasks counts the tasks on machines, fetching ones included, by job.
func placedTasks(up []*Worker) map[string]int {
	placed := map[string]int{}
	for _, k := range up {
		for _, t := range k.tasks {
			if t.state != wire.TaskExited {
				placed[t.job.ID]++
			}
		}
	}
	return placed
}

// waitsBesideCapacity reports whether none of a job's tasks is placed - of a service, not
// all - although its first start would find capacity.
func (w *Simulation) waitsBesideCapacity(state *jobState, placed int, up []*Worker) bool {
	enough := 1
	if state.job.IsService() {
		enough = state.job.TaskCount // each replica has to be there
	}
	return placed < enough && !state.reportedPhase.IsFinal() && !w.allDone(state.job) && w.hasCapacityFor(state.job, up)
}

// hasCapacityFor reports whether a job's first start would find capacity: a task of an array,
// all of a gang (one that must be spread is left out).
func (w *Simulation) hasCapacityFor(job *wire.Job, up []*Worker) bool {
	if job.IsGang() && job.SpreadZones {
		return false
	}
	tasks := 1
	if job.IsGang() {
		tasks = job.TaskCount
	}
	cpus, gpus := usageWith(job, tasks, up)
	return !w.overLimit(job.Team, cpus, gpus) && machinesFit(job, tasks, up)
}

// usageWith returns what a job's team would use with that many more of the job's tasks.
func usageWith(job *wire.Job, tasks int, up []*Worker) (cpus, gpus float64) {
	cpus = job.CPUs * float64(tasks)
	gpus = job.GPUs * float64(tasks)
	for _, k := range up {
		for _, t := range k.tasks {
			if t.job.Team == job.Team && t.state != wire.TaskExited {
				cpus += t.job.CPUs
				gpus += t.job.GPUs
			}
		}
	}
	return cpus, gpus
}

// machinesFit reports whether that many of a job's tasks fit on machines, of a single zone if
// the job asks for that.
func machinesFit(job *wire.Job, tasks int, up []*Worker) bool {
	fitting := map[string]int{} // tasks that fit, by zone where all must be in one
	for _, k := range up {
		if !k.canRun(job) {
			continue
		}
		zone := ""
		if job.SingleZone {
			zone = k.Machine.Zone
		}
		fitting[zone] += k.tasksFitting(job, tasks-fitting[zone])
		if fitting[zone] >= tasks {
			return true
		}
	}
	return false
}

// canRun reports whether a machine is usable, and allowed for a job.
func (w *Worker) canRun(job *wire.Job) bool {
	if w.dead || w.hung || w.failsTasks || w.terminationNoticeS != nil {
		return false
	}
	if (w.Machine.Spot && !job.AllowSpot) || (job.Zone != "" && job.Zone != w.Machine.Zone) {
		return false
	}
	return typeAllowed(job, w.Machine.MachineType)
}

// tasksFitting is how many of a job's tasks, up to a limit, fit on a machine beside those
// that are there.
func (w *Worker) tasksFitting(job *wire.Job, limit int) int {
	cpus, gpus, memory := w.machineType.CPUs, w.machineType.GPUs, w.machineType.MemoryGB
	for _, t := range w.tasks {
		if t.state != wire.TaskExited {
			cpus, gpus, memory = cpus-t.job.CPUs, gpus-t.job.GPUs, memory-t.job.MemoryGB
		}
	}
	n := 0
	for cpus >= job.CPUs && gpus >= job.GPUs && memory >= job.MemoryGB && n < limit {
		cpus, gpus, memory = cpus-job.CPUs, gpus-job.GPUs, memory-job.MemoryGB
		n++
	}
	return n
}
