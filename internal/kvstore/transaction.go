package kvstore

import (
	"context"
	"net/http"
	"strings"

	"ambersill/internal/wire"
)

// Commit executes a transaction and returns its revision. If it returns ErrOutcomeUnknown, the
// transaction may have taken effect or may still do so.
func (c *Client) Commit(ctx context.Context, txn wire.Txn) (uint64, error) {
	req := commitRequest(txn)
	if err := c.throttle(ctx, c.requests, 1, req); err != nil {
		return 0, err
	}
	if n := len(txn.Writes); n > 0 {
		if err := c.throttle(ctx, c.writes, n, req); err != nil {
			return 0, err
		}
	}
	return c.commit(ctx, req)
}

// CommitUrgent is Commit for transactions that a user is waiting for. It overtakes the
// transactions that wait for the rate limit. Its writes count against the limit, but wait only
// if they would exceed it by more than maxTokenDebt.
func (c *Client) CommitUrgent(ctx context.Context, txn wire.Txn) (uint64, error) {
	if n := len(txn.Writes); n > 0 && !c.reserveUrgentWrites(n) {
		return c.Commit(ctx, txn)
	}
	return c.commit(ctx, commitRequest(txn))
}

// HighestRevision returns the highest revision that any commit of this client returned.
func (c *Client) HighestRevision() uint64 { return c.highestRevision.Load() }

func (c *Client) commit(ctx context.Context, req request) (uint64, error) {
	var response wire.TxnResponse
	if err := c.call(ctx, req, &response); err != nil {
		return 0, err
	}
	c.recordRevision(response.Revision)
	return response.Revision, nil
}

// recordRevision raises the highest revision if the given one is higher. Responses to commits may
// arrive out of order.
func (c *Client) recordRevision(revision uint64) {
	for {
		highest := c.highestRevision.Load()
		if revision <= highest || c.highestRevision.CompareAndSwap(highest, revision) {
			return
		}
	}
}

func commitRequest(txn wire.Txn) request {
	if txn.Compares == nil {
		txn.Compares = []wire.Compare{} // nil would be encoded as null instead of an empty list
	}
	return request{
		operation: "commit",
		target:    writtenKeys(txn),
		method:    http.MethodPost,
		path:      "/commit",
		body:      txn,
	}
}

// writtenKeys returns the keys that a transaction writes or deletes, separated by spaces, for
// error messages.
func writtenKeys(txn wire.Txn) string {
	keys := make([]string, 0, len(txn.Writes))
	for _, write := range txn.Writes {
		if write.Delete != "" {
			keys = append(keys, write.Delete)
		} else {
			keys = append(keys, write.Put)
		}
	}
	return strings.Join(keys, " ")
}
