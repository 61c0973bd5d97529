package scheduler

import (
	"testing"

	"ambersill/internal/records"
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
