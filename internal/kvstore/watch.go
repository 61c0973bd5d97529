package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"ambersill/internal/wire"
)

// Watch returns the changes to keys with a prefix after a revision. If there are none yet, it
// waits for them for at most maxWait.
func (c *Client) Watch(ctx context.Context, prefix string, afterRevision uint64, maxWait time.Duration) (wire.WatchResponse, error) {
	query := fmt.Sprintf("prefix=%s&since=%d&waitMs=%d", url.QueryEscape(prefix), afterRevision, maxWait.Milliseconds())
	req := request{
		operation: "watch",
		target:    prefix,
		method:    http.MethodGet,
		path:      "/watch?" + query,
	}
	var response wire.WatchResponse
	if err := c.throttle(ctx, c.requests, 1, req); err != nil {
		return response, err
	}
	// The store keeps watches open through an outage, and a connection may be lost without
	// either side being notified. The timeout limits the wait in both cases.
	ctx, cancel := context.WithTimeout(ctx, maxWait+c.timeout)
	defer cancel()
	err := c.callWatch(ctx, req, &response)
	return response, err
}
