package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"ambersill/internal/api"
	"ambersill/internal/core"
	"ambersill/internal/mesh"
	"ambersill/internal/store"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"

	"golang.org/x/net/netutil"
)

// serve answers users and workers until the context ends.
func (c *Controller) serve(ctx context.Context) error {
	l, err := c.net.Listen(ctx, c.s.PublicAddr)
	if err != nil {
		return err
	}
	l = netutil.LimitListener(l, c.publicSockets())
	srv := &http.Server{
		Handler:           api.Handler(c, c.t.RetryAfterS, tuning.Seconds(c.t.UserWaitS)),
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
	return max(c.s.Cluster.Limits.MaxSockets-tuning.OwnSockets-tuning.IdleOrders-c.orders.most, least)
}

// Healthy tells whether this node can take requests. In an outage that all
// nodes share it stays healthy, since no other node would do better.
func (c *Controller) Healthy() bool {
	if len(c.catalog()) == 0 {
		return false
	}
	// Half as long again as what stops starts, so that one slow answer changes nothing.
	if c.store.SinceContact() < tuning.Seconds(1.5*c.t.FreshS) {
		return true
	}
	limit := 400 * time.Millisecond
	type view struct{ there, better bool }
	views := make(chan view, len(c.peers))
	for _, p := range c.peers {
		go func() {
			var a mesh.Answer
			err := p.Call("Mesh.View", mesh.Query{}, &a, limit)
			views <- view{err == nil, err == nil && a.Contact < c.t.FreshS}
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
	if d := c.store.SinceContact(); d > tuning.Seconds(c.t.FreshS) {
		return fmt.Errorf("no contact to the state service for %.0f s", d.Seconds())
	}
	return nil
}

// final returns a job whose end this node knows to be committed.
func (c *Controller) final(id string) (core.JobRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.finals[id]
	return r, ok
}

func (c *Controller) remember(r core.JobRecord) {
	if !r.Phase.Final() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.finals) >= c.t.FinalCache {
		for k := range c.finals {
			delete(c.finals, k)
			break
		}
	}
	r.Job = &wire.Job{ID: r.Job.ID, Tasks: r.Job.Tasks}
	c.finals[r.Job.ID] = r
}

// readJob reads a job's record as it stands now.
func (c *Controller) readJob(ctx context.Context, id string) (core.JobRecord, uint64, error) {
	if r, ok := c.final(id); ok {
		return r, 0, nil
	}
	var r core.JobRecord
	if err := c.inTouch(); err != nil {
		return r, 0, err
	}
	it, err := c.store.Get(ctx, core.JobKey(id))
	if err != nil {
		return r, 0, err
	}
	if err := wire.Unmarshal(it.Value, &r); err != nil {
		return r, 0, err
	}
	c.remember(r)
	return r, it.Stamp, nil
}

// partOf says which part a job belongs to: its team's where teams have limits
// or guarantees, so that one owner enforces them alone. Else jobs that compete for
// the same types of machine share a part, since types that are split among parts
// strand room.
func (c *Controller) partOf(j *wire.Job) int {
	for _, t := range c.s.Cluster.Teams {
		if t.CPUs == 0 && t.CPUsMax == 0 && t.GPUs == 0 && t.GPUsMax == 0 {
			continue
		}
		for i, t := range c.s.Cluster.Teams {
			if t.Name == j.Team {
				return i % c.parts
			}
		}
		return 0
	}
	return core.Competes(j, c.catalog()) % c.parts
}

// Submit takes a job in.
func (c *Controller) Submit(ctx context.Context, body []byte) (wire.JobView, bool, error) {
	j, err := wire.ParseJob(body)
	if err != nil {
		return wire.JobView{}, false, &api.Refusal{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	if r, ok := c.final(j.ID); ok {
		return view(r), false, nil
	}
	types := c.catalog()
	if len(types) == 0 {
		return wire.JobView{}, false, errors.New("machine types not known yet")
	}
	if why := core.Impossible(j, c.s, types); why != "" {
		// A job that was accepted before is known, whatever its repeat says.
		r, _, err := c.readJob(ctx, j.ID)
		switch {
		case err == nil:
			return view(r), false, nil
		case errors.Is(err, store.ErrNotFound):
			return wire.JobView{}, false, &api.Refusal{Status: http.StatusUnprocessableEntity, Reason: why}
		}
		return wire.JobView{}, false, err
	}
	if err := c.inTouch(); err != nil {
		return wire.JobView{}, false, err
	}
	rec := core.JobRecord{Job: j, Phase: wire.Queued, Part: c.partOf(j), At: time.Now().UnixMilli()}
	key := core.JobKey(j.ID)
	_, err = c.store.Commit(ctx, wire.Txn{
		If: []wire.Cond{{Key: key, Stamp: 0}},
		Then: []wire.Write{
			{Put: key, Value: rec},
			{Put: core.ChunkKey(rec.Part, j.ID, 0), Value: core.FirstChunk(&rec)},
		},
	})
	if err == nil {
		return view(rec), true, nil
	}
	var conflict *store.Conflict
	if errors.As(err, &conflict) || errors.Is(err, store.ErrUnknown) {
		// Known already, or perhaps: the record tells.
		r, _, gerr := c.readJob(ctx, j.ID)
		if gerr == nil {
			return view(r), false, nil
		}
		err = gerr
	}
	return wire.JobView{}, false, err
}

func view(r core.JobRecord) wire.JobView {
	v := wire.JobView{ID: r.Job.ID, Phase: r.Phase}
	if r.Phase == wire.Done {
		v.Done = r.Job.Tasks
	}
	return v
}

// Job answers a query.
func (c *Controller) Job(ctx context.Context, id string) (wire.JobView, error) {
	if !wire.ValidJobID(id) {
		return wire.JobView{}, &api.Refusal{Status: http.StatusNotFound, Reason: "no such job"}
	}
	r, _, err := c.readJob(ctx, id)
	if errors.Is(err, store.ErrNotFound) {
		return wire.JobView{}, &api.Refusal{Status: http.StatusNotFound, Reason: "no such job"}
	}
	if err != nil {
		return wire.JobView{}, err
	}
	v := view(r)
	if !r.Phase.Final() {
		v.Done, v.Running = c.counts(id, r.Part)
		if v.Running > 0 {
			v.Phase = wire.Running
		}
	}
	return v, nil
}

// counts asks the part's owner for display counts; they are a hint.
func (c *Controller) counts(id string, part int) (int, int) {
	if d, r, ok := c.View(id); ok {
		return d, r
	}
	p := c.peers[c.cluster.snapshotOwner(part).node]
	if p == nil {
		return 0, 0
	}
	var a mesh.Answer
	if err := p.Call("Mesh.View", mesh.Query{Job: id}, &a, 200*time.Millisecond); err != nil {
		return 0, 0
	}
	return a.Done, a.Running
}

// Cancel withdraws a job.
func (c *Controller) Cancel(ctx context.Context, id string) (wire.JobView, error) {
	if !wire.ValidJobID(id) {
		return wire.JobView{}, &api.Refusal{Status: http.StatusNotFound, Reason: "no such job"}
	}
	for {
		r, stamp, err := c.readJob(ctx, id)
		if errors.Is(err, store.ErrNotFound) {
			return wire.JobView{}, &api.Refusal{Status: http.StatusNotFound, Reason: "no such job"}
		}
		if err != nil {
			return wire.JobView{}, err
		}
		if r.Phase.Final() {
			return view(r), nil
		}
		r.Phase = wire.Cancelled
		_, err = c.store.Commit(ctx, wire.Txn{
			If: []wire.Cond{{Key: core.JobKey(id), Stamp: stamp}},
			Then: []wire.Write{
				{Put: core.JobKey(id), Value: r},
				{Put: core.CancelKey(r.Part, id), Value: true},
			},
		})
		var conflict *store.Conflict
		switch {
		case err == nil:
			c.remember(r)
			c.tellCancelled(r.Part, id)
			return view(r), nil
		case errors.As(err, &conflict), errors.Is(err, store.ErrUnknown):
			continue // read again: it ended, or the answer was lost
		default:
			return wire.JobView{}, err
		}
	}
}

// tellCancelled lets the part's owner know of a committed cancellation at once. A hint,
// which spares the job's tasks a second or, where the state service refuses the owner
// alone, half a minute; nothing relies on it.
func (c *Controller) tellCancelled(part int, id string) {
	if o := c.ownedPart(part); o != nil {
		o.cancelled(id)
		return
	}
	p := c.peers[c.cluster.snapshotOwner(part).node]
	if p == nil || p.Failing(relayRest) {
		return
	}
	select {
	case c.telling <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.telling }()
		if err := p.Call("Mesh.Cancelled", mesh.Cancellation{Part: part, Job: id}, &struct{}{}, relayLimit); err != nil {
			slog.Debug("owner not told of a cancellation", "job", id, "err", err)
		}
	}()
}

// Cancelled is the mesh's hint that a job's cancellation is committed.
func (c *Controller) Cancelled(n mesh.Cancellation) {
	if o := c.ownedPart(n.Part); o != nil {
		o.cancelled(n.Job)
	}
}

// Report answers a worker, or names the node that does.
func (c *Controller) Report(r *wire.Report) (wire.ReportReply, string, bool) {
	e, known := c.cluster.machine(r.Machine)
	if !known {
		// Not rented yet as far as is known here, or returned: a late copy of a report
		// must not bring its address back.
		return wire.ReportReply{}, "", false
	}
	c.learn(r.Machine, r.Addr)
	if c.ownedPart(e.rec.Part) != nil {
		reply, ok := c.Relay(r)
		return reply, "", ok
	}
	n := c.cluster.snapshotOwner(e.rec.Part).node
	p := c.peers[n]
	if p == nil {
		return wire.ReportReply{}, "", false
	}
	if c.relays(r.Machine, n, time.Now()) {
		if reply, ok := c.relay(p, r); ok {
			return reply, "", true
		}
		c.redirected(r.Machine)
	}
	return wire.ReportReply{}, n, false
}

const (
	// relayLimit bounds a relayed report; workers wait 4 s.
	relayLimit = 1500 * time.Millisecond
	// relayFor is how long reports are relayed before the worker is sent to its
	// owner again, to see whether the way is open.
	relayFor = 30 * time.Second
	// maxRelays bounds the reports that are relayed at a time, and the cancellations that
	// are told; in a storm the rest is sent to its owner as if there were no relay.
	maxRelays = 32
	// relayRest is how long nothing is relayed to a node that did not answer.
	relayRest = 2 * time.Second
)

// bounce is where a worker stands that reports here, though another node owns its part.
type bounce struct {
	node  string    // its owner
	at    time.Time // its last report here
	until time.Time // its reports are relayed until then
	sent  bool      // it was sent to its owner then
}

// relays tells whether to pass a report on to the owner rather than to send the worker
// there. The first one is passed on: with some nodes behind cuts a worker may have lost
// most of its lease on the way here, and the way to its owner may be cut as well. The
// next ones send it there, and if it is back within a lease it cannot reach its owner,
// as when a cut lies between the two but not between the nodes.
func (c *Controller) relays(machine, node string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.bounces[machine]
	relay := true
	switch {
	case b.node != node || now.Sub(b.at) > tuning.Seconds(c.s.Cluster.Workers.LeaseS):
		b = bounce{node: node, until: now}
	case b.sent:
		b.sent, b.until = false, now.Add(relayFor)
	case !now.Before(b.until):
		b.sent, relay = true, false
	}
	b.at = now
	c.bounces[machine] = b
	return relay
}

// redirected notes that a worker was sent to its owner after all.
func (c *Controller) redirected(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.bounces[machine]
	b.sent = true
	c.bounces[machine] = b
}

// relay passes a report on.
func (c *Controller) relay(p *mesh.Peer, r *wire.Report) (wire.ReportReply, bool) {
	if p.Failing(relayRest) {
		return wire.ReportReply{}, false
	}
	select {
	case c.relaying <- struct{}{}:
		defer func() { <-c.relaying }()
	default:
		return wire.ReportReply{}, false
	}
	var a mesh.Relayed
	err := p.Call("Mesh.Report", *r, &a, relayLimit)
	return a.Reply, err == nil && a.OK
}

// newsLimit is the age of an owner's news up to which it answers reports. A job that was
// cancelled just after them goes on for as long as reports are answered, and then for the
// lease that the last answered one renewed when it was sent.
func (c *Controller) newsLimit() time.Duration {
	w := c.s.Cluster.Workers
	return tuning.Seconds(w.CancelS - w.LeaseS*(1+c.t.Drift) - w.ReportS - c.t.MarginS)
}

// Relay answers a report as the owner of its machine's part.
func (c *Controller) Relay(r *wire.Report) (wire.ReportReply, bool) {
	e, known := c.cluster.machine(r.Machine)
	if !known {
		return wire.ReportReply{}, false
	}
	o := c.ownedPart(e.rec.Part)
	if o == nil {
		return wire.ReportReply{}, false
	}
	age := o.newsAge()
	if age > c.newsLimit() {
		// Cancellations may have been told elsewhere; the leases must run out.
		return wire.ReportReply{}, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.p == nil {
		return wire.ReportReply{}, false
	}
	fresh := age < tuning.Seconds(c.t.FreshS)
	v, reply := o.p.Report(r, time.Now(), fresh)
	if v != core.Accepted {
		slog.Debug("report not taken", "machine", r.Machine, "verdict", v, "token", r.Token)
		if v == core.Outranked && !fresh {
			// Another owner has spoken to it, and nobody else can tell this node: it
			// must not keep other machines from that owner.
			go c.lose(o, "a worker has seen a higher token")
		}
		return reply, false
	}
	c.orders.heard(r.Machine)
	// Most reports change nothing, and on a small processor a pass for each is dear.
	if o.p.Stirred() {
		o.poke()
	}
	return reply, true
}
