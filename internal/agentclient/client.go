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

// ErrNotSent tells that no connection came about, so the order has certainly not left.
var ErrNotSent = errors.New("worker: not reached")

// Client talks to workers.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// New makes a client that waits for an answer for the given time at most.
func New(n transport.Net, timeout time.Duration) *Client {
	return &Client{timeout: timeout, http: transport.Client(n, 1, tuning.IdleOrders, min(timeout, tuning.TakeoverTimeout))}
}

// SendCommands sends orders. executed is true only if the worker carried them out; on
// an error but ErrNotSent they may still be, for as long as token and session match.
func (c *Client) SendCommands(ctx context.Context, addr string, o wire.CommandRequest) (r *wire.Heartbeat, executed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	resp, err := transport.Send(ctx, c.http, http.MethodPost, "http://"+addr+"/orders", o)
	if err != nil {
		if !connected.Load() {
			return nil, false, fmt.Errorf("%w: %v", ErrNotSent, err)
		}
		return nil, false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, false, fmt.Errorf("worker: status %d", resp.StatusCode)
	}
	var rep wire.Heartbeat
	if err := wire.ReadResponse(resp.Body, &rep); err != nil {
		return nil, false, err
	}
	return &rep, resp.StatusCode == http.StatusOK, nil
}
