package controller

import (
	"context"
	"errors"
	"log/slog"

	"ambersill/internal/kvstore"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// registration is what a node knows of its record in the key-value store, which shows the other
// nodes that it is live. The record is attached to the node's lease; the zero value is the state
// after a new lease was granted.
//
// Each write names the revision of the record that it replaces, so that the late write of an
// earlier process of the node, which attaches the record to a lease that expires, is refused.
type registration struct {
	// keyRevision is the revision of the record's key, 0 if the key does not exist. It is valid
	// if keyRevisionKnown is set.
	keyRevision      uint64
	keyRevisionKnown bool
	// writtenRevision is the revision at which this process wrote the record under the present
	// lease, or 0 if it has not.
	writtenRevision uint64
}

// ensure writes the node's record unless the record that this process has written is still there.
// After an error the next call tries again.
func (r *registration) ensure(ctx context.Context, c *Controller) {
	if r.writtenRevision != 0 && c.cluster.nodeRecordReplaced(c.settings.Node, r.writtenRevision) {
		// A process of an earlier version writes the record without a condition, and its write
		// may be executed late.
		slog.Info("record of this node was replaced", "written_revision", r.writtenRevision)
		*r = registration{}
	}
	if r.writtenRevision != 0 {
		return
	}
	if err := r.register(ctx, c); err != nil {
		slog.Debug("registering node failed", "node", c.settings.Node, "err", err)
	}
}

// register writes the node's record, and first reads the revision of its key unless it is known.
func (r *registration) register(ctx context.Context, c *Controller) error {
	key := records.NodePrefix + c.settings.Node
	if !r.keyRevisionKnown {
		item, err := c.store.Get(ctx, key)
		if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
			return err
		}
		r.keyRevision, r.keyRevisionKnown = item.Revision, true
	}
	revision, err := c.store.Commit(ctx, wire.Txn{
		Compares: []wire.Compare{{Key: key, Revision: r.keyRevision}},
		Writes: []wire.Write{{
			Put:     key,
			Value:   records.NodeRecord{Node: c.settings.Node, Level: c.supportedFeatureLevel},
			LeaseID: c.currentLease(),
		}},
	})
	switch classifyCommitError(err) {
	case commitApplied:
		r.writtenRevision = revision
	case commitConflict, commitUnknown:
		r.keyRevisionKnown = false
	case commitRefused, commitInvalid:
		// Not executed; the next call sends it again.
	}
	return err
}

// nodeRecordReplaced reports whether a node's record is no longer the one that was written at a
// revision: it was deleted, or written again. It returns false while the cache has not caught up
// to the revision.
func (c *clusterCache) nodeRecordReplaced(node string, revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision >= revision && c.nodes[node].revision != revision
}
