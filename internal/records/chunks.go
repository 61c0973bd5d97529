package records

import (
	"ambersill/internal/config"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// ChunkRecord is the state of some of a job's tasks. That of the first chunk also contains the
// job's description, so that a new owner of the partition needs nothing else.
type ChunkRecord struct {
	Job           *wire.Job `cbor:"job,omitempty"`
	SubmittedAtMS int64     `cbor:"at,omitempty"` // Unix time in milliseconds
	// JobRevision is the revision of the job's record. It is left out until the first
	// rewrite, since both records are created at the same revision.
	JobRevision    uint64            `cbor:"js,omitempty"`
	HighestAttempt uint64            `cbor:"try"`            // highest attempt of any task of the job
	DoneRanges     []int             `cbor:"done,omitempty"` // flattened ranges of the tasks that are done
	Placements     []PlacementRecord `cbor:"live,omitempty"`
	// JournalSequence is that of the newest journal record whose changes are all included.
	JournalSequence uint64 `cbor:"q,omitempty"`
	// From and To are the range of tasks that the record contains, [From, To). Records of
	// the initial format lack them: those contain TasksPerChunk tasks each, in the order of
	// the numbers in their keys.
	From int `cbor:"from,omitempty"`
	To   int `cbor:"to,omitempty"`
}

// PlacementRecord is a placement that may be in effect. It is encoded as an array.
type PlacementRecord struct {
	_           struct{} `cbor:",toarray"`
	Task        int
	Attempt     uint64
	Machine     string
	Incarnation uint64 // of the worker
}

// LoadedChunk is a chunk's record with what its key contains, and the key's revision.
type LoadedChunk struct {
	JobID    string
	Name     string
	Revision uint64
	Record   ChunkRecord
}

// NewFirstChunk returns the record of a job's first chunk as it is created on submission.
func NewFirstChunk(record *JobRecord, level FeatureLevel, settings *config.Settings) ChunkRecord {
	chunk := ChunkRecord{Job: record.Job, SubmittedAtMS: record.SubmittedAtMS}
	if level >= FeatureExplicitChunks {
		chunk.To = min(TasksPerChunk(settings), record.Job.Tasks)
	}
	return chunk
}

// TasksPerChunk returns the number of tasks in a chunk of the initial format. All controllers
// must derive it from the same setting.
func TasksPerChunk(settings *config.Settings) int {
	return max(1, MaxValueBytes(settings.Cluster.State.ValueKB)/tuning.ReservedTaskBytes)
}

// HasExplicitRange reports whether the record contains the range of its tasks.
func (r *ChunkRecord) HasExplicitRange() bool { return r.To > 0 }
