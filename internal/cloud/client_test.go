package cloud

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// newTestClient returns a client of a cloud that answers every request alike.
func newTestClient(t *testing.T, status int, message any) *Client {
	t.Helper()
	body, err := wire.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	client := New(transport.TCP{}, strings.TrimPrefix(server.URL, "http://"), 100)
	t.Cleanup(client.http.CloseIdleConnections)
	return client
}

func TestResponseDeterminesError(t *testing.T) {
	for _, test := range []struct {
		status int
		reason string
		want   error
		other  error
	}{
		{http.StatusServiceUnavailable, reasonNoCapacity, ErrNoCapacity, ErrRequestFailed},
		{http.StatusServiceUnavailable, "overloaded", ErrRequestFailed, ErrNoCapacity},
		{http.StatusBadRequest, reasonNoCapacity, ErrRequestFailed, ErrNoCapacity},
	} {
		client := newTestClient(t, test.status, wire.ErrorResponse{Error: test.reason})
		_, err := client.Rent(context.Background(), wire.RentRequest{RequestID: "r-1"})
		if !errors.Is(err, test.want) || errors.Is(err, test.other) {
			t.Errorf("status %d %q: got %v, want %v", test.status, test.reason, err, test.want)
		}
		var operation *OperationError
		if !errors.As(err, &operation) || operation.Operation != "rent" || operation.Target != "r-1" {
			t.Errorf("status %d %q: %v does not name the rental", test.status, test.reason, err)
		}
	}
}

func TestUnreadableResponseFailsRequest(t *testing.T) {
	client := newTestClient(t, http.StatusOK, "text")
	if _, err := client.Catalog(context.Background()); !errors.Is(err, ErrRequestFailed) {
		t.Fatal(err)
	}
}
