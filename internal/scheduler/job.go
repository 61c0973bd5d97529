package scheduler

import (
	"time"

	"ambersill/internal/wire"
)

// taskState is the state of one of a job's tasks.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskPlaced
	taskDone
)

// noFailedSearch is the capacity version of a job for which no search for machines has
// failed since it was added or lost a task. Partition.capacityVersion is never below 0.
const noFailedSearch = -1

// Job is a job that has not ended, with the state of its tasks.
type Job struct {
	*wire.Job
	SubmittedAt time.Time
	Revision    uint64 // of the job's record
	Cancelled   bool   // its cancellation is committed

	taskStates      []taskState
	chunks          []*chunk // the records of the tasks, in order
	placements      map[int]*Placement
	waitingTasks    int // number of tasks in state taskWaiting
	doneTasks       int // number of tasks in state taskDone
	highestAttempt  uint64
	observedRunning bool // a task was seen running under this owner
	finalized       bool // its end is committed; its records may remain to be deleted

	// gangBroken: the gang lost a task. Its next attempt has to wait until all of its
	// placements are gone.
	gangBroken bool

	failures        jobFailures
	replicaRestarts map[int]replicaRestart // of replicas that ended soon after their start

	// failedSearchVersion is the capacity version at which no machine was found for the
	// job. The search is repeated only after the capacity has changed.
	failedSearchVersion int
	reservedUntil       time.Time // until then machines are reserved for the job

	preemption preemptionState
	cycle      cycleState
}

// cycleState is what a job may claim in a scheduling cycle. It depends on the time and on the
// other jobs; buildQueues sets it.
type cycleState struct {
	imageFetchS     float64 // seconds that the image's fetch takes at least, where there is capacity
	withinGuarantee bool    // fits the team's guarantee together with the team's earlier jobs
	ignoresGPUShare bool    // has waited so long that it may take any capacity
	cpuOnlyTypeFits bool    // machine types without GPUs are sufficient
	starved         bool    // has waited so long for its first start that it precedes its equals
	startOverdue    bool    // has waited so long that it precedes all other jobs
	startForced     bool    // has waited so long that it takes any machine, and keeps it
}

// newJob returns a job whose tasks are all waiting. The caller sets its chunks.
func newJob(description *wire.Job, submittedAt time.Time, revision uint64) *Job {
	return &Job{
		Job:                 description,
		SubmittedAt:         submittedAt,
		Revision:            revision,
		taskStates:          make([]taskState, description.Tasks),
		waitingTasks:        description.Tasks,
		placements:          map[int]*Placement{},
		failedSearchVersion: noFailedSearch,
	}
}

// runningTasks counts the tasks that run, those that save a checkpoint included.
func (j *Job) runningTasks() int {
	running := 0
	for _, placement := range j.placements {
		if placement.state == wire.TaskRunning || placement.state == wire.TaskSaving {
			running++
		}
	}
	return running
}
