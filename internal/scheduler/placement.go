package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ambersill/internal/resource"
	"ambersill/internal/wire"
)

// Placement is one attempt to run a task on a machine. It occupies the machine's capacity as long
// as the task may be on the machine or may still be started there.
type Placement struct {
	job          *Job
	task         int
	attempt      uint64
	machine      *Machine
	incarnation  uint64 // worker incarnation that the task is placed on; no other can run it
	chunkVersion int    // first version of the chunk that contains the placement

	start       startState
	stopRequest *stopRequest // nil if no stop was requested

	state              wire.TaskState // last reported state
	lastTaskListNumber uint64         // Machine.taskListCount when the task was last listed
	runningSince       time.Time      // when first reported as running; zero if it was not
	imageFetched       bool           // the worker is known to have fetched the image

	// gangDone is set if the gang is done and only the worker's report of this task's exit
	// is outstanding.
	gangDone bool
	// preemptionProtected is set if the job's start was forced when the task was placed. The
	// placement must not be preempted until it counts as started. Otherwise it could be
	// stopped again and again without ever running.
	preemptionProtected bool
}

// startState is the state of the start command of a placement.
type startState struct {
	sent bool // sent to the worker; reset if the worker did not execute it
	// heartbeatSequence is the sequence number of the newest heartbeat when the start was
	// last sent.
	heartbeatSequence uint64
	// directToken is the fencing token of the direct request that contained the start. It is 0
	// if no direct request contained the start, or the worker did not execute that request.
	directToken uint64
	// observed is set if the worker has confirmed the start, or a task list contained the
	// task. The start is then never sent again, since the worker may have run and forgotten
	// the task already.
	observed bool
}

// stopRequest is a request to stop a placement's task.
type stopRequest struct {
	gracePeriodS float64
	requestedAt  time.Time
	sent         bool // sent to the worker; reset if the worker did not execute it
}

// chunk returns the chunk that contains the placement's task.
func (pl *Placement) chunk() *chunk { return pl.job.chunkOf(pl.task) }

// taskAttempt returns the key that identifies the placement on its worker.
func (pl *Placement) taskAttempt() taskAttempt {
	return taskAttempt{wire.TaskName(pl.job.ID, pl.task), pl.attempt}
}

// taskAttempt identifies a placement on a machine. The attempt is part of the key because the same
// task may be placed on the machine again under a later attempt.
type taskAttempt struct {
	task    string
	attempt uint64
}

// compare orders task attempts by task name, then by attempt number.
func (a taskAttempt) compare(b taskAttempt) int {
	return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
}

// sortedPlacements returns a job's placements sorted by task index.
func sortedPlacements(job *Job) []*Placement {
	placements := make([]*Placement, 0, len(job.placements))
	for _, placement := range job.placements {
		placements = append(placements, placement)
	}
	slices.SortFunc(placements, func(a, b *Placement) int { return cmp.Compare(a.task, b.task) })
	return placements
}

// sortedTaskAttempts returns the sorted keys of a machine's placements.
func sortedTaskAttempts(placements map[taskAttempt]*Placement) []taskAttempt {
	keys := make([]taskAttempt, 0, len(placements))
	for key := range placements {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, taskAttempt.compare)
	return keys
}

// attach adds a placement to its job and machine, and allocates its machine's capacity and its
// team's quota.
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
	// The caller, or the first heartbeat that lists the task, sets the time of use.
	machine.cachedImages[job.Image] = time.Time{}
}

// detach removes a placement that can no longer run and frees its capacity and quota. A task that
// is not done returns to the waiting state.
func (p *Partition) detach(placement *Placement) {
	job := placement.job
	if job.placements[placement.task] != placement {
		return // already detached
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

// removePlacement removes a placement from the machine and frees its capacity.
func (m *Machine) removePlacement(placement *Placement) {
	job := placement.job
	delete(m.placements, placement.taskAttempt())
	m.allocated = m.allocated.Sub(resource.TaskRequest(job.Job))
	if len(m.placements) == 0 {
		m.allocated = resource.Vector{} // clears accumulated rounding errors
	}
	if !placement.imageFetched && !m.needsImage(job.Image) {
		// The worker aborts the fetch of an image that no task waits for.
		delete(m.cachedImages, job.Image)
	}
}
