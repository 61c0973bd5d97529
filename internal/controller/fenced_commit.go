package controller

import (
	"context"

	"ambersill/internal/wire"
)

// commitFenced commits a transaction under the fence of the leader or of a partition's owner,
// and applies it to the cluster cache at once, so that the next decision is based on it.
func (c *Controller) commitFenced(ctx context.Context, fence wire.Compare, compares []wire.Compare, writes []wire.Write) error {
	revision, err := c.store.Commit(ctx, wire.Txn{
		Compares: append([]wire.Compare{fence}, compares...),
		Writes:   writes,
	})
	if err != nil {
		return err
	}
	c.cluster.applyWrites(writes, revision)
	return nil
}

// applyWrites applies the writes of a commit in their order.
func (c *clusterCache) applyWrites(writes []wire.Write, revision uint64) {
	for _, write := range writes {
		if write.Put != "" {
			c.apply(write.Put, must(wire.Marshal(write.Value)), revision, false)
		} else {
			c.apply(write.Delete, nil, revision, true)
		}
	}
}
