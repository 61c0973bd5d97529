package workerclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

var errUnreachable = errors.New("unreachable")

// unreachableNet is a network on which every attempt to connect fails.
type unreachableNet struct{ transport.TCP }

func (unreachableNet) Dial(context.Context, string) (net.Conn, error) { return nil, errUnreachable }

func TestFailedConnectionMeansNotSent(t *testing.T) {
	client := New(unreachableNet{}, time.Second)
	_, executed, err := client.SendCommands(context.Background(), "10.0.0.1:1", wire.CommandRequest{})
	if executed || !errors.Is(err, ErrNotSent) || !errors.Is(err, errUnreachable) || !strings.Contains(err.Error(), "10.0.0.1:1") {
		t.Fatal(executed, err)
	}
}

func TestUnexpectedStatusCountsAsSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	client := New(transport.TCP{}, time.Second)
	t.Cleanup(client.http.CloseIdleConnections)
	_, executed, err := client.SendCommands(context.Background(), strings.TrimPrefix(server.URL, "http://"), wire.CommandRequest{})
	var status *transport.StatusError
	if executed || errors.Is(err, ErrNotSent) || !errors.As(err, &status) || status.Code != http.StatusNotFound {
		t.Fatal(executed, err)
	}
}
