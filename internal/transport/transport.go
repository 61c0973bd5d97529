// Package transport is the only place where sockets are opened, so that tests can run whole
// controllers over a simulated network.
package transport

import (
	"context"
	"net"
	"time"
)

// Net dials and listens.
type Net interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(ctx context.Context, addr string) (net.Listener, error)
}

// TCP is the network of the operating system.
type TCP struct{}

// Dial connects to an address.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// Listen accepts connections at an address.
func (TCP) Listen(ctx context.Context, addr string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
}

// Pause waits for a duration, or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
