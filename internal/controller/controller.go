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

	"ambersill/internal/agentclient"
	"ambersill/internal/cloud"
	"ambersill/internal/config"
	"ambersill/internal/kvstore"
	"ambersill/internal/peerrpc"
	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// Controller is one node.
type Controller struct {
	settings     *config.Settings
	net          transport.Net
	tuning       tuning.Tuning
	store        *kvstore.Client
	cloud        *cloud.Client
	workers      *agentclient.Client
	commandSlots *commandSlots
	cluster      *clusterCache
	peers        map[string]*peerrpc.Peer
	partitions   int
	// limits are those of the state service that all that is written keeps to.
	limits config.StateLimits
	// supportedLevel is the feature level that this node says it knows.
	supportedLevel records.FeatureLevel
	// forwarders pass workers' reports on, by the node that they go to.
	forwarders map[string]*forwarder
	// announcementSlots holds a place for each cancellation that an owner is told of.
	announcementSlots chan struct{}

	mu           sync.Mutex
	machineTypes []wire.MachineType
	owned        map[int]*ownedPartition
	leaseID      uint64
	leaseExpiry  time.Time // until then the lease lasts for sure, whatever becomes of contact
	leading      bool
	finalJobs    *finalJobCache
	addresses    map[string]string // where machines can be reached, by their reports or the list
	visits       map[string]visit  // workers that report here but are assigned to other nodes, by machine
	claimBackoff map[int]time.Time // parts not to be claimed again at once
}

// New makes a controller that has not started yet.
func New(settings *config.Settings, tunables tuning.Tuning, network transport.Net) *Controller {
	st := settings.WriteLimits()
	c := &Controller{
		settings: settings, limits: st, supportedLevel: records.CurrentFeatureLevel, tuning: tunables, net: network, cluster: newClusterCache(), peers: map[string]*peerrpc.Peer{}, partitions: tunables.Parts,
		owned: map[int]*ownedPartition{}, finalJobs: newFinalJobCache(tunables.FinalCache), addresses: map[string]string{}, visits: map[string]visit{}, forwarders: map[string]*forwarder{}, claimBackoff: map[int]time.Time{},
		store:        kvstore.New(kvstore.Options{Net: network, Addr: settings.Outside.State, Timeout: tuning.Seconds(tunables.StateTimeoutS), ReadRate: st.RPS, WriteRate: st.WriteRPS}),
		cloud:        cloud.New(network, settings.Outside.Cloud, settings.Cluster.Cloud.RPS),
		workers:      agentclient.New(network, tuning.Seconds(settings.Cluster.Workers.ReportS)),
		commandSlots: newCommandSlots(settings.Cluster.Limits.MaxSockets), announcementSlots: make(chan struct{}, maxAnnouncements),
	}
	if c.partitions == 0 {
		c.partitions = settings.Cluster.Count
	}
	for _, m := range settings.Members {
		c.peers[m.Node] = &peerrpc.Peer{Member: m, Net: network}
		c.forwarders[m.Node] = newForwarder(&peerrpc.Peer{Member: m, Net: network})
	}
	c.cluster.onMachine = c.machineChanged
	c.cluster.onOwner = c.ownerChanged
	c.cluster.onLevel = c.levelRaised
	c.updateRateShare()
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
	slog.Info("starting", "node", c.settings.Node, "parts", c.partitions, "public_sockets", c.publicSockets(), "orders", c.commandSlots.limit)
	for _, forwarder := range c.forwarders {
		forwarder.done = ctx.Done()
		duty("forwarding of reports", forwarder.run)
	}
	duty("users and workers", c.serve)
	duty("peer calls", func(ctx context.Context) error { return peerrpc.Serve(ctx, c.net, c.settings.MeshAddr, c) })
	duty("cluster watch", func(ctx context.Context) error {
		watchPrefix(ctx, c.store, records.ClusterPrefix, c.cluster.watchHandler())
		return nil
	})
	duty("catalog", c.runCatalog)
	duty("membership", c.runMembership)
	duty("lead", c.runLeadership)
	duty("log", c.runCounters)
	<-ctx.Done()
	c.releaseLease()
	wg.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// releaseLease gives up all that is held, so that others need not wait for the lease.
func (c *Controller) releaseLease() {
	c.mu.Lock()
	leaseID := c.leaseID
	for _, owned := range c.owned {
		owned.cancel()
	}
	c.mu.Unlock()
	if leaseID != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), tuning.Seconds(c.tuning.StateTimeoutS))
		defer cancel()
		_ = c.store.RevokeLease(ctx, leaseID)
	}
	slog.Info("stopped", "node", c.settings.Node)
}

// runCatalog learns the machine types, and follows their prices.
func (c *Controller) runCatalog(ctx context.Context) error {
	for ctx.Err() == nil {
		types, err := c.cloud.Catalog(ctx)
		if err != nil || len(types) == 0 {
			slog.Debug("catalog not read", "err", err)
			transport.Pause(ctx, time.Second)
			continue
		}
		c.mu.Lock()
		c.machineTypes = types
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
	return c.machineTypes
}

// ownedPartitions lists the parts in order; c.mu must be held.
func (c *Controller) ownedPartitions() []*ownedPartition {
	out := make([]*ownedPartition, 0, len(c.owned))
	for i := 0; i < c.partitions; i++ {
		if owned := c.owned[i]; owned != nil {
			out = append(out, owned)
		}
	}
	return out
}

// allOwnedPartitions lists the partitions in order.
func (c *Controller) allOwnedPartitions() []*ownedPartition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownedPartitions()
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

// recordAddress notes where a machine can be reached. Of machines without a record nothing is
// kept: the cloud's list goes on to show those that were returned, and what it tells of
// them would stay for ever.
func (c *Controller) recordAddress(id, addr string) {
	if _, known := c.cluster.machine(id); !known || addr == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses[id] = addr
}

// address tells where a machine can be reached; "" if that is not known yet.
func (c *Controller) address(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[id]
}

func (c *Controller) machineChanged(id string, entry machineEntry, gone bool) {
	c.mu.Lock()
	all := c.ownedPartitions()
	if gone {
		delete(c.addresses, id)
		delete(c.visits, id)
		c.commandSlots.forget(id)
	}
	c.mu.Unlock()
	for _, owned := range all {
		owned.machineChanged(id, entry, gone)
		owned.wakeUp()
	}
}

// runCounters writes a line of counters now and then.
func (c *Controller) runCounters(ctx context.Context) error {
	for ctx.Err() == nil {
		transport.Pause(ctx, 30*time.Second)
		var ms runtime.MemStats
		runtime.ReadMemStats(&ms)
		ok, refused, unknown := c.store.Counts()
		c.mu.Lock()
		all := c.ownedPartitions()
		c.mu.Unlock()
		args := []any{"heap_mb", ms.HeapAlloc >> 20, "sys_mb", ms.Sys >> 20, "goroutines", runtime.NumGoroutine(),
			"state_ok", ok, "state_refused", refused, "state_unknown", unknown, "final_jobs_cached", c.finalJobs.size()}
		for _, owned := range all {
			owned.mu.Lock()
			if owned.partition != nil {
				args = append(args, "part", owned.index, "jobs", owned.partition.JobCount(), "machines", len(owned.partition.MachineIDs()), "started", owned.partition.Counters.Started,
					"finished", owned.partition.Counters.Finished, "requeued", owned.partition.Counters.Requeued, "preempted", owned.partition.Counters.Preempted, "moved", owned.partition.Counters.Moved, "gathered", owned.partition.Counters.GangReservations, "incomplete", owned.partition.Counters.GangTimeouts, "journaled", owned.partition.Counters.JournalRecords, "folded", owned.partition.Counters.Compactions)
			}
			owned.mu.Unlock()
		}
		slog.Info("counters", args...)
	}
	return nil
}
