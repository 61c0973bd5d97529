package scheduler

import (
	"maps"
	"slices"
	"sort"
	"strconv"

	"ambersill/internal/records"
)

// chunkFormat is the format of a chunk's record.
type chunkFormat uint8

const (
	// numberedChunk records leave their range of tasks out: it follows from the number in
	// their key and the configured size of values.
	numberedChunk chunkFormat = iota
	// explicitRangeChunk records contain their range of tasks, so that a chunk can be split.
	explicitRangeChunk
)

// chunk is a range of a job's tasks, [from, to), that shares one record.
type chunk struct {
	job *Job
	// name is the last component of the record's key.
	name string
	// index is the number of the chunk in the layout of numbered chunks, which journal
	// entries refer to.
	index    int
	from, to int
	// format is that of the next record to be written, storedFormat that of the stored one.
	format       chunkFormat
	storedFormat chunkFormat
	// splitFrom is the chunk whose record contains this one's state until this one has a
	// record of its own.
	splitFrom *chunk
	// splitOff are the chunks that were split off from this one. Their records must be
	// written before its own, which then no longer contains their tasks.
	splitOff []*chunk
	revision uint64 // of the record's key, as last read or written; 0: no record

	changeVersion    int // counts the changes in memory
	committedVersion int // all changes up to this version are in the key-value store
	// dirtyTasks maps each task with uncommitted changes to the version of its last change.
	dirtyTasks map[int]int
	dirtySince int // orders the dirty chunks by the time of their first uncommitted change
	// oldestUncompacted is the sequence of the oldest journal record with changes that the
	// chunk's own record lacks; 0: none.
	oldestUncompacted uint64
}

// chunkOf returns the chunk that contains a task.
func (j *Job) chunkOf(task int) *chunk {
	return j.chunks[sort.Search(len(j.chunks), func(i int) bool { return j.chunks[i].to > task })]
}

// newChunk returns a chunk without a record.
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
// the same name in either format, since its key makes the job known to a new owner.
func chunkName(index, from int, format chunkFormat) string {
	if format == explicitRangeChunk && from > 0 {
		return records.ExplicitChunkName(from)
	}
	return strconv.Itoa(index)
}

// record returns the chunk's present state as a record, without a journal sequence.
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

// unfinishedPlacement returns the placement of a task that is not done, or nil. Tasks that are
// done keep their placement until the worker's heartbeat confirms the end.
func (j *Job) unfinishedPlacement(task int) *Placement {
	if j.taskStates[task] == taskDone {
		return nil
	}
	return j.placements[task]
}

// record returns the placement as records contain it.
func (pl *Placement) record() records.PlacementRecord {
	return records.PlacementRecord{
		Task:        pl.task,
		Attempt:     pl.attempt,
		Machine:     pl.machine.ID,
		Incarnation: pl.incarnation,
	}
}

// journalEntry returns the present state of some of the chunk's tasks, which must be sorted.
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

// tasksFitting returns how many of the tasks, counted from the first, fit a journal entry with
// the given number of bytes left.
func (c *chunk) tasksFitting(tasks []int, bytesLeft int) int {
	for count, task := range tasks {
		bytesLeft -= c.journaledTaskBytes(task)
		if bytesLeft < 0 {
			return count
		}
	}
	return len(tasks)
}

// journaledTaskBytes bounds the size of a task in a journal entry.
func (c *chunk) journaledTaskBytes(task int) int {
	if placement := c.job.unfinishedPlacement(task); placement != nil {
		return placement.record().SizeBound()
	}
	return records.MaxRangeBytes
}

// usualTaskBytes is the usual size of a placement in a chunk's record, in bytes. A waiting task
// counts as much, since it will have a placement.
const usualTaskBytes = 32

// recordedTaskBytes bounds the size of a task in the chunk's record.
func (c *chunk) recordedTaskBytes(task int) int {
	if c.job.taskStates[task] == taskDone {
		return records.MaxRangeBytes
	}
	if placement := c.job.placements[task]; placement != nil {
		return max(placement.record().SizeBound(), usualTaskBytes)
	}
	return usualTaskBytes
}

// hasRecord reports whether the chunk has a record in the key-value store.
func (c *chunk) hasRecord() bool { return c.revision != 0 }

// isDirty reports whether the chunk has uncommitted changes.
func (c *chunk) isDirty() bool { return len(c.dirtyTasks) > 0 }

// sortedDirtyTasks lists the tasks with uncommitted changes in ascending order.
func (c *chunk) sortedDirtyTasks() []int { return slices.Sorted(maps.Keys(c.dirtyTasks)) }

// limitCommittedVersion lowers the committed version below that of every uncommitted change.
func (c *chunk) limitCommittedVersion() {
	for _, version := range c.dirtyTasks {
		c.committedVersion = min(c.committedVersion, version-1)
	}
}

// recountCommittedVersion derives the committed version from the uncommitted changes.
func (c *chunk) recountCommittedVersion() {
	c.committedVersion = c.changeVersion
	c.limitCommittedVersion()
}

// splitAt divides the chunk at the given tasks, in ascending order. The chunk keeps the first
// piece and its name; the other pieces are returned and added to the job.
func (c *chunk) splitAt(cuts []int) []*chunk {
	position := slices.Index(c.job.chunks, c)
	ends := append(slices.Clone(cuts[1:]), c.to)
	c.to = cuts[0]
	c.format = explicitRangeChunk
	var pieces []*chunk
	for i, from := range cuts {
		pieces = append(pieces, c.splitOffRange(from, ends[i]))
	}
	c.recountCommittedVersion()
	c.job.chunks = slices.Insert(c.job.chunks, position+1, pieces...)
	return pieces
}

// splitOffRange returns a chunk of some of the tasks, to which their uncommitted changes move.
func (c *chunk) splitOffRange(from, to int) *chunk {
	piece := newChunk(c.job, c.index, from, to, explicitRangeChunk)
	piece.changeVersion = c.changeVersion
	piece.dirtySince = c.dirtySince
	piece.oldestUncompacted = c.oldestUncompacted
	piece.dirtyTasks = map[int]int{}
	switch {
	case c.hasRecord():
		piece.linkTo(c)
	case c.splitFrom != nil:
		piece.linkTo(c.splitFrom)
	}
	for task, version := range c.dirtyTasks {
		if task >= from && task < to {
			piece.dirtyTasks[task] = version
			delete(c.dirtyTasks, task)
		}
	}
	piece.recountCommittedVersion()
	return piece
}

// linkTo records that the chunk's state is in another chunk's record until it has its own.
func (c *chunk) linkTo(origin *chunk) {
	c.splitFrom = origin
	origin.splitOff = append(origin.splitOff, c)
}

// splitOffWritten reports whether all chunks that were split off have records, those in the
// batch included. Until then the chunk's own record must stay as it is, since it contains the
// only state of theirs.
func (c *chunk) splitOffWritten(batch *Batch) bool {
	for _, piece := range c.splitOff {
		if !piece.hasRecord() && !batch.writesChunk(piece) {
			return false
		}
	}
	return true
}
