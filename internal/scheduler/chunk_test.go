package scheduler

import (
	"testing"

	"ambersill/internal/records"
)

// A change that is made while a batch with an earlier one of the same task is on its way stays
// uncommitted: the batch does not contain it.
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
		t.Error("the later change counts as committed")
	}
	if _, dirty := chunk.dirtyTasks[1]; dirty {
		t.Error("the committed change counts as uncommitted")
	}
	if chunk.committedVersion >= chunk.changeVersion {
		t.Errorf("version %d counts as committed, the last change has %d", chunk.committedVersion, chunk.changeVersion)
	}
	if next := harness.PrepareBatch(); next.Empty() {
		t.Error("the next batch lacks the later change")
	}
}

// The record of a chunk that was split contains the only state of the pieces until these have
// records of their own, and must not be overwritten before.
func TestSplitChunkIsWrittenAfterSplitOffChunks(t *testing.T) {
	harness := newPartitionHarness()
	harness.SetLevel(records.FeatureExplicitChunks)
	job := harness.addJob(newArrayJob("req-1", 20, 1))
	origin := job.chunks[0]
	pieces := origin.splitAt([]int{5, 12})
	harness.journal.trackSplitOffChunks(origin, pieces)
	for _, piece := range pieces {
		if written := writtenChunkKeys(harness, origin); len(written) > 0 {
			t.Fatalf("%v written while %s has no record", written, piece.name)
		}
		piece.revision = harness.revision
	}
	if written := writtenChunkKeys(harness, origin); len(written) != 1 || written[0] != records.FirstChunkKey(0, job.ID) {
		t.Errorf("%v written after all pieces", written)
	}
	if got := job.chunkOf(4); got != origin {
		t.Errorf("task 4 is in %s", got.name)
	}
	if got := job.chunkOf(12); got != pieces[1] {
		t.Errorf("task 12 is in %s", got.name)
	}
}

// writtenChunkKeys returns the keys that a batch for a chunk's record alone would write.
func writtenChunkKeys(harness *partitionHarness, chunk *chunk) []string {
	builder := &batchBuilder{
		partition: harness.Partition,
		batch:     &Batch{},
		maxWrites: harness.layout.limits.TxnOps,
	}
	builder.writeChunk(chunk, builder.maxWrites)
	var keys []string
	for _, write := range builder.batch.Txn.Writes {
		keys = append(keys, write.Put)
	}
	return keys
}
