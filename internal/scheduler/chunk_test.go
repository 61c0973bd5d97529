package scheduler

import (
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/tuning"
)

// A change to a task that is made while a batch with an earlier change to the same task is being
// committed must stay uncommitted, because the batch does not contain it.
func TestChangeDuringCommitStaysDirty(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	job := harness.addJob(newArrayJob("req-1", 2, 1))
	harness.Schedule(harness.now)
	batch := harness.PrepareBatch()
	chunk := job.chunkOf(0)
	harness.journal.markDirty(chunk, 0)
	harness.ConfirmBatch(batch, harness.revision+1)
	if _, dirty := chunk.dirtyTasks[0]; !dirty {
		t.Error("task 0, changed after the batch was prepared, is not dirty after the commit, want dirty")
	}
	if _, dirty := chunk.dirtyTasks[1]; dirty {
		t.Error("task 1, whose only change was committed, is dirty, want not dirty")
	}
	if chunk.committedVersion >= chunk.changeVersion {
		t.Errorf("committed version %d, want below version %d of the uncommitted change", chunk.committedVersion, chunk.changeVersion)
	}
	if next := harness.PrepareBatch(); next.Empty() {
		t.Error("next batch is empty, want the change made during the commit")
	}
}

// After a split, the record of the original chunk contains the only stored state of the tasks that
// were split off until the new chunks have records. It must not be overwritten before.
func TestSplitChunkIsWrittenAfterSplitOffChunks(t *testing.T) {
	harness := newPartitionHarness()
	harness.RaiseLevel(records.FeatureExplicitChunks)
	job := harness.addJob(newArrayJob("req-1", 20, 1))
	origin := job.chunks[0]
	splitOffChunks := origin.splitAt([]int{5, 12})
	harness.journal.trackSplitOffChunks(origin, splitOffChunks)
	for _, splitOffChunk := range splitOffChunks {
		if written := writtenChunkKeys(harness, origin); len(written) > 0 {
			t.Fatalf("batch writes %v although chunk %s, which was split off, has no record; want no writes", written, splitOffChunk.name)
		}
		splitOffChunk.revision = harness.revision
	}
	if written := writtenChunkKeys(harness, origin); len(written) != 1 || written[0] != records.FirstChunkKey(0, job.ID) {
		t.Errorf("batch writes %v once all chunks that were split off have records, want only the original chunk", written)
	}
	if got := job.chunkOf(4); got != origin {
		t.Errorf("task 4 is in chunk %s, want the original chunk", got.name)
	}
	if got := job.chunkOf(12); got != splitOffChunks[1] {
		t.Errorf("task 12 is in chunk %s, want the second chunk that was split off", got.name)
	}
}

// writtenChunkKeys returns the keys that a batch writes to which only the given chunk is added.
func writtenChunkKeys(harness *partitionHarness, chunk *chunk) []string {
	builder := &batchBuilder{
		partition: harness.Partition,
		batch:     &Batch{},
		maxWrites: harness.layout.limits.MaxTxnWrites,
	}
	builder.writeChunk(chunk, builder.maxWrites)
	var keys []string
	for _, write := range builder.batch.Txn.Writes {
		keys = append(keys, write.Put)
	}
	return keys
}

// splitWithoutRecord adds a job of 20 tasks whose only chunk is split before task 10, and returns
// both chunks. The new chunk waits for its turn to get a record, as hundreds do after the value size
// is lowered.
func splitWithoutRecord(harness *partitionHarness) (origin, splitOffChunk *chunk) {
	job := harness.addJob(newArrayJob("req-1", 20, 1))
	origin = job.chunks[0]
	splitOffChunks := origin.splitAt([]int{10})
	harness.journal.trackSplitOffChunks(origin, splitOffChunks)
	harness.conversion.lastRewrite = harness.now.Add(time.Hour)
	return origin, splitOffChunks[0]
}

// commitChange commits a change of a task, and reports whether the next batches contain it.
func commitChange(harness *partitionHarness, chunk *chunk, task int) bool {
	const maxBatches = 10
	harness.journal.markDirty(chunk, task)
	for range maxBatches {
		batch := harness.PrepareBatch()
		harness.revision++
		harness.ConfirmBatch(batch, harness.revision)
		if !chunk.isDirty() {
			return true
		}
	}
	return false
}

// Guards against a journal that stops for ever: a chunk was due for compaction, but could not be
// written before one that was split off from it, which was not due and so was not written either.
func TestSplitOffChunkThatIsNotDueDoesNotBlockJournal(t *testing.T) {
	harness := newPartitionHarness()
	harness.RaiseLevel(records.FeatureExplicitChunks)
	origin, splitOffChunk := splitWithoutRecord(harness)
	other := harness.addJob(newArrayJob("req-2", 1, 1)).chunks[0]
	commitChange(harness, origin, 0)
	for n := range 3 * tuning.JournalSlots {
		if n == tuning.JournalSlots/2 {
			commitChange(harness, splitOffChunk, 10)
		}
		if !commitChange(harness, other, 0) {
			t.Fatalf("change %d of an unrelated job is not committed: the journal is blocked at sequence %d, the oldest record that chunk %s needs is %d",
				n, harness.journal.sequence, origin.name, origin.oldestUncompactedSequence)
		}
	}
}

// Guards against batches without journal records while a chunk that was split off and has no
// journaled changes waits for its record: its sequence 0 counted as the oldest one in the ring.
func TestSplitOffChunkWithoutChangesDoesNotDelayJournal(t *testing.T) {
	harness := newPartitionHarness()
	harness.RaiseLevel(records.FeatureExplicitChunks)
	origin, _ := splitWithoutRecord(harness)
	other := harness.addJob(newArrayJob("req-2", 1, 1)).chunks[0]
	// The ring has wrapped around, and the chunk has just become due.
	harness.journal.sequence = 2 * tuning.JournalSlots
	commitChange(harness, origin, 0)
	harness.journal.sequence += tuning.JournalSlots * (compactionRingDivisor - 1) / compactionRingDivisor
	harness.journal.markDirty(other, 0)
	if batch := harness.PrepareBatch(); len(batch.chunkWrites) == 0 || len(batch.entryWrites) == 0 {
		t.Errorf("batch with a chunk that is due: got %d chunk records and %d journal entries, want some of both", len(batch.chunkWrites), len(batch.entryWrites))
	}
}
