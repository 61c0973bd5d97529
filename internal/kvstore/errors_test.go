package kvstore

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"ambersill/internal/servertest"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

const testKey = "jobs/req-7"

// newTestClient returns a client of a store that answers every request with the same status
// and message.
func newTestClient(t *testing.T, status int, message any) *Client {
	t.Helper()
	client := New(Options{
		Net:         transport.TCP{},
		Addr:        servertest.Start(t, status, message),
		Timeout:     time.Second,
		RequestRate: 100,
		WriteRate:   100,
	})
	t.Cleanup(client.requestHTTP.CloseIdleConnections)
	return client
}

func commitOneKey(client *Client) error {
	_, err := client.Commit(context.Background(), wire.Txn{Writes: []wire.Write{{Put: testKey, Value: 1}}})
	return err
}

func TestStatusDeterminesError(t *testing.T) {
	for _, test := range []struct {
		status int
		reason string
		want   error
	}{
		{http.StatusNotFound, "", ErrNotFound},
		{http.StatusGone, "", ErrCompacted},
		{http.StatusTooManyRequests, "", ErrRefused},
		{http.StatusServiceUnavailable, "", ErrRefused},
		{http.StatusBadRequest, "too large", ErrInvalid},
		{http.StatusBadRequest, reasonLeaseNotFound, ErrLeaseNotFound},
	} {
		client := newTestClient(t, test.status, wire.ErrorResponse{Error: test.reason})
		err := commitOneKey(client)
		if !errors.Is(err, test.want) {
			t.Errorf("error after status %d with reason %q: got %v, want %v", test.status, test.reason, err, test.want)
		}
		var operation *OperationError
		if !errors.As(err, &operation) || operation.Operation != "commit" || operation.Target != testKey {
			t.Errorf("error after status %d with reason %q: got %v, want an OperationError with the operation and the key", test.status, test.reason, err)
		}
	}
}

func TestUnexpectedStatusIsReturned(t *testing.T) {
	client := newTestClient(t, http.StatusTeapot, wire.ErrorResponse{Error: "no coffee"})
	_, err := client.Get(context.Background(), testKey)
	var status *transport.StatusError
	if !errors.As(err, &status) || status.Code != http.StatusTeapot || status.Reason != "no coffee" {
		t.Fatal(err)
	}
}

func TestConflictNamesKeys(t *testing.T) {
	client := newTestClient(t, http.StatusConflict, wire.TxnResponse{Failed: []string{testKey}})
	err := commitOneKey(client)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || len(conflict.Keys) != 1 || conflict.Keys[0] != testKey {
		t.Fatal(err)
	}
}

// If the response cannot be decoded, the client cannot know whether the transaction was
// executed, even if the status is 200 or 409.
func TestUnreadableResponseLeavesOutcomeUnknown(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusConflict} {
		if err := commitOneKey(newTestClient(t, status, "text")); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("error after status %d and an undecodable body: got %v, want ErrOutcomeUnknown", status, err)
		}
	}
}

func TestUnansweredRequestKeepsCause(t *testing.T) {
	client := newTestClient(t, http.StatusOK, wire.KeyValue{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := client.call(ctx, request{operation: "get", target: testKey, method: http.MethodGet, path: "/store/" + testKey}, nil)
	if !errors.Is(err, ErrOutcomeUnknown) || !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	if served, refused, unanswered := client.RequestCounts(); served != 0 || refused != 0 || unanswered != 1 {
		t.Fatal(served, refused, unanswered)
	}
}

func TestRateLimitReturnsErrRefused(t *testing.T) {
	client := newTestClient(t, http.StatusOK, wire.KeyValue{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := client.Get(ctx, testKey); !errors.Is(err, ErrRefused) || !errors.Is(err, errRateLimited) {
		t.Fatal(err)
	}
}

// Guards against answers without a list or a revision that count as an empty listing, as no change, as a
// conflict on no key or as a commit at revision 0.
func TestIncompleteAnswerLeavesOutcomeUnknown(t *testing.T) {
	ctx := context.Background()
	empty := map[string]any{}
	for name, call := range map[string]func(client *Client) error{
		"get":    func(client *Client) error { _, err := client.Get(ctx, testKey); return err },
		"list":   func(client *Client) error { _, _, err := client.List(ctx, "a/"); return err },
		"watch":  func(client *Client) error { _, err := client.Watch(ctx, "a/", 1, 0); return err },
		"grant":  func(client *Client) error { _, err := client.GrantLease(ctx, time.Second); return err },
		"commit": commitOneKey,
	} {
		if err := call(newTestClient(t, http.StatusOK, empty)); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("%s answered with a map without fields: got error %v, want ErrOutcomeUnknown", name, err)
		}
	}
	withoutKeys := wire.TxnResponse{Revision: 7}
	if err := commitOneKey(newTestClient(t, http.StatusConflict, withoutKeys)); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("conflict without keys: got error %v, want ErrOutcomeUnknown", err)
	}
}
