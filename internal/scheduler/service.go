package scheduler

import (
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// A service's tasks, its replicas, run until the job is cancelled. One that ends, however
// it does, runs again under the next attempt.

// replicaRunS is the run time, in seconds, that a replica counts with where work is compared:
// a year is more than any other work takes, and a number with which sums stay exact.
const replicaRunS = 365 * 24 * 3600.0

// expectedRunSeconds returns how long a task is expected to run.
func expectedRunSeconds(job *wire.Job) float64 {
	if job.IsService() {
		return replicaRunS
	}
	return job.EstimatedRunS
}

// replicaRestart delays the restart of a replica that ended soon after its start.
type replicaRestart struct {
	notBefore time.Time
	backoffS  float64
}

// handleReplicaExit records the end of a replica that was not stopped. One that ended soon after
// its start waits before it is restarted, longer each time.
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

// countsAsStarted reports whether a placement has run for so long that its start counts.
func (p *Partition) countsAsStarted(placement *Placement, now time.Time) bool {
	if placement.runningSince.IsZero() {
		return false
	}
	return now.Sub(placement.runningSince) >= tuning.Seconds(p.tuning.SettledS)
}

// startable reports whether a task waits and may be placed by now.
func (j *Job) startable(task int, now time.Time) bool {
	return j.taskStates[task] == taskWaiting && !now.Before(j.replicaRestarts[task].notBefore)
}

// startableCount returns how many tasks may be placed by now.
func (j *Job) startableCount(now time.Time) int {
	count := j.waitingTasks
	for task, restart := range j.replicaRestarts {
		if j.taskStates[task] == taskWaiting && now.Before(restart.notBefore) {
			count--
		}
	}
	return count
}
