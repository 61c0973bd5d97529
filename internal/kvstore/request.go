package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// reasonLeaseNotFound is the store's reason for refusing a transaction that names a lease which
// does not exist.
const reasonLeaseNotFound = "no such lease"

// request is one HTTP request to the store.
type request struct {
	operation string // for errors
	target    string // the key, prefix or lease that it is for; for errors
	method    string
	path      string // with the query
	body      any    // nil: none
}

// wrapError says which request failed.
func (r request) wrapError(cause error) error {
	return &OperationError{Operation: r.operation, Target: r.target, Err: cause}
}

// call sends a request with the usual timeout, and decodes the response into out unless
// that is nil.
func (c *Client) call(ctx context.Context, req request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	sent := time.Now()
	resp, err := c.send(ctx, c.requestHTTP, req)
	if err != nil {
		return req.wrapError(err)
	}
	defer resp.Body.Close()
	c.recordServed(sent)
	return req.decodeResponse(resp, out)
}

// callWatch is call for a watch, whose response does not count as a sign of contact.
func (c *Client) callWatch(ctx context.Context, req request, out any) error {
	resp, err := c.send(ctx, c.watchHTTP, req)
	if err != nil {
		return req.wrapError(err)
	}
	defer resp.Body.Close()
	return req.decodeResponse(resp, out)
}

// send returns a response that shows that the store served this node. The caller closes its
// body.
func (c *Client) send(ctx context.Context, client *http.Client, req request) (*http.Response, error) {
	resp, err := transport.Send(ctx, client, req.method, c.base+req.path, req.body)
	if err != nil {
		c.counters.unanswered.Add(1)
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.counters.refused.Add(1)
		transport.Discard(resp)
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%w: %w", ErrRefused, &transport.StatusError{Code: resp.StatusCode})
	}
	c.counters.served.Add(1)
	return resp, nil
}

// decodeResponse decodes a response, or returns the error that it stands for.
func (r request) decodeResponse(resp *http.Response, out any) error {
	if resp.StatusCode != http.StatusOK {
		return r.wrapError(responseError(resp))
	}
	if err := transport.Decode(resp, out); err != nil {
		return r.wrapError(fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
	}
	return nil
}

// responseError returns the error that a response other than 200 stands for.
func responseError(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusNotFound:
		transport.Discard(resp)
		return ErrNotFound
	case http.StatusGone:
		transport.Discard(resp)
		return ErrCompacted
	case http.StatusConflict:
		return conflictError(resp)
	}
	reason := transport.Reason(resp)
	if reason == reasonLeaseNotFound {
		return ErrLeaseNotFound
	}
	cause := &transport.StatusError{Code: resp.StatusCode, Reason: reason}
	if resp.StatusCode == http.StatusBadRequest {
		return fmt.Errorf("%w: %w", ErrInvalid, cause)
	}
	return cause
}

func conflictError(resp *http.Response) error {
	var response wire.TxnResponse
	if err := wire.ReadResponse(resp.Body, &response); err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return &ConflictError{Keys: response.Failed}
}
