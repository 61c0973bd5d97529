package emulator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// User submits a job and follows it as the protocol's users do.
type User struct {
	Simulation *Simulation
	Net        transport.Net
	// PickNode chooses a node for each request.
	PickNode func() Node
	// CancelAfter, if above 0, is when the user cancels the job.
	CancelAfter time.Duration
	// CancelSignal, if set, has the user cancel the job when it is closed.
	CancelSignal <-chan struct{}
	// PollAllNodes: after each answer with a new phase, the user asks all nodes at once and
	// repeats the submission, several times within milliseconds.
	PollAllNodes bool
	// CancelWhenDone: a job that is done is cancelled once more, which must change nothing.
	CancelWhenDone bool
}

const (
	// submitTimeout and pollTimeout are how long a user waits for an answer.
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	// pollInterval is the time between two questions about a job.
	pollInterval = 5 * time.Second
	// submitRetryDelay is the pause before a refused submission is repeated, submitLimit how
	// long it is repeated for.
	submitRetryDelay = time.Second
	submitRetryLimit = time.Minute
	// All nodes are polled several times within milliseconds, so that answers that contradict
	// each other for a short time are seen.
	pollRepeats        = 3
	pollRepeatInterval = 3 * time.Millisecond
)

// session is a user's work on one job.
type session struct {
	*User
	job        *wire.Job
	submission any // the submission
	client     *http.Client
	startedAt  time.Time
}

func (u *User) newClient() *http.Client {
	return transport.Client(u.Net, 1, 1, time.Second)
}

// Run submits the job, polls it, and returns the phase it ended in; "" if the context ended
// first or the submission was given up.
func (u *User) Run(ctx context.Context, job *wire.Job) wire.JobPhase {
	s := &session{
		User:       u,
		job:        job,
		submission: submissionFields(job),
		client:     u.newClient(),
		startedAt:  time.Now(),
	}
	defer s.client.CloseIdleConnections()
	u.Simulation.RegisterJob(job)
	if !s.submit(ctx) {
		return ""
	}
	for ctx.Err() == nil {
		if u.wantsCancellation(s.startedAt) && !s.cancelJob(ctx) {
			transport.Pause(ctx, submitRetryDelay)
			continue
		}
		if phase := s.poll(ctx); phase.Final() {
			return phase
		}
		s.waitForPoll(ctx)
	}
	return ""
}

// submit submits the job until it is accepted; false: it was refused or given up.
func (s *session) submit(ctx context.Context) bool {
	for ctx.Err() == nil && time.Since(s.startedAt) <= submitRetryLimit {
		sent := time.Now()
		answer, status := s.send(ctx, s.client, s.PickNode(), http.MethodPost, "/work", s.submission, submitTimeout)
		switch status {
		case http.StatusCreated, http.StatusOK:
			s.recordNewPhase(ctx, s.job.ID, s.submission, answer.Phase, sent)
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			s.Simulation.RecordUnknownJobAnswer(s.job.ID, status, sent)
			return false
		}
		transport.Pause(ctx, submitRetryDelay)
	}
	return false
}

// cancelJob asks for the job's cancellation, and reports whether that was answered.
func (s *session) cancelJob(ctx context.Context) bool {
	s.Simulation.RecordCancelRequest(s.job.ID)
	sent := time.Now()
	answer, status := s.requestCancellation(ctx)
	if status != http.StatusOK {
		return false
	}
	s.recordNewPhase(ctx, s.job.ID, s.submission, answer.Phase, sent)
	return true
}

func (s *session) requestCancellation(ctx context.Context) (wire.JobStatus, int) {
	return s.send(ctx, s.client, s.PickNode(), http.MethodPost, "/work/"+s.job.ID+"/withdraw", nil, submitTimeout)
}

// poll asks for the job's state once, and returns its phase if that was answered.
func (s *session) poll(ctx context.Context) wire.JobPhase {
	sent := time.Now()
	answer, status := s.send(ctx, s.client, s.PickNode(), http.MethodGet, "/work/"+s.job.ID, nil, pollTimeout)
	s.recordAnswer(s.job.ID, answer, status, sent)
	if status != http.StatusOK {
		return ""
	}
	if answer.Phase.Final() {
		s.pollAllNodes(ctx, s.job.ID, s.submission)
	}
	if s.CancelWhenDone && answer.Phase == wire.JobDone {
		sent := time.Now()
		answer, status := s.requestCancellation(ctx)
		s.recordAnswer(s.job.ID, answer, status, sent)
	}
	return answer.Phase
}

// waitForPoll waits until the next question, or until the job is to be cancelled.
func (s *session) waitForPoll(ctx context.Context) {
	cancel := s.CancelSignal
	if s.Simulation.isCancelRequested(s.job.ID) {
		cancel = nil // closed for good
	}
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-cancel:
	case <-timer.C:
	}
}

// wantsCancellation reports whether the user wants the job cancelled by now.
func (u *User) wantsCancellation(start time.Time) bool {
	select {
	case <-u.CancelSignal:
		return true
	default:
		return u.CancelAfter > 0 && time.Since(start) > u.CancelAfter
	}
}

// recordAnswer notes the answer to a question.
func (u *User) recordAnswer(id string, answer wire.JobStatus, status int, sent time.Time) {
	switch status {
	case http.StatusOK, http.StatusCreated:
		u.Simulation.RecordPhaseAnswer(id, answer.Phase, sent)
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		u.Simulation.RecordUnknownJobAnswer(id, status, sent)
	default:
		u.Simulation.RecordUnansweredPoll(id)
	}
}

// recordNewPhase notes an answer with a new phase, and polls all nodes then.
func (u *User) recordNewPhase(ctx context.Context, id string, body any, phase wire.JobPhase, sent time.Time) {
	u.Simulation.RecordPhaseAnswer(id, phase, sent)
	u.pollAllNodes(ctx, id, body)
}

// pollAllNodes asks all nodes, and repeats the submission, several times within milliseconds.
func (u *User) pollAllNodes(ctx context.Context, id string, body any) {
	if !u.PollAllNodes {
		return
	}
	var wg sync.WaitGroup
	for range pollRepeats {
		for _, node := range u.Simulation.Nodes {
			wg.Go(func() { u.pollNode(ctx, node, id, http.MethodGet, "/work/"+id, nil) })
			wg.Go(func() { u.pollNode(ctx, node, id, http.MethodPost, "/work", body) })
		}
		transport.Pause(ctx, pollRepeatInterval)
	}
	wg.Wait()
}

// pollNode sends a request about a job on a connection of its own, and notes the answer.
func (u *User) pollNode(ctx context.Context, node Node, id, method, path string, body any) {
	client := u.newClient()
	defer client.CloseIdleConnections()
	sent := time.Now()
	answer, status := u.send(ctx, client, node, method, path, body, pollTimeout)
	u.recordAnswer(id, answer, status, sent)
}

// SubmitInvalid sends what must be refused for good: a job that fits no machine, one that lacks a
// field, one of an unknown team.
func (u *User) SubmitInvalid(ctx context.Context, job *wire.Job) {
	client := u.newClient()
	defer client.CloseIdleConnections()
	for i, change := range []func(body map[string]any){
		func(body map[string]any) { body["cores"] = 1e6 },
		func(body map[string]any) { delete(body, "pieces") },
		func(body map[string]any) { body["crew"] = "nobody" },
	} {
		body := submissionFields(job)
		id := fmt.Sprintf("%s%d", job.ID, i)
		body["uid"] = id
		change(body)
		_, status := u.send(ctx, client, u.PickNode(), http.MethodPost, "/work", body, submitTimeout)
		if status == http.StatusOK || status == http.StatusCreated {
			u.Simulation.RecordInvalidJobAccepted(id, status)
		}
		if _, status = u.send(ctx, client, u.PickNode(), http.MethodGet, "/work/"+id, nil, pollTimeout); status == http.StatusOK {
			u.Simulation.RecordInvalidJobAccepted(id, status)
		}
	}
}

// send sends a request, and returns the answer with its status; 0: no answer.
func (u *User) send(ctx context.Context, client *http.Client, to Node, method, path string, body any, timeout time.Duration) (wire.JobStatus, int) {
	var answer wire.JobStatus
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	u.Simulation.waitLinkDelay(ctx)
	defer u.Simulation.waitLinkDelay(ctx)
	resp, err := transport.Send(ctx, client, method, "http://"+to.Addr+path, body)
	if err != nil {
		return answer, 0
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		transport.Discard(resp)
		return answer, resp.StatusCode
	}
	if err := wire.ReadResponse(resp.Body, &answer); err != nil {
		return answer, 0
	}
	return answer, resp.StatusCode
}

// submissionFields is a job as a user writes it, with null where nothing is asked.
func submissionFields(job *wire.Job) map[string]any {
	encoded, err := wire.Marshal(job)
	if err != nil {
		return nil
	}
	fields := map[string]any{}
	if wire.Unmarshal(encoded, &fields) != nil {
		return nil
	}
	for _, optional := range []string{"breeds", "field", "dueS"} {
		if _, ok := fields[optional]; !ok {
			fields[optional] = nil
		}
	}
	return fields
}
