package kvstore

import (
	"sync/atomic"
	"time"
)

// counters counts requests by outcome.
type counters struct {
	served, refused, unanswered atomic.Int64
}

// RequestCounts returns how many requests were served, refused and left unanswered.
func (c *Client) RequestCounts() (served, refused, unanswered int) {
	return int(c.counters.served.Load()), int(c.counters.refused.Load()), int(c.counters.unanswered.Load())
}

// SinceContact returns the time since the newest served request was sent. The time of the
// request counts, since a response proves nothing about what came after it. Watches don't
// count at all: one stays open through an outage, and may end in the middle of it.
func (c *Client) SinceContact() time.Duration {
	return time.Since(c.startTime) - time.Duration(c.lastServedNanos.Load())
}

// recordServed records that a request that was sent at the given time has been served.
func (c *Client) recordServed(sent time.Time) {
	sentNanos := int64(sent.Sub(c.startTime))
	for {
		lastNanos := c.lastServedNanos.Load()
		if sentNanos <= lastNanos || c.lastServedNanos.CompareAndSwap(lastNanos, sentNanos) {
			return
		}
	}
}
