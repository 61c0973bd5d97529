// Package cloud is the client of the cloud that rents machines.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"

	"golang.org/x/time/rate"
)

// Errors that callers tell apart.
var (
	// ErrNoCapacity: none of this type, zone and kind is to be had now.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrRequestFailed: refused for another reason, or unanswered; it may have been executed.
	ErrRequestFailed = errors.New("cloud: trouble")
)

// Client talks to the cloud within its call rate.
type Client struct {
	base string
	http *http.Client
	rate *rate.Limiter
}

const (
	connect  = 2 * time.Second
	timeout  = 10 * time.Second // rentals are slower than reads; a lost one is repeated
	pageSize = 500              // the most that the cloud lists at once
)

// New makes a client that stays under rps calls a second.
func New(n transport.Net, addr string, rps float64) *Client {
	return &Client{
		base: "http://" + addr,
		http: transport.Client(n, 4, 4, connect),
		rate: rate.NewLimiter(rate.Limit(rps*0.8), max(1, int(rps))),
	}
}

func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	if err := c.rate.Wait(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := transport.Send(ctx, c.http, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrRequestFailed, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		if out == nil {
			transport.Discard(resp)
			return nil
		}
		if err := wire.ReadResponse(resp.Body, out); err != nil {
			return fmt.Errorf("%w: %v", ErrRequestFailed, err)
		}
		return nil
	}
	var problem wire.ErrorResponse
	_ = wire.ReadResponse(resp.Body, &problem)
	if resp.StatusCode == http.StatusServiceUnavailable && problem.Error == "no capacity" {
		return ErrNoCapacity
	}
	return fmt.Errorf("%w: status %d %s", ErrRequestFailed, resp.StatusCode, problem.Error)
}

// Catalog reads the machine types with their present prices.
func (c *Client) Catalog(ctx context.Context) ([]wire.MachineType, error) {
	var r wire.Catalog
	err := c.call(ctx, http.MethodGet, "/catalog", nil, &r)
	return r.Types, err
}

// Rent asks for machines. The request's name makes repeats harmless.
func (c *Client) Rent(ctx context.Context, r wire.RentRequest) ([]string, error) {
	var n wire.MachineIDs
	err := c.call(ctx, http.MethodPost, "/hosts", r, &n)
	return n.Machines, err
}

// Return gives machines back; nil means that they and all on them are gone.
func (c *Client) Return(ctx context.Context, ids []string) error {
	return c.call(ctx, http.MethodPost, "/hosts/return", wire.MachineIDs{Machines: ids}, nil)
}

// List reads the whole list of machines, which lags.
func (c *Client) List(ctx context.Context) ([]wire.CloudMachine, error) {
	var all []wire.CloudMachine
	since := ""
	for {
		q := fmt.Sprintf("/hosts?most=%d", pageSize)
		if since != "" {
			q += "&since=" + url.QueryEscape(since)
		}
		var p wire.MachinePage
		if err := c.call(ctx, http.MethodGet, q, nil, &p); err != nil {
			return nil, err
		}
		all = append(all, p.Machines...)
		if !p.More || len(p.Machines) == 0 {
			return all, nil
		}
		since = p.Machines[len(p.Machines)-1].ID
	}
}
