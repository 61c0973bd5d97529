package controller

import (
	"context"
	"log/slog"

	"ambersill/internal/peerrpc"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// maxAnnouncements limits the cancellations that are being announced to owners at one time.
const maxAnnouncements = 32

// Cancel cancels a job. Cancellation is idempotent: for a job that has ended, Cancel returns its
// status.
func (c *Controller) Cancel(ctx context.Context, id string) (wire.JobStatus, error) {
	for {
		record, revision, err := c.findJob(ctx, id)
		if err != nil {
			return wire.JobStatus{}, err
		}
		if record.Phase.IsFinal() {
			return jobStatus(record), nil
		}
		record.Phase = wire.JobCancelled
		err = c.commitCancellation(ctx, record, revision)
		if err == nil {
			c.finalJobs.addIfFinal(record)
			c.announceCancellation(record.Partition, id)
			return jobStatus(record), nil
		}
		if !needsReread(err) {
			return wire.JobStatus{}, err
		}
	}
}

// commitCancellation commits a cancelled job's record and the cancellation key that the owner
// of the partition polls, on the condition that the record still has the given revision.
func (c *Controller) commitCancellation(
	ctx context.Context, record records.JobRecord, revision uint64,
) error {
	id := record.Job.ID
	key := records.JobKey(id)
	_, err := c.store.CommitUrgent(ctx, wire.Txn{
		Compares: []wire.Compare{{Key: key, Revision: revision}},
		Writes: []wire.Write{
			{Put: key, Value: record},
			{Put: records.CancellationKey(record.Partition, id), Value: true},
		},
	})
	return err
}

// announceCancellation notifies the partition's owner of a committed cancellation without
// waiting for the owner's next poll. Correctness does not depend on it: the owner polls the
// cancellation itself a second later. If the key-value store refuses only that node's
// requests, the owner stops answering heartbeats within half a minute.
func (c *Controller) announceCancellation(partition int, jobID string) {
	if owned := c.ownedPartition(partition); owned != nil {
		owned.cancelJob(jobID)
		return
	}
	peer := c.peers[c.cluster.partitionOwner(partition).node]
	if peer == nil || peer.FailedWithin(peerBackoff) {
		return
	}
	select {
	case c.announcementSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.announcementSlots }()
		announcement := peerrpc.JobCancellation{Partition: partition, JobID: jobID}
		if err := peer.AnnounceCancellation(announcement, forwardTimeout); err != nil {
			slog.Debug("announcing cancellation to partition owner failed", "job", jobID, "err", err)
		}
	}()
}

// HandleCancellation handles a peer's announcement that it has committed a job's cancellation.
func (c *Controller) HandleCancellation(cancellation peerrpc.JobCancellation) {
	if owned := c.ownedPartition(cancellation.Partition); owned != nil {
		owned.cancelJob(cancellation.JobID)
	}
}
