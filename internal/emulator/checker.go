package emulator

import (
	"fmt"
	"slices"
	"time"

	"ambersill/internal/wire"
)

// Each rule of the protocol is checked by functions of its own.

// rule is the name of a rule as it appears in violation reports. Where the protocol names the
// rule, this is the protocol's name.
type rule string

const (
	// ruleRanTwice is violated if a task is on two machines at the same time.
	ruleRanTwice rule = "ran_twice"
	// ruleQuota is violated if a team uses more than its limit.
	ruleQuota rule = "quota"
	// ruleWrongPlace is violated if a task starts on a machine that its job does not allow.
	ruleWrongPlace rule = "wrong_place"
	// ruleRanCancelled is violated if a task is on a machine too long after its job was cancelled.
	ruleRanCancelled rule = "ran_cancelled"
	// ruleForgotten is violated if an accepted job is reported as unknown, or requests about it get
	// no answer.
	ruleForgotten rule = "forgotten"
	// ruleInvented is violated if a phase is reported for a job that was never submitted.
	ruleInvented rule = "invented"
	// ruleNotDone is violated if a job is reported as done before all its tasks have completed.
	ruleNotDone rule = "not_done"
	// ruleWentBack is violated if a final phase changes, or a job is cancelled without a request.
	ruleWentBack rule = "went_back"
	// ruleLeftWaiting is violated if a job waits although machines have free capacity for it.
	ruleLeftWaiting rule = "left_waiting"
	// ruleAcceptedInvalid is violated if a job is accepted that cannot run or lacks a field.
	ruleAcceptedInvalid rule = "accepted"
)

const (
	// maxTimeWithoutAnswer is the longest time after the end of all faults for which requests
	// about one accepted job may all fail, even if requests about other jobs succeed.
	maxTimeWithoutAnswer = 75 * time.Second
	// maxWaitDespiteCapacity is the longest time after the end of all faults for which a job
	// may wait although suitable machines have free capacity and its team is under its limit.
	maxWaitDespiteCapacity = 90 * time.Second
	// roundingTolerance absorbs floating-point rounding errors in sums of CPUs, GPUs and memory.
	roundingTolerance = 1e-6
)

// jobState is what the simulation knows about one job from its user's requests and from its
// tasks. A time is zero until the event has happened.
type jobState struct {
	job *wire.Job
	// reportedPhase is the last phase reported to a user. Once it is final, it does not change.
	reportedPhase   wire.JobPhase
	acceptedAt      time.Time // when a user was first told that the job is known
	finalAt         time.Time // when a user was first told that the job is done or cancelled
	cancelRequested bool
	cancelledAt     time.Time // when a user was first told that the job is cancelled
	lastAnswerAt    time.Time // when a request about the job was last answered with a phase
	firstStartAt    time.Time // when the job's first task started
	waitingSince    time.Time // when the job began to wait despite free capacity
}

// recordViolation records a violation of a rule, with the current time.
func (s *Simulation) recordViolation(violated rule, format string, args ...any) {
	at := time.Now().Format("15:04:05.000 ")
	s.violations = append(s.violations, at+string(violated)+": "+fmt.Sprintf(format, args...))
}

// Violations returns a description of each violation so far, after it has checked the tasks
// that are on machines.
func (s *Simulation) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkRunningAfterCancellation()
	return slices.Clone(s.violations)
}

// RecordFaultsOver records that all injected faults have ended. Time limits on answers and on
// waiting jobs apply from now on.
func (s *Simulation) RecordFaultsOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultsOverAt = time.Now()
}

// RegisterJob stores a job's description, or replaces the one stored under the same job ID.
// Users call it before they submit the job.
func (s *Simulation) RegisterJob(job *wire.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.jobs[job.ID]; state != nil {
		state.job = job
		return
	}
	s.jobs[job.ID] = &jobState{job: job}
}

// jobDescription returns the job that RegisterJob stored under the ID, or nil if there is none.
func (s *Simulation) jobDescription(id string) *wire.Job {
	if state := s.jobs[id]; state != nil {
		return state.job
	}
	return nil
}

// RecordCancelRequest records that a user requests the cancellation of a job.
func (s *Simulation) RecordCancelRequest(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.jobs[id]; state != nil {
		state.cancelRequested = true
	}
}

// isCancelRequested reports whether a user has requested the cancellation of a job.
func (s *Simulation) isCancelRequested(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.jobs[id]
	return state != nil && state.cancelRequested
}

// RecordPhaseAnswer records and checks the phase that a controller reported to a user. sent is
// when the user sent the request. Answers to concurrent requests may arrive in any order. After a
// final phase, an answer with a phase that is not final is therefore a violation only if its
// request was sent after the final phase had been reported.
func (s *Simulation) RecordPhaseAnswer(id string, phase wire.JobPhase, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.jobs[id]
	if state == nil {
		s.recordViolation(ruleInvented, "job %s was reported as %s, but was never submitted", id, phase)
		return
	}
	now := time.Now()
	state.lastAnswerAt = now
	if state.reportedPhase.IsFinal() && state.reportedPhase != phase {
		s.checkWentBack(state, phase, sent)
		return
	}
	if state.acceptedAt.IsZero() {
		state.acceptedAt = now
	}
	if phase.IsFinal() && !state.reportedPhase.IsFinal() {
		state.finalAt = now
	}
	s.checkCancelRequested(state, phase)
	s.checkNotDone(state, phase)
	if phase == wire.JobCancelled && state.reportedPhase != phase {
		state.cancelledAt = now
	}
	state.reportedPhase = phase
}

// checkWentBack records a violation if a job that was reported as done or cancelled is now
// reported in the other of these phases, or in an earlier phase in answer to a request that was
// sent after the final phase was known.
func (s *Simulation) checkWentBack(state *jobState, phase wire.JobPhase, sent time.Time) {
	if phase.IsFinal() || sent.After(state.finalAt) {
		s.recordViolation(ruleWentBack, "job %s was reported as %s, then as %s", state.job.ID, state.reportedPhase, phase)
	}
}

// checkCancelRequested records a violation if a job is reported as cancelled although no user
// requested that.
func (s *Simulation) checkCancelRequested(state *jobState, phase wire.JobPhase) {
	if phase == wire.JobCancelled && !state.cancelRequested {
		s.recordViolation(ruleWentBack, "job %s was reported as cancelled, but no user requested a cancellation", state.job.ID)
	}
}

// checkNotDone records a violation if a job is reported as done before all its tasks have
// completed.
func (s *Simulation) checkNotDone(state *jobState, phase wire.JobPhase) {
	if phase != wire.JobDone {
		return
	}
	for i := range state.job.TaskCount {
		if !s.completedTasks[wire.TaskName(state.job.ID, i)] {
			s.recordViolation(ruleNotDone, "job %s was reported as done before its task %d completed", state.job.ID, i)
			return
		}
	}
}

// RecordUnansweredRequest records that a request about a job got no answer, or one that says
// nothing about the job, such as HTTP status 503. It is a violation if the last answer with the
// job's phase and the end of the faults are both more than maxTimeWithoutAnswer ago.
func (s *Simulation) RecordUnansweredRequest(id string) {
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
		s.recordViolation(ruleForgotten, "no request about job %s was answered for %v", id, time.Since(unansweredSince))
	}
}

// RecordUnknownJobAnswer records an answer, with an HTTP status, that treats a job as unknown. It
// is a violation if the request was sent after the job had been accepted.
func (s *Simulation) RecordUnknownJobAnswer(id string, status int, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.jobs[id]
	if state != nil && !state.acceptedAt.IsZero() && sent.After(state.acceptedAt) {
		s.recordViolation(ruleForgotten, "job %s was accepted, but a later request about it was answered with HTTP status %d", id, status)
	}
}

// RecordInvalidJobAccepted records a violation: a submission of a job that cannot run or lacks a
// field, or a later request about that job, was answered with an HTTP status of success.
func (s *Simulation) RecordInvalidJobAccepted(id string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordViolation(ruleAcceptedInvalid, "job %s cannot run or lacks a field, but a request for it was answered with HTTP status %d", id, status)
}

// checkStart checks the rules for the start of a task. It must be called before the task is
// added to tasksOnMachines.
func (s *Simulation) checkStart(worker *Worker, t *task) {
	s.checkRanTwice(worker, t)
	s.checkStartAfterCancellation(t)
	s.checkWrongPlace(worker, t.job)
}

// checkRanTwice records a violation if a task starts on one machine while it is on another.
func (s *Simulation) checkRanTwice(worker *Worker, t *task) {
	if len(s.tasksOnMachines[t.name]) > 0 {
		s.recordViolation(ruleRanTwice, "task %s, attempt %d, started on machine %s while the task was on another machine", t.name, t.attempt, worker.Machine.ID)
	}
}

// timeSinceCancellation returns the time from the first answer that reported the job as
// cancelled until the given time; false if there was no such answer.
func (s *Simulation) timeSinceCancellation(jobID string, at time.Time) (time.Duration, bool) {
	state := s.jobs[jobID]
	if state == nil || state.cancelledAt.IsZero() {
		return 0, false
	}
	return at.Sub(state.cancelledAt), true
}

// checkStartAfterCancellation records a violation if a task starts more than CancelDeadline
// after its job was reported as cancelled.
func (s *Simulation) checkStartAfterCancellation(t *task) {
	if since, cancelled := s.timeSinceCancellation(t.job.ID, time.Now()); cancelled && since > s.CancelDeadline {
		s.recordViolation(ruleRanCancelled, "task %s started %v after its job was reported as cancelled", t.name, since)
	}
}

// checkRunningAfterCancellation records a violation for each task that is still on a machine
// more than CancelDeadline after its job was reported as cancelled.
func (s *Simulation) checkRunningAfterCancellation() {
	s.expireLeases()
	now := time.Now()
	for name := range s.tasksOnMachines {
		id, _, _ := wire.ParseTaskName(name)
		if since, cancelled := s.timeSinceCancellation(id, now); cancelled && since > s.CancelDeadline {
			s.recordViolation(ruleRanCancelled, "task %s is still on a machine %v after its job was reported as cancelled", name, since)
		}
	}
}

// checkRemovalAfterCancellation records a violation if a task leaves its machine more than
// CancelDeadline after its job was reported as cancelled.
func (s *Simulation) checkRemovalAfterCancellation(t *task) {
	removalTime := time.Now()
	if !s.removalTime.IsZero() {
		removalTime = s.removalTime
	}
	if since, cancelled := s.timeSinceCancellation(t.job.ID, removalTime); cancelled && since > s.CancelDeadline {
		s.recordViolation(ruleRanCancelled, "task %s left its machine %v after its job was reported as cancelled", t.name, since)
	}
}

// machineTypeAllowed reports whether a job may run on machines of a type. A job that lists no
// types may run on all.
func machineTypeAllowed(job *wire.Job, machineType string) bool {
	return len(job.MachineTypes) == 0 || slices.Contains(job.MachineTypes, machineType)
}

// checkWrongPlace records a violation if a task starts on a machine whose type, zone or spot
// status its job does not allow, or if, together with the job's tasks that are already on
// machines, it breaks the job's rule on zones. A job with SingleZone must have all tasks in one
// zone, and one with SpreadZones at most half of them, rounded up, in any zone.
func (s *Simulation) checkWrongPlace(worker *Worker, job *wire.Job) {
	machine := worker.Machine
	if !machineTypeAllowed(job, machine.MachineType) || (job.Zone != "" && job.Zone != machine.Zone) || (machine.Spot && !job.AllowSpot) {
		s.recordViolation(ruleWrongPlace, "a task of job %s started on machine %s, whose type, zone or spot status the job does not allow", job.ID, machine.ID)
	}
	inZone := 1
	for i := range job.TaskCount {
		for other := range s.tasksOnMachines[wire.TaskName(job.ID, i)] {
			switch {
			case other.Machine.Zone == machine.Zone:
				inZone++
			case job.SingleZone:
				s.recordViolation(ruleWrongPlace, "job %s requires a single zone, but has tasks in two", job.ID)
			}
		}
	}
	if job.SpreadZones && inZone > (job.TaskCount+1)/2 {
		s.recordViolation(ruleWrongPlace, "job %s must be spread over zones, but has %d tasks in one zone", job.ID, inZone)
	}
}

// checkQuota records a violation if a team's tasks use more than the team's limit.
func (s *Simulation) checkQuota(team string) {
	cpus, gpus := s.teamUsage(team)
	if s.overLimit(team, cpus, gpus) {
		s.recordViolation(ruleQuota, "team %s is over its limit: its tasks use %v CPUs and %v GPUs", team, cpus, gpus)
	}
}

// overLimit reports whether the number of CPUs or the number of GPUs is over a team's limit. A
// maximum of 0 means that the team has no limit on that resource.
func (s *Simulation) overLimit(team string, cpus, gpus float64) bool {
	for _, teamConfig := range s.Teams {
		if teamConfig.Name != team {
			continue
		}
		if teamConfig.MaxCPUs > 0 && cpus > teamConfig.MaxCPUs+roundingTolerance {
			return true
		}
		if teamConfig.MaxGPUs > 0 && gpus > teamConfig.MaxGPUs+roundingTolerance {
			return true
		}
	}
	return false
}

// CheckWaitingJobs records a violation for each job that has waited for more than
// maxWaitDespiteCapacity although the given machines have free capacity for it. It does nothing
// until RecordFaultsOver is called. Callers must call it every few seconds, because it measures
// the wait from the first call that finds the job waiting.
func (s *Simulation) CheckWaitingJobs(workers []*Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultsOverAt.IsZero() {
		return
	}
	now := time.Now()
	for _, worker := range workers {
		worker.expireLease()
	}
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
			s.recordViolation(ruleLeftWaiting, "job %s has waited for %v although machines have free capacity for it", id, waited)
			state.waitingSince = now
		}
	}
}

// countPlacedTasks returns how many tasks each job has on the machines, by job ID. It includes
// tasks whose image is still being fetched, but not tasks that have exited.
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

// waitsDespiteCapacity reports whether a job waits although the machines have capacity for its
// first start. A service waits until all its replicas are placed, another job until its first
// task is. placed is the number of the job's tasks that are on machines.
func (s *Simulation) waitsDespiteCapacity(state *jobState, placed int, workers []*Worker) bool {
	needed := 1
	if state.job.IsService() {
		needed = state.job.TaskCount // each replica must be placed
	}
	return placed < needed && !state.reportedPhase.IsFinal() && !s.allTasksDone(state.job) && s.hasCapacityFor(state.job, workers)
}

// hasCapacityFor reports whether the machines have free capacity for a job's first start, and
// the start would not exceed the team's limit. The first start of a gang places all its tasks,
// that of another job one task. Gangs that must be spread over zones are not checked; for them
// the result is always false.
func (s *Simulation) hasCapacityFor(job *wire.Job, workers []*Worker) bool {
	if job.IsGang() && job.SpreadZones {
		return false
	}
	tasks := 1
	if job.IsGang() {
		tasks = job.TaskCount
	}
	cpus, gpus := teamUsageWith(job, tasks, workers)
	return !s.overLimit(job.Team, cpus, gpus) && tasksFitOnMachines(job, tasks, workers)
}

// teamUsageWith returns the numbers of CPUs and GPUs that a job's team would use on the machines
// if the given number of the job's tasks were added.
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

// tasksFitOnMachines reports whether the given number of a job's tasks fit on the machines. If
// the job requires a single zone, they must fit on the machines of one zone.
func tasksFitOnMachines(job *wire.Job, tasks int, workers []*Worker) bool {
	// The number of tasks that fit, by zone. If the job does not require a single zone, all tasks
	// are counted under "".
	fitting := map[string]int{}
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

// canRun reports whether a machine is usable and a job may run on it. A machine is not usable
// if it is dead or hangs, if it fails its tasks, or if it has been given a termination notice.
func (w *Worker) canRun(job *wire.Job) bool {
	if w.dead || w.hung || w.failsTasks || w.terminationNoticeS != nil {
		return false
	}
	if (w.Machine.Spot && !job.AllowSpot) || (job.Zone != "" && job.Zone != w.Machine.Zone) {
		return false
	}
	return machineTypeAllowed(job, w.Machine.MachineType)
}

// countFittingTasks returns how many of a job's tasks, up to a limit, fit on a machine in
// addition to the tasks that it has.
func (w *Worker) countFittingTasks(job *wire.Job, limit int) int {
	cpus, gpus, memory := w.machineType.CPUs, w.machineType.GPUs, w.machineType.MemoryGB
	for _, t := range w.tasks {
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
