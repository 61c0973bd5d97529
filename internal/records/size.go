package records

import (
	"ambersill/internal/config"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
	"strconv"
)

// SizeBound bounds a record's size in the protocol's measure from above.
func (r *ChunkRecord) SizeBound() int {
	n := ChunkOverheadBytes + RangeBytes/2*len(r.DoneRanges)
	for _, placed := range r.Placements {
		n += placed.SizeBound()
	}
	if r.Job != nil {
		n += JobDescriptionBytes(r.Job)
	}
	return n
}

// Sizes in the protocol's measure, in bytes.
const (
	ChunkOverheadBytes          = 128 // a chunk's record without its tasks and the job's description
	RangeBytes                  = 14  // two task numbers of up to six digits
	jobDescriptionOverheadBytes = 560 // a job's description without its names
	placementOverheadBytes      = 8   // the punctuation of a live placement
)

// JobDescriptionBytes bounds the size of a job's description from above.
func JobDescriptionBytes(job *wire.Job) int {
	n := jobDescriptionOverheadBytes + len(job.ID) + len(job.Class) + len(job.Team) + len(job.Image) + len(job.Zone)
	for _, t := range job.MachineTypes {
		n += len(t) + 3
	}
	return n
}

// JobFitsRecord tells whether a job's description leaves room in a record for a task.
func JobFitsRecord(job *wire.Job, settings *config.Settings) bool {
	return ChunkOverheadBytes+JobDescriptionBytes(job)+tuning.TaskBytes <= int(settings.WriteLimits().ValueKB*1024)
}

// SizeBound is a placement's size.
func (l PlacementRecord) SizeBound() int {
	return placementOverheadBytes + digits(uint64(l.Task)) + digits(l.Attempt) + len(l.Machine) + digits(l.Incarnation)
}

func digits(n uint64) int { return len(strconv.FormatUint(n, 10)) }

// TasksPerChunk is how many tasks a chunk of the first format holds.
func TasksPerChunk(settings *config.Settings) int {
	return max(1, int(settings.Cluster.State.ValueKB*1024)/tuning.TaskBytes)
}
