package scheduler

import (
	"time"

	"ambersill/internal/wire"
)

// handleTaskExit processes the exit of a placement's task, and requeues the task if it is not
// done.
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

// impliesImageFetched reports whether a task that exited for this cause must have had its image:
// it had run or had waited for the other tasks of its gang.
func impliesImageFetched(cause wire.ExitCause) bool {
	switch cause {
	case wire.ExitStopped, wire.ExitInsufficientResources, wire.ExitTaskPresent, wire.ExitTaskUnknown:
		return false
	default:
		return true
	}
}

// handleTaskSuccess processes the successful exit of a task, and marks the task or its gang as
// done. A replica of a service must run until its job is cancelled, so it is requeued instead.
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
	job.recordCompletion(placement)
	p.detach(placement)
}

// handleTaskFailure records a task's exit with an error, and requeues the task.
func (p *Partition) handleTaskFailure(placement *Placement, now time.Time) {
	job := placement.job
	if job.IsService() {
		p.handleReplicaExit(placement, now)
	}
	p.recordFailure(job, placement.machine, now)
	p.requeue(placement, now)
}

// markGangDone marks all tasks of a gang as done. They complete together, so the other tasks are
// done even if their machines are lost before the workers report it.
func (p *Partition) markGangDone(job *Job) {
	for i := range job.taskStates {
		p.markTaskDone(job, i)
	}
	for _, other := range job.placements {
		other.gangDone = true
	}
}

// markTaskDone marks a task as done. It has no effect if the task is already done.
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
