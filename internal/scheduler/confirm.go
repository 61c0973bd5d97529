package scheduler

import (
	"slices"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// ConfirmBatch updates the partition after a batch was committed at the given revision.
func (p *Partition) ConfirmBatch(batch *Batch, revision uint64) {
	p.recordCommit(revision)
	p.confirmJournal(batch, revision)
	p.confirmChunks(batch, revision)
	for _, chunk := range batch.deletedChunks {
		chunk.revision = 0
	}
	if batch.endedJob != nil {
		p.finalizeJob(batch.endedJob)
	}
	p.finalizedJobs = slices.DeleteFunc(p.finalizedJobs, func(job *Job) bool {
		return !slices.ContainsFunc(job.chunks, (*chunk).hasLeftoverRecord)
	})
}

// confirmJournal records that a batch's journal records are committed.
func (p *Partition) confirmJournal(batch *Batch, revision uint64) {
	p.Counters.JournalRecords += len(batch.journalSequences)
	for _, sequence := range batch.journalSequences {
		p.journal.setRevision(sequence, revision)
	}
	for _, write := range batch.entryWrites {
		p.journal.markTasksCommitted(write.chunk, write.changeVersion, write.tasks)
		p.journal.markUncompacted(write.chunk, write.sequence)
	}
}

// confirmChunks records that a batch's chunk records are committed.
func (p *Partition) confirmChunks(batch *Batch, revision uint64) {
	p.Counters.Compactions += len(batch.chunkWrites)
	for _, write := range batch.chunkWrites {
		chunk := write.chunk
		chunk.revision = revision
		chunk.storedFormat = write.format
		chunk.splitFrom, chunk.splitOffChunks = nil, nil
		p.journal.markCompacted(chunk)
		p.journal.markChunkCommitted(chunk, write.changeVersion)
	}
}

// finalizeJob removes a job whose end is committed. If a worker has not reported the end of a
// finished gang's task yet, the task's placement keeps its capacity until it does.
func (p *Partition) finalizeJob(job *Job) {
	job.finalized = true
	delete(p.jobs, job.ID)
	p.tombstones.add(job.ID)
	job.chunks[0].revision = 0
	for _, chunk := range job.chunks {
		p.journal.untrackChunk(chunk)
	}
	p.finalizedJobs = append(p.finalizedJobs, job)
}

// RefreshKey updates the revision of one of a batch's keys, as read after a conflict or after a
// commit with unknown outcome. record is the value read if the key is that of a job's record and
// exists, and nil otherwise. All changes of the batch remain dirty. The next commit therefore
// rewrites the keys under their current revisions, so that the earlier transaction fails if it is
// still in transit.
func (p *Partition) RefreshKey(batch *Batch, key string, revision uint64, record *records.JobRecord, now time.Time) {
	switch {
	case batch.endedJob != nil && key == records.JobKey(batch.endedJob.ID):
		p.refreshJob(batch.endedJob, revision, record, now)
	case p.refreshJournal(batch, key, revision):
	default:
		p.refreshChunks(batch, key, revision)
	}
}

// refreshJob updates a job whose end is in an unconfirmed batch with the revision and the record
// that were read from the job's key. record is nil if the key does not exist.
func (p *Partition) refreshJob(job *Job, revision uint64, record *records.JobRecord, now time.Time) {
	job.Revision = revision
	if record == nil {
		return
	}
	switch record.Phase {
	case wire.JobDone:
		p.finalizeJob(job)
	case wire.JobCancelled:
		p.CancelJob(job.ID, now)
	case wire.JobQueued, wire.JobRunning:
		// The end is not committed; the next batch contains it again.
	}
}

// refreshJournal updates the revision of the key if it is that of one of the batch's journal
// records, and reports whether it is.
func (p *Partition) refreshJournal(batch *Batch, key string, revision uint64) bool {
	for _, sequence := range batch.journalSequences {
		if key == p.journal.key(sequence) {
			p.journal.setRevision(sequence, revision)
			return true
		}
	}
	return false
}

// refreshChunks updates the revision of the key if it is that of a chunk that the batch writes or
// deletes.
func (p *Partition) refreshChunks(batch *Batch, key string, revision uint64) {
	for _, write := range batch.chunkWrites {
		if key == p.layout.chunkKey(write.chunk) {
			write.chunk.revision = revision
		}
	}
	for _, chunk := range batch.deletedChunks {
		if key == p.layout.chunkKey(chunk) {
			chunk.revision = revision
		}
	}
	if batch.endedJob == nil {
		return
	}
	if firstChunk := batch.endedJob.chunks[0]; key == p.layout.chunkKey(firstChunk) {
		firstChunk.revision = revision
	}
}
