// Package transport opens the network connections of all other packages, so that tests can
// replace the network of whole controllers with a simulated one. It also contains helpers for
// HTTP clients.
package transport

import (
	"context"
	"net"
	"time"
)

// Net is a network on which a node connects to addresses and accepts connections.
type Net interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(ctx context.Context, addr string) (net.Listener, error)
}

// TCP is the network of the operating system.
type TCP struct{}

// Dial opens a TCP connection to an address.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// Listen returns a listener for TCP connections to an address.
func (TCP) Listen(ctx context.Context, addr string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
}

// Pause waits until the duration has passed or the context has ended, whichever is first.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
