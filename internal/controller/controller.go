// Package controller is one node of the control plane. It keeps this node's lease in the
// key-value store, claims partitions and leadership under it, and runs what it has claimed:
// the scheduling of its partitions' jobs, and the sizing of the fleet.
package controller

import (
	"context"
	"errors"
	"log/slog"
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
	// Settings, which do not change after New.
	settings   *config.Settings
	tuning     tuning.Tuning
	partitions int // number of partitions, the same on all nodes
	// limits are the key-value store's limits that all writes keep to.
	limits config.StateLimits
	// supportedLevel is the highest feature level that this node supports.
	supportedLevel records.FeatureLevel

	// Clients of other services, each with locks of its own.
	net     transport.Net
	store   *kvstore.Client
	cloud   *cloud.Client
	workers *agentclient.Client

	// Other nodes, by name; the maps do not change after New.
	peers map[string]*peerrpc.Peer
	// forwarders forward heartbeats, each to one other node.
	forwarders map[string]*forwarder

	// State with locks of its own.
	cluster      *clusterCache
	finalJobs    *finalJobCache
	commandSlots *commandSlots
	// announcementSlots is a semaphore for announcements of cancellations.
	announcementSlots chan struct{}

	// mu guards the fields below. It is never held together with cluster.mu.
	mu           sync.Mutex
	machineTypes []wire.MachineType // the cloud's catalog; empty until it is read
	owned        map[int]*ownedPartition
	leaseID      uint64    // 0 without a lease
	leaseExpiry  time.Time // until then the lease surely lasts, even without contact
	leading      bool
	addresses    map[string]string        // by machine, from heartbeats or the cloud's listing
	visits       map[string]redirectState // by machine: workers that are assigned to other nodes
}

// New returns a controller that has not started yet.
func New(settings *config.Settings, tunables tuning.Tuning, network transport.Net) *Controller {
	limits := settings.WriteLimits()
	c := &Controller{
		settings:       settings,
		tuning:         tunables,
		partitions:     tunables.Parts,
		limits:         limits,
		supportedLevel: records.CurrentFeatureLevel,

		net:     network,
		store:   newStoreClient(settings, tunables, network, limits),
		cloud:   cloud.New(network, settings.Outside.Cloud, settings.Cluster.Cloud.RPS),
		workers: agentclient.New(network, tuning.Seconds(settings.Cluster.Workers.ReportS)),

		peers:      map[string]*peerrpc.Peer{},
		forwarders: map[string]*forwarder{},

		cluster:           newClusterCache(),
		finalJobs:         newFinalJobCache(tunables.FinalCache),
		commandSlots:      newCommandSlots(settings.Cluster.Limits.MaxSockets),
		announcementSlots: make(chan struct{}, maxAnnouncements),

		owned:     map[int]*ownedPartition{},
		addresses: map[string]string{},
		visits:    map[string]redirectState{},
	}
	if c.partitions == 0 {
		c.partitions = settings.Cluster.Count
	}
	c.connectPeers()
	c.cluster.onMachine = c.machineChanged
	c.cluster.onOwner = c.ownerChanged
	c.cluster.onLevel = c.levelRaised
	c.updateRateLimits()
	return c
}

func newStoreClient(
	settings *config.Settings, tunables tuning.Tuning, network transport.Net, limits config.StateLimits,
) *kvstore.Client {
	return kvstore.New(kvstore.Options{
		Net:       network,
		Addr:      settings.Outside.State,
		Timeout:   tuning.Seconds(tunables.StateTimeoutS),
		ReadRate:  limits.RPS,
		WriteRate: limits.WriteRPS,
	})
}

// connectPeers makes the clients of the other nodes. Forwarders have a connection of their
// own each, which no other call can delay.
func (c *Controller) connectPeers() {
	for _, member := range c.settings.Members {
		c.peers[member.Node] = &peerrpc.Peer{Member: member, Net: c.net}
		c.forwarders[member.Node] = newForwarder(&peerrpc.Peer{Member: member, Net: c.net})
	}
}

// backgroundTask is a goroutine that runs for as long as the controller. If it returns an
// error before, the controller stops.
type backgroundTask struct {
	name string // as logged
	run  func(context.Context) error
}

// Run serves until the context ends, or until a background task fails; it returns that
// task's error.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	slog.Info("starting", "node", c.settings.Node, "partitions", c.partitions,
		"public_sockets", c.publicSockets(), "command_slots", c.commandSlots.limit)
	var running sync.WaitGroup
	for _, task := range c.backgroundTasks(ctx) {
		running.Go(func() {
			if err := task.run(ctx); err != nil && ctx.Err() == nil {
				slog.Error("background task failed", "task", task.name, "err", err)
				cancel(err)
			}
		})
	}
	<-ctx.Done()
	c.releaseAll(context.WithoutCancel(ctx))
	running.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// backgroundTasks returns the tasks in the order in which they are started.
func (c *Controller) backgroundTasks(ctx context.Context) []backgroundTask {
	var tasks []backgroundTask
	for _, forwarder := range c.forwarders {
		forwarder.done = ctx.Done()
		tasks = append(tasks, backgroundTask{"heartbeat forwarding", forwarder.run})
	}
	return append(tasks,
		backgroundTask{"public server", c.serve},
		backgroundTask{"peer server", c.servePeers},
		backgroundTask{"cluster watch", c.watchCluster},
		backgroundTask{"catalog", c.runCatalog},
		backgroundTask{"membership", c.runMembership},
		backgroundTask{"leadership", c.runLeadership},
		backgroundTask{"counters", c.logCounters},
	)
}

func (c *Controller) servePeers(ctx context.Context) error {
	return peerrpc.Serve(ctx, c.net, c.settings.MeshAddr, c)
}

func (c *Controller) watchCluster(ctx context.Context) error {
	watchPrefix(ctx, c.store, records.ClusterPrefix, c.cluster.watchHandler())
	return nil
}

// releaseAll stops the scheduling of all partitions and revokes the lease, so that other
// nodes can take over without waiting for its expiry.
func (c *Controller) releaseAll(ctx context.Context) {
	c.mu.Lock()
	leaseID := c.leaseID
	for _, owned := range c.owned {
		owned.cancel()
	}
	c.mu.Unlock()
	if leaseID != 0 {
		ctx, cancel := context.WithTimeout(ctx, tuning.Seconds(c.tuning.StateTimeoutS))
		defer cancel()
		// If it fails, the lease expires.
		_ = c.store.RevokeLease(ctx, leaseID)
	}
	slog.Info("stopped", "node", c.settings.Node)
}

// ownedPartitions lists the partitions that this node owns in order.
func (c *Controller) ownedPartitions() []*ownedPartition {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*ownedPartition, 0, len(c.owned))
	for partition := range c.partitions {
		if owned := c.owned[partition]; owned != nil {
			all = append(all, owned)
		}
	}
	return all
}

// ownedPartition returns a partition that this node owns, nil if it does not own it.
func (c *Controller) ownedPartition(partition int) *ownedPartition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owned[partition]
}
