package records

import (
	"strconv"

	"ambersill/internal/config"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// bytesPerKiB converts the limits in the settings, which are in KiB, to bytes.
const bytesPerKiB = 1024

// MaxValueBytes returns the maximum size of a value in bytes for a limit of maxValueKiB KiB.
func MaxValueBytes(maxValueKiB float64) int { return int(maxValueKiB * bytesPerKiB) }

// Upper bounds of sizes in bytes. The key-value store measures a value by its length as JSON.
const (
	// ChunkOverheadBytes bounds a ChunkRecord without its tasks and the job's description.
	ChunkOverheadBytes = 128
	// MaxRangeBytes bounds a range of tasks: two numbers of up to six digits.
	MaxRangeBytes = 14
	// jobDescriptionOverheadBytes bounds a job's description without the strings that
	// JobDescriptionSizeBound adds.
	jobDescriptionOverheadBytes = 560
	// placementOverheadBytes is the punctuation of a PlacementRecord.
	placementOverheadBytes = 8
	// listItemOverheadBytes is the punctuation of a name in a list: two quotes and a comma.
	listItemOverheadBytes = 3
	// collectionOverheadBytes bounds a record that is a map or a list, without its entries.
	collectionOverheadBytes = 64
)

// SizeBound returns an upper bound of the record's size in bytes.
func (r *ChunkRecord) SizeBound() int {
	size := ChunkOverheadBytes + rangesSizeBound(r.DoneRanges)
	for _, placement := range r.Placements {
		size += placement.SizeBound()
	}
	if r.Job != nil {
		size += JobDescriptionSizeBound(r.Job)
	}
	return size
}

// SizeBound returns an upper bound of the placement's size in bytes.
func (r PlacementRecord) SizeBound() int {
	return placementOverheadBytes + digits(uint64(r.Task)) + digits(r.Attempt) + len(r.Machine) + digits(r.Incarnation)
}

// JobDescriptionSizeBound returns an upper bound of the size of a job's description in bytes.
func JobDescriptionSizeBound(job *wire.Job) int {
	names := len(job.ID) + len(job.Class) + len(job.Team) + len(job.Image) + len(job.Zone)
	return jobDescriptionOverheadBytes + names + nameListBytes(job.MachineTypes)
}

// JobFitsRecord reports whether a job's description and at least one task fit into a ChunkRecord of
// the maximum size.
func JobFitsRecord(job *wire.Job, settings *config.Settings) bool {
	size := ChunkOverheadBytes + JobDescriptionSizeBound(job) + tuning.ReservedTaskBytes
	return size <= MaxValueBytes(settings.WriteLimits().MaxValueKiB)
}

// rangesSizeBound returns an upper bound of the size of flattened ranges in bytes.
func rangesSizeBound(ranges []int) int { return MaxRangeBytes / 2 * len(ranges) }

// nameListBytes returns the size of a list of names in bytes.
func nameListBytes(names []string) int {
	size := 0
	for _, name := range names {
		size += len(name) + listItemOverheadBytes
	}
	return size
}

// digits returns the number of decimal digits of n.
func digits(n uint64) int { return len(strconv.FormatUint(n, 10)) }
