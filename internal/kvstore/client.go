// Package kvstore is the client of the state service, the only place where
// controllers keep anything.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"

	"golang.org/x/time/rate"
)

// Errors that callers tell apart.
var (
	// ErrNotFound: the key or the lease does not exist.
	ErrNotFound = errors.New("state: not found")
	// ErrRefused: the request was certainly not executed.
	ErrRefused = errors.New("state: refused")
	// ErrOutcomeUnknown: no answer; the request may have been, or may yet be, executed.
	ErrOutcomeUnknown = errors.New("state: outcome unknown")
	// ErrCompacted: a watch began too far back; read the keys again.
	ErrCompacted = errors.New("state: revision too old")
	// ErrInvalid: the request is malformed or over a limit of size, was not executed, and
	// never will be as it is.
	ErrInvalid = errors.New("state: request not valid")
	// ErrLeaseNotFound: a put named a lease that has ended.
	ErrLeaseNotFound = errors.New("state: lease has ended")
)

// ConflictError says which conditions of a transaction failed.
type ConflictError struct{ Keys []string }

func (c *ConflictError) Error() string { return fmt.Sprintf("state: conflict on %v", c.Keys) }

// Options of a client.
type Options struct {
	Net     transport.Net
	Addr    string
	Timeout time.Duration
	// ReadRate and WriteRate are this node's share of the service's limits,
	// per second.
	ReadRate, WriteRate float64
}

// Client talks to the state service within a budget.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	watch   *http.Client
	reads   *rate.Limiter
	writes  *rate.Limiter
	contact atomic.Int64 // when the newest answered request was sent, in nanoseconds since start
	rev     atomic.Uint64

	mu    sync.Mutex
	start time.Time
	calls struct{ ok, refused, unknown int }
}

// New makes a client.
func New(o Options) *Client {
	return &Client{
		base:    "http://" + o.Addr,
		timeout: o.Timeout,
		http:    transport.Client(o.Net, 16, 16, o.Timeout),
		watch:   transport.Client(o.Net, 8, 8, o.Timeout),
		reads:   rate.NewLimiter(rate.Limit(o.ReadRate), max(1, int(o.ReadRate/2))),
		writes:  rate.NewLimiter(rate.Limit(o.WriteRate), max(16, int(o.WriteRate))),
		start:   time.Now(),
	}
}

// SetRateLimits changes this node's share of the service's limits, per second.
func (c *Client) SetRateLimits(reads, writes float64) {
	if c.reads.Limit() != rate.Limit(reads) {
		c.reads.SetLimit(rate.Limit(reads))
	}
	if c.writes.Limit() != rate.Limit(writes) {
		c.writes.SetLimit(rate.Limit(writes))
	}
}

// SinceContact is the age of the newest request that the service has served. An answer
// says nothing of what came after its request, and one to a watch may be seconds late: it
// stays open through an outage, and ends in the midst of it.
func (c *Client) SinceContact() time.Duration {
	return time.Since(c.start) - time.Duration(c.contact.Load())
}

// Counts returns how many calls were served, refused and left unanswered.
func (c *Client) Counts() (ok, refused, unknown int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls.ok, c.calls.refused, c.calls.unknown
}

func (c *Client) count(n *int) {
	c.mu.Lock()
	*n++
	c.mu.Unlock()
}

// served notes that a request that was sent at the given time has been served.
func (c *Client) served(sent time.Time) {
	at := int64(sent.Sub(c.start))
	for {
		old := c.contact.Load()
		if at <= old || c.contact.CompareAndSwap(old, at) {
			return
		}
	}
}

func (c *Client) do(ctx context.Context, cl *http.Client, method, path string, body, out any) error {
	sent := time.Now()
	resp, err := transport.Send(ctx, cl, method, c.base+path, body)
	if err != nil {
		c.count(&c.calls.unknown)
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.count(&c.calls.refused)
		transport.Discard(resp)
		return fmt.Errorf("%w: status %d", ErrRefused, resp.StatusCode)
	}
	// Any other answer shows that the service serves this node, or did so when it was asked.
	if cl != c.watch {
		c.served(sent)
	}
	c.count(&c.calls.ok)
	switch resp.StatusCode {
	case http.StatusOK:
		if out == nil {
			transport.Discard(resp)
			return nil
		}
		if err := wire.ReadResponse(resp.Body, out); err != nil {
			return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
		}
		return nil
	case http.StatusNotFound:
		transport.Discard(resp)
		return ErrNotFound
	case http.StatusGone:
		transport.Discard(resp)
		return ErrCompacted
	case http.StatusConflict:
		var r wire.TxnResponse
		if err := wire.ReadResponse(resp.Body, &r); err != nil {
			return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
		}
		return &ConflictError{Keys: r.Failed}
	default:
		var problem wire.ErrorResponse
		_ = wire.ReadResponse(resp.Body, &problem)
		if problem.Error == "no such lease" {
			return ErrLeaseNotFound
		}
		if resp.StatusCode == http.StatusBadRequest {
			return fmt.Errorf("%w: %s", ErrInvalid, problem.Error)
		}
		return fmt.Errorf("state: status %d %s", resp.StatusCode, problem.Error)
	}
}

func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.do(ctx, c.http, method, path, body, out)
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (wire.KeyValue, error) {
	var item wire.KeyValue
	if err := c.wait(ctx, c.reads, 1); err != nil {
		return item, err
	}
	err := c.call(ctx, http.MethodGet, "/store/"+key, nil, &item)
	return item, err
}

// wait takes n from a budget; a wait longer than the context allows is a refusal.
func (c *Client) wait(ctx context.Context, l *rate.Limiter, n int) error {
	if err := l.WaitN(ctx, n); err != nil {
		return fmt.Errorf("%w: over budget", ErrRefused)
	}
	return nil
}

// List reads all keys with a prefix. The revision is that of the first page: a
// watch from there misses nothing.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error) {
	return c.list(ctx, prefix, c.reads)
}

// ListUnthrottled is List without the budget, for the few reads that must not wait behind
// users' questions.
func (c *Client) ListUnthrottled(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error) {
	return c.list(ctx, prefix, rate.NewLimiter(rate.Inf, 0))
}

func (c *Client) list(ctx context.Context, prefix string, budget *rate.Limiter) ([]wire.KeyValue, uint64, error) {
	var all []wire.KeyValue
	var revision uint64
	since := ""
	for {
		if err := c.wait(ctx, budget, 1); err != nil {
			return nil, 0, err
		}
		var page wire.KeyValuePage
		q := "/store?prefix=" + url.QueryEscape(prefix) + "&most=1000"
		if since != "" {
			q += "&since=" + url.QueryEscape(since)
		}
		if err := c.call(ctx, http.MethodGet, q, nil, &page); err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return all, revision, nil
		}
		since = page.Items[len(page.Items)-1].Key
	}
}

// Commit runs a transaction. ErrOutcomeUnknown means it may still take effect.
func (c *Client) Commit(ctx context.Context, txn wire.Txn) (uint64, error) {
	if err := c.wait(ctx, c.reads, 1); err != nil {
		return 0, err
	}
	if n := len(txn.Writes); n > 0 {
		if err := c.wait(ctx, c.writes, n); err != nil {
			return 0, err
		}
	}
	return c.commit(ctx, txn)
}

// CommitUrgent is Commit ahead of those that wait for the budget: its changes are taken from
// the budget, but waited for only if that is overdrawn by more than a moment's worth. It
// is for what users wait for.
func (c *Client) CommitUrgent(ctx context.Context, txn wire.Txn) (uint64, error) {
	if n := len(txn.Writes); n > 0 {
		r := c.writes.ReserveN(time.Now(), n)
		if !r.OK() || r.Delay() > maxOverdraft {
			r.Cancel()
			return c.Commit(ctx, txn)
		}
	}
	return c.commit(ctx, txn)
}

// maxOverdraft is by how much the budget of changes may be overdrawn, as the time in which
// it is made up for. The state service allows bursts of a second's worth.
const maxOverdraft = time.Second

func (c *Client) commit(ctx context.Context, txn wire.Txn) (uint64, error) {
	if txn.Compares == nil {
		txn.Compares = []wire.Compare{}
	}
	var r wire.TxnResponse
	if err := c.call(ctx, http.MethodPost, "/commit", txn, &r); err != nil {
		return 0, err
	}
	for {
		old := c.rev.Load()
		if r.Revision <= old || c.rev.CompareAndSwap(old, r.Revision) {
			return r.Revision, nil
		}
	}
}

// Revision is the highest that a commit of this node was answered with.
func (c *Client) Revision() uint64 { return c.rev.Load() }

// GrantLease makes a lease. Leases are never kept back by the budget: without them
// everything else is lost.
func (c *Client) GrantLease(ctx context.Context, life time.Duration) (uint64, error) {
	var r wire.LeaseResponse
	err := c.call(ctx, http.MethodPost, "/holds", wire.LeaseRequest{TTLMS: life.Milliseconds()}, &r)
	return r.LeaseID, err
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	return c.call(ctx, http.MethodPost, "/holds/"+strconv.FormatUint(leaseID, 10)+"/extend", nil, nil)
}

// RevokeLease ends a lease at once.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) error {
	return c.call(ctx, http.MethodDelete, "/holds/"+strconv.FormatUint(leaseID, 10), nil, nil)
}

// Watch waits for changes under a prefix after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.WatchResponse, error) {
	var r wire.WatchResponse
	if err := c.wait(ctx, c.reads, 1); err != nil {
		return r, err
	}
	// An outage holds watches open; the slack keeps one from hanging for ever
	// on a connection that a cut has swallowed.
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	q := fmt.Sprintf("/watch?prefix=%s&since=%d&waitMs=%d", url.QueryEscape(prefix), since, wait.Milliseconds())
	err := c.do(ctx, c.watch, http.MethodGet, q, nil, &r)
	return r, err
}
