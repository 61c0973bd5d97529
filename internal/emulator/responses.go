package emulator

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"ambersill/internal/wire"
)

// unavailableReason is the reason in the answers to requests that a fault refuses with 503.
const unavailableReason = "trouble"

// bufferedResponse buffers a response until its handler has returned and holds no lock, since
// a host that is frozen does not read it.
type bufferedResponse struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

func newBufferedResponse(w http.ResponseWriter) *bufferedResponse {
	return &bufferedResponse{ResponseWriter: w, status: http.StatusOK}
}

// WriteHeader sets the status to send.
func (r *bufferedResponse) WriteHeader(status int) { r.status = status }

// Write appends to the body to send.
func (r *bufferedResponse) Write(b []byte) (int, error) { return r.body.Write(b) }

// send sends the response.
func (r *bufferedResponse) send() {
	r.ResponseWriter.WriteHeader(r.status)
	_, _ = r.ResponseWriter.Write(r.body.Bytes())
}

// bufferResponses sends a handler's responses after it has returned.
func bufferResponses(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := newBufferedResponse(w)
		h.ServeHTTP(response, r)
		response.send()
	})
}

// writeResponse sends a message.
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

// writeError refuses a request.
func writeError(w http.ResponseWriter, status int, reason string) {
	writeResponse(w, status, wire.ErrorResponse{Error: reason})
}

// readRequest decodes a request's body. If that fails it answers 400 and returns false.
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

// requestedPageSize returns how many items a listing request asks for, and the maximum if it names no
// number that is allowed.
func requestedPageSize(r *http.Request, maximum int) int {
	size, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || size < 1 || size > maximum {
		return maximum
	}
	return size
}

// executeWithFault executes a request and answers it, as far as the fault lets it.
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
