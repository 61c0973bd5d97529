package emulator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"ambersill/internal/transport"
)

// RepeatRequests returns a handler that executes late copies of requests which the given handler has
// executed and answered. delays returns the times after which a request is executed again; nobody
// receives the responses of the copies. Copies under way when ctx ends are lost.
func RepeatRequests(ctx context.Context, handler http.Handler, delays func(r *http.Request) []time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		response := newBufferedResponse(w)
		handler.ServeHTTP(response, r)
		response.send()
		if response.status != http.StatusOK {
			return // nothing was changed
		}
		for _, delay := range delays(r) {
			copied := r.Clone(ctx)
			copied.Body = io.NopCloser(bytes.NewReader(body))
			go func() {
				transport.Pause(ctx, delay)
				if ctx.Err() == nil {
					handler.ServeHTTP(newBufferedResponse(discardedResponse{}), copied)
				}
			}()
		}
	})
}

// discardedResponse is the response to a copy of a request.
type discardedResponse struct{}

// Header returns a header that nobody reads.
func (discardedResponse) Header() http.Header { return http.Header{} }

// Write discards the body.
func (discardedResponse) Write(body []byte) (int, error) { return len(body), nil }

// WriteHeader discards the status.
func (discardedResponse) WriteHeader(int) {}
