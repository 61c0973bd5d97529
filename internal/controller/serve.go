package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"ambersill/internal/admission"
	"ambersill/internal/api"
	"ambersill/internal/kvstore"
	"ambersill/internal/peerrpc"
	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"

	"golang.org/x/net/netutil"
)

// serve answers users and workers until the context ends.
func (c *Controller) serve(ctx context.Context) error {
	l, err := c.net.Listen(ctx, c.settings.PublicAddr)
	if err != nil {
		return err
	}
	l = netutil.LimitListener(l, c.publicSockets())
	srv := &http.Server{
		Handler:           api.Handler(c, c.tuning.RetryAfterS, tuning.Seconds(c.tuning.UserWaitS)),
		ReadHeaderTimeout: tuning.ReadTimeout,
		ReadTimeout:       tuning.ReadTimeout,
		IdleTimeout:       tuning.IdleTimeout,
		MaxHeaderBytes:    8 << 10,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	stop := context.AfterFunc(ctx, func() {
		sctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = srv.Shutdown(sctx)
	})
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// publicSockets is how many connections users and workers may hold together: what the
// controller does not need for itself and for orders to workers.
func (c *Controller) publicSockets() int {
	const least = 16 // enough for health checks, and to say no
	return max(c.settings.Cluster.Limits.MaxSockets-tuning.OwnSockets-tuning.IdleOrders-c.commandSlots.limit, least)
}

// Healthy tells whether this node can take requests. In an outage that all
// nodes share it stays healthy, since no other node would do better.
func (c *Controller) Healthy() bool {
	if len(c.catalog()) == 0 {
		return false
	}
	// Half as long again as what stops starts, so that one slow answer changes nothing.
	if c.store.SinceContact() < tuning.Seconds(1.5*c.tuning.FreshS) {
		return true
	}
	limit := 400 * time.Millisecond
	type view struct{ there, better bool }
	views := make(chan view, len(c.peers))
	for _, peer := range c.peers {
		go func() {
			age, err := peer.SinceContact(limit)
			views <- view{err == nil, err == nil && age < tuning.Seconds(c.tuning.FreshS)}
		}()
	}
	there := len(c.peers) == 0
	for range c.peers {
		v := <-views
		if v.better {
			return false
		}
		there = there || v.there
	}
	// Without the state service and without any other node, it is this one that is
	// cut off, as far as anybody can tell.
	return there
}

// checkContact refuses what takes the state service while that serves this node with
// nothing: a user is told to come back at once, not after a wait.
func (c *Controller) checkContact() error {
	if d := c.store.SinceContact(); d > tuning.Seconds(c.tuning.FreshS) {
		return fmt.Errorf("no contact to the state service for %.0f s", d.Seconds())
	}
	return nil
}

// finalJob returns a job whose end this node knows to be committed.
func (c *Controller) finalJob(id string) (records.JobRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.finalJobs[id]
	return record, ok
}

func (c *Controller) cacheFinalJob(record records.JobRecord) {
	if !record.Phase.Final() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.finalJobs) >= c.tuning.FinalCache {
		for k := range c.finalJobs {
			delete(c.finalJobs, k)
			break
		}
	}
	record.Job = &wire.Job{ID: record.Job.ID, Tasks: record.Job.Tasks}
	c.finalJobs[record.Job.ID] = record
}

// readJob reads a job's record as it stands now.
func (c *Controller) readJob(ctx context.Context, id string) (records.JobRecord, uint64, error) {
	if record, ok := c.finalJob(id); ok {
		return record, 0, nil
	}
	var record records.JobRecord
	if err := c.checkContact(); err != nil {
		return record, 0, err
	}
	item, err := c.store.Get(ctx, records.JobKey(id))
	if err != nil {
		return record, 0, err
	}
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		return record, 0, err
	}
	c.cacheFinalJob(record)
	return record, item.Revision, nil
}

// partitionOf says which part a job belongs to: its team's where teams have limits
// or guarantees, so that one owner enforces them alone. Else jobs that compete for
// the same types of machine share a part, since types that are split among parts
// strand room.
func (c *Controller) partitionOf(job *wire.Job) int {
	for _, t := range c.settings.Cluster.Teams {
		if t.CPUs == 0 && t.CPUsMax == 0 && t.GPUs == 0 && t.GPUsMax == 0 {
			continue
		}
		for i, t := range c.settings.Cluster.Teams {
			if t.Name == job.Team {
				return i % c.partitions
			}
		}
		return 0
	}
	return admission.PrimaryMachineType(job, c.catalog()) % c.partitions
}

// Submit takes a job in.
func (c *Controller) Submit(ctx context.Context, body []byte) (wire.JobStatus, bool, error) {
	job, err := wire.ParseJob(body)
	if err != nil {
		return wire.JobStatus{}, false, &api.StatusError{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	if record, ok := c.finalJob(job.ID); ok {
		return jobStatus(record), false, nil
	}
	if !records.JobFitsRecord(job, c.settings) {
		return wire.JobStatus{}, false, &api.StatusError{Status: http.StatusBadRequest, Reason: "the description is too long"}
	}
	types := c.catalog()
	if len(types) == 0 {
		return wire.JobStatus{}, false, errors.New("machine types not known yet")
	}
	if infeasible := admission.Check(job, c.settings, types); infeasible != nil {
		// A job that was accepted before is known, whatever its repeat says.
		record, _, err := c.readJob(ctx, job.ID)
		switch {
		case err == nil:
			return jobStatus(record), false, nil
		case errors.Is(err, kvstore.ErrNotFound):
			return wire.JobStatus{}, false, &api.StatusError{Status: http.StatusUnprocessableEntity, Reason: infeasible.Error()}
		}
		return wire.JobStatus{}, false, err
	}
	if err := c.checkContact(); err != nil {
		return wire.JobStatus{}, false, err
	}
	record := records.JobRecord{Job: job, Phase: wire.JobQueued, Partition: c.partitionOf(job), SubmittedAtMS: time.Now().UnixMilli()}
	key := records.JobKey(job.ID)
	_, err = c.store.CommitUrgent(ctx, wire.Txn{
		Compares: []wire.Compare{{Key: key, Revision: 0}},
		Writes: []wire.Write{
			{Put: key, Value: record},
			{Put: records.FirstChunkKey(record.Partition, job.ID), Value: records.NewFirstChunk(&record, c.cluster.featureLevel(), c.settings)},
		},
	})
	if err == nil {
		return jobStatus(record), true, nil
	}
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, kvstore.ErrOutcomeUnknown) {
		// Known already, or perhaps: the record tells.
		record, _, gerr := c.readJob(ctx, job.ID)
		if gerr == nil {
			return jobStatus(record), false, nil
		}
		err = gerr
	}
	return wire.JobStatus{}, false, err
}

func jobStatus(record records.JobRecord) wire.JobStatus {
	v := wire.JobStatus{ID: record.Job.ID, Phase: record.Phase}
	if record.Phase == wire.JobDone {
		v.Done = record.Job.Tasks
	}
	return v
}

// Job answers a query.
func (c *Controller) Job(ctx context.Context, id string) (wire.JobStatus, error) {
	if !wire.ValidJobID(id) {
		return wire.JobStatus{}, &api.StatusError{Status: http.StatusNotFound, Reason: "no such job"}
	}
	record, _, err := c.readJob(ctx, id)
	if errors.Is(err, kvstore.ErrNotFound) {
		return wire.JobStatus{}, &api.StatusError{Status: http.StatusNotFound, Reason: "no such job"}
	}
	if err != nil {
		return wire.JobStatus{}, err
	}
	v := jobStatus(record)
	if !record.Phase.Final() {
		v.Done, v.Running = c.jobCounts(id, record.Partition)
		if v.Running > 0 {
			v.Phase = wire.JobRunning
		}
	}
	return v, nil
}

// jobCounts asks the part's owner for display counts; they are a hint.
func (c *Controller) jobCounts(id string, partition int) (int, int) {
	if counts := c.LocalJobCounts(id); counts.Known {
		return counts.Done, counts.Running
	}
	peer := c.peers[c.cluster.partitionOwner(partition).node]
	if peer == nil {
		return 0, 0
	}
	counts, err := peer.JobCounts(id, 200*time.Millisecond)
	if err != nil {
		return 0, 0
	}
	return counts.Done, counts.Running
}

// Cancel withdraws a job.
func (c *Controller) Cancel(ctx context.Context, id string) (wire.JobStatus, error) {
	if !wire.ValidJobID(id) {
		return wire.JobStatus{}, &api.StatusError{Status: http.StatusNotFound, Reason: "no such job"}
	}
	for {
		record, revision, err := c.readJob(ctx, id)
		if errors.Is(err, kvstore.ErrNotFound) {
			return wire.JobStatus{}, &api.StatusError{Status: http.StatusNotFound, Reason: "no such job"}
		}
		if err != nil {
			return wire.JobStatus{}, err
		}
		if record.Phase.Final() {
			return jobStatus(record), nil
		}
		record.Phase = wire.JobCancelled
		_, err = c.store.CommitUrgent(ctx, wire.Txn{
			Compares: []wire.Compare{{Key: records.JobKey(id), Revision: revision}},
			Writes: []wire.Write{
				{Put: records.JobKey(id), Value: record},
				{Put: records.CancellationKey(record.Partition, id), Value: true},
			},
		})
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			c.cacheFinalJob(record)
			c.announceCancellation(record.Partition, id)
			return jobStatus(record), nil
		case errors.As(err, &conflict), errors.Is(err, kvstore.ErrOutcomeUnknown):
			continue // read again: it ended, or the answer was lost
		default:
			return wire.JobStatus{}, err
		}
	}
}

// maxAnnouncements bounds the cancellations that owners are told of at a time.
const maxAnnouncements = 32

// announceCancellation lets the part's owner know of a committed cancellation at once. A hint,
// which spares the job's tasks a second or, where the state service refuses the owner
// alone, half a minute; nothing relies on it.
func (c *Controller) announceCancellation(partition int, id string) {
	if owned := c.ownedPartition(partition); owned != nil {
		owned.jobCancelled(id)
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
		if err := peer.AnnounceCancellation(peerrpc.JobCancellation{Partition: partition, JobID: id}, forwardTimeout); err != nil {
			slog.Debug("owner not told of a cancellation", "job", id, "err", err)
		}
	}()
}

// JobCancelled takes in a peer's hint that a job's cancellation is committed.
func (c *Controller) JobCancelled(cancellation peerrpc.JobCancellation) {
	if owned := c.ownedPartition(cancellation.Partition); owned != nil {
		owned.jobCancelled(cancellation.JobID)
	}
}
