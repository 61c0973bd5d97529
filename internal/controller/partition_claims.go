package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ambersill/internal/kvstore"
	"ambersill/internal/peerrpc"
	"ambersill/internal/records"
	"ambersill/internal/transport"
)

const (
	// claimDelayAboveFairShare is how long a node that already owns its fair share of
	// partitions waits for other nodes to claim a partition without an owner.
	claimDelayAboveFairShare = time.Second
	// claimAnnouncementTimeout bounds the call that announces a claim to a peer.
	claimAnnouncementTimeout = 2 * time.Second
)

// Values of the log attribute "why" for a released partition.
const (
	releasedLeaseLost  = "lease lost"
	releasedSuperseded = "a worker has seen a higher fencing token"
	releasedKeyChanged = "its key has another revision"
)

// errNoLease is returned for a claim that is attempted while the node has no lease.
var errNoLease = errors.New("node has no lease")

// partitionOwners is a snapshot of the owners of all partitions.
type partitionOwners struct {
	owners    []ownership // by partition
	liveNodes int
}

// countOwnedBy returns the number of partitions that a node owns.
func (p partitionOwners) countOwnedBy(node string) int {
	count := 0
	for _, owner := range p.owners {
		if owner.node == node {
			count++
		}
	}
	return count
}

// fairShare returns the number of partitions per live node, rounded up. A node that owns
// fewer claims partitions without delay.
func (p partitionOwners) fairShare() int {
	nodes := max(p.liveNodes, 1)
	return (len(p.owners) + nodes - 1) / nodes
}

// partitionOwners returns a snapshot of the owners of partitions 0 to partitions-1, and
// whether the cache has loaded the cluster's keys.
func (c *clusterCache) partitionOwners(partitions int) (partitionOwners, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := partitionOwners{owners: make([]ownership, partitions), liveNodes: len(c.nodes)}
	for partition := range snapshot.owners {
		snapshot.owners[partition] = c.partitions[partition]
	}
	return snapshot, c.loaded
}

// claimPartitions claims partitions without an owner. It claims up to this node's fair share
// at once, and further partitions if no other node claims them within
// claimDelayAboveFairShare.
func (c *Controller) claimPartitions(ctx context.Context) {
	if len(c.catalog()) == 0 {
		return
	}
	snapshot, loaded := c.cluster.partitionOwners(c.partitionCount)
	if !loaded {
		return
	}
	ownedCount, fairShare := snapshot.countOwnedBy(c.settings.Node), snapshot.fairShare()
	for partition, owner := range snapshot.owners {
		if c.ownedPartition(partition) != nil {
			continue
		}
		switch owner.node {
		case c.settings.Node:
			c.reclaimPartition(ctx, partition, owner.revision)
		case "":
			if ownedCount >= fairShare && c.waitForOtherClaim(ctx, partition) {
				continue
			}
			c.claimUnownedPartition(ctx, partition)
			ownedCount++
		}
	}
}

// waitForOtherClaim waits for claimDelayAboveFairShare and then reports whether another node
// has claimed the partition.
func (c *Controller) waitForOtherClaim(ctx context.Context, partition int) bool {
	transport.Pause(ctx, claimDelayAboveFairShare)
	return c.cluster.partitionOwner(partition).node != ""
}

// claimUnownedPartition claims a partition whose key does not exist.
func (c *Controller) claimUnownedPartition(ctx context.Context, partition int) {
	if err := c.claimPartition(ctx, partition, 0); err != nil {
		slog.Debug("claiming partition failed", "partition", partition, "err", err)
	}
}

// reclaimPartition claims a partition whose key already names this node at the given
// revision. An earlier process of this node claimed it and can no longer be running.
func (c *Controller) reclaimPartition(ctx context.Context, partition int, revision uint64) {
	err := c.claimPartition(ctx, partition, revision)
	if err == nil {
		return
	}
	slog.Debug("claiming partition failed", "partition", partition, "err", err)
	if errors.Is(err, errNoLease) || errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return
	}
	// The cache may be out of date. Unless the key is read again, the next attempt would
	// use the same revision and fail again.
	key := records.PartitionKey(partition)
	if item, err := c.store.Get(ctx, key); err == nil {
		c.cluster.applyChange(keyChange{key: key, value: item.Value, revision: item.Revision})
	}
}

// claimPartition claims a partition on the condition that its key has the given revision, or
// does not exist if the revision is 0, and then starts to run the partition.
func (c *Controller) claimPartition(ctx context.Context, partition int, revision uint64) error {
	leaseID := c.currentLease()
	if leaseID == 0 {
		return errNoLease
	}
	revision, err := c.claimKey(ctx, records.PartitionKey(partition), revision, leaseID)
	if err != nil {
		return err
	}
	slog.Info("partition claimed", "partition", partition, "revision", revision)
	c.startOwning(ctx, partition, revision)
	return nil
}

// startOwning starts to run a partition that this node has claimed at the given revision. The
// partition runs until the context ends or the partition is released.
func (c *Controller) startOwning(ctx context.Context, partition int, revision uint64) {
	ctx, cancel := context.WithCancel(ctx)
	owned := c.newOwnedPartition(partition, revision, cancel)
	c.mu.Lock()
	c.owned[partition] = owned
	c.mu.Unlock()
	c.updateRateLimits()
	c.cluster.setPartitionOwner(partition, ownership{node: c.settings.Node, revision: revision})
	if owner := c.cluster.partitionOwner(partition); owner.revision > revision {
		// The lease expired during the claim, and the next owner's claim was applied to the
		// cache before the response to this one arrived. ownerChanged did not find the
		// partition then, so it is released here.
		c.releasePartition(owned, ownedByReason(owner))
		return
	}
	go owned.run(ctx)
	c.announceClaim(peerrpc.OwnershipClaim{Partition: partition, Revision: revision, Node: c.settings.Node})
}

// announceClaim notifies the other nodes of a claim before their watches deliver it. Errors are
// ignored, since the watches deliver the claim in any case.
func (c *Controller) announceClaim(claim peerrpc.OwnershipClaim) {
	for _, peer := range c.peers {
		go func() { _ = peer.AnnounceClaim(claim, claimAnnouncementTimeout) }()
	}
}

// HandleClaim handles a peer's announcement that it owns a partition.
func (c *Controller) HandleClaim(claim peerrpc.OwnershipClaim) {
	if claim.Partition < 0 || claim.Partition >= c.partitionCount {
		return
	}
	c.cluster.setPartitionOwner(claim.Partition, ownership{node: claim.Node, revision: claim.Revision})
}

// ownerChanged releases a partition if its key shows a later claim, by any node.
func (c *Controller) ownerChanged(partition int, owner ownership) {
	if owned := c.ownedPartition(partition); owned != nil && owner.revision > owned.revision {
		c.releasePartition(owned, ownedByReason(owner))
	}
}

// releasePartition stops running a partition and logs the reason. It does nothing if the
// partition was already released.
func (c *Controller) releasePartition(owned *ownedPartition, reason string) {
	c.mu.Lock()
	if c.owned[owned.index] != owned {
		c.mu.Unlock()
		return
	}
	delete(c.owned, owned.index)
	c.mu.Unlock()
	owned.cancel()
	c.updateRateLimits()
	slog.Info("partition released", "partition", owned.index, "why", reason)
}

func (c *Controller) releaseAllPartitions() {
	for _, owned := range c.ownedPartitions() {
		c.releasePartition(owned, releasedLeaseLost)
	}
}

// ownedByReason returns the reason to log when a partition is released to another owner.
func ownedByReason(owner ownership) string { return "owned by " + owner.node }
