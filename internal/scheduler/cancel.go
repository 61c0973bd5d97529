package scheduler

import "time"

// SetCancelledJobs replaces the list of cancelled jobs and stops the tasks of the listed jobs that
// were not cancelled before. It reports whether the partition has any such job. A job that is added
// after its cancellation became known, for example because a watch lags, is cancelled as soon as it
// is added.
func (p *Partition) SetCancelledJobs(ids []string, now time.Time) bool {
	changed := false
	p.cancelledJobIDs = make(map[string]bool, len(ids))
	for _, id := range ids {
		p.cancelledJobIDs[id] = true
		if p.CancelJob(id, now) {
			changed = true
		}
	}
	return changed
}

// CancelJob stops the tasks of a job whose cancellation is committed. It reports whether the job is
// known and had not been cancelled before.
func (p *Partition) CancelJob(id string, now time.Time) bool {
	job := p.jobs[id]
	if job == nil || job.Cancelled {
		return false
	}
	job.Cancelled = true
	for _, placement := range sortedPlacements(job) {
		p.requestStop(placement, 0, now)
	}
	return true
}
