// Package controller implements a node of the control plane. A controller keeps a lease in the
// key-value store and claims partitions and leadership under it. It schedules the jobs of the
// partitions that it owns and, as the leader, sizes the fleet.
package controller

import (
	"context"
	"errors"
	"log/slog"
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
	"ambersill/internal/workerclient"
)

// Controller is one node of the control plane.
type Controller struct {
	// Settings. They do not change after New.
	settings       *config.Settings
	tuning         tuning.Tuning
	partitionCount int // number of partitions, the same on all nodes
	// limits are the limits of the key-value store that this node keeps to: the lower of the
	// present and the announced ones.
	limits config.StoreLimits
	// supportedFeatureLevel is the highest feature level that this node supports.
	supportedFeatureLevel records.FeatureLevel

	// Clients of other services. They are safe for concurrent use.
	net     transport.Net
	store   *kvstore.Client
	cloud   *cloud.Client
	workers *workerclient.Client

	// Clients of the other nodes, by node name. The maps do not change after New.
	peers map[string]*peerrpc.Peer
	// forwarders forward heartbeats, each to one node.
	forwarders map[string]*forwarder

	// State that is safe for concurrent use.
	cluster      *clusterCache
	finalJobs    *finalJobCache
	commandSlots *commandSlots
	// announcementSlots is a semaphore that limits concurrent announcements of cancellations.
	announcementSlots chan struct{}

	// mu guards the fields below. It is never held together with cluster.mu.
	mu             sync.Mutex
	machineTypes   []wire.MachineType // the cloud's catalog; empty until read
	owned          map[int]*ownedPartition
	leaseID        uint64    // 0 if there is no lease
	leaseExpiry    time.Time // the lease lasts at least until then, even without contact
	leading        bool
	addresses      map[string]string        // by machine ID, from heartbeats or the cloud's listing
	redirectStates map[string]redirectState // by machine ID: workers assigned to other nodes
}

// New returns a controller. Run starts it.
func New(settings *config.Settings, tunables tuning.Tuning, network transport.Net) *Controller {
	limits := settings.WriteLimits()
	c := &Controller{
		settings:              settings,
		tuning:                tunables,
		partitionCount:        tunables.Parts,
		limits:                limits,
		supportedFeatureLevel: records.CurrentFeatureLevel,

		net:     network,
		store:   newStoreClient(settings, tunables, network, limits),
		cloud:   cloud.New(network, settings.Endpoints.Cloud, settings.Cluster.Cloud.RequestsPerS),
		workers: workerclient.New(network, tuning.Seconds(settings.Cluster.WorkerTiming.HeartbeatIntervalS)),

		peers:      map[string]*peerrpc.Peer{},
		forwarders: map[string]*forwarder{},

		cluster:           newClusterCache(),
		finalJobs:         newFinalJobCache(tunables.FinalCache),
		commandSlots:      newCommandSlots(settings.Cluster.ControllerLimits.MaxSockets),
		announcementSlots: make(chan struct{}, maxAnnouncements),

		owned:          map[int]*ownedPartition{},
		addresses:      map[string]string{},
		redirectStates: map[string]redirectState{},
	}
	if c.partitionCount == 0 {
		c.partitionCount = settings.Cluster.ControllerCount
	}
	c.createPeerClients()
	c.cluster.onMachineChange = c.machineChanged
	c.cluster.onOwnerChange = c.ownerChanged
	c.cluster.onLevelChange = c.featureLevelRaised
	c.updateRateLimits()
	return c
}

func newStoreClient(
	settings *config.Settings, tunables tuning.Tuning, network transport.Net, limits config.StoreLimits,
) *kvstore.Client {
	return kvstore.New(kvstore.Options{
		Net:         network,
		Addr:        settings.Endpoints.Store,
		Timeout:     tuning.Seconds(tunables.StateTimeoutS),
		RequestRate: limits.RequestsPerS,
		WriteRate:   limits.WritesPerS,
	})
}

// createPeerClients creates the clients of the other nodes. Each forwarder has its own
// connection, so that other calls cannot delay heartbeats.
func (c *Controller) createPeerClients() {
	for _, member := range c.settings.Members {
		c.peers[member.Node] = &peerrpc.Peer{Member: member, Net: c.net}
		c.forwarders[member.Node] = newForwarder(&peerrpc.Peer{Member: member, Net: c.net})
	}
}

// backgroundTask is a function that runs in a goroutine until the controller stops. If it
// returns an error before that, the controller stops.
type backgroundTask struct {
	name string // for the log
	run  func(context.Context) error
}

// Run starts the background tasks and waits until the context ends or one of them fails. It
// then releases this node's partitions and lease, and returns the failed task's error, if any.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	slog.Info("controller starting", "node", c.settings.Node, "partitions", c.partitionCount,
		"public_sockets", c.publicSockets(), "command_slots", c.commandSlots.limit)
	for _, ignored := range c.settings.IgnoredKeys {
		slog.Warn("key of the settings file ignored", "key", ignored.Key, "setting", ignored.Setting)
	}
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
	c.releaseOwnership(context.WithoutCancel(ctx))
	running.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// backgroundTasks returns the controller's tasks in the order in which they are started.
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
	return peerrpc.Serve(ctx, c.net, c.settings.PeerAddr, c)
}

func (c *Controller) watchCluster(ctx context.Context) error {
	watchPrefix(ctx, c.store, records.ClusterPrefix, c.cluster.watchHandler())
	return nil
}

// releaseOwnership stops the scheduling of all owned partitions and revokes the lease, so that
// other nodes can take over without waiting for the lease to expire.
func (c *Controller) releaseOwnership(ctx context.Context) {
	c.mu.Lock()
	leaseID := c.leaseID
	for _, owned := range c.owned {
		owned.cancel()
	}
	c.mu.Unlock()
	if leaseID != 0 {
		ctx, cancel := context.WithTimeout(ctx, tuning.Seconds(c.tuning.StateTimeoutS))
		defer cancel()
		// An error needs no handling, because the lease expires.
		_ = c.store.RevokeLease(ctx, leaseID)
	}
	slog.Info("controller stopped", "node", c.settings.Node)
}

// ownedPartitions returns the partitions that this node owns, in ascending order.
func (c *Controller) ownedPartitions() []*ownedPartition {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*ownedPartition, 0, len(c.owned))
	for partition := range c.partitionCount {
		if owned := c.owned[partition]; owned != nil {
			all = append(all, owned)
		}
	}
	return all
}

// ownedPartition returns a partition that this node owns, or nil if it does not own it.
func (c *Controller) ownedPartition(partition int) *ownedPartition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owned[partition]
}
