package records

import (
	"ambersill/internal/config"
	"ambersill/internal/wire"
)

// NewFirstChunk is the record of a job's first chunk as it is submitted.
func NewFirstChunk(record *JobRecord, level FeatureLevel, settings *config.Settings) ChunkRecord {
	c := ChunkRecord{Job: record.Job, SubmittedAtMS: record.SubmittedAtMS}
	if level >= FeatureExplicitChunks {
		c.To = min(TasksPerChunk(settings), record.Job.Tasks)
	}
	return c
}

// LoadedChunk is a chunk's record as its key shows it.
type LoadedChunk struct {
	JobID    string
	Name     string
	Revision uint64
	Record   ChunkRecord
}

// JobRecord is a job as users see it, kept for ever.
type JobRecord struct {
	Job           *wire.Job     `cbor:"job"`
	Phase         wire.JobPhase `cbor:"ph"`
	Partition     int           `cbor:"p"`
	SubmittedAtMS int64         `cbor:"at"` // submission, milliseconds of the time of day
}

// ChunkRecord is the state of some of a job's tasks. The first chunk also holds
// the description, so that a new owner needs nothing else.
type ChunkRecord struct {
	Job           *wire.Job `cbor:"job,omitempty"`
	SubmittedAtMS int64     `cbor:"at,omitempty"`
	// JobRevision is the revision of the job's record; left out until the first
	// rewrite, for both are created at the same revision.
	JobRevision    uint64            `cbor:"js,omitempty"`
	HighestAttempt uint64            `cbor:"try"`            // highest attempt given out
	DoneRanges     []int             `cbor:"done,omitempty"` // ranges [from, to) of task numbers, flattened
	Placements     []PlacementRecord `cbor:"live,omitempty"`
	// JournalSequence is the newest journal record whose changes are all in here.
	JournalSequence uint64 `cbor:"q,omitempty"`
	// From and To are the tasks that the record holds, [From, To). Records of the first
	// format lack them: those hold ChunkTasks tasks each, in the order of their numbers.
	From int `cbor:"from,omitempty"`
	To   int `cbor:"to,omitempty"`
}

// HasExplicitRange reports whether the record contains the range of its tasks.
func (r *ChunkRecord) HasExplicitRange() bool { return r.To > 0 }

// PlacementRecord is a placement that may be in effect.
type PlacementRecord struct {
	_           struct{} `cbor:",toarray"`
	Task        int
	Attempt     uint64
	Machine     string
	Incarnation uint64
}

// Wishes that the leader writes into a machine's record.
const (
	DesiredInService = ""
	DesiredReturned  = "return" // to the cloud
	DesiredMoved     = "move"   // to another part
)

// OwnerRecord names the node that holds a part or leads.
type OwnerRecord struct {
	Node string `cbor:"node"`
}
