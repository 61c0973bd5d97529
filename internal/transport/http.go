package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"ambersill/internal/wire"
)

// idleConnTimeout is how long an idle connection stays open. The server may have closed an
// older one without this side being notified.
const idleConnTimeout = time.Minute

// maxDiscardBytes is the largest part of a body that is read and discarded in order to keep its
// connection open. Opening a new connection costs less than reading more.
const maxDiscardBytes = 4096

// StatusError is the error for a response with a status other than success. It may be wrapped in
// an error that states the consequence for the caller.
type StatusError struct {
	Code   int
	Reason string // from the body; empty if the body states none
}

func (e *StatusError) Error() string {
	if e.Reason == "" {
		return fmt.Sprintf("HTTP status %d", e.Code)
	}
	return fmt.Sprintf("HTTP status %d: %s", e.Code, e.Reason)
}

// Client returns an HTTP client that opens at most connsPerHost connections to a host, and
// keeps at most idleConns idle connections to all hosts together. An attempt to connect is
// abandoned after connectTimeout.
func Client(network Net, connsPerHost, idleConns int, connectTimeout time.Duration) *http.Client {
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		return network.Dial(ctx, addr)
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     connsPerHost,
		MaxIdleConnsPerHost: connsPerHost,
		MaxIdleConns:        idleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

// Send sends a request whose body is the encoded message, or that has no body if message is
// nil. The caller closes the body of the response.
func Send(ctx context.Context, client *http.Client, method, url string, message any) (*http.Response, error) {
	var body io.Reader
	if message != nil {
		encoded, err := wire.Marshal(message)
		if err != nil {
			return nil, fmt.Errorf("encoding request body of type %T: %w", message, err)
		}
		body = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", wire.ContentType)
	return client.Do(req)
}

// Decode decodes a response's body into out, or discards it if out is nil.
func Decode(resp *http.Response, out any) error {
	if out == nil {
		Discard(resp)
		return nil
	}
	return wire.ReadResponse(resp.Body, out)
}

// Reason reads the body of an error response and returns the reason that it states. The result
// is empty if the body is not a wire.ErrorResponse.
func Reason(resp *http.Response) string {
	var refusal wire.ErrorResponse
	if err := wire.ReadResponse(resp.Body, &refusal); err != nil {
		return ""
	}
	return refusal.Error
}

// Discard reads and ignores up to maxDiscardBytes of a response's body. The connection can be
// reused if the body is not longer than that.
func Discard(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes))
}
