package scheduler

import (
	"sort"
	"time"

	"ambersill/internal/wire"
)

type taskState uint8

const (
	taskWaiting taskState = iota
	taskPlaced
	taskDone
)

// Job is a job that is not over, with the state of its tasks.
type Job struct {
	*wire.Job
	SubmittedAt    time.Time
	Revision       uint64 // of the job's record
	Cancelled      bool
	taskStates     []taskState
	chunks         []*chunk
	placements     map[int]*Placement
	waitingTasks   int
	doneTasks      int
	highestAttempt uint64
	// gangBroken: a gang that lost a task; no new attempt before all of it is gone.
	gangBroken bool
	// finalized: the end is committed, the records may still have to be deleted.
	finalized bool
	// Failures: where its tasks exited with an error, and when to try again.
	failedMachines  map[string]bool
	retryAt         time.Time
	retryBackoffS   float64
	replicaRestarts map[int]replicaRestart // of a service's replicas that ended soon after their start
	// A search for room is repeated only after room has changed.
	noCapacityVersion    int
	lastPreemption       time.Time
	lastPreemptionSearch time.Time // last search for work that yields to it
	awaitingPreemption   bool      // room is being made for it, so it is no demand for rentals
	imageFetchS          float64   // seconds that its image's fetch takes at least, where it has room
	withinGuarantee      bool      // fits the guarantee with the team's earlier jobs
	seenRunning          bool      // a task of it has been seen running under this owner
	ignoresGPUShare      bool      // has waited so long that it takes any room
	cpuOnlyTypeFits      bool      // types without GPUs could do it
	reservedUntil        time.Time // until then machines are kept free for it
	starved              bool      // has waited so long for its first start that it goes first among equals
	startOverdue         bool      // so long that it goes before all
	startForced          bool      // so long that it takes any machine, and keeps it
}

// Placement is a task that may be, or may come to be, on a machine.
type Placement struct {
	job            *Job
	task           int
	attempt        uint64
	machine        *Machine
	incarnation    uint64
	chunkVersion   int // of the chunk that records it
	startSent      bool
	startSequence  uint64
	directToken    uint64 // token of the order that carried the start, if one did
	observed       bool   // a report has shown it
	lastStatusList uint64 // number of the machine's list that last had it
	state          wire.TaskState
	runningSince   time.Time // first seen running
	imageFetched   bool      // has been seen with its image
	stopRequest    *stopRequest
	gangDone       bool // its gang is done; only the machine's word is awaited
	// preemptionProtected: placed when its job was forced, and not to be stopped for others until
	// its start counts; it would else be stopped again and again before it ran.
	preemptionProtected bool
}

type stopRequest struct {
	gracePeriodS float64
	requestedAt  time.Time
	sent         bool // has left at least once
}

func (p *Placement) chunk() *chunk { return p.job.chunkOf(p.task) }

// chunkOf finds the chunk that holds a task.
func (j *Job) chunkOf(task int) *chunk {
	return j.chunks[sort.Search(len(j.chunks), func(i int) bool { return j.chunks[i].to > task })]
}

type taskAttempt struct {
	task    string
	attempt uint64
}

// pendingForget is an exited task that may be cleared once its end is committed.
type pendingForget struct {
	job          *Job
	task         int
	chunkVersion int // of the task's chunk
}

func (c pendingForget) ready() bool {
	return c.job == nil || c.job.finalized || c.job.chunkOf(c.task).committedVersion >= c.chunkVersion
}
