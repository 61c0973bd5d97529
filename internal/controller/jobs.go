package controller

import (
	"time"

	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// followJobs learns of submissions and cancellations.
func (o *ownedPartition) followJobs(rev uint64) {
	o.watchJobs(rev)
	for o.ctx.Err() == nil {
		// Too far behind: what was missed stands in the part's records.
		rev, err := o.reread()
		if err != nil {
			transport.Pause(o.ctx, 500*time.Millisecond)
			continue
		}
		o.watchJobs(rev)
	}
}

func (o *ownedPartition) watchJobs(rev uint64) {
	followFrom(o.ctx, o.controller.store, "j/", rev, func(e wire.Event) {
		if e.Put == "" {
			return
		}
		var r records.JobRecord
		if err := wire.Unmarshal(e.Value, &r); err != nil || r.Job == nil || r.Partition != o.index {
			return
		}
		o.mu.Lock()
		switch r.Phase {
		case wire.JobQueued:
			o.partition.AddJob(r.Job, time.UnixMilli(r.SubmittedAtMS), e.Revision)
		case wire.JobCancelled:
			o.partition.Cancel(r.Job.ID, time.Now())
		}
		o.mu.Unlock()
		o.poke()
	}, func(uint64) {})
}

// reread takes in jobs and cancellations that the watch has missed.
func (o *ownedPartition) reread() (uint64, error) {
	_, rev, err := o.controller.store.List(o.ctx, records.PartitionKey(o.index))
	if err != nil {
		return 0, err
	}
	chunks, _, err := o.controller.store.List(o.ctx, records.ChunkPrefix(o.index))
	if err != nil {
		return 0, err
	}
	marks, _, err := o.controller.store.List(o.ctx, records.CancellationPrefix(o.index))
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, it := range chunks {
		var r records.ChunkRecord
		if _, name, ok := records.ParseChunkKey(it.Key); ok && records.IsFirstChunk(name) && wire.Unmarshal(it.Value, &r) == nil && r.Job != nil && r.JobRevision == 0 {
			o.partition.AddJob(r.Job, time.UnixMilli(r.SubmittedAtMS), it.Revision)
		}
	}
	o.partition.SetCancelledJobs(o.cancelledJobs(marks), time.Now())
	return rev, nil
}
