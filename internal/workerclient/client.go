// Package workerclient sends commands directly to workers.
package workerclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// ErrNotSent is returned if there was no connection to the worker, so that no command was sent.
var ErrNotSent = errors.New("commands not sent")

// connsPerWorker limits the connections to one worker, and thereby the sockets that a machine which
// does not respond can occupy.
const connsPerWorker = 1

// commandsPath is the HTTP path at which workers accept commands.
const commandsPath = "/orders"

// Client sends commands to workers.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// New returns a client that waits for the response to a request for at most timeout. It gives up
// connecting after tuning.FencingTimeout if that is shorter.
func New(network transport.Net, timeout time.Duration) *Client {
	connectTimeout := min(timeout, tuning.FencingTimeout)
	return &Client{
		timeout: timeout,
		http:    transport.Client(network, connsPerWorker, tuning.MaxIdleWorkerConns, connectTimeout),
	}
}

// SendCommands sends commands to the worker at an address, and returns the heartbeat with which
// the worker responds. executed is false if the worker refused the commands (status 409). After an
// error other than ErrNotSent the worker may have executed them, or may still do so as long as it
// has seen no higher fencing token and still has the incarnation in the request.
func (c *Client) SendCommands(ctx context.Context, addr string, commands wire.CommandRequest) (heartbeat *wire.Heartbeat, executed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.post(ctx, addr, commands)
	if err != nil {
		return nil, false, fmt.Errorf("worker at %s: %w", addr, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, false, fmt.Errorf("worker at %s: %w", addr, &transport.StatusError{Code: resp.StatusCode})
	}
	heartbeat = &wire.Heartbeat{}
	if err := wire.ReadResponse(resp.Body, heartbeat); err != nil {
		return nil, false, fmt.Errorf("worker at %s: decoding the heartbeat in its response: %w", addr, err)
	}
	return heartbeat, resp.StatusCode == http.StatusOK, nil
}

// post sends commands, and returns ErrNotSent if the attempt failed before a connection was
// available.
func (c *Client) post(ctx context.Context, addr string, commands wire.CommandRequest) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := transport.Send(ctx, c.http, http.MethodPost, "http://"+addr+commandsPath, commands)
	if err != nil && !connected.Load() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return resp, err
}
