package controller

import (
	"context"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// relistRetryDelay is the wait before jobs are listed again after an error. Jobs are listed
// again only when the watch is minutes behind, so half a second more does not matter.
const relistRetryDelay = 500 * time.Millisecond

// jobPrefix is the key prefix of the records of all jobs.
var jobPrefix = records.JobKey("")

// watchJobs watches the records of jobs after the given revision until the context ends. It adds
// submitted jobs to the partition, and cancels jobs in it.
func (o *ownedPartition) watchJobs(ctx context.Context, revision uint64) {
	o.watchJobsFrom(ctx, revision)
	for ctx.Err() == nil {
		// The store has compacted changes that the watch had not delivered. The partition's
		// records contain the jobs and cancellations that the watch has missed.
		revision, err := o.relistJobs(ctx)
		if err != nil {
			transport.Pause(ctx, relistRetryDelay)
			continue
		}
		o.watchJobsFrom(ctx, revision)
	}
}

// watchJobsFrom watches the records of jobs after the given revision. It returns when the
// context ends, or when the store has compacted changes that the watch had not delivered.
func (o *ownedPartition) watchJobsFrom(ctx context.Context, revision uint64) {
	watchPrefixFrom(ctx, o.controller.store, jobPrefix, revision, watchHandler{onEvent: o.applyJobEvent})
}

// applyJobEvent applies a change of a job's record to the partition.
func (o *ownedPartition) applyJobEvent(event wire.Event) {
	if event.Put == "" {
		return
	}
	var record records.JobRecord
	if err := wire.Unmarshal(event.Value, &record); err != nil {
		return
	}
	if record.Job == nil || record.Partition != o.index {
		return
	}
	o.mu.Lock()
	switch record.Phase {
	case wire.JobQueued:
		o.partition.AddJob(record.Job, time.UnixMilli(record.SubmittedAtMS), event.Revision)
	case wire.JobCancelled:
		o.partition.CancelJob(record.Job.ID, time.Now())
	case wire.JobRunning, wire.JobDone:
		// JobDone is written by this owner itself, and JobRunning is never stored.
	}
	o.mu.Unlock()
	o.requestCycle()
}

// relistJobs lists the partition's jobs and cancellations, adds those that the watch has missed,
// and returns the revision to watch from.
func (o *ownedPartition) relistJobs(ctx context.Context) (uint64, error) {
	store := o.controller.store
	_, revision, err := store.List(ctx, records.PartitionKey(o.index))
	if err != nil {
		return 0, err
	}
	chunks, _, err := store.List(ctx, records.ChunkPrefix(o.index))
	if err != nil {
		return 0, err
	}
	cancellationsRequestedAt := time.Now()
	cancellations, _, err := store.List(ctx, records.CancellationPrefix(o.index))
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	// The cancellations are applied first, so that jobs are cancelled as soon as they are added.
	o.applyCancellations(cancellations, cancellationsRequestedAt)
	for _, item := range chunks {
		if chunk, ok := submittedChunk(item); ok {
			o.partition.AddJob(chunk.Job, time.UnixMilli(chunk.SubmittedAtMS), item.Revision)
		}
	}
	return revision, nil
}

// submittedChunk decodes a job's first chunk, and reports whether it is unchanged since the
// job's submission. A chunk with a job revision was rewritten by an owner, which already knows
// the job.
func submittedChunk(item wire.KeyValue) (*records.ChunkRecord, bool) {
	_, name, ok := records.ParseChunkKey(item.Key)
	if !ok || !records.IsFirstChunkName(name) {
		return nil, false
	}
	var chunk records.ChunkRecord
	if err := wire.Unmarshal(item.Value, &chunk); err != nil {
		return nil, false
	}
	return &chunk, chunk.Job != nil && chunk.JobRevision == 0
}
