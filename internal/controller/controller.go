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
	"ambersill/internal/kvstore"
	"ambersill/internal/peerrpc"
	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
	"ambersill/internal/worker"
)

// Controller is one node.
type Controller struct {
	settings   *config.Settings
	net        transport.Net
	tuning     tuning.Tuning
	store      *kvstore.Client
	cloud      *cloud.Client
	workers    *worker.Client
	orders     *orders
	cluster    *cluster
	peers      map[string]*peerrpc.Peer
	partitions int
	// limits are those of the state service that all that is written keeps to.
	limits config.StateLimits
	// announced is the feature level that this node says it knows.
	announced records.FeatureLevel
	// forwarders pass workers' reports on, by the node that they go to.
	forwarders map[string]*forwarder
	// telling holds a place for each cancellation that an owner is told of.
	telling chan struct{}

	mu         sync.Mutex
	types      []wire.MachineType
	owned      map[int]*ownedPartition
	lease      uint64
	leaseUntil time.Time // until then the lease lasts for sure, whatever becomes of contact
	leading    bool
	finals     map[string]records.JobRecord
	addrs      map[string]string // where machines can be reached, by their reports or the list
	visits     map[string]visit  // workers that report here but are assigned to other nodes, by machine
	restPart   map[int]time.Time // parts not to be claimed again at once
}

// New makes a controller that has not started yet.
func New(s *config.Settings, t tuning.Tuning, n transport.Net) *Controller {
	st := s.WriteLimits()
	c := &Controller{
		settings: s, limits: st, announced: records.CurrentFeatureLevel, tuning: t, net: n, cluster: newCluster(), peers: map[string]*peerrpc.Peer{}, partitions: t.Parts,
		owned: map[int]*ownedPartition{}, finals: map[string]records.JobRecord{}, addrs: map[string]string{}, visits: map[string]visit{}, forwarders: map[string]*forwarder{}, restPart: map[int]time.Time{},
		store:   kvstore.New(kvstore.Options{Net: n, Addr: s.Outside.State, Timeout: tuning.Seconds(t.StateTimeoutS), ReadRate: st.RPS, WriteRate: st.WriteRPS}),
		cloud:   cloud.New(n, s.Outside.Cloud, s.Cluster.Cloud.RPS),
		workers: worker.New(n, tuning.Seconds(s.Cluster.Workers.ReportS)),
		orders:  newOrders(s.Cluster.Limits.MaxSockets), telling: make(chan struct{}, maxTellings),
	}
	if c.partitions == 0 {
		c.partitions = s.Cluster.Count
	}
	for _, m := range s.Members {
		c.peers[m.Node] = &peerrpc.Peer{Member: m, Net: n}
		c.forwarders[m.Node] = newForwarder(&peerrpc.Peer{Member: m, Net: n})
	}
	c.cluster.onChange = c.machineChanged
	c.cluster.onOwner = c.ownerChanged
	c.cluster.onLevel = c.levelRaised
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
	slog.Info("starting", "node", c.settings.Node, "parts", c.partitions, "public_sockets", c.publicSockets(), "orders", c.orders.most)
	for _, f := range c.forwarders {
		f.done = ctx.Done()
		duty("forwarding of reports", f.run)
	}
	duty("users and workers", c.serve)
	duty("peer calls", func(ctx context.Context) error { return peerrpc.Serve(ctx, c.net, c.settings.MeshAddr, c) })
	duty("cluster watch", func(ctx context.Context) error {
		follow(ctx, c.store, records.ClusterPrefix, c.cluster.reset, func(e wire.Event) {
			if e.Delete != "" {
				c.cluster.apply(e.Delete, nil, e.Revision, true)
			} else {
				c.cluster.apply(e.Put, e.Value, e.Revision, false)
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
	hold := c.lease
	for _, o := range c.owned {
		o.cancel()
	}
	c.mu.Unlock()
	if hold != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), tuning.Seconds(c.tuning.StateTimeoutS))
		defer cancel()
		_ = c.store.EndLease(ctx, hold)
	}
	slog.Info("stopped", "node", c.settings.Node)
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
		owned := c.ownedPartitions()
		c.mu.Unlock()
		for _, o := range owned {
			o.mu.Lock()
			if o.partition != nil {
				o.partition.SetMachineTypes(types)
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

// ownedPartitions lists the parts in order; c.mu must be held.
func (c *Controller) ownedPartitions() []*ownedPartition {
	out := make([]*ownedPartition, 0, len(c.owned))
	for i := 0; i < c.partitions; i++ {
		if o := c.owned[i]; o != nil {
			out = append(out, o)
		}
	}
	return out
}

func (c *Controller) ownedPartition(i int) *ownedPartition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owned[i]
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// LocalJobCounts counts the tasks of a job that this node runs.
func (c *Controller) LocalJobCounts(jobID string) peerrpc.JobCounts {
	c.mu.Lock()
	all := c.ownedPartitions()
	c.mu.Unlock()
	for _, o := range all {
		o.mu.Lock()
		var counts peerrpc.JobCounts
		if o.partition != nil {
			counts.Done, counts.Running, counts.Known = o.partition.JobCounts(jobID)
		}
		o.mu.Unlock()
		if counts.Known {
			return counts
		}
	}
	return peerrpc.JobCounts{}
}

// SinceContact is the time since the state service last served this node.
func (c *Controller) SinceContact() time.Duration { return c.store.SinceContact() }

// learn notes where a machine can be reached. Of machines without a record nothing is
// kept: the cloud's list goes on to show those that were returned, and what it tells of
// them would stay for ever.
func (c *Controller) learn(id, addr string) {
	if _, known := c.cluster.machine(id); !known || addr == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addrs[id] = addr
}

// addr tells where a machine can be reached; "" if that is not known yet.
func (c *Controller) addr(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrs[id]
}

func (c *Controller) machineChanged(id string, e machineEntry, gone bool) {
	c.mu.Lock()
	all := c.ownedPartitions()
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
		all := c.ownedPartitions()
		finals := len(c.finals)
		c.mu.Unlock()
		args := []any{"heap_mb", ms.HeapAlloc >> 20, "sys_mb", ms.Sys >> 20, "goroutines", runtime.NumGoroutine(),
			"state_ok", ok, "state_refused", refused, "state_unknown", unknown, "final_jobs_cached", finals}
		for _, o := range all {
			o.mu.Lock()
			if o.partition != nil {
				args = append(args, "part", o.index, "jobs", o.partition.JobCount(), "machines", len(o.partition.MachineIDs()), "started", o.partition.Started,
					"finished", o.partition.Finished, "requeued", o.partition.Requeued, "preempted", o.partition.Preempted, "moved", o.partition.Moved, "gathered", o.partition.GangReservations, "incomplete", o.partition.GangTimeouts, "journaled", o.partition.JournalRecords, "folded", o.partition.Compactions)
			}
			o.mu.Unlock()
		}
		slog.Info("counters", args...)
	}
	return nil
}
