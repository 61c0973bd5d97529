package controller

import (
	"context"
	"fmt"

	"ambersill/internal/wire"
)

// commitFenced commits a transaction on the condition of a fence, that of the leader or of a
// partition's owner. It applies the writes to the cluster cache without waiting for the watch,
// so that the next decision takes them into account.
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

// encodeWrites returns the key changes that the writes make, in the same order. The revision of
// the changes is not set.
func encodeWrites(writes []wire.Write) ([]keyChange, error) {
	changes := make([]keyChange, 0, len(writes))
	for _, write := range writes {
		if write.Put == "" {
			changes = append(changes, keyChange{key: write.Delete, deleted: true})
			continue
		}
		value, err := wire.Marshal(write.Value)
		if err != nil {
			return nil, fmt.Errorf("encoding %s: %w", write.Put, err)
		}
		changes = append(changes, keyChange{key: write.Put, value: value})
	}
	return changes, nil
}
