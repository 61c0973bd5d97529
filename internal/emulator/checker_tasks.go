// This file checks where and when tasks are on machines.

package emulator

import (
	"slices"
	"time"

	"ambersill/internal/wire"
)

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
