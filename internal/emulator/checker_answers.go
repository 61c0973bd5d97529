// This file checks the answers that users get.

package emulator

import (
	"time"

	"ambersill/internal/wire"
)

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
