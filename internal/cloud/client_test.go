package cloud

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"ambersill/internal/servertest"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// newTestClient returns a client of a cloud that answers every request with the same status and
// message.
func newTestClient(t *testing.T, status int, message any) *Client {
	t.Helper()
	client := New(transport.TCP{}, servertest.Start(t, status, message), 100)
	t.Cleanup(client.http.CloseIdleConnections)
	return client
}

func TestResponseDeterminesError(t *testing.T) {
	for _, test := range []struct {
		status   int
		reason   string
		want     error
		unwanted error
	}{
		{http.StatusServiceUnavailable, reasonNoCapacity, ErrNoCapacity, ErrRequestFailed},
		{http.StatusServiceUnavailable, "overloaded", ErrRequestFailed, ErrNoCapacity},
		{http.StatusBadRequest, reasonNoCapacity, ErrRequestFailed, ErrNoCapacity},
	} {
		client := newTestClient(t, test.status, wire.ErrorResponse{Error: test.reason})
		_, err := client.Rent(context.Background(), wire.RentRequest{RequestID: "r-1"})
		if !errors.Is(err, test.want) || errors.Is(err, test.unwanted) {
			t.Errorf("error after status %d with reason %q: got %v, want %v", test.status, test.reason, err, test.want)
		}
		var operation *OperationError
		if !errors.As(err, &operation) || operation.Operation != "rent" || operation.Target != "r-1" {
			t.Errorf("error after status %d with reason %q: got %v, want an OperationError with the rental request's ID", test.status, test.reason, err)
		}
	}
}

func TestUnreadableResponseFailsRequest(t *testing.T) {
	client := newTestClient(t, http.StatusOK, "text")
	if _, err := client.Catalog(context.Background()); !errors.Is(err, ErrRequestFailed) {
		t.Fatal(err)
	}
}

// Guards against answers without a list that count as no machine types, no rented machines or a list in
// which all machines have vanished.
func TestIncompleteAnswerFailsRequest(t *testing.T) {
	ctx := context.Background()
	for name, call := range map[string]func(client *Client) error{
		"catalog": func(client *Client) error { _, err := client.Catalog(ctx); return err },
		"rent":    func(client *Client) error { _, err := client.Rent(ctx, wire.RentRequest{RequestID: "r-1"}); return err },
		"list":    func(client *Client) error { _, err := client.List(ctx); return err },
	} {
		client := newTestClient(t, http.StatusOK, map[string]any{"hasNext": false})
		if err := call(client); !errors.Is(err, ErrRequestFailed) {
			t.Errorf("%s answered without a list: got error %v, want ErrRequestFailed", name, err)
		}
	}
}
