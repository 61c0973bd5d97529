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
