// Package api is the HTTP face for users, workers and health checks.
package api

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"ambersill/internal/wire"
)

// Service is what stands behind the interface.
type Service interface {
	Submit(ctx context.Context, body []byte) (v wire.JobStatus, created bool, err error)
	Job(ctx context.Context, id string) (wire.JobStatus, error)
	Cancel(ctx context.Context, id string) (wire.JobStatus, error)
	// Report answers a worker; if not ok, node names whom it should report to.
	Heartbeat(r *wire.Heartbeat) (reply wire.HeartbeatResponse, node string, ok bool)
	Healthy() bool
}

// StatusError is an error with a final answer for the user. Any other error means
// that the user should come back.
type StatusError struct {
	Status int
	Reason string
}

func (r *StatusError) Error() string { return r.Reason }

type server struct {
	service Service
	retry   string
	wait    time.Duration
}

// Handler makes the HTTP handler. Users' requests that take longer than wait
// are refused with the advice to come back after retryAfter seconds.
func Handler(s Service, retryAfter int, wait time.Duration) http.Handler {
	h := &server{service: s, retry: strconv.Itoa(retryAfter), wait: wait}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /work", h.submit)
	mux.HandleFunc("GET /work/{id}", h.job)
	mux.HandleFunc("POST /work/{id}/withdraw", h.cancel)
	mux.HandleFunc("POST /agent/beat", h.report)
	mux.HandleFunc("GET /up", h.up)
	return mux
}

// body reads a request's body; on failure the answer has been given.
func (h *server) body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		h.send(w, http.StatusBadRequest, wire.ErrorResponse{Error: "body not read, or too large"})
		return nil, false
	}
	return b, true
}

func (h *server) send(w http.ResponseWriter, status int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		slog.Error("answer not encoded", "err", err)
		status, b = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (h *server) fail(w http.ResponseWriter, err error) {
	var r *StatusError
	if errors.As(err, &r) {
		h.send(w, r.Status, wire.ErrorResponse{Error: r.Reason})
		return
	}
	slog.Debug("request refused for now", "err", err)
	w.Header().Set("Retry-After", h.retry)
	h.send(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "come back later"})
}

func (h *server) submit(w http.ResponseWriter, r *http.Request) {
	b, ok := h.body(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.wait)
	defer cancel()
	v, created, err := h.service.Submit(ctx, b)
	switch {
	case err != nil:
		h.fail(w, err)
	case created:
		h.send(w, http.StatusCreated, v)
	default:
		h.send(w, http.StatusOK, v)
	}
}

func (h *server) job(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), h.wait)
	defer cancel()
	h.answer(w)(h.service.Job(ctx, r.PathValue("id")))
}

func (h *server) cancel(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), h.wait)
	defer cancel()
	h.answer(w)(h.service.Cancel(ctx, r.PathValue("id")))
}

func (h *server) answer(w http.ResponseWriter) func(wire.JobStatus, error) {
	return func(v wire.JobStatus, err error) {
		if err != nil {
			h.fail(w, err)
			return
		}
		h.send(w, http.StatusOK, v)
	}
}

func (h *server) report(w http.ResponseWriter, r *http.Request) {
	b, ok := h.body(w, r)
	if !ok {
		return
	}
	var rep wire.Heartbeat
	if err := wire.Unmarshal(b, &rep); err != nil || rep.Machine == "" {
		h.send(w, http.StatusBadRequest, wire.ErrorResponse{Error: "not a report"})
		return
	}
	reply, node, ok := h.service.Heartbeat(&rep)
	switch {
	case ok:
		h.send(w, http.StatusOK, reply)
	case node != "":
		h.send(w, http.StatusMisdirectedRequest, wire.Redirect{Node: node})
	default:
		h.send(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "not in charge"})
	}
}

func (h *server) up(w http.ResponseWriter, r *http.Request) {
	if !h.service.Healthy() {
		h.send(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "not ready"})
		return
	}
	h.send(w, http.StatusOK, map[string]string{"state": "ok"})
}
