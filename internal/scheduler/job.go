package scheduler

import (
	"time"

	"ambersill/internal/wire"
)

// taskState is the scheduling state of a task.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskPlaced
	taskDone
)

// noFailedSearch is the value of Job.failedSearchVersion when no search for machines has failed
// since the job was added or last had a task requeued. It differs from every value of
// Partition.capacityVersion, which is at least 0.
const noFailedSearch = -1

// Job is a job that has not ended, together with the state of its tasks.
type Job struct {
	*wire.Job
	SubmittedAt time.Time
	Revision    uint64 // revision of the job's record
	Cancelled   bool   // the cancellation is committed

	taskStates      []taskState
	chunks          []*chunk // chunks of the task state, in task order
	placements      map[int]*Placement
	waitingTasks    int // number of tasks in state taskWaiting
	doneTasks       int // number of tasks in state taskDone
	highestAttempt  uint64
	observedRunning bool        // a task was reported as running since this node became the owner
	finalized       bool        // the job's end is committed; some of its records may still exist
	completion      *Completion // nil until a worker's report completes the job

	// gangBroken is set if the gang has lost a task. The next attempt may start only once
	// no placement of the gang is left.
	gangBroken bool

	failures jobFailures
	// replicaRestarts contains, by task, the replicas that exited soon after their start.
	replicaRestarts map[int]replicaRestart

	// failedSearchVersion is the value of Partition.capacityVersion when a search for machines
	// for the job last failed. The search is not repeated until that value changes.
	failedSearchVersion int
	reservedUntil       time.Time // when the reservation of machines for the gang expires

	preemption preemptionState
	cycle      cycleState
}

// cycleState contains the properties of a job that depend on the time and on other jobs. They
// determine its precedence and the capacity that it may use. buildQueues computes them at the
// start of each scheduling cycle.
type cycleState struct {
	// imageFetchS is the shortest image fetch, in seconds, on a machine with capacity for a task.
	imageFetchS float64
	// withinGuarantee is set if the team's guarantee covers the job and the team's older jobs.
	withinGuarantee bool
	// ignoresGPUSetAside is set if the job is so old that it may use the CPUs and memory set
	// aside for free GPUs.
	ignoresGPUSetAside bool
	// cpuOnlyTypeFits is set if an allowed machine type without GPUs can run a task.
	cpuOnlyTypeFits bool
	// starved is set if the job has waited longer than StarveS for its first start. It precedes
	// jobs of equal priority and guarantee coverage.
	starved bool
	// startOverdue is set if the job has waited longer than OverdueS for its first start. It
	// precedes all other jobs.
	startOverdue bool
	// startForced is set if the job has waited longer than ForceS for its first start. It may use
	// empty machines, and its placements are protected from preemption.
	startForced bool
}

// newJob returns a job whose tasks are all waiting. The caller must set its chunks.
func newJob(description *wire.Job, submittedAt time.Time, revision uint64) *Job {
	return &Job{
		Job:                 description,
		SubmittedAt:         submittedAt,
		Revision:            revision,
		taskStates:          make([]taskState, description.TaskCount),
		waitingTasks:        description.TaskCount,
		placements:          map[int]*Placement{},
		failedSearchVersion: noFailedSearch,
	}
}

// runningTasks returns the number of running tasks, including those that are saving a
// checkpoint.
func (j *Job) runningTasks() int {
	running := 0
	for _, placement := range j.placements {
		if placement.state == wire.TaskRunning || placement.state == wire.TaskSaving {
			running++
		}
	}
	return running
}
