// Package servertest gives the tests of HTTP clients a server to talk to.
package servertest

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ambersill/internal/wire"
)

// Start starts a server on loopback that answers every request with the status and the
// message, and returns its address. The server ends with the test.
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
