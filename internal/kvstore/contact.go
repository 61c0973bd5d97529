package kvstore

import (
	"sync/atomic"
	"time"
)

// requestCounters contains the numbers of requests by outcome since the client was created.
type requestCounters struct {
	served, refused, unanswered atomic.Int64
}

// RequestCounts returns the numbers of requests that were served, refused and left without a
// response.
func (c *Client) RequestCounts() (served, refused, unanswered int) {
	return int(c.requestCounters.served.Load()), int(c.requestCounters.refused.Load()), int(c.requestCounters.unanswered.Load())
}

// SinceContact returns the time since the most recently sent request that was served. If none
// was served yet, it returns the time since the client was created. It counts from when the
// request was sent, because the response proves only that the store was reachable at some moment
// after that. Watches are ignored, because the store keeps them open through an outage and may
// complete them during it.
func (c *Client) SinceContact() time.Duration {
	return time.Since(c.startTime) - time.Duration(c.lastServedNanos.Load())
}

// recordServed records that a request sent at the given time was served.
func (c *Client) recordServed(sent time.Time) {
	sentNanos := int64(sent.Sub(c.startTime))
	for {
		lastNanos := c.lastServedNanos.Load()
		if sentNanos <= lastNanos || c.lastServedNanos.CompareAndSwap(lastNanos, sentNanos) {
			return
		}
	}
}
