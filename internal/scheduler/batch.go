package scheduler

import (
	"maps"
	"slices"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// maxTombstones is after how many ended jobs those before them are forgotten. A late word of a
// submission is seconds old, in which far fewer end.
const maxTombstones = 4096

// Keys of the state service.

// Batch is a set of changes of a part on its way to the state service.
type Batch struct {
	Txn wire.Txn
	// Full: something was left for the next one.
	Full bool
	// journalSequences are the numbers of its journal records, entries what those hold, folds
	// the chunks whose own records it writes.
	journalSequences []uint64
	entryWrites      []entryWrite
	chunkWrites      []chunkWrite
	// endedJob is the job whose end the batch commits, removed the one whose
	// last records it deletes.
	endedJob *Job
	// deletedChunks are chunks deleted after their job's end.
	deletedChunks []*chunk
}

type chunkWrite struct {
	chunk         *chunk
	changeVersion int
	explicitRange bool // the record says which tasks it holds
}

type entryWrite struct {
	chunk         *chunk
	changeVersion int
	sequence      uint64
	tasks         []int
}

// Empty tells whether there is nothing to commit.
func (b *Batch) Empty() bool { return len(b.Txn.Writes) == 0 }

// record builds a chunk's record.
func (c *chunk) record() records.ChunkRecord {
	job := c.job
	record := records.ChunkRecord{HighestAttempt: job.highestAttempt}
	if c.index == 0 {
		record.Job, record.SubmittedAtMS, record.JobRevision = job.Job, job.SubmittedAt.UnixMilli(), job.Revision
	}
	if c.explicitRange {
		record.From, record.To = c.from, c.to
	}
	record.DoneRanges = records.EncodeRanges(c.from, c.to, func(i int) bool { return job.taskStates[i] == taskDone })
	for t := c.from; t < c.to; t++ {
		if placement := job.placements[t]; placement != nil && job.taskStates[t] != taskDone {
			record.Placements = append(record.Placements, placement.record())
		}
	}
	return record
}

// PrepareBatch gathers changes for one transaction: the end of a job first, chunks that
// the journal's ring makes due, the journal, and records that are to go.
func (p *Partition) PrepareBatch() *Batch {
	ops := p.limits.TxnOps
	batch := &Batch{}
	batch.Txn.Compares = append(batch.Txn.Compares, wire.Compare{Key: records.PartitionKey(p.Index), Revision: p.Revision})
	size := 0
	ids := slices.Sorted(maps.Keys(p.jobs))
	for _, id := range ids {
		job := p.jobs[id]
		if job.finalized || job.Cancelled || job.doneTasks < job.Tasks {
			continue
		}
		if batch.endedJob != nil {
			batch.Full = true
			break
		}
		// One end per batch keeps conflicts with cancellations apart.
		record := records.JobRecord{Job: job.Job, Phase: wire.JobDone, Partition: p.Index, SubmittedAtMS: job.SubmittedAt.UnixMilli()}
		batch.Txn.Compares = append(batch.Txn.Compares, wire.Compare{Key: records.JobKey(id), Revision: job.Revision}, wire.Compare{Key: p.chunkKey(job.chunks[0]), Revision: job.chunks[0].revision})
		batch.Txn.Writes = append(batch.Txn.Writes, wire.Write{Put: records.JobKey(id), Value: record}, wire.Write{Delete: p.chunkKey(job.chunks[0])})
		batch.endedJob = job
		size += 1000
	}
	if p.compact(batch, &size, ops) {
		p.appendJournal(batch, &size, ops)
	}
	for _, job := range p.finishedJobs {
		for _, chunk := range job.chunks {
			if chunk.from > 0 && chunk.revision > 0 && len(batch.Txn.Writes) < ops {
				p.deleteChunkRecord(batch, chunk)
			}
		}
	}
	for _, id := range ids {
		if job := p.jobs[id]; !job.finalized && job.recordsDue() && len(batch.Txn.Writes)+2 <= ops {
			p.deleteCancelledJob(batch, job, ops)
		}
	}
	batch.Full = batch.Full || len(batch.Txn.Writes)+2 > ops || size+tuning.MinJournalBytes > tuning.TxnBytes
	return batch
}

// deleteChunkRecord deletes a chunk's record.
func (p *Partition) deleteChunkRecord(batch *Batch, chunk *chunk) {
	key := p.chunkKey(chunk)
	batch.Txn.Compares = append(batch.Txn.Compares, wire.Compare{Key: key, Revision: chunk.revision})
	batch.Txn.Writes = append(batch.Txn.Writes, wire.Write{Delete: key})
	batch.deletedChunks = append(batch.deletedChunks, chunk)
}

// deleteCancelledJob drops the records of a cancelled job, all of which is gone: the first
// chunk, which makes it known to a new owner, and then the mark last of all.
func (p *Partition) deleteCancelledJob(batch *Batch, job *Job, ops int) {
	for i := len(job.chunks) - 1; i >= 0; i-- {
		chunk := job.chunks[i]
		if chunk.revision == 0 {
			continue
		}
		// The first chunk and the mark go together, so that no mark is left behind of
		// which no owner knows the job.
		if len(batch.Txn.Writes)+2 > ops || (i == 0 && batch.endedJob != nil) {
			return
		}
		p.deleteChunkRecord(batch, chunk)
	}
	if batch.endedJob == nil {
		batch.Txn.Writes = append(batch.Txn.Writes, wire.Write{Delete: records.CancellationKey(p.Index, job.ID)})
		batch.endedJob = job
	}
}

// ConfirmBatch notes that a batch is in the state service.
func (p *Partition) ConfirmBatch(batch *Batch, revision uint64) {
	for _, seq := range batch.journalSequences {
		p.slotRevisions[p.journalSlot(seq)] = revision
	}
	p.Counters.JournalRecords += len(batch.journalSequences)
	p.Counters.Compactions += len(batch.chunkWrites)
	for _, w := range batch.entryWrites {
		p.markCommitted(w.chunk, w.changeVersion, w.tasks)
		if w.chunk.oldestUncompacted == 0 && !w.chunk.job.finalized {
			w.chunk.oldestUncompacted = w.sequence
			p.uncompactedChunks[w.chunk] = true
		}
	}
	for _, w := range batch.chunkWrites {
		w.chunk.revision, w.chunk.oldestUncompacted = revision, 0
		w.chunk.splitFrom, w.chunk.splitOff = nil, nil
		w.chunk.storedExplicitRange = w.explicitRange
		delete(p.uncompactedChunks, w.chunk)
		p.markCommitted(w.chunk, w.changeVersion, nil)
	}
	for _, chunk := range batch.deletedChunks {
		chunk.revision = 0
	}
	if batch.endedJob != nil {
		p.finalizeJob(batch.endedJob)
	}
	still := p.finishedJobs[:0]
	for _, job := range p.finishedJobs {
		for _, chunk := range job.chunks {
			if chunk.from > 0 && chunk.revision > 0 {
				still = append(still, job)
				break
			}
		}
	}
	p.finishedJobs = still
}

// finalizeJob forgets a job whose end is committed. Placements of a finished gang that
// its workers have not reported yet keep their room until they do.
func (p *Partition) finalizeJob(job *Job) {
	job.finalized = true
	delete(p.jobs, job.ID)
	if len(p.tombstones) >= maxTombstones {
		p.tombstones, p.olderTombstones = map[string]bool{}, p.tombstones
	}
	p.tombstones[job.ID] = true
	job.chunks[0].revision = 0
	for _, chunk := range job.chunks {
		delete(p.dirtyChunks, chunk)
		delete(p.uncompactedChunks, chunk)
	}
	p.finishedJobs = append(p.finishedJobs, job)
}

// RefreshKey takes in what a re-read found of a key after an unknown outcome or a
// conflict. All stays marked as changed, so that the next commit rewrites the
// key under its present stamp, which fences whatever is still under way.
func (p *Partition) RefreshKey(batch *Batch, key string, revision uint64, record *records.JobRecord, now time.Time) {
	if batch.endedJob != nil && key == records.JobKey(batch.endedJob.ID) {
		job := batch.endedJob
		job.Revision = revision
		if record == nil {
			return
		}
		switch record.Phase {
		case wire.JobDone:
			p.finalizeJob(job)
		case wire.JobCancelled:
			p.Cancel(job.ID, now)
		}
		return
	}
	for _, seq := range batch.journalSequences {
		if key == p.journalKey(seq) {
			p.slotRevisions[p.journalSlot(seq)] = revision
			return
		}
	}
	for _, w := range batch.chunkWrites {
		if key == p.chunkKey(w.chunk) {
			w.chunk.revision = revision
		}
	}
	for _, chunk := range batch.deletedChunks {
		if key == p.chunkKey(chunk) {
			chunk.revision = revision
		}
	}
	if batch.endedJob != nil && key == p.chunkKey(batch.endedJob.chunks[0]) {
		batch.endedJob.chunks[0].revision = revision
	}
}
