// Package api implements the HTTP interface for users, workers and health checks.
//
// Requests and responses are CBOR messages of package wire:
//
//	POST /work                 submit a job: 201 if the job is new, 200 if it exists
//	GET  /work/{id}            query a job: 200
//	POST /work/{id}/withdraw   cancel a job: 200
//	POST /agent/beat           heartbeat of a worker: 200, or 421 with the node to report to
//	GET  /up                   health check: 200, or 503
//
// A permanent error is returned with the status code of a PermanentError. A temporary error is
// returned as 503; responses to users then have a Retry-After header.
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

// Service processes the requests that the HTTP handler receives. Errors other than *PermanentError
// are treated as temporary.
type Service interface {
	// Submit decodes a job from a request body and stores it. It is idempotent.
	Submit(ctx context.Context, body []byte) (Submission, error)
	// Job returns the status of a job.
	Job(ctx context.Context, id string) (wire.JobStatus, error)
	// Cancel cancels a job and returns its status. It is idempotent.
	Cancel(ctx context.Context, id string) (wire.JobStatus, error)
	// Heartbeat processes the heartbeat of a worker and returns the result to send to it.
	Heartbeat(heartbeat *wire.Heartbeat) HeartbeatResult
	// Healthy reports whether the node can serve requests.
	Healthy() bool
}

// Submission is the result of submitting a job.
type Submission struct {
	Job   wire.JobStatus
	IsNew bool // false if the job existed before the request
}

// HeartbeatResult is the result of processing a heartbeat.
type HeartbeatResult struct {
	// Accepted reports whether the heartbeat was accepted. Response is sent only in that case.
	Accepted bool
	Response wire.HeartbeatResponse
	// RedirectTo names the node to which the worker should send its next heartbeat. It is
	// empty if the heartbeat was accepted or if no such node is known.
	RedirectTo string
}

// PermanentError is the error of a request that fails again if it is repeated.
type PermanentError struct {
	// Status is the HTTP status code, from 400 to 499.
	Status int
	// Reason is the error message sent to the user.
	Reason string
}

func (e *PermanentError) Error() string { return e.Reason }

// handler serves HTTP requests.
type handler struct {
	service            Service
	retryAfter         string        // value of the Retry-After header, in seconds
	userRequestTimeout time.Duration // timeout of a user's request
}

// Handler returns the HTTP handler for a service. Requests of users that take longer than
// userRequestTimeout are answered with 503 and a Retry-After header of retryAfterS seconds.
func Handler(service Service, retryAfterS int, userRequestTimeout time.Duration) http.Handler {
	h := &handler{service: service, retryAfter: strconv.Itoa(retryAfterS), userRequestTimeout: userRequestTimeout}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /work", h.submit)
	mux.HandleFunc("GET /work/{id}", h.job)
	mux.HandleFunc("POST /work/{id}/withdraw", h.cancel)
	mux.HandleFunc("POST /agent/beat", h.heartbeat)
	mux.HandleFunc("GET /up", h.health)
	return mux
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	body, ok := h.readBody(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.userRequestTimeout)
	defer cancel()
	submission, err := h.service.Submit(ctx, body)
	switch {
	case err != nil:
		h.writeError(w, err)
	case submission.IsNew:
		h.writeResponse(w, http.StatusCreated, submission.Job)
	default:
		h.writeResponse(w, http.StatusOK, submission.Job)
	}
}

func (h *handler) job(w http.ResponseWriter, r *http.Request) {
	h.serveJob(w, r, h.service.Job)
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	h.serveJob(w, r, h.service.Cancel)
}

// jobOperation is a method of Service that acts on the job with the given ID.
type jobOperation func(ctx context.Context, id string) (wire.JobStatus, error)

// serveJob applies an operation to the job named in the request path and responds with the status
// that the operation returns.
func (h *handler) serveJob(w http.ResponseWriter, r *http.Request, operation jobOperation) {
	ctx, cancel := context.WithTimeout(r.Context(), h.userRequestTimeout)
	defer cancel()
	status, err := operation(ctx, r.PathValue("id"))
	if err != nil {
		h.writeError(w, err)
		return
	}
	h.writeResponse(w, http.StatusOK, status)
}

func (h *handler) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, ok := h.readBody(w, r)
	if !ok {
		return
	}
	var heartbeat wire.Heartbeat
	if err := wire.Unmarshal(body, &heartbeat); err != nil {
		slog.Debug("heartbeat refused", "from", r.RemoteAddr, "err", err)
		h.writeResponse(w, http.StatusBadRequest, wire.ErrorResponse{Error: "not a report: " + err.Error()})
		return
	}
	result := h.service.Heartbeat(&heartbeat)
	switch {
	case result.Accepted:
		h.writeResponse(w, http.StatusOK, result.Response)
	case result.RedirectTo != "":
		h.writeResponse(w, http.StatusMisdirectedRequest, wire.Redirect{Node: result.RedirectTo})
	default:
		h.writeResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "not in charge"})
	}
}

// healthResponse is the response to a health check if the node can serve requests.
type healthResponse struct {
	State string `cbor:"state"`
}

// healthyState is the state in a healthResponse. Unhealthy nodes respond with an ErrorResponse.
const healthyState = "ok"

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	if !h.service.Healthy() {
		h.writeResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "not ready"})
		return
	}
	h.writeResponse(w, http.StatusOK, healthResponse{State: healthyState})
}

// readBody reads the body of a request. If reading fails or the body exceeds wire.MaxBodyBytes, it
// responds with 400 and returns false.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		h.writeResponse(w, http.StatusBadRequest, wire.ErrorResponse{Error: "body not read, or too large"})
		return nil, false
	}
	return body, true
}

// writeError responds to a PermanentError with its status code and reason, and to other errors with
// 503 and Retry-After.
func (h *handler) writeError(w http.ResponseWriter, err error) {
	if permanentErr, ok := errors.AsType[*PermanentError](err); ok {
		h.writeResponse(w, permanentErr.Status, wire.ErrorResponse{Error: permanentErr.Reason})
		return
	}
	slog.Debug("user request failed temporarily", "err", err)
	w.Header().Set("Retry-After", h.retryAfter)
	h.writeResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "come back later"})
}

func (h *handler) writeResponse(w http.ResponseWriter, status int, message any) {
	body, err := wire.Marshal(message)
	if err != nil {
		slog.Error("encoding response failed", "err", err)
		status, body = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
