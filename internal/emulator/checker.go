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
	ruleRanTwice        rule = "ran_twice"
	ruleQuota           rule = "quota"
	ruleWrongPlace      rule = "wrong_place"
	ruleRanCancelled    rule = "ran_cancelled"
	ruleForgotten       rule = "forgotten"
	ruleInvented        rule = "invented"
	ruleNotDone         rule = "not_done"
	ruleWentBack        rule = "went_back"
	ruleLeftWaiting     rule = "left_waiting" // a job waits beside capacity
	ruleAcceptedInvalid rule = "accepted"     // a job is accepted that can't run or lacks a field
)

const (
	// maxTimeWithoutAnswer is how long, all faults being over, no question about an accepted job
	// may go without an answer, however others fare.
	maxTimeWithoutAnswer = 75 * time.Second
	// maxWaitDespiteCapacity is how long, all faults being over, a job may wait while a machine that fits
	// has capacity and its team is under its limit.
	maxWaitDespiteCapacity = 90 * time.Second
	// roundingTolerance absorbs what adding amounts up loses.
	roundingTolerance = 1e-6
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
	lastAnswerAt    time.Time // when a question about the job was last answered
	firstStartAt    time.Time // when its first task started
	waitingSince    time.Time // since when the job has waited beside capacity
}

// recordViolation records that a rule is broken.
func (s *Simulation) recordViolation(violated rule, format string, args ...any) {
	at := time.Now().Format("15:04:05.000 ")
	s.violations = append(s.violations, at+string(violated)+": "+fmt.Sprintf(format, args...))
}

// Violations lists how rules were broken so far.
func (s *Simulation) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkRunningAfterCancellation()
	return slices.Clone(s.violations)
}

// RecordFaultsOver notes that all faults are over.
func (s *Simulation) RecordFaultsOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultsOverAt = time.Now()
}

// RegisterJob uploads a job's description, which users do before they submit it.
func (s *Simulation) RegisterJob(job *wire.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.jobs[job.ID]; state != nil {
		state.job = job
		return
	}
	s.jobs[job.ID] = &jobState{job: job}
}

// jobDescription is a job's jobDescription as its user uploaded it; nil if there is none.
func (s *Simulation) jobDescription(id string) *wire.Job {
	if state := s.jobs[id]; state != nil {
		return state.job
	}
	return nil
}

// RecordCancelRequest notes that a user asks for a cancellation.
func (s *Simulation) RecordCancelRequest(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.jobs[id]; state != nil {
		state.cancelRequested = true
	}
}

// isCancelRequested reports whether a user has asked for a cancellation.
func (s *Simulation) isCancelRequested(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.jobs[id]
	return state != nil && state.cancelRequested
}

// RecordPhaseAnswer checks what a user was answered about a job. sent is when the question was
// sent: an answer is older than another only if its question was sent after the other had
// arrived.
func (s *Simulation) RecordPhaseAnswer(id string, phase wire.JobPhase, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.jobs[id]
	if state == nil {
		s.recordViolation(ruleInvented, "%s is called %s", id, phase)
		return
	}
	now := time.Now()
	state.lastAnswerAt = now
	if state.reportedPhase.Final() && state.reportedPhase != phase {
		s.checkWentBack(state, phase, sent)
		return
	}
	if state.acceptedAt.IsZero() {
		state.acceptedAt = now
	}
	if phase.Final() && !state.reportedPhase.Final() {
		state.finalAt = now
	}
	s.checkCancelRequested(state, phase)
	s.checkNotDone(state, phase)
	if phase == wire.JobCancelled && state.reportedPhase != phase {
		state.cancelledAt = now
	}
	state.reportedPhase = phase
}

// checkWentBack: a job once called done or cancelled is called something else.
func (s *Simulation) checkWentBack(state *jobState, phase wire.JobPhase, sent time.Time) {
	if phase.Final() || sent.After(state.finalAt) {
		s.recordViolation(ruleWentBack, "%s was called %s, then %s", state.job.ID, state.reportedPhase, phase)
	}
}

// checkCancelRequested: a job its user didn't cancel is called cancelled.
func (s *Simulation) checkCancelRequested(state *jobState, phase wire.JobPhase) {
	if phase == wire.JobCancelled && !state.cancelRequested {
		s.recordViolation(ruleWentBack, "%s is called cancelled, but nobody asked", state.job.ID)
	}
}

// checkNotDone: a job is called done before all of its tasks are.
func (s *Simulation) checkNotDone(state *jobState, phase wire.JobPhase) {
	if phase != wire.JobDone {
		return
	}
	for i := range state.job.Tasks {
		if !s.completedTasks[wire.TaskName(state.job.ID, i)] {
			s.recordViolation(ruleNotDone, "%s is called done before task %d is", state.job.ID, i)
			return
		}
	}
}

// RecordUnansweredPoll notes that a question about an accepted job was not answered, which after a
// while counts as forgotten.
func (s *Simulation) RecordUnansweredPoll(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultsOverAt.IsZero() {
		return
	}
	unansweredSince := s.faultsOverAt
	if state := s.jobs[id]; state != nil && state.lastAnswerAt.After(unansweredSince) {
		unansweredSince = state.lastAnswerAt
	}
	if time.Since(unansweredSince) > maxTimeWithoutAnswer {
		s.recordViolation(ruleForgotten, "no question about %s was answered for %v", id, time.Since(unansweredSince))
	}
}

// RecordUnknownJobAnswer checks an answer as if the job were not known, to a question sent at that
// time: an accepted job is forgotten.
func (s *Simulation) RecordUnknownJobAnswer(id string, status int, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.jobs[id]
	if state != nil && !state.acceptedAt.IsZero() && sent.After(state.acceptedAt) {
		s.recordViolation(ruleForgotten, "%s was accepted and is answered %d", id, status)
	}
}

// RecordInvalidJobAccepted notes that a job was accepted that can't run or lacks a field.
func (s *Simulation) RecordInvalidJobAccepted(id string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordViolation(ruleAcceptedInvalid, "%s can't run or lacks a field, and is answered %d", id, status)
}

// checkStart checks a start before the task is on its machine.
func (s *Simulation) checkStart(worker *Worker, t *task) {
	s.checkRanTwice(worker, t)
	s.checkStartAfterCancellation(t)
	s.checkWrongPlace(worker, t.job)
}

// checkRanTwice: a task starts on one machine while it is on another.
func (s *Simulation) checkRanTwice(worker *Worker, t *task) {
	if len(s.tasksOnMachines[t.name]) > 0 {
		s.recordViolation(ruleRanTwice, "%s attempt %d starts on %s while it is on another machine", t.name, t.attempt, worker.Machine.ID)
	}
}

// timeSinceCancellation is how long before the given time a user was answered that the job is
// cancelled.
func (s *Simulation) timeSinceCancellation(jobID string, at time.Time) (time.Duration, bool) {
	state := s.jobs[jobID]
	if state == nil || state.cancelledAt.IsZero() {
		return 0, false
	}
	return at.Sub(state.cancelledAt), true
}

// checkStartAfterCancellation: a task starts too long after its job was cancelled.
func (s *Simulation) checkStartAfterCancellation(t *task) {
	if since, cancelled := s.timeSinceCancellation(t.job.ID, time.Now()); cancelled && since > s.CancelDeadline {
		s.recordViolation(ruleRanCancelled, "%s starts %v after its cancellation", t.name, since)
	}
}

// checkRunningAfterCancellation: a task is on a machine too long after its job was cancelled.
func (s *Simulation) checkRunningAfterCancellation() {
	s.expireLeases()
	now := time.Now()
	for name := range s.tasksOnMachines {
		id, _, _ := wire.ParseTaskName(name)
		if since, cancelled := s.timeSinceCancellation(id, now); cancelled && since > s.CancelDeadline {
			s.recordViolation(ruleRanCancelled, "%s is on a machine %v after its cancellation", name, since)
		}
	}
}

// checkRemovalAfterCancellation: a task leaves its machine too long after its job was cancelled.
func (s *Simulation) checkRemovalAfterCancellation(t *task) {
	removalTime := time.Now()
	if !s.removalTime.IsZero() {
		removalTime = s.removalTime
	}
	if since, cancelled := s.timeSinceCancellation(t.job.ID, removalTime); cancelled && since > s.CancelDeadline {
		s.recordViolation(ruleRanCancelled, "%s leaves its machine %v after its cancellation", t.name, since)
	}
}

// machineTypeAllowed reports whether a job may use a machine's type.
func machineTypeAllowed(job *wire.Job, machineType string) bool {
	return len(job.MachineTypes) == 0 || slices.Contains(job.MachineTypes, machineType)
}

// checkWrongPlace: given the job's tasks on machines, a task starts on a type, in a zone or
// on a spot machine that its job doesn't allow.
func (s *Simulation) checkWrongPlace(worker *Worker, job *wire.Job) {
	machine := worker.Machine
	if !machineTypeAllowed(job, machine.MachineType) || (job.Zone != "" && job.Zone != machine.Zone) || (machine.Spot && !job.AllowSpot) {
		s.recordViolation(ruleWrongPlace, "%s on %s", job.ID, machine.ID)
	}
	inZone := 1
	for i := range job.Tasks {
		for other := range s.tasksOnMachines[wire.TaskName(job.ID, i)] {
			switch {
			case other.Machine.Zone == machine.Zone:
				inZone++
			case job.SingleZone:
				s.recordViolation(ruleWrongPlace, "%s has tasks in two zones", job.ID)
			}
		}
	}
	if job.SpreadZones && inZone > (job.Tasks+1)/2 {
		s.recordViolation(ruleWrongPlace, "%s has %d tasks in one zone", job.ID, inZone)
	}
}

// checkQuota: a team's tasks use more than its limit.
func (s *Simulation) checkQuota(team string) {
	cpus, gpus := s.teamUsage(team)
	if s.overLimit(team, cpus, gpus) {
		s.recordViolation(ruleQuota, "%s uses %v CPUs and %v GPUs", team, cpus, gpus)
	}
}

// overLimit reports whether amounts are over a team's limit.
func (s *Simulation) overLimit(team string, cpus, gpus float64) bool {
	for _, limits := range s.Teams {
		if limits.Name != team {
			continue
		}
		if limits.CPUsMax > 0 && cpus > limits.CPUsMax+roundingTolerance {
			return true
		}
		if limits.GPUsMax > 0 && gpus > limits.GPUsMax+roundingTolerance {
			return true
		}
	}
	return false
}

// CheckWaitingJobs looks for jobs that have waited for too long beside capacity on the machines
// given. It is to be called every few seconds.
func (s *Simulation) CheckWaitingJobs(workers []*Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultsOverAt.IsZero() {
		return
	}
	now := time.Now()
	placed := countPlacedTasks(workers)
	for id, state := range s.jobs {
		if state.acceptedAt.IsZero() {
			continue
		}
		if !s.waitsDespiteCapacity(state, placed[id], workers) {
			state.waitingSince = time.Time{}
			continue
		}
		if state.waitingSince.IsZero() {
			state.waitingSince = now
		}
		if waited := now.Sub(state.waitingSince); waited > maxWaitDespiteCapacity {
			s.recordViolation(ruleLeftWaiting, "%s has waited %v beside free capacity", id, waited)
			state.waitingSince = now
		}
	}
}

// countPlacedTasks counts the tasks on machines, fetching ones included, by job.
func countPlacedTasks(workers []*Worker) map[string]int {
	placed := map[string]int{}
	for _, worker := range workers {
		for _, t := range worker.tasks {
			if t.state != wire.TaskExited {
				placed[t.job.ID]++
			}
		}
	}
	return placed
}

// waitsDespiteCapacity reports whether none of a job's tasks is placed - of a service, not
// all - although its first start would find capacity.
func (s *Simulation) waitsDespiteCapacity(state *jobState, placed int, workers []*Worker) bool {
	needed := 1
	if state.job.IsService() {
		needed = state.job.Tasks // each replica has to be there
	}
	return placed < needed && !state.reportedPhase.Final() && !s.allTasksDone(state.job) && s.hasCapacityFor(state.job, workers)
}

// hasCapacityFor reports whether a job's first start would find capacity: a task of an array,
// all of a gang (one that must be spread is left out).
func (s *Simulation) hasCapacityFor(job *wire.Job, workers []*Worker) bool {
	if job.IsGang() && job.SpreadZones {
		return false
	}
	tasks := 1
	if job.IsGang() {
		tasks = job.Tasks
	}
	cpus, gpus := teamUsageWith(job, tasks, workers)
	return !s.overLimit(job.Team, cpus, gpus) && tasksFitOnMachines(job, tasks, workers)
}

// teamUsageWith returns what a job's team would use with that many more of the job's tasks.
func teamUsageWith(job *wire.Job, tasks int, workers []*Worker) (cpus, gpus float64) {
	cpus = job.CPUs * float64(tasks)
	gpus = job.GPUs * float64(tasks)
	for _, worker := range workers {
		for _, t := range worker.tasks {
			if t.job.Team == job.Team && t.state != wire.TaskExited {
				cpus += t.job.CPUs
				gpus += t.job.GPUs
			}
		}
	}
	return cpus, gpus
}

// tasksFitOnMachines reports whether that many of a job's tasks fit on machines, of a single zone if
// the job asks for that.
func tasksFitOnMachines(job *wire.Job, tasks int, workers []*Worker) bool {
	fitting := map[string]int{} // tasks that fit, by zone where all must be in one
	for _, worker := range workers {
		if !worker.canRun(job) {
			continue
		}
		zone := ""
		if job.SingleZone {
			zone = worker.Machine.Zone
		}
		fitting[zone] += worker.countFittingTasks(job, tasks-fitting[zone])
		if fitting[zone] >= tasks {
			return true
		}
	}
	return false
}

// canRun reports whether a machine is usable, and allowed for a job.
func (k *Worker) canRun(job *wire.Job) bool {
	if k.dead || k.hung || k.faulty || k.terminationNoticeS != nil {
		return false
	}
	if (k.Machine.Spot && !job.AllowSpot) || (job.Zone != "" && job.Zone != k.Machine.Zone) {
		return false
	}
	return machineTypeAllowed(job, k.Machine.MachineType)
}

// countFittingTasks is how many of a job's tasks, up to a limit, fit on a machine beside those
// that are there.
func (k *Worker) countFittingTasks(job *wire.Job, limit int) int {
	cpus, gpus, memory := k.machineType.CPUs, k.machineType.GPUs, k.machineType.MemoryGB
	for _, t := range k.tasks {
		if t.state != wire.TaskExited {
			cpus, gpus, memory = cpus-t.job.CPUs, gpus-t.job.GPUs, memory-t.job.MemoryGB
		}
	}
	count := 0
	for cpus >= job.CPUs && gpus >= job.GPUs && memory >= job.MemoryGB && count < limit {
		cpus, gpus, memory = cpus-job.CPUs, gpus-job.GPUs, memory-job.MemoryGB
		count++
	}
	return count
}
