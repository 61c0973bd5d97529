package scheduler

import (
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// The tasks of a service are its replicas, which run until the job is cancelled. A replica that
// exits, for whatever cause, is placed again under a new attempt.

// replicaRunS is the assumed run time of a replica in seconds, used to compare it with other
// tasks. One year exceeds the run time of any other task, and is small enough that sums of
// floating-point numbers stay exact.
const replicaRunS = 365 * 24 * 3600.0

// expectedRunSeconds returns the expected run time, in seconds, of a task of the job.
func expectedRunSeconds(job *wire.Job) float64 {
	if job.IsService() {
		return replicaRunS
	}
	return job.EstimatedRunS
}

// replicaRestart is the restart delay of a replica that exited soon after its start.
type replicaRestart struct {
	notBefore time.Time
	backoffS  float64
}

// handleReplicaExit updates the restart delay after the exit of a replica that was not stopped. A
// replica that exits before it counts as started is restarted after a delay that doubles each
// time, up to ErrorBackoffMaxS.
func (p *Partition) handleReplicaExit(placement *Placement, now time.Time) {
	job := placement.job
	if p.countsAsStarted(placement, now) {
		delete(job.replicaRestarts, placement.task)
		job.failures.forgetAllMachines()
		return
	}
	restart := job.replicaRestarts[placement.task]
	restart.backoffS = min(max(2*restart.backoffS, p.tuning.RestartBackoffS), p.tuning.ErrorBackoffMaxS)
	restart.notBefore = now.Add(tuning.Seconds(restart.backoffS))
	if job.replicaRestarts == nil {
		job.replicaRestarts = map[int]replicaRestart{}
	}
	job.replicaRestarts[placement.task] = restart
}

// countsAsStarted reports whether a placement's task has run for at least SettledS.
func (p *Partition) countsAsStarted(placement *Placement, now time.Time) bool {
	if placement.runningSince.IsZero() {
		return false
	}
	return now.Sub(placement.runningSince) >= tuning.Seconds(p.tuning.SettledS)
}

// taskPlaceable reports whether a task is waiting and its restart delay, if any, has passed.
func (j *Job) taskPlaceable(task int, now time.Time) bool {
	return j.taskStates[task] == taskWaiting && !now.Before(j.replicaRestarts[task].notBefore)
}

// placeableTasks returns the number of waiting tasks whose restart delay, if any, has passed.
func (j *Job) placeableTasks(now time.Time) int {
	count := j.waitingTasks
	for task, restart := range j.replicaRestarts {
		if j.taskStates[task] == taskWaiting && now.Before(restart.notBefore) {
			count--
		}
	}
	return count
}
