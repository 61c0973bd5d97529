package kvstore

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// minWriteBurst allows transactions with several writes even at low rates. The limiter never
// admits a transaction with more writes than its burst.
const minWriteBurst = 16

// maxTokenDebt limits how far urgent commits may exceed the write rate. It is the time in which the
// limiter refills the tokens taken in advance. The store allows bursts of one second's writes.
const maxTokenDebt = time.Second

// requestBurst returns the number of requests that half a second allows, at least 1.
func requestBurst(perSecond float64) int { return max(1, int(perSecond/2)) }

// writeBurst returns the number of writes that one second allows, at least minWriteBurst.
func writeBurst(perSecond float64) int { return max(minWriteBurst, int(perSecond)) }

// SetRateLimits changes this node's share of the store's rate limits, in requests per second
// and in writes per second.
func (c *Client) SetRateLimits(requests, writes float64) {
	setLimit(c.requests, rate.Limit(requests))
	setLimit(c.writes, rate.Limit(writes))
}

func setLimit(limiter *rate.Limiter, limit rate.Limit) {
	if limiter.Limit() != limit {
		limiter.SetLimit(limit)
	}
}

// throttle waits for n tokens of a limiter. It returns ErrRefused for the request if the context
// ends, or would end, before the limiter has them, or if n exceeds the limiter's burst.
func (c *Client) throttle(ctx context.Context, limiter *rate.Limiter, n int, req request) error {
	if err := limiter.WaitN(ctx, n); err != nil {
		return req.wrapError(fmt.Errorf("%w: %w: %w", ErrRefused, errRateLimited, err))
	}
	return nil
}

// reserveUrgentWrites takes n tokens for writes without waiting for them. It takes none and
// returns false if the limiter would need more than maxTokenDebt to refill, or if n exceeds the
// burst.
func (c *Client) reserveUrgentWrites(n int) bool {
	reservation := c.writes.ReserveN(time.Now(), n)
	if !reservation.OK() || reservation.Delay() > maxTokenDebt {
		reservation.Cancel()
		return false
	}
	return true
}
