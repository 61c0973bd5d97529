// Package agentclient sends commands directly to the agents on worker machines.
package agentclient

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

// ErrNotSent reports that there was no connection, so that the commands have certainly not
// left this node.
var ErrNotSent = errors.New("commands not sent")

// connsPerAgent bounds the sockets that one silent machine can occupy.
const connsPerAgent = 1

// commandsPath is where agents accept commands.
const commandsPath = "/orders"

// Client sends commands to agents.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// New returns a client that waits for a response for at most the given time.
func New(n transport.Net, timeout time.Duration) *Client {
	connectTimeout := min(timeout, tuning.FencingTimeout)
	return &Client{
		timeout: timeout,
		http:    transport.Client(n, connsPerAgent, tuning.MaxIdleWorkerConns, connectTimeout),
	}
}

// SendCommands sends commands to the agent at an address, and returns the heartbeat that it
// answers with. executed reports whether the agent executed them. After an error other than
// ErrNotSent it may still do so, as long as fencing token and incarnation match.
func (c *Client) SendCommands(ctx context.Context, addr string, commands wire.CommandRequest) (heartbeat *wire.Heartbeat, executed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.post(ctx, addr, commands)
	if err != nil {
		return nil, false, fmt.Errorf("agent at %s: %w", addr, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, false, fmt.Errorf("agent at %s: %w", addr, &transport.StatusError{Code: resp.StatusCode})
	}
	heartbeat = &wire.Heartbeat{}
	if err := wire.ReadResponse(resp.Body, heartbeat); err != nil {
		return nil, false, fmt.Errorf("agent at %s: reading the heartbeat: %w", addr, err)
	}
	return heartbeat, resp.StatusCode == http.StatusOK, nil
}

// post sends the request, and returns ErrNotSent if it failed before there was a connection.
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
