package core

import (
	"sort"
	"time"

	"ambersill/internal/wire"
)

type taskState uint8

const (
	waiting taskState = iota
	live
	done
)

// chunk is a range of a job's tasks that shares one record.
type chunk struct {
	job *Job
	// name is the last part of its record's key; index is its place in the layout of
	// the first format, which the journal's entries name.
	name     string
	index    int
	from, to int
	// sized: its record is to say which tasks it holds; ranged: the stored one does.
	sized, ranged bool
	// head is the chunk whose record holds this one's state until this one has a record
	// of its own; parts are the chunks that were split off from this one, whose records
	// must be written before its own is.
	head      *chunk
	parts     []*chunk
	stamp     uint64 // of the key, as last read or written
	version   int    // counts changes in memory
	committed int    // version known to be in the state service
	// touched are the tasks with changes that are not committed, by the version
	// of their last one; since orders chunks by how long they have any.
	touched map[int]int
	since   int
	// oldest journal record with something that the chunk's own lacks; 0: none.
	oldest uint64
}

// Job is a job that is not over, with the state of its tasks.
type Job struct {
	*wire.Job
	At        time.Time
	Stamp     uint64 // of the job's record
	Cancelled bool
	tasks     []taskState
	chunks    []*chunk
	placed    map[int]*Placement
	waiting   int
	done      int
	try       uint64
	// broken: a gang that lost a task; no new attempt before all of it is gone.
	broken bool
	// final: the end is committed, the records may still have to be deleted.
	final bool
	// Failures: where its tasks exited with an error, and when to try again.
	failedOn map[string]bool
	retryAt  time.Time
	backoff  float64
	restarts map[int]restart // of a service's replicas that ended soon after their start
	// A search for room is repeated only after room has changed.
	noRoom    int
	preempted time.Time
	searched  time.Time // last search for work that yields to it
	held      bool      // room is being made for it, so it is no demand for rentals
	fetchS    float64   // seconds that its image's fetch takes at least, where it has room
	covered   bool      // fits the guarantee with the team's earlier jobs
	started   bool      // a task of it has been seen running under this owner
	old       bool      // has waited so long that it takes any room
	plain     bool      // types without GPUs could do it
	gathers   time.Time // until then machines are kept free for it
	aged      bool      // has waited so long for its first start that it goes first among equals
	overdue   bool      // so long that it goes before all
	forced    bool      // so long that it takes any machine, and keeps it
}

// Placement is a task that may be, or may come to be, on a machine.
type Placement struct {
	job     *Job
	task    int
	try     uint64
	machine *Machine
	session uint64
	version int // of the chunk that records it
	sent    bool
	sentSeq uint64
	direct  uint64 // token of the order that carried the start, if one did
	seen    bool   // a report has shown it
	listed  uint64 // number of the machine's list that last had it
	state   wire.TaskState
	began   time.Time // first seen running
	fetched bool      // has been seen with its image
	kill    *killOrder
	over    bool // its gang is done; only the machine's word is awaited
	// shielded: placed when its job was forced, and not to be stopped for others until
	// its start counts; it would else be stopped again and again before it ran.
	shielded bool
}

type killOrder struct {
	grace float64
	at    time.Time
	told  bool // has left at least once
}

func (p *Placement) chunk() *chunk { return p.job.chunkOf(p.task) }

// chunkOf finds the chunk that holds a task.
func (j *Job) chunkOf(task int) *chunk {
	return j.chunks[sort.Search(len(j.chunks), func(i int) bool { return j.chunks[i].to > task })]
}

type attempt struct {
	task string
	try  uint64
}

// clearance is an exited task that may be cleared once its end is committed.
type clearance struct {
	job     *Job
	task    int
	version int // of the task's chunk
}

func (c clearance) ready() bool {
	return c.job == nil || c.job.final || c.job.chunkOf(c.task).committed >= c.version
}
