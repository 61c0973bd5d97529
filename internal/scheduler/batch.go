package scheduler

import (
	"maps"
	"slices"

	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// Batch is a set of changes of a partition that are committed to the key-value store in one
// transaction.
type Batch struct {
	// Txn is the transaction that commits the batch.
	Txn wire.Txn
	// Full is set if changes may have been left for the next batch.
	Full bool
	// journalSequences are the sequences of the batch's journal records, entryWrites are the
	// entries in them, and chunkWrites are the chunk records that the batch writes.
	journalSequences []uint64
	entryWrites      []entryWrite
	chunkWrites      []chunkWrite
	// endedJob is the finished job whose end the batch commits, or the cancelled job whose last
	// records it deletes; nil if there is none.
	endedJob *Job
	// deletedChunks are the chunks of ended jobs whose records the batch deletes.
	deletedChunks []*chunk
}

// chunkWrite describes a chunk's record in a batch.
type chunkWrite struct {
	chunk         *chunk
	changeVersion int // of the chunk when the record was made
	format        chunkFormat
}

// entryWrite describes a journal entry in a batch.
type entryWrite struct {
	chunk         *chunk
	changeVersion int    // of the chunk when the entry was made
	sequence      uint64 // of the journal record
	tasks         []int
}

// Empty reports whether the batch contains no writes.
func (b *Batch) Empty() bool { return len(b.Txn.Writes) == 0 }

// writesChunk reports whether the batch contains a chunk's record.
func (b *Batch) writesChunk(chunk *chunk) bool {
	return slices.ContainsFunc(b.chunkWrites, func(write chunkWrite) bool { return write.chunk == chunk })
}

// endedJobBytes is an upper bound of the size of the writes that commit a job's end, without names.
const endedJobBytes = 1000

// finalWrites is the number of writes that commit a job's end. Deleting the last records of a
// cancelled job takes as many. In both cases they must be in the same transaction.
const finalWrites = 2

// batchBuilder adds changes to a batch within the limits of a transaction.
type batchBuilder struct {
	partition *Partition
	batch     *Batch
	maxWrites int // maximum number of writes in a transaction
	sizeBound int // upper bound of the batch's size in bytes
}

// canWrite reports whether the given number of writes can be added to the batch.
func (b *batchBuilder) canWrite(writes int) bool {
	return len(b.batch.Txn.Writes)+writes <= b.maxWrites
}

// put adds the write of a value to a key, which must be at the given revision.
func (b *batchBuilder) put(key string, revision uint64, value any) {
	b.batch.Txn.Compares = append(b.batch.Txn.Compares, wire.Compare{Key: key, Revision: revision})
	b.batch.Txn.Writes = append(b.batch.Txn.Writes, wire.Write{Put: key, Value: value})
}

// delete adds the deletion of a key, which must be at the given revision.
func (b *batchBuilder) delete(key string, revision uint64) {
	b.batch.Txn.Compares = append(b.batch.Txn.Compares, wire.Compare{Key: key, Revision: revision})
	b.batch.Txn.Writes = append(b.batch.Txn.Writes, wire.Write{Delete: key})
}

// PrepareBatch collects changes for one transaction. In this order, it adds the end of a job,
// chunks whose compaction is due, journal records, and deletions of records that are no longer
// needed. If there are none although a commit is needed, it adds an empty journal record. Each batch
// is fenced by the revision of the partition's ownership.
func (p *Partition) PrepareBatch() *Batch {
	ownership := wire.Compare{Key: records.PartitionKey(p.Index), Revision: p.Revision}
	builder := &batchBuilder{
		partition: p,
		batch:     &Batch{Txn: wire.Txn{Compares: []wire.Compare{ownership}}},
		maxWrites: p.layout.limits.MaxTxnWrites,
	}
	jobIDs := slices.Sorted(maps.Keys(p.jobs))
	builder.addJobEnd(jobIDs)
	canAppend := builder.compact()
	if canAppend {
		builder.appendJournalRecords()
	}
	builder.deleteFinalizedJobRecords()
	builder.deleteCancelledJobs(jobIDs)
	if p.commitNeeded && canAppend && builder.batch.Empty() {
		builder.appendEmptyJournalRecord()
	}
	builder.batch.Full = builder.batch.Full || builder.isFull()
	return builder.batch
}

// isFull reports whether changes may have been left out because the batch has no capacity left.
func (b *batchBuilder) isFull() bool {
	return !b.canWrite(finalWrites) || b.sizeBound+tuning.MinJournalBytes > tuning.MaxTxnBytes
}

// addJobEnd adds the end of the first job whose tasks are all done. A batch ends at most one job,
// so that a conflict with a job's cancellation does not affect the ends of other jobs.
func (b *batchBuilder) addJobEnd(jobIDs []string) {
	for _, id := range jobIDs {
		job := b.partition.jobs[id]
		if !job.hasUncommittedEnd() {
			continue
		}
		if b.batch.endedJob != nil {
			b.batch.Full = true
			return
		}
		b.putJobEnd(job)
	}
}

// hasUncommittedEnd reports whether all tasks of a job that is not cancelled are done, and this is
// not committed yet.
func (j *Job) hasUncommittedEnd() bool {
	return !j.finalized && !j.Cancelled && j.doneTasks >= j.TaskCount
}

// putJobEnd adds the writes for a job's end. They set the final state that users read, and delete
// the first chunk's record, from which a new owner would load the job.
func (b *batchBuilder) putJobEnd(job *Job) {
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
	b.sizeBound += endedJobBytes
}

// deleteFinalizedJobRecords adds deletions of the remaining chunk records of finalized jobs, as far
// as they fit.
func (b *batchBuilder) deleteFinalizedJobRecords() {
	for _, job := range b.partition.finalizedJobs {
		for _, chunk := range job.chunks {
			if chunk.hasLeftoverRecord() && b.canWrite(1) {
				b.deleteChunk(chunk)
			}
		}
	}
}

// hasLeftoverRecord reports whether a chunk of a finalized job still has a record to be deleted.
// The first chunk's record is deleted by the transaction that commits the end of the job.
func (c *chunk) hasLeftoverRecord() bool { return c.from > 0 && c.hasRecord() }

// deleteChunk adds the deletion of a chunk's record.
func (b *batchBuilder) deleteChunk(chunk *chunk) {
	b.delete(b.partition.layout.chunkKey(chunk), chunk.revision)
	b.batch.deletedChunks = append(b.batch.deletedChunks, chunk)
}

// recordsDeletable reports whether the job was cancelled and none of its tasks can be running, or
// be started, any more. Its records can then be deleted.
func (j *Job) recordsDeletable() bool { return j.Cancelled && len(j.placements) == 0 }

// deleteCancelledJobs adds deletions of the records of cancelled jobs without placements, as far as
// they fit.
func (b *batchBuilder) deleteCancelledJobs(jobIDs []string) {
	for _, id := range jobIDs {
		job := b.partition.jobs[id]
		if !job.finalized && job.recordsDeletable() && b.canWrite(finalWrites) {
			b.deleteCancelledJob(job)
		}
	}
}

// deleteCancelledJob adds deletions of a cancelled job's records. The first chunk, from which a
// new owner loads the job, is deleted after the other chunks and together with the cancellation.
func (b *batchBuilder) deleteCancelledJob(job *Job) {
	for i, chunk := range slices.Backward(job.chunks) {
		if !chunk.hasRecord() {
			continue
		}
		// The first chunk and the cancellation are deleted in one transaction. Otherwise the
		// cancellation of a job that no owner can load any more could remain.
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
