package scheduler

import (
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// A service's tasks, its replicas, run until the job is cancelled. One that ends, however
// it does, runs again under the next attempt.

// endless stands for the run time of a replica where work is weighed, in seconds; a year
// is more than any other work takes, and still a number that sums stay exact with.
const endless = 365 * 24 * 3600.0

// runSeconds is how long a task is expected to run.
func runSeconds(job *wire.Job) float64 {
	if job.IsService() {
		return endless
	}
	return job.EstimatedRunS
}

// replicaRestart is when a replica that ended soon after its start may start again.
type replicaRestart struct {
	at      time.Time
	backoff float64 // seconds
}

// replicaEnded takes in the end of a replica that was not stopped. One that ended soon
// after its start waits before the next, longer each time.
func (p *Partition) replicaEnded(placement *Placement, now time.Time) {
	job := placement.job
	if !placement.runningSince.IsZero() && now.Sub(placement.runningSince) >= tuning.Seconds(p.tuning.SettledS) {
		delete(job.replicaRestarts, placement.task)
		clear(job.failedMachines)
		return
	}
	restart := job.replicaRestarts[placement.task]
	restart.backoff = min(max(2*restart.backoff, p.tuning.RestartBackoffS), p.tuning.ErrorBackoffMaxS)
	restart.at = now.Add(tuning.Seconds(restart.backoff))
	if job.replicaRestarts == nil {
		job.replicaRestarts = map[int]replicaRestart{}
	}
	job.replicaRestarts[placement.task] = restart
}

// startable tells whether a waiting task may be placed by now.
func (j *Job) startable(task int, now time.Time) bool {
	return j.taskStates[task] == taskWaiting && !now.Before(j.replicaRestarts[task].at)
}

// startableCount is how many tasks may be placed by now.
func (j *Job) startableCount(now time.Time) int {
	n := j.waitingTasks
	for task, restart := range j.replicaRestarts {
		if j.taskStates[task] == taskWaiting && now.Before(restart.at) {
			n--
		}
	}
	return n
}
