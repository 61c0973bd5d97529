package controller

import (
	"context"
	"errors"
	"log/slog"

	"ambersill/internal/kvstore"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// levelRaised tells the owned partitions of a new feature level.
func (c *Controller) levelRaised(level records.FeatureLevel) {
	slog.Info("feature level", "level", level)
	c.mu.Lock()
	owned := c.ownedPartitions()
	c.mu.Unlock()
	for _, o := range owned {
		o.mu.Lock()
		if o.partition != nil {
			o.partition.SetLevel(level)
		}
		o.mu.Unlock()
	}
}

// raiseLevel raises the feature level once every configured node lives and knows the
// higher one. The commit names what each node's record says, so that one that has come
// back with an older program meanwhile makes it fail.
func (l *leader) raiseLevel(ctx context.Context) {
	conds, ready := l.controller.cluster.readyFor(records.CurrentFeatureLevel, l.controller.memberNames())
	if !ready {
		return
	}
	conds = conds[:min(len(conds), l.maxConditions())]
	put := wire.Write{Put: records.FeatureLevelKey, Value: records.LevelRecord{Level: records.CurrentFeatureLevel}}
	revision, err := l.commit(ctx, conds, []wire.Write{put})
	if err != nil {
		slog.Debug("feature level not raised", "err", err)
		return
	}
	l.controller.cluster.apply(records.FeatureLevelKey, must(wire.Marshal(put.Value)), revision, false)
}

// refreshFeatureLevel reads the feature level: a copy that is behind must not keep a partition in
// formats that are too large by now.
func (c *Controller) refreshFeatureLevel(ctx context.Context) error {
	item, err := c.store.Get(ctx, records.FeatureLevelKey)
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	c.cluster.apply(records.FeatureLevelKey, item.Value, item.Revision, false)
	return nil
}

// maxConditions is how many conditions a transaction may have beside the leader's fence. A
// cluster of more nodes goes by what the copy shows of the rest.
func (l *leader) maxConditions() int { return conditionsPerChange*l.controller.limits.TxnOps - 1 }

// conditionsPerChange is how many conditions the state service allows for each change that
// it allows.
const conditionsPerChange = 4

// memberNames names all configured nodes.
func (c *Controller) memberNames() []string {
	names := []string{c.settings.Node}
	for _, m := range c.settings.Members {
		names = append(names, m.Node)
	}
	return names
}

// readyFor tells whether the level is lower than the given one and all nodes named live
// and know it, and returns the conditions under which that still holds.
func (c *clusterCache) readyFor(level records.FeatureLevel, names []string) ([]wire.Compare, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.level >= level {
		return nil, false
	}
	var conds []wire.Compare
	for _, name := range names {
		n, live := c.nodes[name]
		if !live || n.featureLevel < level {
			return nil, false
		}
		conds = append(conds, wire.Compare{Key: records.NodePrefix + name, Revision: n.revision})
	}
	return conds, true
}

// divideGroups divides one group of machines that outgrows the limits to come, so that all
// are small before one has to change.
func (l *leader) divideGroups(ctx context.Context) {
	ids := l.controller.cluster.oversized(l.controller.groupLimit())
	if len(ids) == 0 {
		return
	}
	entry, ok := l.controller.cluster.machine(ids[0])
	if !ok {
		return
	}
	changes := map[string]*records.MachineRecord{ids[0]: &entry.record}
	if err := l.controller.rewriteMachines(ctx, l.fence(), changes); err != nil {
		slog.Debug("group of machines not divided", "err", err)
	}
}
