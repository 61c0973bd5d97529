package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// reasonLeaseNotFound is the reason that the store gives if a transaction names a lease that
// does not exist.
const reasonLeaseNotFound = "no such lease"

// request is one HTTP request to the store.
type request struct {
	operation string // for error messages
	target    string // see OperationError.Target; for error messages
	method    string
	path      string // includes the query
	body      any    // encoded as CBOR; no body if nil
}

// wrapError returns cause as an OperationError that names this request.
func (r request) wrapError(cause error) error {
	return &OperationError{Operation: r.operation, Target: r.target, Err: cause}
}

// call sends a request with the client's timeout, and decodes the response into out unless out
// is nil.
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

// callWatch sends a watch request. The caller sets the timeout, and the response is not counted
// by SinceContact.
func (c *Client) callWatch(ctx context.Context, req request, out any) error {
	resp, err := c.send(ctx, c.watchHTTP, req)
	if err != nil {
		return req.wrapError(err)
	}
	defer resp.Body.Close()
	return req.decodeResponse(resp, out)
}

// send sends a request and counts its outcome. It returns ErrOutcomeUnknown if no response
// arrived, and ErrRefused for status 429 or 503. A response with any other status shows that the
// store served this node. The caller closes the body of the response.
func (c *Client) send(ctx context.Context, client *http.Client, req request) (*http.Response, error) {
	resp, err := transport.Send(ctx, client, req.method, c.baseURL+req.path, req.body)
	if err != nil {
		c.requestCounters.unanswered.Add(1)
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.requestCounters.refused.Add(1)
		transport.Discard(resp)
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%w: %w", ErrRefused, &transport.StatusError{Code: resp.StatusCode})
	}
	c.requestCounters.served.Add(1)
	return resp, nil
}

// decodeResponse decodes a response with status 200 into out, and returns the error that any
// other status represents.
func (r request) decodeResponse(resp *http.Response, out any) error {
	if resp.StatusCode != http.StatusOK {
		return r.wrapError(responseError(resp))
	}
	if err := transport.Decode(resp, out); err != nil {
		return r.wrapError(fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
	}
	return nil
}

// responseError returns the error that a response with a status other than 200 represents.
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
	err := wire.ReadResponse(resp.Body, &response)
	if err == nil {
		err = response.CheckConflict()
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return &ConflictError{Keys: response.Failed}
}
