package scheduler

import (
	"maps"
	"strconv"

	"ambersill/internal/records"
)

// journal is a partition's ring buffer of change records in the key-value store. Each record
// contains the changes of many chunks since the previous record, so that hundreds of starts and
// ends of many jobs take one put instead of one per job. Compaction rewrites a chunk's own record
// only when the ring is about to overwrite a change that is missing from it.
type journal struct {
	prefix string // of the slots' keys
	// sequence is the last sequence assigned. A sequence is never reused, whatever the outcome of
	// its batch: a batch that was not answered may still be applied later, and its journal
	// records must then have lower sequences than those written in the meantime.
	sequence uint64
	// slotRevisions are the revisions of the slots' keys, as last read or written, by slot.
	slotRevisions []uint64
	// dirtyChunks are the chunks with uncommitted changes.
	dirtyChunks map[*chunk]bool
	// lastDirtyOrder is the dirtyOrder of the chunk that became dirty last.
	lastDirtyOrder int
	// uncompactedChunks are the chunks with committed changes that only the journal contains.
	uncompactedChunks map[*chunk]bool
}

// newJournal returns an empty journal with the given number of slots.
func newJournal(partition, slots int) journal {
	return journal{
		prefix:            records.JournalPrefix(partition),
		slotRevisions:     make([]uint64, slots),
		dirtyChunks:       map[*chunk]bool{},
		uncompactedChunks: map[*chunk]bool{},
	}
}

// slotCount returns the number of records that the ring can contain.
func (j *journal) slotCount() uint64 { return uint64(len(j.slotRevisions)) }

// slot returns the slot of the ring in which the record with the sequence is stored.
func (j *journal) slot(sequence uint64) uint64 { return sequence % j.slotCount() }

// key returns the key of the record with the sequence.
func (j *journal) key(sequence uint64) string {
	return j.prefix + strconv.FormatUint(j.slot(sequence), 10)
}

// revision returns the revision of the key of the record with the sequence.
func (j *journal) revision(sequence uint64) uint64 { return j.slotRevisions[j.slot(sequence)] }

// setRevision sets the revision of the key of the record with the sequence.
func (j *journal) setRevision(sequence, revision uint64) {
	j.slotRevisions[j.slot(sequence)] = revision
}

// nextSequence increments the sequence and returns it.
func (j *journal) nextSequence() uint64 {
	j.sequence++
	return j.sequence
}

// raiseSequence ensures that sequences up to the given one, which an earlier owner used, are not
// assigned again.
func (j *journal) raiseSequence(sequence uint64) { j.sequence = max(j.sequence, sequence) }

// hasDirtyChunks reports whether any chunk has uncommitted changes.
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

// markChunkCommitted records that all changes of a chunk up to the version are committed.
func (j *journal) markChunkCommitted(chunk *chunk, version int) {
	maps.DeleteFunc(chunk.dirtyTasks, func(_, changed int) bool { return changed <= version })
	j.updateCommittedVersion(chunk, version)
}

// markTasksCommitted records that the changes of the given tasks of a chunk, up to the version, are
// committed.
func (j *journal) markTasksCommitted(chunk *chunk, version int, tasks []int) {
	for _, task := range tasks {
		if chunk.dirtyTasks[task] <= version {
			delete(chunk.dirtyTasks, task)
		}
	}
	j.updateCommittedVersion(chunk, version)
}

// updateCommittedVersion raises a chunk's committed version to the given one, as far as its
// uncommitted changes allow.
func (j *journal) updateCommittedVersion(chunk *chunk, version int) {
	chunk.committedVersion = max(chunk.committedVersion, version)
	chunk.limitCommittedVersion()
	j.untrackIfClean(chunk)
}

// untrackIfClean removes a chunk from the dirty chunks if it has no uncommitted changes.
func (j *journal) untrackIfClean(chunk *chunk) {
	if !chunk.isDirty() {
		delete(j.dirtyChunks, chunk)
	}
}

// markUncompacted records that the journal record with the sequence contains changes that are
// missing from the chunk's own record.
func (j *journal) markUncompacted(chunk *chunk, sequence uint64) {
	if chunk.oldestUncompactedSequence != 0 || chunk.job.finalized {
		return
	}
	chunk.oldestUncompactedSequence = sequence
	j.uncompactedChunks[chunk] = true
}

// markCompacted records that the chunk's own record contains all of its journaled changes.
func (j *journal) markCompacted(chunk *chunk) {
	chunk.oldestUncompactedSequence = 0
	delete(j.uncompactedChunks, chunk)
}

// trackSplitOffChunks starts tracking the changes of chunks that were split off from origin.
func (j *journal) trackSplitOffChunks(origin *chunk, splitOffChunks []*chunk) {
	for _, splitOffChunk := range splitOffChunks {
		if splitOffChunk.isDirty() {
			j.dirtyChunks[splitOffChunk] = true
		}
		if splitOffChunk.oldestUncompactedSequence > 0 {
			j.uncompactedChunks[splitOffChunk] = true
		}
	}
	j.untrackIfClean(origin)
}

// untrackChunk stops tracking the changes of a chunk whose job has ended.
func (j *journal) untrackChunk(chunk *chunk) {
	delete(j.dirtyChunks, chunk)
	delete(j.uncompactedChunks, chunk)
}
