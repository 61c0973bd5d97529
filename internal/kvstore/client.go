// Package kvstore is the client of the key-value store, the only place where controllers keep
// persistent state.
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

// Limits on the connections to the store. Watches have a limit of their own, because an open
// watch occupies its connection until the store responds.
const (
	maxRequestConns = 16
	maxWatchConns   = 8
)

// pageSize is the largest number of keys that the store returns in one page of a listing.
const pageSize = 1000

// Options configures a client.
type Options struct {
	Net  transport.Net
	Addr string
	// Timeout limits one request. A watch may take its maximum wait and this long in addition.
	Timeout time.Duration
	// RequestRate and WriteRate are this node's share of the store's rate limits, in requests
	// per second and in writes per second.
	RequestRate, WriteRate float64
}

// Client sends requests to the key-value store, and limits the rates of requests and writes.
// ListUnthrottled and the requests for leases are exempt from both limits, and CommitUrgent may
// exceed them.
type Client struct {
	baseURL         string
	timeout         time.Duration
	requestHTTP     *http.Client
	watchHTTP       *http.Client
	requests        *rate.Limiter // limits gets, lists, watches and commits
	writes          *rate.Limiter // limits the puts and deletes in transactions
	unthrottled     *rate.Limiter // has no limit; for ListUnthrottled
	requestCounters requestCounters

	startTime       time.Time
	lastServedNanos atomic.Int64  // from startTime until the latest served request was sent
	highestRevision atomic.Uint64 // highest revision returned for a commit of this client
}

// New returns a client for the store at o.Addr. It connects when the first request is sent.
func New(o Options) *Client {
	return &Client{
		baseURL:     "http://" + o.Addr,
		timeout:     o.Timeout,
		requestHTTP: transport.Client(o.Net, maxRequestConns, maxRequestConns, o.Timeout),
		watchHTTP:   transport.Client(o.Net, maxWatchConns, maxWatchConns, o.Timeout),
		requests:    rate.NewLimiter(rate.Limit(o.RequestRate), requestBurst(o.RequestRate)),
		writes:      rate.NewLimiter(rate.Limit(o.WriteRate), writeBurst(o.WriteRate)),
		unthrottled: rate.NewLimiter(rate.Inf, 0),
		startTime:   time.Now(),
	}
}

// Get reads one key, or returns ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, key string) (wire.KeyValue, error) {
	req := request{
		operation: "get",
		target:    key,
		method:    http.MethodGet,
		path:      "/store/" + key,
	}
	var item wire.KeyValue
	if err := c.throttle(ctx, c.requests, 1, req); err != nil {
		return item, err
	}
	err := c.call(ctx, req, &item)
	return item, err
}

// List reads all keys with a prefix. It returns the revision of the first page, so that a
// watch that starts there reports every change that the other pages may lack.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error) {
	return c.list(ctx, prefix, c.requests)
}

// ListUnthrottled is List without the rate limit, for the few reads that must not wait behind
// the requests that users cause.
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

// listRequest returns the request for the page that follows lastKey, or for the first page if
// lastKey is empty.
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
