package scheduler

import (
	"maps"
	"strconv"

	"ambersill/internal/records"
)

// journal is a partition's ring of change records in the key-value store. Each record contains
// the changes of many chunks since the record before, so that hundreds of starts and ends of
// many jobs cost one put, not one per job. A chunk's own record is rewritten by compaction
// only before the ring overwrites a change that it lacks.
type journal struct {
	prefix string // of the keys of the slots
	// sequence is the last one assigned. Each is used once, whatever the outcome of its batch:
	// a lost batch may still be applied late, and must then be older than what was written since.
	sequence uint64
	// slotRevisions are the revisions of the slots' keys, as last read or written.
	slotRevisions []uint64
	// dirtyChunks have changes that are not committed.
	dirtyChunks map[*chunk]bool
	// lastDirtyOrder counts the times that a chunk became dirty, which orders the dirty chunks.
	lastDirtyOrder int
	// uncompactedChunks have committed changes that only the journal contains.
	uncompactedChunks map[*chunk]bool
}

// newJournal returns the empty journal of a partition.
func newJournal(partition, slots int) journal {
	return journal{
		prefix:            records.JournalPrefix(partition),
		slotRevisions:     make([]uint64, slots),
		dirtyChunks:       map[*chunk]bool{},
		uncompactedChunks: map[*chunk]bool{},
	}
}

// slotCount returns the number of records in the ring.
func (j *journal) slotCount() uint64 { return uint64(len(j.slotRevisions)) }

// slot returns the place of a sequence in the ring.
func (j *journal) slot(sequence uint64) uint64 { return sequence % j.slotCount() }

// key returns the key of the record with a sequence.
func (j *journal) key(sequence uint64) string {
	return j.prefix + strconv.FormatUint(j.slot(sequence), 10)
}

// revision returns the revision of the key that a sequence's record is written to.
func (j *journal) revision(sequence uint64) uint64 { return j.slotRevisions[j.slot(sequence)] }

// setRevision sets the revision of the key that a sequence's record is written to.
func (j *journal) setRevision(sequence, revision uint64) {
	j.slotRevisions[j.slot(sequence)] = revision
}

// nextSequence assigns a sequence.
func (j *journal) nextSequence() uint64 {
	j.sequence++
	return j.sequence
}

// raiseSequence prevents a sequence that an earlier owner used from being assigned again.
func (j *journal) raiseSequence(sequence uint64) { j.sequence = max(j.sequence, sequence) }

// hasDirtyChunks reports whether there are uncommitted changes.
func (j *journal) hasDirtyChunks() bool { return len(j.dirtyChunks) > 0 }

// markDirty records that a task's state has changed and must be committed.
func (j *journal) markDirty(chunk *chunk, task int) {
	if chunk.job.finalized {
		return
	}
	chunk.changeVersion++
	if !chunk.isDirty() {
		chunk.dirtyTasks = map[int]int{}
		j.lastDirtyOrder++
		chunk.dirtyOrder = j.lastDirtyOrder
		j.dirtyChunks[chunk] = true
	}
	chunk.dirtyTasks[task] = chunk.changeVersion
}

// markChunkCommitted records that all changes of a chunk up to a version are committed.
func (j *journal) markChunkCommitted(chunk *chunk, version int) {
	maps.DeleteFunc(chunk.dirtyTasks, func(_, changed int) bool { return changed <= version })
	j.updateCommittedVersion(chunk, version)
}

// markTasksCommitted records that the changes of some tasks up to a version are committed.
func (j *journal) markTasksCommitted(chunk *chunk, version int, tasks []int) {
	for _, task := range tasks {
		if chunk.dirtyTasks[task] <= version {
			delete(chunk.dirtyTasks, task)
		}
	}
	j.updateCommittedVersion(chunk, version)
}

// updateCommittedVersion raises the committed version after a commit.
func (j *journal) updateCommittedVersion(chunk *chunk, version int) {
	chunk.committedVersion = max(chunk.committedVersion, version)
	chunk.limitCommittedVersion()
	j.untrackIfClean(chunk)
}

// untrackIfClean removes a chunk without uncommitted changes from the dirty ones.
func (j *journal) untrackIfClean(chunk *chunk) {
	if !chunk.isDirty() {
		delete(j.dirtyChunks, chunk)
	}
}

// markUncompacted records that the journal record with a sequence has changes that the chunk's own lacks.
func (j *journal) markUncompacted(chunk *chunk, sequence uint64) {
	if chunk.oldestUncompactedSequence != 0 || chunk.job.finalized {
		return
	}
	chunk.oldestUncompactedSequence = sequence
	j.uncompactedChunks[chunk] = true
}

// markCompacted records that the chunk's own record contains all its journaled changes.
func (j *journal) markCompacted(chunk *chunk) {
	chunk.oldestUncompactedSequence = 0
	delete(j.uncompactedChunks, chunk)
}

// trackSplitOffChunks tracks the pieces that were split off from a chunk with their changes.
func (j *journal) trackSplitOffChunks(origin *chunk, pieces []*chunk) {
	for _, piece := range pieces {
		if piece.isDirty() {
			j.dirtyChunks[piece] = true
		}
		if piece.oldestUncompactedSequence > 0 {
			j.uncompactedChunks[piece] = true
		}
	}
	j.untrackIfClean(origin)
}

// untrackChunk stops tracking a chunk whose job has ended.
func (j *journal) untrackChunk(chunk *chunk) {
	delete(j.dirtyChunks, chunk)
	delete(j.uncompactedChunks, chunk)
}
