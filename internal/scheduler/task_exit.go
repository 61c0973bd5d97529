package scheduler

import (
	"time"

	"ambersill/internal/wire"
)

// handleTaskExit records the exit of a placement's task, and requeues the task if it has no
// result.
func (p *Partition) handleTaskExit(placement *Placement, cause wire.ExitCause, now time.Time) {
	if impliesImageFetched(cause) {
		placement.imageFetched = true
	}
	switch cause {
	case wire.ExitDone:
		p.handleTaskSuccess(placement, now)
	case wire.ExitError:
		p.handleTaskFailure(placement, now)
	case wire.ExitGangIncomplete:
		p.Counters.GangTimeouts++
		p.handleGangTimeout(placement, now)
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

// handleTaskSuccess records that a task completed. A service's replica is to run until its job
// is cancelled, so it is started again.
func (p *Partition) handleTaskSuccess(placement *Placement, now time.Time) {
	job := placement.job
	clear(placement.machine.failedJobs)
	if job.IsService() {
		p.handleReplicaExit(placement, now)
		p.requeue(placement, now)
		return
	}
	job.failures.resetBackoff()
	if job.IsGang() {
		p.markGangDone(job)
	} else {
		p.markTaskDone(job, placement.task)
	}
	p.detach(placement)
}

// handleTaskFailure records that a task exited with an error, and requeues it.
func (p *Partition) handleTaskFailure(placement *Placement, now time.Time) {
	job := placement.job
	if job.IsService() {
		p.handleReplicaExit(placement, now)
	}
	p.recordFailure(job, placement.machine, now)
	p.requeue(placement, now)
}

// markGangDone ends a gang. Its tasks complete together, so the others are done even if their
// machines are lost before they can report it.
func (p *Partition) markGangDone(job *Job) {
	for i := range job.taskStates {
		p.markTaskDone(job, i)
	}
	for _, other := range job.placements {
		other.gangDone = true
	}
}

// markTaskDone records that a task is done; one that is done already stays as it is.
func (p *Partition) markTaskDone(job *Job, task int) {
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
