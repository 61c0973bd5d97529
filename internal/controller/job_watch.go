package controller

import (
	"context"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// relistRetryDelay is the wait before jobs are listed again after an error. The watch that
// was lost is minutes behind then, so that half a second more does not matter.
const relistRetryDelay = 500 * time.Millisecond

// jobPrefix is the prefix of the records of all jobs.
var jobPrefix = records.JobKey("")

// watchJobs adds submitted jobs to the partition and cancels jobs, from a revision on.
func (o *ownedPartition) watchJobs(ctx context.Context, revision uint64) {
	o.watchJobsFrom(ctx, revision)
	for ctx.Err() == nil {
		// The next changes were compacted; the partition's records hold what was missed.
		revision, err := o.relistJobs(ctx)
		if err != nil {
			transport.Pause(ctx, relistRetryDelay)
			continue
		}
		o.watchJobsFrom(ctx, revision)
	}
}

// watchJobsFrom follows the jobs' records until the context ends, or until the next changes
// were compacted.
func (o *ownedPartition) watchJobsFrom(ctx context.Context, revision uint64) {
	watchPrefixFrom(ctx, o.controller.store, jobPrefix, revision, watchHandler{onEvent: o.jobChanged})
}

// jobChanged applies a change of a job's record.
func (o *ownedPartition) jobChanged(event wire.Event) {
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
		o.partition.Cancel(record.Job.ID, time.Now())
	case wire.JobRunning, wire.JobDone:
		// This owner writes the end of a job itself; JobRunning is never stored.
	}
	o.mu.Unlock()
	o.wakeUp()
}

// relistJobs adds the jobs and cancellations that the watch has missed, and returns the
// revision to watch from.
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
	cancellations, _, err := store.List(ctx, records.CancellationPrefix(o.index))
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, item := range chunks {
		if chunk, ok := submittedChunk(item); ok {
			o.partition.AddJob(chunk.Job, time.UnixMilli(chunk.SubmittedAtMS), item.Revision)
		}
	}
	o.partition.SetCancelledJobs(o.cancelledJobs(cancellations), time.Now())
	return revision, nil
}

// submittedChunk decodes a first chunk that was not changed since the job's submission. One
// with a job revision was rewritten by an owner, which has known the job since.
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
