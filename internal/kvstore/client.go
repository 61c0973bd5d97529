// Package kvstore is the client of the key-value store, the only place where controllers
// keep state.
package kvstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"

	"golang.org/x/time/rate"
)

// Connections to the store. Watches have their own, since each holds one while it is open.
const (
	requestConns = 16
	watchConns   = 8
)

// pageSize is the most keys that the store lists at once.
const pageSize = 1000

// Options configure a client.
type Options struct {
	Net     transport.Net
	Addr    string
	Timeout time.Duration // of one request, except a watch
	// ReadRate and WriteRate are this node's fraction of the store's rate limits, in
	// requests and in writes per second.
	ReadRate, WriteRate float64
}

// Client sends requests to the key-value store within a rate limit.
type Client struct {
	base        string
	timeout     time.Duration
	requestHTTP *http.Client
	watchHTTP   *http.Client
	reads       *rate.Limiter
	writes      *rate.Limiter
	unthrottled *rate.Limiter
	counters    counters

	start           time.Time
	lastServed      atomic.Int64  // when the newest served request was sent, in nanoseconds since start
	highestRevision atomic.Uint64 // of this client's commits
}

// New returns a client.
func New(o Options) *Client {
	return &Client{
		base:        "http://" + o.Addr,
		timeout:     o.Timeout,
		requestHTTP: transport.Client(o.Net, requestConns, requestConns, o.Timeout),
		watchHTTP:   transport.Client(o.Net, watchConns, watchConns, o.Timeout),
		reads:       rate.NewLimiter(rate.Limit(o.ReadRate), readBurst(o.ReadRate)),
		writes:      rate.NewLimiter(rate.Limit(o.WriteRate), writeBurst(o.WriteRate)),
		unthrottled: rate.NewLimiter(rate.Inf, 0),
		start:       time.Now(),
	}
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (wire.KeyValue, error) {
	req := request{
		operation: "get",
		target:    key,
		method:    http.MethodGet,
		path:      "/store/" + key,
	}
	var item wire.KeyValue
	if err := c.throttle(ctx, c.reads, 1, req); err != nil {
		return item, err
	}
	err := c.call(ctx, req, &item)
	return item, err
}

// List reads all keys with a prefix. The revision is that of the first page: a watch from
// there misses no change.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error) {
	return c.list(ctx, prefix, c.reads)
}

// ListUnthrottled is List without the rate limit, for the few reads that must not queue
// behind users' queries.
func (c *Client) ListUnthrottled(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error) {
	return c.list(ctx, prefix, c.unthrottled)
}

func (c *Client) list(ctx context.Context, prefix string, limiter *rate.Limiter) ([]wire.KeyValue, uint64, error) {
	var items []wire.KeyValue
	var revision uint64
	lastKey := ""
	for {
		req := listRequest(prefix, lastKey)
		if err := c.throttle(ctx, limiter, 1, req); err != nil {
			return nil, 0, err
		}
		var page wire.KeyValuePage
		if err := c.call(ctx, req, &page); err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.HasMore || len(page.Items) == 0 {
			return items, revision, nil
		}
		lastKey = page.Items[len(page.Items)-1].Key
	}
}

// listRequest asks for the page that follows a key, or the first page if it is empty.
func listRequest(prefix, lastKey string) request {
	path := "/store?prefix=" + url.QueryEscape(prefix) + "&most=" + strconv.Itoa(pageSize)
	if lastKey != "" {
		path += "&since=" + url.QueryEscape(lastKey)
	}
	return request{
		operation: "list",
		target:    prefix,
		method:    http.MethodGet,
		path:      path,
	}
}
