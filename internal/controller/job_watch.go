package controller

import (
	"time"

	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// watchJobs learns of submissions and cancellations.
func (o *ownedPartition) watchJobs(revision uint64) {
	o.watchJobsFrom(revision)
	for o.ctx.Err() == nil {
		// Too far behind: what was missed stands in the part's records.
		revision, err := o.relist()
		if err != nil {
			transport.Pause(o.ctx, 500*time.Millisecond)
			continue
		}
		o.watchJobsFrom(revision)
	}
}

func (o *ownedPartition) watchJobsFrom(revision uint64) {
	watchPrefixFrom(o.ctx, o.controller.store, "j/", revision, watchHandler{onEvent: func(event wire.Event) {
		if event.Put == "" {
			return
		}
		var record records.JobRecord
		if err := wire.Unmarshal(event.Value, &record); err != nil || record.Job == nil || record.Partition != o.index {
			return
		}
		o.mu.Lock()
		switch record.Phase {
		case wire.JobQueued:
			o.partition.AddJob(record.Job, time.UnixMilli(record.SubmittedAtMS), event.Revision)
		case wire.JobCancelled:
			o.partition.Cancel(record.Job.ID, time.Now())
		}
		o.mu.Unlock()
		o.wakeUp()
	}})
}

// relist takes in jobs and cancellations that the watch has missed.
func (o *ownedPartition) relist() (uint64, error) {
	_, revision, err := o.controller.store.List(o.ctx, records.PartitionKey(o.index))
	if err != nil {
		return 0, err
	}
	chunks, _, err := o.controller.store.List(o.ctx, records.ChunkPrefix(o.index))
	if err != nil {
		return 0, err
	}
	cancellations, _, err := o.controller.store.List(o.ctx, records.CancellationPrefix(o.index))
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, item := range chunks {
		var r records.ChunkRecord
		if _, name, ok := records.ParseChunkKey(item.Key); ok && records.IsFirstChunk(name) && wire.Unmarshal(item.Value, &r) == nil && r.Job != nil && r.JobRevision == 0 {
			o.partition.AddJob(r.Job, time.UnixMilli(r.SubmittedAtMS), item.Revision)
		}
	}
	o.partition.SetCancelledJobs(o.cancelledJobs(cancellations), time.Now())
	return revision, nil
}
