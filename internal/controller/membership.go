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
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// updateRateShare sets this node's part of the state service's limits: an equal base for
// users' requests, and the rest by the parts it owns. The leader may use more in
// the moments when it records many rentals: at its base share alone, those of a
// fleet that starts from nothing took 13 s on a service of 25 changes a second.
func (c *Controller) updateRateShare() {
	st := c.limits
	n := float64(c.settings.Cluster.Count)
	c.mu.Lock()
	f := tuning.BaseShare/n + (1-tuning.BaseShare)*float64(len(c.owned))/float64(c.partitions)
	if c.leading {
		f = min(1, f+c.tuning.LeaderShare)
	}
	c.mu.Unlock()
	f *= 1 - c.tuning.ShareReserve
	c.store.SetRateLimits(st.RPS*f, st.WriteRPS*f)
}

// runMembership keeps the node's lease, and claims parts that nobody owns.
func (c *Controller) runMembership(ctx context.Context) error {
	every := tuning.Seconds(c.tuning.HoldS / 4)
	var extended time.Time // when the last renewal that was answered was sent
	away, entered := false, false
	for ctx.Err() == nil {
		if d := c.store.SinceContact(); away != (d > tuning.Seconds(c.tuning.FreshS)) {
			away = !away
			slog.Info("contact to the state service", "lost", away, "since_s", d.Seconds())
		}
		if c.leaseID == 0 {
			asked := time.Now()
			h, err := c.store.GrantLease(ctx, tuning.Seconds(c.tuning.HoldS))
			if err != nil {
				transport.Pause(ctx, 300*time.Millisecond)
				continue
			}
			extended, entered = asked, false
			c.setLease(h, asked)
		}
		if !entered {
			entered = c.registerNode(ctx)
		}
		if time.Since(extended) >= every {
			asked := time.Now()
			err := c.store.RenewLease(ctx, c.leaseID)
			switch {
			case err == nil:
				extended = asked
				c.setLease(c.leaseID, asked)
			case errors.Is(err, kvstore.ErrNotFound):
				// The hold ran out: whatever was attached to it is gone, and others
				// may own it by now.
				slog.Info("lease lost", "lease", c.leaseID)
				c.setLease(0, asked)
				c.releaseAllPartitions()
				continue
			default:
				slog.Debug("lease not renewed", "err", err)
				transport.Pause(ctx, 200*time.Millisecond)
				continue
			}
		}
		c.claimPartitions(ctx)
		wait := c.cluster.changes()
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

// registerNode writes what this node says of itself under its lease. Without an answer it is
// written again, which changes nothing.
func (c *Controller) registerNode(ctx context.Context) bool {
	record := records.NodeRecord{Node: c.settings.Node, Level: c.supportedLevel}
	put := wire.Write{Put: records.NodePrefix + c.settings.Node, Value: record, LeaseID: c.currentLease()}
	_, err := c.store.Commit(ctx, wire.Txn{Writes: []wire.Write{put}})
	if err != nil {
		slog.Debug("node not entered", "err", err)
	}
	return err == nil
}

// setLease notes the lease, and that it was granted or renewed at the earliest when that
// was asked for.
func (c *Controller) setLease(h uint64, asked time.Time) {
	c.mu.Lock()
	c.leaseID, c.leaseExpiry = h, asked.Add(tuning.Seconds(c.tuning.HoldS*(1-c.tuning.Drift)))
	c.mu.Unlock()
}

// leaseHeld tells whether nothing under the given lease can be another's by now.
func (c *Controller) leaseHeld(leaseID uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaseID == leaseID && time.Now().Before(c.leaseExpiry)
}

func (c *Controller) currentLease() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaseID
}

// claimPartitions takes parts without an owner: those that fall to this node at
// once, others if nobody else takes them.
func (c *Controller) claimPartitions(ctx context.Context) {
	if len(c.catalog()) == 0 {
		return
	}
	c.cluster.mu.Lock()
	loaded := c.cluster.loaded
	owners := map[int]ownership{}
	counts := map[string]int{}
	for i := 0; i < c.partitions; i++ {
		owners[i] = c.cluster.partitions[i]
		counts[owners[i].node]++
	}
	nodes := len(c.cluster.nodes)
	c.cluster.mu.Unlock()
	if !loaded {
		return
	}
	for i := 0; i < c.partitions; i++ {
		owner := owners[i]
		mine := c.ownedPartition(i)
		if owner.node == c.settings.Node && mine == nil {
			// Left by an earlier process of this node, which is gone for sure.
			c.claim(ctx, i, owner.revision, false)
			continue
		}
		if owner.node != "" || mine != nil {
			continue
		}
		c.mu.Lock()
		rest := c.claimBackoff[i]
		c.mu.Unlock()
		if time.Now().Before(rest) {
			continue
		}
		fair := (c.partitions + max(nodes, 1) - 1) / max(nodes, 1)
		if counts[c.settings.Node] >= fair {
			transport.Pause(ctx, time.Second)
			if c.cluster.partitionOwner(i).node != "" {
				continue
			}
		}
		c.claim(ctx, i, 0, true)
		counts[c.settings.Node]++
	}
}

func (c *Controller) claim(ctx context.Context, partition int, revision uint64, fresh bool) {
	leaseID := c.currentLease()
	if leaseID == 0 {
		return
	}
	key := records.PartitionKey(partition)
	revision, err := c.store.Commit(ctx, wire.Txn{
		Compares: []wire.Compare{{Key: key, Revision: revision}},
		Writes:   []wire.Write{{Put: key, Value: records.OwnerRecord{Node: c.settings.Node}, LeaseID: leaseID}},
	})
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		// It may have been carried out: the key tells.
		item, gerr := c.store.Get(ctx, key)
		if gerr != nil || item.LeaseID != leaseID {
			return
		}
		revision, err = item.Revision, nil
	}
	if err != nil {
		slog.Debug("part not claimed", "part", partition, "err", err)
		if !fresh {
			// The copy may lag behind; look again.
			if item, gerr := c.store.Get(ctx, key); gerr == nil {
				c.cluster.apply(key, item.Value, item.Revision, false)
			}
		}
		return
	}
	slog.Info("part claimed", "part", partition, "stamp", revision)
	ctx, cancel := context.WithCancel(ctx)
	owned := c.newOwnedPartition(partition, revision, cancel)
	c.mu.Lock()
	c.owned[partition] = owned
	c.mu.Unlock()
	c.updateRateShare()
	c.cluster.apply(key, must(wire.Marshal(records.OwnerRecord{Node: c.settings.Node})), revision, false)
	if owner := c.cluster.partitionOwner(partition); owner.revision > revision {
		// The hold ran out on the way, and the news of the next owner came before the
		// answer: nothing would drop the part that was not there yet.
		c.releasePartition(owned, "owned by "+owner.node)
		return
	}
	go owned.run(ctx)
	for _, peer := range c.peers {
		go func() {
			_ = peer.AnnounceClaim(peerrpc.OwnershipClaim{Partition: partition, Revision: revision, Node: c.settings.Node}, 2*time.Second)
		}()
	}
}

// releasePartition drops a part that this node no longer owns.
func (c *Controller) releasePartition(owned *ownedPartition, why string) {
	c.mu.Lock()
	if c.owned[owned.index] != owned {
		c.mu.Unlock()
		return
	}
	delete(c.owned, owned.index)
	c.mu.Unlock()
	owned.cancel()
	c.updateRateShare()
	slog.Info("part given up", "part", owned.index, "why", why)
}

func (c *Controller) releaseAllPartitions() {
	c.mu.Lock()
	all := c.ownedPartitions()
	c.mu.Unlock()
	for _, owned := range all {
		c.releasePartition(owned, "lease lost")
	}
}

// ownerChanged drops a part whose key shows another owner, or another claim.
func (c *Controller) ownerChanged(partition int, owner ownership) {
	if owned := c.ownedPartition(partition); owned != nil && owner.revision > owned.revision {
		c.releasePartition(owned, "owned by "+owner.node)
	}
}

// PartitionClaimed takes in a peer's hint that it owns a partition.
func (c *Controller) PartitionClaimed(claim peerrpc.OwnershipClaim) {
	if claim.Partition < 0 || claim.Partition >= c.partitions {
		return
	}
	value, err := wire.Marshal(records.OwnerRecord{Node: claim.Node})
	if err != nil {
		return
	}
	c.cluster.apply(records.PartitionKey(claim.Partition), value, claim.Revision, false)
}
