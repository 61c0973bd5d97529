package records

import (
	"ambersill/internal/config"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// ChunkRecord is the state of a contiguous range of a job's tasks. The record of a job's first
// chunk also contains the job's description, so that a new owner can restore its partition
// without reading the JobRecords.
type ChunkRecord struct {
	Job           *wire.Job `cbor:"job,omitempty"`
	SubmittedAtMS int64     `cbor:"at,omitempty"` // Unix time in milliseconds
	// JobRevision is the revision of the JobRecord's key. It is omitted until the chunk is
	// first rewritten, since both records are created at the same revision.
	JobRevision    uint64            `cbor:"js,omitempty"`
	HighestAttempt uint64            `cbor:"try"`            // highest of any task of the job
	DoneRanges     []int             `cbor:"done,omitempty"` // done tasks, as flattened ranges
	Placements     []PlacementRecord `cbor:"live,omitempty"`
	// JournalSequence is the sequence of the newest journal record whose changes to the chunk
	// are included. The changes of all earlier records are included, too.
	JournalSequence uint64 `cbor:"q,omitempty"`
	// From and To are the range of tasks [From, To) that the record covers. They are omitted
	// in the initial format, where the chunk with index i covers TasksPerChunk tasks from
	// task i * TasksPerChunk on; the index is the chunk's name in the key.
	From int `cbor:"from,omitempty"`
	To   int `cbor:"to,omitempty"`
}

// PlacementRecord is a task's placement on a machine. The placement may still be in effect. The
// record is encoded as an array.
type PlacementRecord struct {
	_           struct{} `cbor:",toarray"`
	Task        int
	Attempt     uint64
	Machine     string
	Incarnation uint64 // incarnation of the worker on the machine
}

// LoadedChunk is a ChunkRecord read from the key-value store, with the job and the chunk's name
// from its key, and the key's revision.
type LoadedChunk struct {
	JobID    string
	Name     string
	Revision uint64
	Record   ChunkRecord
}

// NewFirstChunk returns the record of a job's first chunk, which is created on submission. At
// FeatureExplicitChunks and higher levels, the record contains an explicit range of tasks.
func NewFirstChunk(record *JobRecord, level FeatureLevel, settings *config.Settings) ChunkRecord {
	chunk := ChunkRecord{Job: record.Job, SubmittedAtMS: record.SubmittedAtMS}
	if level >= FeatureExplicitChunks {
		chunk.To = min(TasksPerChunk(settings), record.Job.TaskCount)
	}
	return chunk
}

// TasksPerChunk returns the number of tasks in a chunk of the initial format. Such records do not
// contain their range of tasks, so all controllers must derive it from the same setting.
func TasksPerChunk(settings *config.Settings) int {
	return max(1, MaxValueBytes(settings.Cluster.Store.MaxValueKiB)/tuning.ReservedTaskBytes)
}

// HasExplicitRange reports whether the record contains its range of tasks.
func (r *ChunkRecord) HasExplicitRange() bool { return r.To > 0 }
