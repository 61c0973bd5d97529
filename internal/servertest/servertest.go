// Package servertest starts HTTP servers with a fixed response, for tests of HTTP clients.
package servertest

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ambersill/internal/wire"
)

// Start starts a server on a loopback address that answers every request with the given status
// and encoded message. It returns the server's address. The server stops when the test ends.
func Start(t *testing.T, status int, message any) string {
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
	return strings.TrimPrefix(server.URL, "http://")
}
