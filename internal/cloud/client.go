// Package cloud is the client of the cloud that rents out machines.
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

// Errors that callers distinguish with errors.Is.
var (
	// ErrNoCapacity reports that the cloud has no machine of this type and zone, spot or
	// on demand as asked for, at present.
	ErrNoCapacity = errors.New("no capacity")
	// ErrRequestFailed reports that the request was refused for another reason or left
	// unanswered; it may have been executed.
	ErrRequestFailed = errors.New("request failed")
)

// reasonNoCapacity is the cloud's reason for refusing a rental for lack of machines.
const reasonNoCapacity = "no capacity"

const (
	maxConns       = 4
	connectTimeout = 2 * time.Second
	// requestTimeout is long, since rentals are slower than reads; a lost one is repeated.
	requestTimeout = 10 * time.Second
	// pageSize is the most machines that the cloud lists at once.
	pageSize = 500
	// rateFraction is the fraction of the cloud's rate limit that is used; the rest is margin.
	rateFraction = 0.8
)

// OperationError reports which operation failed, and what it was for.
type OperationError struct {
	Operation string
	Target    string // a rental request or a machine type; empty if there is none
	Err       error
}

func (e *OperationError) Error() string {
	if e.Target == "" {
		return fmt.Sprintf("cloud: %s: %v", e.Operation, e.Err)
	}
	return fmt.Sprintf("cloud: %s %q: %v", e.Operation, e.Target, e.Err)
}

func (e *OperationError) Unwrap() error { return e.Err }

// Client sends requests to the cloud within its rate limit.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
}

// New returns a client for a cloud that serves the given number of requests per second.
func New(n transport.Net, addr string, requestsPerSecond float64) *Client {
	return &Client{
		base:    "http://" + addr,
		http:    transport.Client(n, maxConns, maxConns, connectTimeout),
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond*rateFraction), max(1, int(requestsPerSecond))),
	}
}

// Catalog reads the machine types with their present prices.
func (c *Client) Catalog(ctx context.Context) ([]wire.MachineType, error) {
	var catalog wire.Catalog
	if err := c.call(ctx, http.MethodGet, "/catalog", nil, &catalog); err != nil {
		return nil, &OperationError{Operation: "catalog", Err: err}
	}
	return catalog.Types, nil
}

// Rent rents machines and returns their IDs. The request's ID makes retries idempotent.
func (c *Client) Rent(ctx context.Context, rental wire.RentRequest) ([]string, error) {
	var rented wire.MachineIDs
	if err := c.call(ctx, http.MethodPost, "/hosts", rental, &rented); err != nil {
		return nil, &OperationError{Operation: "rent", Target: rental.RequestID, Err: err}
	}
	return rented.Machines, nil
}

// Return returns machines to the cloud. Without an error, they are gone with all that runs
// on them.
func (c *Client) Return(ctx context.Context, ids []string) error {
	err := c.call(ctx, http.MethodPost, "/hosts/return", wire.MachineIDs{Machines: ids}, nil)
	if err != nil {
		return &OperationError{Operation: "return", Target: fmt.Sprint(ids), Err: err}
	}
	return nil
}

// List reads the whole list of machines, which lags behind their actual state.
func (c *Client) List(ctx context.Context) ([]wire.CloudMachine, error) {
	var machines []wire.CloudMachine
	lastID := ""
	for {
		page, err := c.listPage(ctx, lastID)
		if err != nil {
			return nil, &OperationError{Operation: "list", Err: err}
		}
		machines = append(machines, page.Machines...)
		if !page.HasMore || len(page.Machines) == 0 {
			return machines, nil
		}
		lastID = page.Machines[len(page.Machines)-1].ID
	}
}

// listPage reads the page that follows a machine, or the first page if lastID is empty.
func (c *Client) listPage(ctx context.Context, lastID string) (wire.MachinePage, error) {
	path := fmt.Sprintf("/hosts?most=%d", pageSize)
	if lastID != "" {
		path += "&since=" + url.QueryEscape(lastID)
	}
	var page wire.MachinePage
	err := c.call(ctx, http.MethodGet, path, nil, &page)
	return page, err
}

func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp, err := transport.Send(ctx, c.http, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRequestFailed, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp)
	}
	if err := transport.Decode(resp, out); err != nil {
		return fmt.Errorf("%w: %w", ErrRequestFailed, err)
	}
	return nil
}

// responseError returns the error that a response other than 200 stands for.
func responseError(resp *http.Response) error {
	reason := transport.Reason(resp)
	if resp.StatusCode == http.StatusServiceUnavailable && reason == reasonNoCapacity {
		return ErrNoCapacity
	}
	cause := &transport.StatusError{Code: resp.StatusCode, Reason: reason}
	return fmt.Errorf("%w: %w", ErrRequestFailed, cause)
}
