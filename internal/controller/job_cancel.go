package controller

import (
	"context"
	"log/slog"

	"ambersill/internal/peerrpc"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// maxAnnouncements bounds the concurrent announcements of cancellations to owners.
const maxAnnouncements = 32

// Cancel cancels a job. Cancelling is idempotent: a job that has ended is answered with its
// status.
func (c *Controller) Cancel(ctx context.Context, id string) (wire.JobStatus, error) {
	for {
		record, revision, err := c.findJob(ctx, id)
		if err != nil {
			return wire.JobStatus{}, err
		}
		if record.Phase.Final() {
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

// commitCancellation writes a cancelled job's record on the condition that it was not
// changed since it was read, and the cancellation for the partition's owner.
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

// announceCancellation notifies the partition's owner of a committed cancellation at once.
// Nothing relies on it: the owner reads the cancellation itself a second later or, if the
// key-value store refuses that node alone, stops answering heartbeats within half a minute.
func (c *Controller) announceCancellation(partition int, jobID string) {
	if owned := c.ownedPartition(partition); owned != nil {
		owned.cancelJob(jobID)
		return
	}
	peer := c.peers[c.cluster.partitionOwner(partition).node]
	if peer == nil || peer.Failing(peerBackoff) {
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
			slog.Debug("cancellation not announced", "job", jobID, "err", err)
		}
	}()
}

// JobCancelled handles a peer's announcement that a job's cancellation is committed.
func (c *Controller) JobCancelled(cancellation peerrpc.JobCancellation) {
	if owned := c.ownedPartition(cancellation.Partition); owned != nil {
		owned.cancelJob(cancellation.JobID)
	}
}
