package api

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ambersill/internal/wire"
)

// jobService returns err for each query of a job. The tests call no other method of it.
type jobService struct {
	Service
	err error
}

func (s jobService) Job(context.Context, string) (wire.JobStatus, error) {
	return wire.JobStatus{}, s.err
}

// nodeService returns fixed results for heartbeats and health checks. The tests call no other
// method of it.
type nodeService struct {
	Service
	result  HeartbeatResult
	healthy bool
}

func (s nodeService) Heartbeat(*wire.Heartbeat) HeartbeatResult { return s.result }

func (s nodeService) Healthy() bool { return s.healthy }

// emptyMachineHeartbeat is the heartbeat of a machine without tasks.
var emptyMachineHeartbeat = wire.Heartbeat{
	Machine:     "m-1",
	Address:     "10.1.0.1:9000",
	MachineType: "g8",
	Zone:        "a",
	Incarnation: 1,
	Tasks:       []wire.TaskStatus{},
}

// Guards against a heartbeat without its list of tasks that is answered as that of an empty machine. The
// answer names the missing field.
func TestIncompleteHeartbeatIsRefused(t *testing.T) {
	accepting := nodeService{result: HeartbeatResult{Accepted: true}}
	withoutTasks := emptyMachineHeartbeat
	withoutTasks.Tasks = nil // encoded as null
	for _, test := range []struct {
		heartbeat any
		problem   string
	}{
		{withoutTasks, "not a report: pieces: missing"},
		{map[string]string{}, "not a report: windfall: missing"},
	} {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/agent/beat", bytes.NewReader(encode(t, test.heartbeat)))
		checkResponse(t, accepting, request, http.StatusBadRequest, wire.ErrorResponse{Error: test.problem})
	}
}

func TestHeartbeatResponses(t *testing.T) {
	response := wire.HeartbeatResponse{FencingToken: 7, Commands: []wire.Command{}}
	tests := []struct {
		name   string
		result HeartbeatResult
		status int
		body   any
	}{
		{
			name:   "accepted",
			result: HeartbeatResult{Accepted: true, Response: response},
			status: http.StatusOK,
			body:   response,
		},
		{
			name:   "redirected",
			result: HeartbeatResult{RedirectTo: "node-1"},
			status: http.StatusMisdirectedRequest,
			body:   wire.Redirect{Node: "node-1"},
		},
		{
			name:   "refused",
			result: HeartbeatResult{},
			status: http.StatusServiceUnavailable,
			body:   wire.ErrorResponse{Error: "not in charge"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			body := encode(t, emptyMachineHeartbeat)
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/agent/beat", bytes.NewReader(body))
			checkResponse(t, nodeService{result: test.result}, request, test.status, test.body)
		})
	}
}

func TestHealthCheckResponses(t *testing.T) {
	tests := []struct {
		name    string
		healthy bool
		status  int
		body    any
	}{
		{"healthy", true, http.StatusOK, map[string]string{"state": "ok"}},
		{"unhealthy", false, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "not ready"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/up", nil)
			checkResponse(t, nodeService{healthy: test.healthy}, request, test.status, test.body)
		})
	}
}

// checkResponse sends a request to the handler of a service and checks the status code and the
// exact body of the response.
func checkResponse(t *testing.T, service Service, request *http.Request, status int, body any) {
	t.Helper()
	response := httptest.NewRecorder()
	Handler(service, 7, time.Second).ServeHTTP(response, request)
	if response.Code != status {
		t.Errorf("status code: got %d, want %d", response.Code, status)
	}
	if want := encode(t, body); !bytes.Equal(response.Body.Bytes(), want) {
		t.Errorf("response body: got %x, want %x", response.Body.Bytes(), want)
	}
}

func encode(t *testing.T, message any) []byte {
	t.Helper()
	body, err := wire.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func TestErrorResponses(t *testing.T) {
	permanent := &PermanentError{Status: http.StatusNotFound, Reason: "no such job"}
	tests := []struct {
		name       string
		err        error
		status     int
		text       string
		retryAfter string
	}{
		{"permanent", permanent, http.StatusNotFound, "no such job", ""},
		{"permanent, wrapped", fmt.Errorf("query: %w", permanent), http.StatusNotFound, "no such job", ""},
		{"temporary", errors.New("no answer"), http.StatusServiceUnavailable, "come back later", "7"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response := httptest.NewRecorder()
			request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/work/a", nil)
			Handler(jobService{err: test.err}, 7, time.Second).ServeHTTP(response, request)
			var body wire.ErrorResponse
			if err := wire.Unmarshal(response.Body.Bytes(), &body); err != nil {
				t.Fatal(err)
			}
			if response.Code != test.status || body.Error != test.text {
				t.Errorf("status code and error: got %d %q, want %d %q", response.Code, body.Error, test.status, test.text)
			}
			if got := response.Header().Get("Retry-After"); got != test.retryAfter {
				t.Errorf("Retry-After header: got %q, want %q", got, test.retryAfter)
			}
		})
	}
}
