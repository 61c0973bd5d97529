package controller

import (
	"context"
	"errors"

	"ambersill/internal/kvstore"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// claimKey writes this node's name to the key, attached to the lease, if the key still has the
// expected revision. It returns the key's new revision.
func (c *Controller) claimKey(ctx context.Context, key string, expected, leaseID uint64) (uint64, error) {
	revision, err := c.store.Commit(ctx, wire.Txn{
		Compares: []wire.Compare{{Key: key, Revision: expected}},
		Writes:   []wire.Write{{Put: key, Value: records.OwnerRecord{Node: c.settings.Node}, LeaseID: leaseID}},
	})
	if !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return revision, err
	}
	// The key shows whether the commit was executed. If it has the expected revision, an earlier
	// claim under the same lease has written it, and this commit may still be executed.
	item, getErr := c.store.Get(ctx, key)
	if getErr != nil || item.LeaseID != leaseID || item.Revision == expected {
		return 0, err
	}
	return item.Revision, nil
}
