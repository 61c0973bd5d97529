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
	// overflowClaimDelay is how long a node that owns its fair share of partitions leaves
	// one without an owner to the other nodes.
	overflowClaimDelay = time.Second
	// claimAnnouncementTimeout bounds the call that announces a claim to a peer.
	claimAnnouncementTimeout = 2 * time.Second
)

// Reasons for releasing a partition, as they are logged.
const (
	releasedLeaseLost  = "lease lost"
	releasedSuperseded = "a worker has seen a higher fencing token"
	releasedKeyChanged = "its key has another revision"
)

// errNoLease: nothing can be claimed without a lease.
var errNoLease = errors.New("no lease")

// partitionOwners is a snapshot of who owns the partitions.
type partitionOwners struct {
	owners    []ownership // by partition
	liveNodes int
}

// ownedBy returns the number of partitions that a node owns.
func (p partitionOwners) ownedBy(node string) int {
	count := 0
	for _, owner := range p.owners {
		if owner.node == node {
			count++
		}
	}
	return count
}

// fairShare returns the number of partitions that a node owns at least before it leaves
// others to the rest of the nodes.
func (p partitionOwners) fairShare() int {
	nodes := max(p.liveNodes, 1)
	return (len(p.owners) + nodes - 1) / nodes
}

// partitionOwners returns a snapshot of the owners of the given number of partitions. It
// returns false while the copy is being loaded.
func (c *clusterCache) partitionOwners(partitions int) (partitionOwners, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := partitionOwners{owners: make([]ownership, partitions), liveNodes: len(c.nodes)}
	for partition := range snapshot.owners {
		snapshot.owners[partition] = c.partitions[partition]
	}
	return snapshot, c.loaded
}

// claimPartitions claims partitions without an owner: up to this node's fair share at once,
// others if no other node claims them.
func (c *Controller) claimPartitions(ctx context.Context) {
	if len(c.catalog()) == 0 {
		return
	}
	snapshot, loaded := c.cluster.partitionOwners(c.partitionCount)
	if !loaded {
		return
	}
	ownCount, fairShare := snapshot.ownedBy(c.settings.Node), snapshot.fairShare()
	for partition, owner := range snapshot.owners {
		if c.ownedPartition(partition) != nil {
			continue
		}
		switch owner.node {
		case c.settings.Node:
			c.reclaimPartition(ctx, partition, owner.revision)
		case "":
			if ownCount >= fairShare && c.claimedByOther(ctx, partition) {
				continue
			}
			c.claimUnownedPartition(ctx, partition)
			ownCount++
		}
	}
}

// claimedByOther waits for the other nodes to claim a partition, and reports whether one did.
func (c *Controller) claimedByOther(ctx context.Context, partition int) bool {
	transport.Pause(ctx, overflowClaimDelay)
	return c.cluster.partitionOwner(partition).node != ""
}

// claimUnownedPartition claims a partition whose key does not exist.
func (c *Controller) claimUnownedPartition(ctx context.Context, partition int) {
	if err := c.claimPartition(ctx, partition, 0); err != nil {
		slog.Debug("partition not claimed", "partition", partition, "err", err)
	}
}

// reclaimPartition claims a partition whose key, at the revision, names this node. It was
// claimed by an earlier process of the node, which has surely ended.
func (c *Controller) reclaimPartition(ctx context.Context, partition int, revision uint64) {
	err := c.claimPartition(ctx, partition, revision)
	if err == nil {
		return
	}
	slog.Debug("partition not claimed", "partition", partition, "err", err)
	if errors.Is(err, errNoLease) || errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return
	}
	// The cache may be behind: without a reading of the key the next claim would be made
	// with the same revision.
	key := records.PartitionKey(partition)
	if item, err := c.store.Get(ctx, key); err == nil {
		c.cluster.applyChange(keyChange{key: key, value: item.Value, revision: item.Revision})
	}
}

// claimPartition claims a partition if its key has the revision, 0 if it does not exist, and
// starts to own it.
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

// startOwning runs a partition that was claimed at a revision, until the context ends or
// the partition is released.
func (c *Controller) startOwning(ctx context.Context, partition int, revision uint64) {
	ctx, cancel := context.WithCancel(ctx)
	owned := c.newOwnedPartition(partition, revision, cancel)
	c.mu.Lock()
	c.owned[partition] = owned
	c.mu.Unlock()
	c.updateRateShare()
	c.cluster.setPartitionOwner(partition, ownership{node: c.settings.Node, revision: revision})
	if owner := c.cluster.partitionOwner(partition); owner.revision > revision {
		// The lease expired meanwhile, and the next owner's claim was applied before this
		// one was answered: ownerChanged did not find the partition then.
		c.releasePartition(owned, ownedByReason(owner))
		return
	}
	go owned.run(ctx)
	c.announceClaim(peerrpc.OwnershipClaim{Partition: partition, Revision: revision, Node: c.settings.Node})
}

// announceClaim announces a claim to the other nodes, whose watches deliver it a little
// later.
func (c *Controller) announceClaim(claim peerrpc.OwnershipClaim) {
	for _, peer := range c.peers {
		go func() { _ = peer.AnnounceClaim(claim, claimAnnouncementTimeout) }()
	}
}

// PartitionClaimed handles a peer's announcement that it owns a partition.
func (c *Controller) PartitionClaimed(claim peerrpc.OwnershipClaim) {
	if claim.Partition < 0 || claim.Partition >= c.partitionCount {
		return
	}
	c.cluster.setPartitionOwner(claim.Partition, ownership{node: claim.Node, revision: claim.Revision})
}

// ownerChanged releases a partition whose key shows a later claim, of any node.
func (c *Controller) ownerChanged(partition int, owner ownership) {
	if owned := c.ownedPartition(partition); owned != nil && owner.revision > owned.revision {
		c.releasePartition(owned, ownedByReason(owner))
	}
}

// releasePartition ends the ownership of a partition, for the reason given. It does nothing
// if that was released before.
func (c *Controller) releasePartition(owned *ownedPartition, reason string) {
	c.mu.Lock()
	if c.owned[owned.index] != owned {
		c.mu.Unlock()
		return
	}
	delete(c.owned, owned.index)
	c.mu.Unlock()
	owned.cancel()
	c.updateRateShare()
	slog.Info("partition released", "partition", owned.index, "why", reason)
}

func (c *Controller) releaseAllPartitions() {
	for _, owned := range c.ownedPartitions() {
		c.releasePartition(owned, releasedLeaseLost)
	}
}

// ownedByReason is the reason logged for releasing a partition that has another owner.
func ownedByReason(owner ownership) string { return "owned by " + owner.node }
