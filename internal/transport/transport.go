// Package transport is the one place where sockets are made, so that tests can
// run whole controllers over a network of their own.
package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"ambersill/internal/wire"
)

// Net makes and takes connections.
type Net interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(ctx context.Context, addr string) (net.Listener, error)
}

// TCP is the network of the machine.
type TCP struct{}

// Dial connects to an address.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// Listen takes connections at an address.
func (TCP) Listen(ctx context.Context, addr string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
}

// Client makes an HTTP client with at most conns connections to a host and idle
// connections kept in all. Connecting takes at most the given time.
func Client(n Net, conns, idle int, connect time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connect)
			defer cancel()
			return n.Dial(ctx, addr)
		},
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		MaxIdleConns:        idle,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// Send sends a message, or a request without a body if it is nil. The caller
// closes the answer's body.
func Send(ctx context.Context, cl *http.Client, method, url string, message any) (*http.Response, error) {
	var body io.Reader
	if message != nil {
		b, err := wire.Marshal(message)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", wire.ContentType)
	return cl.Do(req)
}

// Discard reads a short answer's body to its end, so that its connection can
// be used again.
func Discard(r *http.Response) { _, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscard)) }

// maxDiscard is the longest body, in bytes, that is read only to be dropped.
const maxDiscard = 4096

// Pause waits, but not beyond the context.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
