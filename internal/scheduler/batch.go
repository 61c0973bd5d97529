package scheduler

import (
	"maps"
	"slices"

	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// Batch is a set of a partition's changes that one transaction commits to the key-value store.
type Batch struct {
	// Txn is the transaction that commits the batch.
	Txn wire.Txn
	// Full is set if changes were left for the next batch.
	Full bool
	// journalSequences are those of the batch's journal records, entryWrites what these
	// contain, and chunkWrites the chunks whose own records the batch writes.
	journalSequences []uint64
	entryWrites      []entryWrite
	chunkWrites      []chunkWrite
	// endedJob is the job whose end the batch commits, or whose last records it deletes.
	endedJob *Job
	// deletedChunks are chunks whose records the batch deletes after their job's end.
	deletedChunks []*chunk
}

// chunkWrite is a chunk's record in a batch.
type chunkWrite struct {
	chunk         *chunk
	changeVersion int // of the chunk when the record was made
	format        chunkFormat
}

// entryWrite is a journal entry in a batch.
type entryWrite struct {
	chunk         *chunk
	changeVersion int    // of the chunk when the entry was made
	sequence      uint64 // of the journal record
	tasks         []int
}

// Empty reports whether there is nothing to commit.
func (b *Batch) Empty() bool { return len(b.Txn.Writes) == 0 }

// writesChunk reports whether the batch contains a chunk's record.
func (b *Batch) writesChunk(chunk *chunk) bool {
	return slices.ContainsFunc(b.chunkWrites, func(write chunkWrite) bool { return write.chunk == chunk })
}

// endedJobBytes bounds the size of the changes that commit a job's end, except names.
const endedJobBytes = 1000

// finalWrites is the number of changes that end a job or delete the last records of one, which
// must be in one transaction.
const finalWrites = 2

// batchBuilder fills a batch within the limits of a transaction.
type batchBuilder struct {
	partition *Partition
	batch     *Batch
	maxWrites int // limit of changes in a transaction
	size      int // bound of the bytes that the batch takes
}

// canWrite reports whether the batch has capacity for some more changes.
func (b *batchBuilder) canWrite(changes int) bool {
	return len(b.batch.Txn.Writes)+changes <= b.maxWrites
}

// put adds a value for a key that must be at the given revision.
func (b *batchBuilder) put(key string, revision uint64, value any) {
	b.batch.Txn.Compares = append(b.batch.Txn.Compares, wire.Compare{Key: key, Revision: revision})
	b.batch.Txn.Writes = append(b.batch.Txn.Writes, wire.Write{Put: key, Value: value})
}

// delete adds the deletion of a key that must be at the given revision.
func (b *batchBuilder) delete(key string, revision uint64) {
	b.batch.Txn.Compares = append(b.batch.Txn.Compares, wire.Compare{Key: key, Revision: revision})
	b.batch.Txn.Writes = append(b.batch.Txn.Writes, wire.Write{Delete: key})
}

// PrepareBatch collects changes for one transaction: the end of a job first, then chunks whose
// compaction is due, the journal, and the deletion of records that are no longer needed.
// Every batch is fenced by the revision of the partition's ownership.
func (p *Partition) PrepareBatch() *Batch {
	ownership := wire.Compare{Key: records.PartitionKey(p.Index), Revision: p.Revision}
	builder := &batchBuilder{
		partition: p,
		batch:     &Batch{Txn: wire.Txn{Compares: []wire.Compare{ownership}}},
		maxWrites: p.layout.limits.TxnOps,
	}
	jobIDs := slices.Sorted(maps.Keys(p.jobs))
	builder.endJob(jobIDs)
	if builder.compact() {
		builder.appendJournal()
	}
	builder.deleteFinishedJobs()
	builder.deleteCancelledJobs(jobIDs)
	builder.batch.Full = builder.batch.Full || builder.isFull()
	return builder.batch
}

// isFull reports whether the batch may have left out changes for lack of capacity.
func (b *batchBuilder) isFull() bool {
	return !b.canWrite(finalWrites) || b.size+tuning.MinJournalBytes > tuning.MaxTxnBytes
}

// endJob commits the end of the first job that is complete. A batch ends one job only, which
// keeps a conflict with a cancellation apart from other jobs' ends.
func (b *batchBuilder) endJob(jobIDs []string) {
	for _, id := range jobIDs {
		job := b.partition.jobs[id]
		if !job.endUncommitted() {
			continue
		}
		if b.batch.endedJob != nil {
			b.batch.Full = true
			return
		}
		b.putEndedJob(job)
	}
}

// endUncommitted reports whether all tasks are done and the job's record does not say so yet.
func (j *Job) endUncommitted() bool {
	return !j.finalized && !j.Cancelled && j.doneTasks >= j.Tasks
}

// putEndedJob adds a job's end: the final state for users, and the deletion of the first chunk,
// from which a new owner would load the job.
func (b *batchBuilder) putEndedJob(job *Job) {
	record := records.JobRecord{
		Job:           job.Job,
		Phase:         wire.JobDone,
		Partition:     b.partition.Index,
		SubmittedAtMS: job.SubmittedAt.UnixMilli(),
	}
	firstChunk := job.chunks[0]
	b.put(records.JobKey(job.ID), job.Revision, record)
	b.delete(b.partition.layout.chunkKey(firstChunk), firstChunk.revision)
	b.batch.endedJob = job
	b.size += endedJobBytes
}

// deleteFinishedJobs deletes the records that are left of finished jobs.
func (b *batchBuilder) deleteFinishedJobs() {
	for _, job := range b.partition.finalizedJobs {
		for _, chunk := range job.chunks {
			if chunk.isLeftover() && b.canWrite(1) {
				b.deleteChunk(chunk)
			}
		}
	}
}

// isLeftover reports whether a finished job's chunk still has a record to be deleted. That of
// the first chunk is deleted together with the commit of the job's end.
func (c *chunk) isLeftover() bool { return c.from > 0 && c.hasRecord() }

// deleteChunk deletes a chunk's record.
func (b *batchBuilder) deleteChunk(chunk *chunk) {
	b.delete(b.partition.layout.chunkKey(chunk), chunk.revision)
	b.batch.deletedChunks = append(b.batch.deletedChunks, chunk)
}

// recordsDeletable reports whether the records of a cancelled job can be deleted, since none of
// its tasks can be in effect any more.
func (j *Job) recordsDeletable() bool { return j.Cancelled && len(j.placements) == 0 }

// deleteCancelledJobs deletes the records of cancelled jobs without placements.
func (b *batchBuilder) deleteCancelledJobs(jobIDs []string) {
	for _, id := range jobIDs {
		job := b.partition.jobs[id]
		if !job.finalized && job.recordsDeletable() && b.canWrite(finalWrites) {
			b.deleteCancelledJob(job)
		}
	}
}

// deleteCancelledJob deletes the records of a cancelled job from the last chunk to the first,
// from which a new owner loads the job, and then its cancellation.
func (b *batchBuilder) deleteCancelledJob(job *Job) {
	for i, chunk := range slices.Backward(job.chunks) {
		if !chunk.hasRecord() {
			continue
		}
		// The first chunk and the cancellation are deleted together, so that no
		// cancellation remains of a job that no owner can load any more.
		if !b.canWrite(finalWrites) || (i == 0 && b.batch.endedJob != nil) {
			return
		}
		b.deleteChunk(chunk)
	}
	if b.batch.endedJob == nil {
		cancellation := records.CancellationKey(b.partition.Index, job.ID)
		b.batch.Txn.Writes = append(b.batch.Txn.Writes, wire.Write{Delete: cancellation})
		b.batch.endedJob = job
	}
}
