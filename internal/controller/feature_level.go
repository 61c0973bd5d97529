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

// featureLevelRaised passes a new feature level on to the owned partitions that are loaded.
func (c *Controller) featureLevelRaised(level records.FeatureLevel) {
	slog.Info("feature level raised", "level", level)
	for _, owned := range c.ownedPartitions() {
		owned.withLoadedPartition(func(partition *scheduler.Partition) { partition.RaiseLevel(level) })
	}
}

// raiseFeatureLevel raises the cluster's feature level to CurrentFeatureLevel if every
// configured node is live and supports it. The commit compares the revisions of the nodes'
// records, so that it fails if a node has been restarted with an older program in the
// meantime.
func (l *leader) raiseFeatureLevel(ctx context.Context) {
	compares, ready := l.controller.cluster.readyForLevel(records.CurrentFeatureLevel, l.controller.configuredNodeNames())
	if !ready {
		return
	}
	compares = compares[:min(len(compares), l.maxCompares())]
	level := records.LevelRecord{Level: records.CurrentFeatureLevel}
	writes := []wire.Write{{Put: records.FeatureLevelKey, Value: level}}
	if err := l.commit(ctx, compares, writes); err != nil {
		slog.Debug("raising feature level failed", "err", err)
	}
}

// refreshFeatureLevel reads the feature level from the key-value store into the cluster cache.
// With an outdated level, a partition could write records in an earlier format that are too
// large at the current level.
func (c *Controller) refreshFeatureLevel(ctx context.Context) error {
	item, err := c.store.Get(ctx, records.FeatureLevelKey)
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	c.cluster.applyChange(keyChange{key: records.FeatureLevelKey, value: item.Value, revision: item.Revision})
	return nil
}

// comparesPerWrite is the ratio between the maximum number of compares in a transaction and
// the maximum number of writes, as the key-value store limits them.
const comparesPerWrite = 4

// maxCompares returns the maximum number of compares in a transaction besides the leader's
// fence. In a cluster with more nodes than that, the remaining nodes' records are checked in
// the cache only.
func (l *leader) maxCompares() int { return comparesPerWrite*l.controller.limits.MaxTxnWrites - 1 }

// configuredNodeNames returns the names of this node and of all other members in the settings.
func (c *Controller) configuredNodeNames() []string {
	names := []string{c.settings.Node}
	for _, member := range c.settings.Members {
		names = append(names, member.Node)
	}
	return names
}

// readyForLevel reports whether the cluster's feature level is below the given level and all
// named nodes are live and support the given level. The returned compares fail if the record
// of a node has changed since.
func (c *clusterCache) readyForLevel(level records.FeatureLevel, names []string) ([]wire.Compare, bool) {
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

// splitOversizedGroup splits one machine group that exceeds the size limit. It is called
// regularly, so that the groups are small before one of their machines changes.
func (l *leader) splitOversizedGroup(ctx context.Context) {
	machines := l.controller.cluster.machinesOfOversizedGroups(l.controller.maxGroupBytes())
	if len(machines) == 0 {
		return
	}
	id := machines[0]
	entry, ok := l.controller.cluster.machine(id)
	if !ok {
		return
	}
	// Writing any machine's record, even unchanged, splits the group.
	changes := map[string]*records.MachineRecord{id: &entry.record}
	if err := l.controller.commitMachineRecords(ctx, l.fence(), changes); err != nil {
		slog.Debug("splitting oversized machine group failed", "err", err)
	}
}
