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

// idleConnTimeout closes connections that the other side may have dropped without notice.
const idleConnTimeout = time.Minute

// maxDiscardBytes is the longest body that is read only to be dropped; closing the
// connection costs less than reading more.
const maxDiscardBytes = 4096

// StatusError reports a response with a status that the caller has no other error for.
type StatusError struct {
	Code   int
	Reason string // from the body; empty if there is none
}

func (e *StatusError) Error() string {
	if e.Reason == "" {
		return fmt.Sprintf("unexpected status %d", e.Code)
	}
	return fmt.Sprintf("unexpected status %d: %s", e.Code, e.Reason)
}

// Client returns an HTTP client with at most connsPerHost connections to a host, which
// keeps at most idleConns of them open in all. Connecting takes at most connectTimeout.
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

// Send sends a request with a message as its body, or without a body if message is nil.
// The caller closes the response's body.
func Send(ctx context.Context, client *http.Client, method, url string, message any) (*http.Response, error) {
	var body io.Reader
	if message != nil {
		encoded, err := wire.Marshal(message)
		if err != nil {
			return nil, fmt.Errorf("encoding %T: %w", message, err)
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

// Reason returns the reason that the body of a refusal states. It is empty if the body is
// no such message: the status alone must then do.
func Reason(resp *http.Response) string {
	var refusal wire.ErrorResponse
	if err := wire.ReadResponse(resp.Body, &refusal); err != nil {
		return ""
	}
	return refusal.Error
}

// Discard reads a short body to its end, so that the connection can be used again.
func Discard(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes))
}
