package controller

import (
	"context"
	"errors"
	"log/slog"

	"ambersill/internal/kvstore"
	"ambersill/internal/records"
	"ambersill/internal/scheduler"
	"ambersill/internal/wire"
)

// levelRaised passes a new feature level on to the owned partitions.
func (c *Controller) levelRaised(level records.FeatureLevel) {
	slog.Info("feature level", "level", level)
	for _, owned := range c.ownedPartitions() {
		owned.withLoadedPartition(func(partition *scheduler.Partition) { partition.SetLevel(level) })
	}
}

// raiseLevel raises the feature level once every configured node is live and supports the
// higher one. The commit compares the revision of each node's record, so that it fails if
// one has come back with an older program meanwhile.
func (l *leader) raiseLevel(ctx context.Context) {
	compares, ready := l.controller.cluster.readyFor(records.CurrentFeatureLevel, l.controller.memberNames())
	if !ready {
		return
	}
	compares = compares[:min(len(compares), l.maxCompares())]
	level := records.LevelRecord{Level: records.CurrentFeatureLevel}
	writes := []wire.Write{{Put: records.FeatureLevelKey, Value: level}}
	if err := l.commit(ctx, compares, writes); err != nil {
		slog.Debug("feature level not raised", "err", err)
	}
}

// refreshFeatureLevel reads the feature level: a cache that is behind must not make a partition
// write formats that are too large by now.
func (c *Controller) refreshFeatureLevel(ctx context.Context) error {
	item, err := c.store.Get(ctx, records.FeatureLevelKey)
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	c.cluster.apply(keyChange{key: records.FeatureLevelKey, value: item.Value, revision: item.Revision})
	return nil
}

// comparesPerWrite is how many compares of a transaction the key-value store allows for each
// write that it allows.
const comparesPerWrite = 4

// maxCompares returns how many compares a transaction may have beside the leader's fence. In
// a cluster of more nodes, the cache alone decides about the rest.
func (l *leader) maxCompares() int { return comparesPerWrite*l.controller.limits.TxnOps - 1 }

// memberNames returns the names of all configured nodes.
func (c *Controller) memberNames() []string {
	names := []string{c.settings.Node}
	for _, member := range c.settings.Members {
		names = append(names, member.Node)
	}
	return names
}

// readyFor reports whether the feature level is below the given one and all nodes named are
// live and support it, and returns the compares under which that still holds.
func (c *clusterCache) readyFor(level records.FeatureLevel, names []string) ([]wire.Compare, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.level >= level {
		return nil, false
	}
	var compares []wire.Compare
	for _, name := range names {
		node, live := c.nodes[name]
		if !live || node.featureLevel < level {
			return nil, false
		}
		compares = append(compares, wire.Compare{Key: records.NodePrefix + name, Revision: node.revision})
	}
	return compares, true
}

// divideGroups divides one group of machines that exceeds the size limit, so that all are
// small before one has to change.
func (l *leader) divideGroups(ctx context.Context) {
	machines := l.controller.cluster.machinesOfOversizedGroups(l.controller.groupLimit())
	if len(machines) == 0 {
		return
	}
	id := machines[0]
	entry, ok := l.controller.cluster.machine(id)
	if !ok {
		return
	}
	// Rewriting any of its machines, if unchanged, divides the group.
	changes := map[string]*records.MachineRecord{id: &entry.record}
	if err := l.controller.rewriteMachines(ctx, l.fence(), changes); err != nil {
		slog.Debug("group of machines not divided", "err", err)
	}
}
