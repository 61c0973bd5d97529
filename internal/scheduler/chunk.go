package scheduler

import (
	"maps"
	"slices"
	"sort"
	"strconv"

	"ambersill/internal/records"
)

// chunkFormat is the storage format of a chunk's record.
type chunkFormat uint8

const (
	// indexedChunk records do not contain their range of tasks. The range follows from the
	// chunk index in the key and the configured maximum value size.
	indexedChunk chunkFormat = iota
	// explicitRangeChunk records contain their range of tasks, which allows a chunk to be split.
	explicitRangeChunk
)

// chunk is a range of a job's tasks, [from, to), whose state is stored in one record.
type chunk struct {
	job *Job
	// name is the last component of the record's key.
	name string
	// index is the chunk's index in the layout of indexed chunks. A chunk that is split off has
	// the index of its origin. Journal entries refer to chunks by index.
	index    int
	from, to int
	// format is the format for the next write of the record, storedFormat that of the stored
	// record.
	format       chunkFormat
	storedFormat chunkFormat
	// splitFrom is the chunk that this one was split off from, directly or indirectly, and whose
	// record contains the state of this chunk's tasks until this chunk has a record of its own.
	splitFrom *chunk
	// splitOffChunks are the chunks that were split off from this one. Their records must be
	// written before this chunk's record is rewritten without their tasks.
	splitOffChunks []*chunk
	revision       uint64 // of the record's key, as last read or written; 0 if there is no record

	changeVersion    int // incremented by each change in memory
	committedVersion int // all changes up to this version are in the key-value store
	// dirtyTasks maps each task with uncommitted changes to the version of its last change.
	dirtyTasks map[int]int
	dirtyOrder int // position among the dirty chunks, by first uncommitted change
	// oldestUncompactedSequence is the sequence of the oldest journal record with changes that
	// are missing from the chunk's own record; 0 if there are none.
	oldestUncompactedSequence uint64
}

// chunkOf returns the chunk that contains a task.
func (j *Job) chunkOf(task int) *chunk {
	return j.chunks[sort.Search(len(j.chunks), func(i int) bool { return j.chunks[i].to > task })]
}

// newChunk returns a chunk that has no record in the key-value store yet.
func newChunk(job *Job, index, from, to int, format chunkFormat) *chunk {
	return &chunk{
		job:    job,
		name:   chunkName(index, from, format),
		index:  index,
		from:   from,
		to:     to,
		format: format,
	}
}

// chunkName returns the last component of the key of a new chunk's record. The first chunk has
// the same name in both formats, because a new owner finds jobs by the keys of first chunks.
func chunkName(index, from int, format chunkFormat) string {
	if format == explicitRangeChunk && from > 0 {
		return records.ExplicitChunkName(from)
	}
	return strconv.Itoa(index)
}

// record returns the chunk's current state as a record without a journal sequence.
func (c *chunk) record() records.ChunkRecord {
	job := c.job
	record := records.ChunkRecord{HighestAttempt: job.highestAttempt}
	if c.index == 0 {
		record.Job = job.Job
		record.SubmittedAtMS = job.SubmittedAt.UnixMilli()
		record.JobRevision = job.Revision
	}
	if c.format == explicitRangeChunk {
		record.From, record.To = c.from, c.to
	}
	record.DoneRanges = records.EncodeRanges(c.from, c.to, func(task int) bool { return job.taskStates[task] == taskDone })
	for task := c.from; task < c.to; task++ {
		if placement := job.unfinishedPlacement(task); placement != nil {
			record.Placements = append(record.Placements, placement.record())
		}
	}
	return record
}

// unfinishedPlacement returns the placement of a task, or nil if the task is done or has none. A
// done task keeps its placement until a heartbeat of the worker confirms that the task ended.
func (j *Job) unfinishedPlacement(task int) *Placement {
	if j.taskStates[task] == taskDone {
		return nil
	}
	return j.placements[task]
}

// record returns the placement in its stored form.
func (pl *Placement) record() records.PlacementRecord {
	return records.PlacementRecord{
		Task:        pl.task,
		Attempt:     pl.attempt,
		Machine:     pl.machine.ID,
		Incarnation: pl.incarnation,
	}
}

// journalEntry returns the current state of the given tasks of the chunk, which must be sorted.
func (c *chunk) journalEntry(tasks []int) records.JournalEntry {
	job := c.job
	entry := records.JournalEntry{Job: job.ID, Chunk: c.index, HighestAttempt: job.highestAttempt}
	for _, task := range tasks {
		placement := job.placements[task]
		switch {
		case job.taskStates[task] == taskDone:
			entry.DoneRanges = records.AppendToRanges(entry.DoneRanges, task)
		case placement != nil:
			entry.Placements = append(entry.Placements, placement.record())
		default:
			entry.WaitingRanges = records.AppendToRanges(entry.WaitingRanges, task)
		}
	}
	return entry
}

// countFittingTasks returns how many of the tasks, starting with the first, fit into a journal
// entry for which bytesLeft bytes are available.
func (c *chunk) countFittingTasks(tasks []int, bytesLeft int) int {
	for count, task := range tasks {
		bytesLeft -= c.journaledTaskSizeBound(task)
		if bytesLeft < 0 {
			return count
		}
	}
	return len(tasks)
}

// journaledTaskSizeBound returns an upper bound of a task's size in a journal entry, in bytes.
func (c *chunk) journaledTaskSizeBound(task int) int {
	if placement := c.job.unfinishedPlacement(task); placement != nil {
		return placement.record().SizeBound()
	}
	return records.MaxRangeBytes
}

// typicalPlacementBytes is the typical size of a placement in a chunk's record, in bytes. The same
// size is reserved for a waiting task, which will have a placement later.
const typicalPlacementBytes = 32

// recordedTaskSizeBound returns an upper bound of a task's size in the chunk's record, in bytes.
func (c *chunk) recordedTaskSizeBound(task int) int {
	if c.job.taskStates[task] == taskDone {
		return records.MaxRangeBytes
	}
	if placement := c.job.placements[task]; placement != nil {
		return max(placement.record().SizeBound(), typicalPlacementBytes)
	}
	return typicalPlacementBytes
}

// hasRecord reports whether the chunk has a record in the key-value store.
func (c *chunk) hasRecord() bool { return c.revision != 0 }

// isDirty reports whether the chunk has uncommitted changes.
func (c *chunk) isDirty() bool { return len(c.dirtyTasks) > 0 }

// sortedDirtyTasks returns the tasks with uncommitted changes in ascending order.
func (c *chunk) sortedDirtyTasks() []int { return slices.Sorted(maps.Keys(c.dirtyTasks)) }

// limitCommittedVersion lowers the committed version below the version of each uncommitted change.
func (c *chunk) limitCommittedVersion() {
	for _, version := range c.dirtyTasks {
		c.committedVersion = min(c.committedVersion, version-1)
	}
}

// recomputeCommittedVersion sets the committed version to the highest version that precedes each
// uncommitted change.
func (c *chunk) recomputeCommittedVersion() {
	c.committedVersion = c.changeVersion
	c.limitCommittedVersion()
}

// splitAt splits the chunk before each of the given tasks, which must be in ascending order. The
// chunk keeps its name and the first range. Chunks for the other ranges are added to the job and
// returned.
func (c *chunk) splitAt(boundaries []int) []*chunk {
	position := slices.Index(c.job.chunks, c)
	ends := append(slices.Clone(boundaries[1:]), c.to)
	c.to = boundaries[0]
	c.format = explicitRangeChunk
	var splitOffChunks []*chunk
	for i, from := range boundaries {
		splitOffChunks = append(splitOffChunks, c.splitOffRange(from, ends[i]))
	}
	c.recomputeCommittedVersion()
	c.job.chunks = slices.Insert(c.job.chunks, position+1, splitOffChunks...)
	return splitOffChunks
}

// splitOffRange returns a new chunk of the tasks [from, to), and moves their uncommitted changes to
// it.
func (c *chunk) splitOffRange(from, to int) *chunk {
	splitOffChunk := newChunk(c.job, c.index, from, to, explicitRangeChunk)
	splitOffChunk.changeVersion = c.changeVersion
	splitOffChunk.dirtyOrder = c.dirtyOrder
	splitOffChunk.oldestUncompactedSequence = c.oldestUncompactedSequence
	splitOffChunk.dirtyTasks = map[int]int{}
	switch {
	case c.hasRecord():
		splitOffChunk.setSplitFrom(c)
	case c.splitFrom != nil:
		splitOffChunk.setSplitFrom(c.splitFrom)
	}
	for task, version := range c.dirtyTasks {
		if task >= from && task < to {
			splitOffChunk.dirtyTasks[task] = version
			delete(c.dirtyTasks, task)
		}
	}
	splitOffChunk.recomputeCommittedVersion()
	return splitOffChunk
}

// setSplitFrom records that the chunk was split off from origin, directly or indirectly. The record
// of origin contains the state of the chunk's tasks until the chunk has a record of its own.
func (c *chunk) setSplitFrom(origin *chunk) {
	c.splitFrom = origin
	origin.splitOffChunks = append(origin.splitOffChunks, c)
}

// splitOffChunksWritten reports whether each chunk that was split off has a record, or gets one
// in the batch. Until then the chunk's own record must not be rewritten, because it contains the
// only stored state of the tasks that were split off.
func (c *chunk) splitOffChunksWritten(batch *Batch) bool {
	for _, splitOffChunk := range c.splitOffChunks {
		if !splitOffChunk.hasRecord() && !batch.writesChunk(splitOffChunk) {
			return false
		}
	}
	return true
}
