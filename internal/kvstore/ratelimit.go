package kvstore

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// minWriteBurst keeps transactions possible at low rates: one with more writes than the
// burst would never be sent.
const minWriteBurst = 16

// maxTokenDebt is by how much urgent commits may exceed the write rate, as the time after
// which the rate is kept again. The store allows bursts of a second's worth.
const maxTokenDebt = time.Second

// readBurst is half a second's worth.
func readBurst(perSecond float64) int { return max(1, int(perSecond/2)) }

// writeBurst is a second's worth.
func writeBurst(perSecond float64) int { return max(minWriteBurst, int(perSecond)) }

// SetRateLimits changes this node's fraction of the store's rate limits, per second.
func (c *Client) SetRateLimits(reads, writes float64) {
	setLimit(c.reads, rate.Limit(reads))
	setLimit(c.writes, rate.Limit(writes))
}

func setLimit(limiter *rate.Limiter, limit rate.Limit) {
	if limiter.Limit() != limit {
		limiter.SetLimit(limit)
	}
}

// throttle waits for n tokens of a limiter. A wait longer than the context allows fails the
// request with ErrRefused.
func (c *Client) throttle(ctx context.Context, limiter *rate.Limiter, n int, req request) error {
	if err := limiter.WaitN(ctx, n); err != nil {
		return req.wrapError(fmt.Errorf("%w: %w: %w", ErrRefused, errRateLimited, err))
	}
	return nil
}

// reserveUrgentWrites takes n tokens for writes without waiting, and reports whether the
// overdraft allows that; if not, none are taken.
func (c *Client) reserveUrgentWrites(n int) bool {
	reservation := c.writes.ReserveN(time.Now(), n)
	if !reservation.OK() || reservation.Delay() > maxTokenDebt {
		reservation.Cancel()
		return false
	}
	return true
}
