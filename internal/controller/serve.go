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
	return max(c.settings.Cluster.Limits.MaxSockets-tuning.OwnSockets-tuning.IdleOrders-c.orders.most, least)
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
	for _, p := range c.peers {
		go func() {
			age, err := p.SinceContact(limit)
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

// inTouch refuses what takes the state service while that serves this node with
// nothing: a user is told to come back at once, not after a wait.
func (c *Controller) inTouch() error {
	if d := c.store.SinceContact(); d > tuning.Seconds(c.tuning.FreshS) {
		return fmt.Errorf("no contact to the state service for %.0f s", d.Seconds())
	}
	return nil
}

// final returns a job whose end this node knows to be committed.
func (c *Controller) final(id string) (records.JobRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.finals[id]
	return r, ok
}

func (c *Controller) remember(r records.JobRecord) {
	if !r.Phase.Final() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.finals) >= c.tuning.FinalCache {
		for k := range c.finals {
			delete(c.finals, k)
			break
		}
	}
	r.Job = &wire.Job{ID: r.Job.ID, Tasks: r.Job.Tasks}
	c.finals[r.Job.ID] = r
}

// readJob reads a job's record as it stands now.
func (c *Controller) readJob(ctx context.Context, id string) (records.JobRecord, uint64, error) {
	if r, ok := c.final(id); ok {
		return r, 0, nil
	}
	var r records.JobRecord
	if err := c.inTouch(); err != nil {
		return r, 0, err
	}
	it, err := c.store.Get(ctx, records.JobKey(id))
	if err != nil {
		return r, 0, err
	}
	if err := wire.Unmarshal(it.Value, &r); err != nil {
		return r, 0, err
	}
	c.remember(r)
	return r, it.Revision, nil
}

// partitionOf says which part a job belongs to: its team's where teams have limits
// or guarantees, so that one owner enforces them alone. Else jobs that compete for
// the same types of machine share a part, since types that are split among parts
// strand room.
func (c *Controller) partitionOf(j *wire.Job) int {
	for _, t := range c.settings.Cluster.Teams {
		if t.CPUs == 0 && t.CPUsMax == 0 && t.GPUs == 0 && t.GPUsMax == 0 {
			continue
		}
		for i, t := range c.settings.Cluster.Teams {
			if t.Name == j.Team {
				return i % c.partitions
			}
		}
		return 0
	}
	return admission.PrimaryMachineType(j, c.catalog()) % c.partitions
}

// Submit takes a job in.
func (c *Controller) Submit(ctx context.Context, body []byte) (wire.JobStatus, bool, error) {
	j, err := wire.ParseJob(body)
	if err != nil {
		return wire.JobStatus{}, false, &api.Refusal{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	if r, ok := c.final(j.ID); ok {
		return view(r), false, nil
	}
	if !records.JobFitsRecord(j, c.settings) {
		return wire.JobStatus{}, false, &api.Refusal{Status: http.StatusBadRequest, Reason: "the description is too long"}
	}
	types := c.catalog()
	if len(types) == 0 {
		return wire.JobStatus{}, false, errors.New("machine types not known yet")
	}
	if why := admission.InfeasibleReason(j, c.settings, types); why != "" {
		// A job that was accepted before is known, whatever its repeat says.
		r, _, err := c.readJob(ctx, j.ID)
		switch {
		case err == nil:
			return view(r), false, nil
		case errors.Is(err, kvstore.ErrNotFound):
			return wire.JobStatus{}, false, &api.Refusal{Status: http.StatusUnprocessableEntity, Reason: why}
		}
		return wire.JobStatus{}, false, err
	}
	if err := c.inTouch(); err != nil {
		return wire.JobStatus{}, false, err
	}
	rec := records.JobRecord{Job: j, Phase: wire.JobQueued, Partition: c.partitionOf(j), SubmittedAtMS: time.Now().UnixMilli()}
	key := records.JobKey(j.ID)
	_, err = c.store.CommitFirst(ctx, wire.Txn{
		Compares: []wire.Compare{{Key: key, Revision: 0}},
		Writes: []wire.Write{
			{Put: key, Value: rec},
			{Put: records.FirstChunkKey(rec.Partition, j.ID), Value: records.NewFirstChunk(&rec, c.cluster.featureLevel(), c.settings)},
		},
	})
	if err == nil {
		return view(rec), true, nil
	}
	var conflict *kvstore.Conflict
	if errors.As(err, &conflict) || errors.Is(err, kvstore.ErrUnknown) {
		// Known already, or perhaps: the record tells.
		r, _, gerr := c.readJob(ctx, j.ID)
		if gerr == nil {
			return view(r), false, nil
		}
		err = gerr
	}
	return wire.JobStatus{}, false, err
}

func view(r records.JobRecord) wire.JobStatus {
	v := wire.JobStatus{ID: r.Job.ID, Phase: r.Phase}
	if r.Phase == wire.JobDone {
		v.Done = r.Job.Tasks
	}
	return v
}

// Job answers a query.
func (c *Controller) Job(ctx context.Context, id string) (wire.JobStatus, error) {
	if !wire.ValidJobID(id) {
		return wire.JobStatus{}, &api.Refusal{Status: http.StatusNotFound, Reason: "no such job"}
	}
	r, _, err := c.readJob(ctx, id)
	if errors.Is(err, kvstore.ErrNotFound) {
		return wire.JobStatus{}, &api.Refusal{Status: http.StatusNotFound, Reason: "no such job"}
	}
	if err != nil {
		return wire.JobStatus{}, err
	}
	v := view(r)
	if !r.Phase.Final() {
		v.Done, v.Running = c.counts(id, r.Partition)
		if v.Running > 0 {
			v.Phase = wire.JobRunning
		}
	}
	return v, nil
}

// counts asks the part's owner for display counts; they are a hint.
func (c *Controller) counts(id string, part int) (int, int) {
	if counts := c.LocalJobCounts(id); counts.Known {
		return counts.Done, counts.Running
	}
	p := c.peers[c.cluster.snapshotOwner(part).node]
	if p == nil {
		return 0, 0
	}
	counts, err := p.JobCounts(id, 200*time.Millisecond)
	if err != nil {
		return 0, 0
	}
	return counts.Done, counts.Running
}

// Cancel withdraws a job.
func (c *Controller) Cancel(ctx context.Context, id string) (wire.JobStatus, error) {
	if !wire.ValidJobID(id) {
		return wire.JobStatus{}, &api.Refusal{Status: http.StatusNotFound, Reason: "no such job"}
	}
	for {
		r, stamp, err := c.readJob(ctx, id)
		if errors.Is(err, kvstore.ErrNotFound) {
			return wire.JobStatus{}, &api.Refusal{Status: http.StatusNotFound, Reason: "no such job"}
		}
		if err != nil {
			return wire.JobStatus{}, err
		}
		if r.Phase.Final() {
			return view(r), nil
		}
		r.Phase = wire.JobCancelled
		_, err = c.store.CommitFirst(ctx, wire.Txn{
			Compares: []wire.Compare{{Key: records.JobKey(id), Revision: stamp}},
			Writes: []wire.Write{
				{Put: records.JobKey(id), Value: r},
				{Put: records.CancellationKey(r.Partition, id), Value: true},
			},
		})
		var conflict *kvstore.Conflict
		switch {
		case err == nil:
			c.remember(r)
			c.tellCancelled(r.Partition, id)
			return view(r), nil
		case errors.As(err, &conflict), errors.Is(err, kvstore.ErrUnknown):
			continue // read again: it ended, or the answer was lost
		default:
			return wire.JobStatus{}, err
		}
	}
}

// maxTellings bounds the cancellations that owners are told of at a time.
const maxTellings = 32

// tellCancelled lets the part's owner know of a committed cancellation at once. A hint,
// which spares the job's tasks a second or, where the state service refuses the owner
// alone, half a minute; nothing relies on it.
func (c *Controller) tellCancelled(part int, id string) {
	if o := c.ownedPartition(part); o != nil {
		o.cancelled(id)
		return
	}
	p := c.peers[c.cluster.snapshotOwner(part).node]
	if p == nil || p.Failing(peerRest) {
		return
	}
	select {
	case c.telling <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.telling }()
		if err := p.AnnounceCancellation(peerrpc.JobCancellation{Partition: part, JobID: id}, forwardLimit); err != nil {
			slog.Debug("owner not told of a cancellation", "job", id, "err", err)
		}
	}()
}

// JobCancelled takes in a peer's hint that a job's cancellation is committed.
func (c *Controller) JobCancelled(cancellation peerrpc.JobCancellation) {
	if o := c.ownedPartition(cancellation.Partition); o != nil {
		o.cancelled(cancellation.JobID)
	}
}
