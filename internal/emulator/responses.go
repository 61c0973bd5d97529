package emulator

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"ambersill/internal/wire"
)

// unavailableReason is the error text in responses with status 503 that an injected fault causes.
const unavailableReason = "trouble"

// bufferedResponse buffers a response until its handler has returned and has released its locks,
// because a frozen host does not read responses, and the handler must not wait for it while it
// holds a lock.
type bufferedResponse struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

func newBufferedResponse(w http.ResponseWriter) *bufferedResponse {
	return &bufferedResponse{ResponseWriter: w, status: http.StatusOK}
}

// WriteHeader sets the status for send.
func (r *bufferedResponse) WriteHeader(status int) { r.status = status }

// Write appends to the body for send.
func (r *bufferedResponse) Write(b []byte) (int, error) { return r.body.Write(b) }

// send writes the buffered status and body to the client.
func (r *bufferedResponse) send() {
	r.ResponseWriter.WriteHeader(r.status)
	_, _ = r.ResponseWriter.Write(r.body.Bytes())
}

// bufferResponses returns a handler that runs h and sends its response after h has returned.
func bufferResponses(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := newBufferedResponse(w)
		h.ServeHTTP(response, r)
		response.send()
	})
}

// writeResponse encodes a message and sends it with the given status, or an empty body with status
// 500 if the message cannot be encoded.
func writeResponse(w http.ResponseWriter, status int, message any) {
	body, err := wire.Marshal(message)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// writeError sends an error response with the given status and reason.
func writeError(w http.ResponseWriter, status int, reason string) {
	writeResponse(w, status, wire.ErrorResponse{Error: reason})
}

// readRequest decodes a request's body into message. If that fails, it sends an error response
// with status 400 and returns false.
func readRequest(w http.ResponseWriter, r *http.Request, message any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err == nil {
		err = wire.Unmarshal(body, message)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// requestedPageSize returns the number of items that a list request asks for, or the maximum if
// the request gives no number from 1 to the maximum.
func requestedPageSize(r *http.Request, maximum int) int {
	size, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || size < 1 || size > maximum {
		return maximum
	}
	return size
}

// executeWithFault executes a request and sends the response, unless the injected fault prevents
// that. RefuseRequest responds with status 503 and does not execute the request. LoseResponse
// executes the request and closes the connection. ExecuteLate closes the connection and executes
// the request after the delay.
func executeWithFault(w http.ResponseWriter, fault RequestFault, delay time.Duration, execute func() (status int, body any)) {
	switch fault {
	case RefuseRequest:
		writeError(w, http.StatusServiceUnavailable, unavailableReason)
	case LoseResponse:
		execute()
		panic(http.ErrAbortHandler)
	case ExecuteLate:
		time.AfterFunc(delay, func() { execute() })
		panic(http.ErrAbortHandler)
	default:
		status, body := execute()
		writeResponse(w, status, body)
	}
}
