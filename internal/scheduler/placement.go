package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ambersill/internal/resource"
	"ambersill/internal/wire"
)

// Placement is one attempt of a task on a machine. It uses the machine's capacity for as
// long as the task may be there, or may still come to be there.
type Placement struct {
	job          *Job
	task         int
	attempt      uint64
	machine      *Machine
	incarnation  uint64 // of the worker; in another one the task cannot run
	chunkVersion int    // of the chunk that first contains the placement

	start       startState
	stopRequest *stopRequest // nil: it is not to be stopped

	state              wire.TaskState // as last reported
	lastTaskListNumber uint64         // number of the machine's last task list that contained it
	runningSince       time.Time      // when it was first seen running
	imageFetched       bool           // the worker is known to have its image

	// gangDone: its gang is done, and only the worker has yet to report its end.
	gangDone bool
	// preemptionProtected: it was placed when its job's start was forced, and must not be
	// preempted until the start counts. It could be stopped again and again otherwise,
	// without ever running.
	preemptionProtected bool
}

// startState is the progress of the start of a placement's task.
type startState struct {
	sent bool // it was sent to the worker at least once
	// heartbeatSequence is that of the newest heartbeat when the start was last sent.
	heartbeatSequence uint64
	// directToken is the fencing token of the direct request that carried the start; 0: no
	// direct request did.
	directToken uint64
	// observed: the worker has confirmed the start, or a task list contained the task. It
	// is never sent again: the worker may have executed and forgotten the task.
	observed bool
}

// stopRequest is a request to stop a placement's task.
type stopRequest struct {
	gracePeriodS float64
	requestedAt  time.Time
	sent         bool // it was sent to the worker at least once
}

// chunk returns the chunk that contains the placement's task.
func (pl *Placement) chunk() *chunk { return pl.job.chunkOf(pl.task) }

// taskAttempt returns the name under which the worker knows the placement.
func (pl *Placement) taskAttempt() taskAttempt {
	return taskAttempt{wire.TaskName(pl.job.ID, pl.task), pl.attempt}
}

// taskAttempt names a task on a machine: the same task may be placed there again under a
// later attempt.
type taskAttempt struct {
	task    string
	attempt uint64
}

// compare orders attempts by task, those of one task by their number.
func (a taskAttempt) compare(b taskAttempt) int {
	return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
}

// sortedPlacements returns a job's placements in the order of its tasks.
func sortedPlacements(job *Job) []*Placement {
	placements := make([]*Placement, 0, len(job.placements))
	for _, placement := range job.placements {
		placements = append(placements, placement)
	}
	slices.SortFunc(placements, func(a, b *Placement) int { return cmp.Compare(a.task, b.task) })
	return placements
}

// sortedTaskAttempts returns the keys of a machine's placements in order.
func sortedTaskAttempts(placements map[taskAttempt]*Placement) []taskAttempt {
	keys := make([]taskAttempt, 0, len(placements))
	for key := range placements {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, taskAttempt.compare)
	return keys
}

// attach has a placement use its machine's capacity and its team's quota.
func (p *Partition) attach(placement *Placement) {
	job, machine := placement.job, placement.machine
	request := resource.TaskRequest(job.Job)
	team := p.team(job.Team)
	job.taskStates[placement.task] = taskPlaced
	job.waitingTasks--
	job.placements[placement.task] = placement
	machine.placements[placement.taskAttempt()] = placement
	machine.allocated = machine.allocated.Add(request)
	team.Allocated = team.Allocated.Add(request)
	// The time of use is set by the caller, or by the first heartbeat that lists the task.
	machine.cachedImages[job.Image] = time.Time{}
}

// detach frees a placement's capacity and quota once it can no longer be in effect. A task
// that is not done waits again.
func (p *Partition) detach(placement *Placement) {
	job := placement.job
	if job.placements[placement.task] != placement {
		return // it was detached before
	}
	delete(job.placements, placement.task)
	placement.machine.removePlacement(placement)
	team := p.team(job.Team)
	team.Allocated = team.Allocated.Sub(resource.TaskRequest(job.Job))
	if job.taskStates[placement.task] == taskPlaced {
		job.taskStates[placement.task] = taskWaiting
		job.waitingTasks++
		p.Counters.Requeued++
		job.failedSearchVersion = noFailedSearch
	}
	p.journal.markDirty(placement.chunk(), placement.task)
	p.capacityVersion++
}

// removePlacement drops a placement from the machine.
func (m *Machine) removePlacement(placement *Placement) {
	job := placement.job
	delete(m.placements, placement.taskAttempt())
	m.allocated = m.allocated.Sub(resource.TaskRequest(job.Job))
	if len(m.placements) == 0 {
		m.allocated = resource.Vector{} // without rounding errors
	}
	if !placement.imageFetched && !m.needsImage(job.Image) {
		// The worker stops fetching an image for which no task waits.
		delete(m.cachedImages, job.Image)
	}
}
