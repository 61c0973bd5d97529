package kvstore

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"ambersill/internal/wire"
)

// Lease requests are exempt from the rate limit, because a controller that cannot renew its
// lease in time loses all of its partitions.

// GrantLease creates a lease with the given time to live, and returns its ID.
func (c *Client) GrantLease(ctx context.Context, timeToLive time.Duration) (uint64, error) {
	var response wire.LeaseResponse
	err := c.call(ctx, request{
		operation: "grant lease",
		target:    timeToLive.String(),
		method:    http.MethodPost,
		path:      "/holds",
		body:      wire.LeaseRequest{TTLMS: timeToLive.Milliseconds()},
	}, &response)
	return response.LeaseID, err
}

// RenewLease restarts a lease's time to live.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	id := strconv.FormatUint(leaseID, 10)
	return c.call(ctx, request{
		operation: "renew lease",
		target:    id,
		method:    http.MethodPost,
		path:      "/holds/" + id + "/extend",
	}, nil)
}

// RevokeLease ends a lease at once, which makes the store delete the keys attached to it.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) error {
	id := strconv.FormatUint(leaseID, 10)
	return c.call(ctx, request{
		operation: "revoke lease",
		target:    id,
		method:    http.MethodDelete,
		path:      "/holds/" + id,
	}, nil)
}
