// Package cloud is the client of the cloud provider from which machines are rented.
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
	// ErrNoCapacity is returned if the cloud has at present no machine of the requested type
	// and zone, on the requested terms (spot or on demand).
	ErrNoCapacity = errors.New("no capacity")
	// ErrRequestFailed is returned if the request was refused for another reason, or got no
	// valid response. It may have been executed.
	ErrRequestFailed = errors.New("request failed")
)

// reasonNoCapacity is the reason that the cloud gives if it has no machines for a rental.
const reasonNoCapacity = "no capacity"

const (
	maxConns       = 4
	connectTimeout = 2 * time.Second
	// requestTimeout allows for rentals, which take the cloud longer than reads. A rental
	// whose response is lost is retried with the same request ID.
	requestTimeout = 10 * time.Second
	// pageSize is the largest number of machines that the cloud returns in one page of the list.
	pageSize = 500
	// usedRateFraction is the fraction of the cloud's rate limit that this client uses. The rest
	// is a safety margin.
	usedRateFraction = 0.8
)

// OperationError names the operation that failed and its target.
type OperationError struct {
	Operation string
	Target    string // the request ID of a rental or a list of machine IDs; empty if there is none
	Err       error
}

func (e *OperationError) Error() string {
	if e.Target == "" {
		return fmt.Sprintf("cloud: %s: %v", e.Operation, e.Err)
	}
	return fmt.Sprintf("cloud: %s %q: %v", e.Operation, e.Target, e.Err)
}

func (e *OperationError) Unwrap() error { return e.Err }

// Client sends requests to the cloud, at no more than usedRateFraction of its rate limit.
type Client struct {
	baseURL string
	http    *http.Client
	limiter *rate.Limiter
}

// New returns a client for a cloud whose rate limit is requestsPerSecond.
func New(network transport.Net, addr string, requestsPerSecond float64) *Client {
	return &Client{
		baseURL: "http://" + addr,
		http:    transport.Client(network, maxConns, maxConns, connectTimeout),
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond*usedRateFraction), max(1, int(requestsPerSecond))),
	}
}

// Catalog returns the machine types with their current prices.
func (c *Client) Catalog(ctx context.Context) ([]wire.MachineType, error) {
	var catalog wire.Catalog
	if err := c.call(ctx, http.MethodGet, "/catalog", nil, &catalog); err != nil {
		return nil, &OperationError{Operation: "read catalog", Err: err}
	}
	return catalog.Types, nil
}

// Rent rents machines and returns their IDs. A retry with the same request ID does not rent
// machines again.
func (c *Client) Rent(ctx context.Context, rental wire.RentRequest) ([]string, error) {
	var rented wire.MachineIDs
	if err := c.call(ctx, http.MethodPost, "/hosts", rental, &rented); err != nil {
		return nil, &OperationError{Operation: "rent", Target: rental.RequestID, Err: err}
	}
	return rented.Machines, nil
}

// Return gives machines back to the cloud. If it returns no error, the cloud has stopped the
// machines and everything that ran on them.
func (c *Client) Return(ctx context.Context, ids []string) error {
	err := c.call(ctx, http.MethodPost, "/hosts/return", wire.MachineIDs{Machines: ids}, nil)
	if err != nil {
		return &OperationError{Operation: "return machines", Target: fmt.Sprint(ids), Err: err}
	}
	return nil
}

// List returns all rented machines. The cloud updates the list with a delay, so that it may not
// show the current state of a machine.
func (c *Client) List(ctx context.Context) ([]wire.CloudMachine, error) {
	var machines []wire.CloudMachine
	lastID := ""
	for {
		page, err := c.listPage(ctx, lastID)
		if err != nil {
			return nil, &OperationError{Operation: "list machines", Err: err}
		}
		machines = append(machines, page.Machines...)
		if !page.HasMore || len(page.Machines) == 0 {
			return machines, nil
		}
		lastID = page.Machines[len(page.Machines)-1].ID
	}
}

// listPage reads the page that follows the machine lastID, or the first page if lastID is empty.
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
	resp, err := transport.Send(ctx, c.http, method, c.baseURL+path, body)
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

// responseError returns the error that a response with a status other than 200 represents.
func responseError(resp *http.Response) error {
	reason := transport.Reason(resp)
	if resp.StatusCode == http.StatusServiceUnavailable && reason == reasonNoCapacity {
		return ErrNoCapacity
	}
	cause := &transport.StatusError{Code: resp.StatusCode, Reason: reason}
	return fmt.Errorf("%w: %w", ErrRequestFailed, cause)
}
