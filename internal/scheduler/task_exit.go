package scheduler

import (
	"time"

	"ambersill/internal/wire"
)

// taskExited records the exit of a placement's task, and requeues the task if it has no
// result.
func (p *Partition) taskExited(placement *Placement, cause wire.ExitCause, now time.Time) {
	if impliesImageFetched(cause) {
		placement.imageFetched = true
	}
	switch cause {
	case wire.ExitDone:
		p.taskSucceeded(placement, now)
	case wire.ExitError:
		p.taskFailed(placement, now)
	case wire.ExitGangIncomplete:
		p.Counters.GangTimeouts++
		p.gangTimedOut(placement, now)
	default:
		p.requeue(placement, now)
	}
}

// impliesImageFetched reports whether a task that exited for this cause had waited for its
// gang or run, which takes the image.
func impliesImageFetched(cause wire.ExitCause) bool {
	switch cause {
	case wire.ExitStopped, wire.ExitInsufficientResources, wire.ExitTaskPresent, wire.ExitTaskUnknown:
		return false
	default:
		return true
	}
}

// taskSucceeded records that a task completed. A service's replica is to run until its job
// is cancelled, so it is started again.
func (p *Partition) taskSucceeded(placement *Placement, now time.Time) {
	job := placement.job
	clear(placement.machine.failedJobs)
	if job.IsService() {
		p.replicaEnded(placement, now)
		p.requeue(placement, now)
		return
	}
	job.failures.resetBackoff()
	if job.IsGang() {
		p.finishGang(job)
	} else {
		p.finishTask(job, placement.task)
	}
	p.detach(placement)
}

// taskFailed records that a task exited with an error, and requeues it.
func (p *Partition) taskFailed(placement *Placement, now time.Time) {
	job := placement.job
	if job.IsService() {
		p.replicaEnded(placement, now)
	}
	p.recordFailure(job, placement.machine, now)
	p.requeue(placement, now)
}

// finishGang ends a gang. Its tasks complete together, so the others are done even if their
// machines are lost before they can report it.
func (p *Partition) finishGang(job *Job) {
	for i := range job.taskStates {
		p.finishTask(job, i)
	}
	for _, other := range job.placements {
		other.gangDone = true
	}
}

// finishTask records that a task is done; one that is done already stays as it is.
func (p *Partition) finishTask(job *Job, task int) {
	if job.taskStates[task] == taskDone {
		return
	}
	if job.taskStates[task] == taskWaiting {
		job.waitingTasks--
	}
	job.taskStates[task] = taskDone
	job.doneTasks++
	p.journal.markDirty(job.chunkOf(task), task)
	p.Counters.Finished++
}
