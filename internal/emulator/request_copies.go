package emulator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ambersill/internal/transport"
)

// requestCopyFunc returns the times after which copies of a request are executed.
type requestCopyFunc func(r *http.Request) []time.Duration

// RequestCopyDelays returns the times after which the active faults have copies of a request executed.
func (f *FaultInjector) RequestCopyDelays(r *http.Request) []time.Duration {
	var delays []time.Duration
	for _, requestCopies := range f.requestFaults.functions() {
		delays = append(delays, requestCopies(r)...)
	}
	return delays
}

// copyRequests has copies of requests executed with the fault's Probability, up to the fault's Delay
// after the requests. As with copyCommands, its random numbers are its own.
func (f *FaultInjector) copyRequests(ctx context.Context, fault Fault) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(uint64(fault.Start), uint64(fault.Delay)))
	remove := f.requestFaults.add(func(*http.Request) []time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= fault.Probability {
			return nil
		}
		f.countInjected(fault.Kind, 1)
		return []time.Duration{minCopyDelay + time.Duration(random.Float64()*float64(fault.Delay))}
	})
	waitUntilOver(ctx, fault)
	remove()
}

// RepeatRequests returns a handler that executes late copies of requests which the given handler has
// executed and answered, other than reads. delays returns the times after which a request is executed
// again; nobody receives the responses of the copies. Copies under way when ctx ends are lost.
func RepeatRequests(ctx context.Context, handler http.Handler, delays func(r *http.Request) []time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			handler.ServeHTTP(w, r)
			return
		}
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
					executeCopy(handler, copied)
				}
			}()
		}
	})
}

// executeCopy executes a copy of a request. A fault that breaks the connection has no further effect.
func executeCopy(handler http.Handler, r *http.Request) {
	defer func() {
		reason := recover()
		if err, isError := reason.(error); reason == nil || (isError && errors.Is(err, http.ErrAbortHandler)) {
			return
		}
		panic(reason)
	}()
	handler.ServeHTTP(newBufferedResponse(discardedResponse{}), r)
}

// discardedResponse is the response to a copy of a request.
type discardedResponse struct{}

// Header returns a header that nobody reads.
func (discardedResponse) Header() http.Header { return http.Header{} }

// Write discards the body.
func (discardedResponse) Write(body []byte) (int, error) { return len(body), nil }

// WriteHeader discards the status.
func (discardedResponse) WriteHeader(int) {}
