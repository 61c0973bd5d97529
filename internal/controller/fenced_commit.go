package controller

import (
	"context"
	"fmt"

	"ambersill/internal/wire"
)

// commitFenced commits a transaction under the fence of the leader or of a partition's owner,
// and applies it to the cluster cache at once, so that the next decision is based on it.
func (c *Controller) commitFenced(
	ctx context.Context, fence wire.Compare, compares []wire.Compare, writes []wire.Write,
) error {
	changes, err := encodeWrites(writes)
	if err != nil {
		return err
	}
	revision, err := c.store.Commit(ctx, wire.Txn{
		Compares: append([]wire.Compare{fence}, compares...),
		Writes:   writes,
	})
	if err != nil {
		return err
	}
	for _, change := range changes {
		change.revision = revision
		c.cluster.applyChange(change)
	}
	return nil
}

// encodeWrites returns the changes of keys that writes make, in their order and still
// without a revision.
func encodeWrites(writes []wire.Write) ([]keyChange, error) {
	changes := make([]keyChange, 0, len(writes))
	for _, write := range writes {
		if write.Put == "" {
			changes = append(changes, keyChange{key: write.Delete, deleted: true})
			continue
		}
		value, err := wire.Marshal(write.Value)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", write.Put, err)
		}
		changes = append(changes, keyChange{key: write.Put, value: value})
	}
	return changes, nil
}
