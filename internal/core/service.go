package core

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

// isService tells whether a job's tasks run until it is cancelled.
func isService(j *wire.Job) bool { return j.Shape == wire.Service }

// runSeconds is how long a task is expected to run.
func runSeconds(j *wire.Job) float64 {
	if isService(j) {
		return endless
	}
	return j.Estimate
}

// restart is when a replica that ended soon after its start may start again.
type restart struct {
	at      time.Time
	backoff float64 // seconds
}

// replicaEnded takes in the end of a replica that was not stopped. One that ended soon
// after its start waits before the next, longer each time.
func (p *Partition) replicaEnded(pl *Placement, now time.Time) {
	j := pl.job
	if !pl.began.IsZero() && now.Sub(pl.began) >= tuning.Seconds(p.t.SettledS) {
		delete(j.restarts, pl.task)
		clear(j.failedOn)
		return
	}
	r := j.restarts[pl.task]
	r.backoff = min(max(2*r.backoff, p.t.RestartBackoffS), p.t.ErrorBackoffMaxS)
	r.at = now.Add(tuning.Seconds(r.backoff))
	if j.restarts == nil {
		j.restarts = map[int]restart{}
	}
	j.restarts[pl.task] = r
}

// startableAt tells whether a waiting task may be placed by now.
func (j *Job) startableAt(task int, now time.Time) bool {
	return j.tasks[task] == waiting && !now.Before(j.restarts[task].at)
}

// waitingAt is how many tasks may be placed by now.
func (j *Job) waitingAt(now time.Time) int {
	n := j.waiting
	for task, r := range j.restarts {
		if j.tasks[task] == waiting && now.Before(r.at) {
			n--
		}
	}
	return n
}
