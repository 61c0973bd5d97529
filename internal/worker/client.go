// Package worker sends orders straight to workers.
package worker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// Client talks to workers.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// New makes a client that waits for an answer for the given time at most.
func New(n transport.Net, timeout time.Duration) *Client {
	return &Client{timeout: timeout, http: transport.Client(n, 1, maxIdle, timeout)}
}

// maxIdle is how many connections to workers are kept open; each is a socket.
const maxIdle = 64

// Order sends orders. executed is true only if the worker carried them out; on
// an error they may still be, for as long as token and session match.
func (c *Client) Order(ctx context.Context, addr string, o wire.Orders) (r *wire.Report, executed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := transport.Send(ctx, c.http, http.MethodPost, "http://"+addr+"/orders", o)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, false, fmt.Errorf("worker: status %d", resp.StatusCode)
	}
	var rep wire.Report
	if err := wire.ReadReply(resp.Body, &rep); err != nil {
		return nil, false, err
	}
	return &rep, resp.StatusCode == http.StatusOK, nil
}
