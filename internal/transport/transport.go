// Package transport is the one place where sockets are made, so that tests can
// run whole controllers over a network of their own.
package transport

import (
	"context"
	"net"
	"net/http"
	"time"
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
