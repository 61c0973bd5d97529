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

	"ambersill/internal/servertest"
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

// Guards against an answer without its list of tasks that counts as that of a machine without tasks. The
// commands may have been executed.
func TestIncompleteAnswerCountsAsSent(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusConflict} {
		addr := servertest.Start(t, status, wire.Heartbeat{Machine: "m-1", Address: "10.1.0.1:9000", MachineType: "g8", Zone: "a", Incarnation: 1})
		client := New(transport.TCP{}, time.Second)
		t.Cleanup(client.http.CloseIdleConnections)
		heartbeat, executed, err := client.SendCommands(context.Background(), addr, wire.CommandRequest{})
		var missing *wire.ValidationError
		if heartbeat != nil || executed || errors.Is(err, ErrNotSent) || !errors.As(err, &missing) {
			t.Errorf("answer with status %d and without tasks: got %+v, executed %v, error %v, want a ValidationError only", status, heartbeat, executed, err)
		}
	}
}
