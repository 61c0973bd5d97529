// Package controller joins the parts of ambersill: it keeps this node's lease,
// claims parts and the lead, and runs what it has claimed.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"runtime"
	"sync"
	"time"

	"ambersill/internal/cloud"
	"ambersill/internal/config"
	"ambersill/internal/core"
	"ambersill/internal/mesh"
	"ambersill/internal/store"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
	"ambersill/internal/worker"
)

// Controller is one node.
type Controller struct {
	s       *config.Settings
	net     transport.Net
	t       tuning.Tuning
	store   *store.Client
	cloud   *cloud.Client
	workers *worker.Client
	orders  *orders
	cluster *cluster
	peers   map[string]*mesh.Peer
	parts   int
	// forwarders pass workers' reports on, by the node that they go to.
	forwarders map[string]*forwarder
	// telling holds a place for each cancellation that an owner is told of.
	telling chan struct{}

	mu       sync.Mutex
	types    []wire.MachineType
	owned    map[int]*owned
	hold     uint64
	holdTill time.Time // until then the hold lasts for sure, whatever becomes of contact
	leading  bool
	finals   map[string]core.JobRecord
	addrs    map[string]string // where machines can be reached, by their reports or the list
	visits   map[string]visit  // workers that report here but are assigned to other nodes, by machine
	restPart map[int]time.Time // parts not to be claimed again at once
}

// New makes a controller that has not started yet.
func New(s *config.Settings, t tuning.Tuning, n transport.Net) *Controller {
	st := s.Cluster.State
	c := &Controller{
		s: s, t: t, net: n, cluster: newCluster(), peers: map[string]*mesh.Peer{}, parts: t.Parts,
		owned: map[int]*owned{}, finals: map[string]core.JobRecord{}, addrs: map[string]string{}, visits: map[string]visit{}, forwarders: map[string]*forwarder{}, restPart: map[int]time.Time{},
		store:   store.New(store.Options{Net: n, Addr: s.Outside.State, Timeout: tuning.Seconds(t.StateTimeoutS), ReadRate: st.RPS, WriteRate: st.WriteRPS}),
		cloud:   cloud.New(n, s.Outside.Cloud, s.Cluster.Cloud.RPS),
		workers: worker.New(n, tuning.Seconds(s.Cluster.Workers.ReportS)),
		orders:  newOrders(s.Cluster.Limits.MaxSockets), telling: make(chan struct{}, maxTellings),
	}
	if c.parts == 0 {
		c.parts = s.Cluster.Count
	}
	for _, m := range s.Members {
		c.peers[m.Node] = &mesh.Peer{Member: m, Net: n}
		c.forwarders[m.Node] = newForwarder(&mesh.Peer{Member: m, Net: n})
	}
	c.cluster.onChange = c.machineChanged
	c.cluster.onOwner = c.ownerChanged
	c.share()
	return c
}

// Run serves until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	duty := func(name string, f func(context.Context) error) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := f(ctx); err != nil && ctx.Err() == nil {
				slog.Error("duty failed", "duty", name, "err", err)
				cancel(err)
			}
		}()
	}
	slog.Info("starting", "node", c.s.Node, "parts", c.parts, "public_sockets", c.publicSockets(), "orders", c.orders.most)
	for _, f := range c.forwarders {
		f.done = ctx.Done()
		duty("forwarding of reports", f.run)
	}
	duty("users and workers", c.serve)
	duty("mesh", func(ctx context.Context) error { return mesh.Serve(ctx, c.net, c.s.MeshAddr, c) })
	duty("cluster watch", func(ctx context.Context) error {
		follow(ctx, c.store, clusterPrefix, c.cluster.reset, func(e wire.Event) {
			if e.Delete != "" {
				c.cluster.apply(e.Delete, nil, e.Stamp, true)
			} else {
				c.cluster.apply(e.Put, e.Value, e.Stamp, false)
			}
		}, c.cluster.caughtUp)
		return nil
	})
	duty("catalog", c.keepCatalog)
	duty("membership", c.keepMembership)
	duty("lead", c.keepLead)
	duty("log", c.keepLog)
	<-ctx.Done()
	c.leave()
	wg.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// leave gives up all that is held, so that others need not wait for the lease.
func (c *Controller) leave() {
	c.mu.Lock()
	hold := c.hold
	for _, o := range c.owned {
		o.cancel()
	}
	c.mu.Unlock()
	if hold != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), tuning.Seconds(c.t.StateTimeoutS))
		defer cancel()
		_ = c.store.End(ctx, hold)
	}
	slog.Info("stopped", "node", c.s.Node)
}

// keepCatalog learns the machine types, and follows their prices.
func (c *Controller) keepCatalog(ctx context.Context) error {
	for ctx.Err() == nil {
		types, err := c.cloud.Catalog(ctx)
		if err != nil || len(types) == 0 {
			slog.Debug("catalog not read", "err", err)
			transport.Pause(ctx, time.Second)
			continue
		}
		c.mu.Lock()
		c.types = types
		owned := c.ownedParts()
		c.mu.Unlock()
		for _, o := range owned {
			o.mu.Lock()
			if o.p != nil {
				o.p.SetTypes(types)
			}
			o.mu.Unlock()
		}
		transport.Pause(ctx, 30*time.Second)
	}
	return nil
}

func (c *Controller) catalog() []wire.MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.types
}

// ownedParts lists the parts in order; c.mu must be held.
func (c *Controller) ownedParts() []*owned {
	out := make([]*owned, 0, len(c.owned))
	for i := 0; i < c.parts; i++ {
		if o := c.owned[i]; o != nil {
			out = append(out, o)
		}
	}
	return out
}

func (c *Controller) ownedPart(i int) *owned {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owned[i]
}

// share sets this node's part of the state service's limits: an equal base for
// users' requests, and the rest by the parts it owns. The leader may use more in
// the moments when it records many rentals: at its base share alone, those of a
// fleet that starts from nothing took 13 s on a service of 25 changes a second.
func (c *Controller) share() {
	st := c.s.Cluster.State
	n := float64(c.s.Cluster.Count)
	c.mu.Lock()
	f := 0.4/n + 0.6*float64(len(c.owned))/float64(c.parts)
	if c.leading {
		f = min(1, f+c.t.LeaderShare)
	}
	c.mu.Unlock()
	f *= 1 - c.t.ShareReserve
	c.store.SetShare(st.RPS*f, st.WriteRPS*f)
}

// keepMembership keeps the node's hold, and claims parts that nobody owns.
func (c *Controller) keepMembership(ctx context.Context) error {
	every := tuning.Seconds(c.t.HoldS / 4)
	var extended time.Time // when the last renewal that was answered was sent
	away := false
	for ctx.Err() == nil {
		if d := c.store.SinceContact(); away != (d > tuning.Seconds(c.t.FreshS)) {
			away = !away
			slog.Info("contact to the state service", "lost", away, "since_s", d.Seconds())
		}
		if c.hold == 0 {
			asked := time.Now()
			h, err := c.store.Grant(ctx, tuning.Seconds(c.t.HoldS))
			if err != nil {
				transport.Pause(ctx, 300*time.Millisecond)
				continue
			}
			extended = asked
			c.setHold(h, asked)
			if _, err := c.store.Commit(ctx, wire.Txn{Then: []wire.Write{{Put: nodePrefix + c.s.Node, Value: core.OwnerRecord{Node: c.s.Node}, Hold: h}}}); err != nil {
				slog.Debug("node not entered", "err", err)
			}
		}
		if time.Since(extended) >= every {
			asked := time.Now()
			err := c.store.Extend(ctx, c.hold)
			switch {
			case err == nil:
				extended = asked
				c.setHold(c.hold, asked)
			case errors.Is(err, store.ErrNotFound):
				// The hold ran out: whatever was attached to it is gone, and others
				// may own it by now.
				slog.Info("hold lost", "hold", c.hold)
				c.setHold(0, asked)
				c.loseAll()
				continue
			default:
				slog.Debug("hold not renewed", "err", err)
				transport.Pause(ctx, 200*time.Millisecond)
				continue
			}
		}
		c.claimParts(ctx)
		wait := c.cluster.wait()
		t := time.NewTimer(min(every, 250*time.Millisecond))
		select {
		case <-ctx.Done():
		case <-wait:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// setHold notes the hold, and that it was granted or renewed at the earliest when that
// was asked for.
func (c *Controller) setHold(h uint64, asked time.Time) {
	c.mu.Lock()
	c.hold, c.holdTill = h, asked.Add(tuning.Seconds(c.t.HoldS*(1-c.t.Drift)))
	c.mu.Unlock()
}

// holds tells whether nothing under the given hold can be another's by now.
func (c *Controller) holds(hold uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hold == hold && time.Now().Before(c.holdTill)
}

func (c *Controller) currentHold() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hold
}

// claimParts takes parts without an owner: those that fall to this node at
// once, others if nobody else takes them.
func (c *Controller) claimParts(ctx context.Context) {
	if len(c.catalog()) == 0 {
		return
	}
	c.cluster.mu.Lock()
	loaded := c.cluster.loaded
	owners := map[int]owner{}
	counts := map[string]int{}
	for i := 0; i < c.parts; i++ {
		owners[i] = c.cluster.parts[i]
		counts[owners[i].node]++
	}
	nodes := len(c.cluster.nodes)
	c.cluster.mu.Unlock()
	if !loaded {
		return
	}
	for i := 0; i < c.parts; i++ {
		o := owners[i]
		mine := c.ownedPart(i)
		if o.node == c.s.Node && mine == nil {
			// Left by an earlier process of this node, which is gone for sure.
			c.claim(ctx, i, o.stamp, false)
			continue
		}
		if o.node != "" || mine != nil {
			continue
		}
		c.mu.Lock()
		rest := c.restPart[i]
		c.mu.Unlock()
		if time.Now().Before(rest) {
			continue
		}
		fair := (c.parts + max(nodes, 1) - 1) / max(nodes, 1)
		if counts[c.s.Node] >= fair {
			transport.Pause(ctx, time.Second)
			if c.cluster.snapshotOwner(i).node != "" {
				continue
			}
		}
		c.claim(ctx, i, 0, true)
		counts[c.s.Node]++
	}
}

func (c *Controller) claim(ctx context.Context, part int, stamp uint64, fresh bool) {
	hold := c.currentHold()
	if hold == 0 {
		return
	}
	key := core.PartKey(part)
	rev, err := c.store.Commit(ctx, wire.Txn{
		If:   []wire.Cond{{Key: key, Stamp: stamp}},
		Then: []wire.Write{{Put: key, Value: core.OwnerRecord{Node: c.s.Node}, Hold: hold}},
	})
	if errors.Is(err, store.ErrUnknown) {
		// It may have been carried out: the key tells.
		it, gerr := c.store.Get(ctx, key)
		if gerr != nil || it.Hold != hold {
			return
		}
		rev, err = it.Stamp, nil
	}
	if err != nil {
		slog.Debug("part not claimed", "part", part, "err", err)
		if !fresh {
			// The copy may lag behind; look again.
			if it, gerr := c.store.Get(ctx, key); gerr == nil {
				c.cluster.apply(key, it.Value, it.Stamp, false)
			}
		}
		return
	}
	slog.Info("part claimed", "part", part, "stamp", rev)
	o := c.newOwned(ctx, part, rev)
	c.mu.Lock()
	c.owned[part] = o
	c.mu.Unlock()
	c.share()
	c.cluster.apply(key, must(wire.Marshal(core.OwnerRecord{Node: c.s.Node})), rev, false)
	if w := c.cluster.snapshotOwner(part); w.stamp > rev {
		// The hold ran out on the way, and the news of the next owner came before the
		// answer: nothing would drop the part that was not there yet.
		c.lose(o, "owned by "+w.node)
		return
	}
	go o.run()
	for _, p := range c.peers {
		go func() {
			_ = p.Call("Mesh.Claimed", mesh.Claim{Part: part, Stamp: rev, Node: c.s.Node}, &struct{}{}, 2*time.Second)
		}()
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// lose drops a part that this node no longer owns.
func (c *Controller) lose(o *owned, why string) {
	c.mu.Lock()
	if c.owned[o.index] != o {
		c.mu.Unlock()
		return
	}
	delete(c.owned, o.index)
	c.mu.Unlock()
	o.cancel()
	c.share()
	slog.Info("part given up", "part", o.index, "why", why)
}

func (c *Controller) loseAll() {
	c.mu.Lock()
	all := c.ownedParts()
	c.mu.Unlock()
	for _, o := range all {
		c.lose(o, "hold lost")
	}
}

// ownerChanged drops a part whose key shows another owner, or another claim.
func (c *Controller) ownerChanged(part int, w owner) {
	if o := c.ownedPart(part); o != nil && w.stamp > o.stamp {
		c.lose(o, "owned by "+w.node)
	}
}

// Claimed is the mesh's hint that another node has taken a part.
func (c *Controller) Claimed(cl mesh.Claim) {
	if cl.Part < 0 || cl.Part >= c.parts {
		return
	}
	v, err := wire.Marshal(core.OwnerRecord{Node: cl.Node})
	if err != nil {
		return
	}
	c.cluster.apply(core.PartKey(cl.Part), v, cl.Stamp, false)
}

// View counts the tasks of a job that this node runs.
func (c *Controller) View(job string) (int, int, bool) {
	c.mu.Lock()
	all := c.ownedParts()
	c.mu.Unlock()
	for _, o := range all {
		o.mu.Lock()
		d, r, ok := 0, 0, false
		if o.p != nil {
			d, r, ok = o.p.View(job)
		}
		o.mu.Unlock()
		if ok {
			return d, r, true
		}
	}
	return 0, 0, false
}

// Contact is the time since the state service last served this node.
func (c *Controller) Contact() time.Duration { return c.store.SinceContact() }

// learn notes where a machine can be reached.
func (c *Controller) learn(id, addr string) {
	const most = 4096 // machines; far above what any deployment rents
	c.mu.Lock()
	if addr != "" && (len(c.addrs) < most || c.addrs[id] != "") {
		c.addrs[id] = addr
	}
	c.mu.Unlock()
}

// addr tells where a machine can be reached; "" if that is not known yet.
func (c *Controller) addr(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrs[id]
}

func (c *Controller) machineChanged(id string, e machineEntry, gone bool) {
	c.mu.Lock()
	all := c.ownedParts()
	if gone {
		delete(c.addrs, id)
		delete(c.visits, id)
		c.orders.forget(id)
	}
	c.mu.Unlock()
	for _, o := range all {
		o.machineChanged(id, e, gone)
		o.poke()
	}
}

// keepLog writes a line of counters now and then.
func (c *Controller) keepLog(ctx context.Context) error {
	for ctx.Err() == nil {
		transport.Pause(ctx, 30*time.Second)
		var ms runtime.MemStats
		runtime.ReadMemStats(&ms)
		ok, refused, unknown := c.store.Counts()
		c.mu.Lock()
		all := c.ownedParts()
		finals := len(c.finals)
		c.mu.Unlock()
		args := []any{"heap_mb", ms.HeapAlloc >> 20, "sys_mb", ms.Sys >> 20, "goroutines", runtime.NumGoroutine(),
			"state_ok", ok, "state_refused", refused, "state_unknown", unknown, "final_jobs_cached", finals}
		for _, o := range all {
			o.mu.Lock()
			if o.p != nil {
				args = append(args, "part", o.index, "jobs", o.p.Jobs(), "machines", len(o.p.MachineIDs()), "started", o.p.Started,
					"finished", o.p.Finished, "requeued", o.p.Requeued, "preempted", o.p.Preempted, "moved", o.p.Moved, "gathered", o.p.Gathered, "incomplete", o.p.Incomplete, "journaled", o.p.Journaled, "folded", o.p.Folded)
			}
			o.mu.Unlock()
		}
		slog.Info("counters", args...)
	}
	return nil
}
