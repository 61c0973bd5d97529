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
	// Pick chooses a node for each request.
	Pick func() Node
	// CancelAfter, if above 0, is when the user cancels the job.
	CancelAfter time.Duration
	// Cancel, if set, has the user cancel the job when it is closed.
	Cancel <-chan struct{}
	// PollsAllNodes: after each answer with a new phase, the user asks all nodes at once and
	// repeats the submission, several times within milliseconds.
	PollsAllNodes bool
	// CancelDone: a job that is done is cancelled once more, which must change nothing.
	CancelDone bool
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
	submitLimit      = time.Minute
	// All nodes are polled several times within milliseconds, so that answers that contradict
	// each other for a short time are seen.
	pollRounds        = 3
	pollRoundInterval = 3 * time.Millisecond
)

// session is a user's work on one job.
type session struct {
	*User
	job    *wire.Job
	body   any // the submission
	client *http.Client
	start  time.Time
}

func (u *User) newClient() *http.Client {
	return transport.Client(u.Net, 1, 1, time.Second)
}

// Run submits the job, polls it, and returns the phase it ended in; "" if the context ended
// first or the submission was given up.
func (u *User) Run(ctx context.Context, job *wire.Job) wire.JobPhase {
	s := &session{
		User:   u,
		job:    job,
		body:   submission(job),
		client: u.newClient(),
		start:  time.Now(),
	}
	defer s.client.CloseIdleConnections()
	u.Simulation.JobSubmitted(job)
	if !s.submit(ctx) {
		return ""
	}
	for ctx.Err() == nil {
		if u.cancels(s.start) && !s.cancel(ctx) {
			transport.Pause(ctx, submitRetryDelay)
			continue
		}
		if phase := s.poll(ctx); phase.IsFinal() {
			return phase
		}
		s.waitForPoll(ctx)
	}
	return ""
}

// submit submits the job until it is accepted; false: it was refused or given up.
func (s *session) submit(ctx context.Context) bool {
	for ctx.Err() == nil && time.Since(s.start) <= submitLimit {
		sent := time.Now()
		answer, status := s.send(ctx, s.client, s.Pick(), http.MethodPost, "/work", s.body, submitTimeout)
		switch status {
		case http.StatusCreated, http.StatusOK:
			s.recordNewPhase(ctx, s.job.ID, s.body, answer.Phase, sent)
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			s.Simulation.ReportedUnknown(s.job.ID, status, sent)
			return false
		}
		transport.Pause(ctx, submitRetryDelay)
	}
	return false
}

// cancel asks for the job's cancellation, and reports whether that was answered.
func (s *session) cancel(ctx context.Context) bool {
	s.Simulation.CancelRequested(s.job.ID)
	sent := time.Now()
	answer, status := s.withdraw(ctx)
	if status != http.StatusOK {
		return false
	}
	s.recordNewPhase(ctx, s.job.ID, s.body, answer.Phase, sent)
	return true
}

func (s *session) withdraw(ctx context.Context) (wire.JobStatus, int) {
	return s.send(ctx, s.client, s.Pick(), http.MethodPost, "/work/"+s.job.ID+"/withdraw", nil, submitTimeout)
}

// poll asks for the job's state once, and returns its phase if that was answered.
func (s *session) poll(ctx context.Context) wire.JobPhase {
	sent := time.Now()
	answer, status := s.send(ctx, s.client, s.Pick(), http.MethodGet, "/work/"+s.job.ID, nil, pollTimeout)
	s.recordAnswer(s.job.ID, answer, status, sent)
	if status != http.StatusOK {
		return ""
	}
	if answer.Phase.IsFinal() {
		s.pollAllNodes(ctx, s.job.ID, s.body)
	}
	if s.CancelDone && answer.Phase == wire.JobDone {
		sent := time.Now()
		answer, status := s.withdraw(ctx)
		s.recordAnswer(s.job.ID, answer, status, sent)
	}
	return answer.Phase
}

// waitForPoll waits until the next question, or until the job is to be cancelled.
func (s *session) waitForPoll(ctx context.Context) {
	cancel := s.Cancel
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

// cancels reports whether the user wants the job cancelled by now.
func (u *User) cancels(start time.Time) bool {
	select {
	case <-u.Cancel:
		return true
	default:
		return u.CancelAfter > 0 && time.Since(start) > u.CancelAfter
	}
}

// recordAnswer notes the answer to a question.
func (u *User) recordAnswer(id string, answer wire.JobStatus, status int, sent time.Time) {
	switch status {
	case http.StatusOK, http.StatusCreated:
		u.Simulation.PhaseReported(id, answer.Phase, sent)
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		u.Simulation.ReportedUnknown(id, status, sent)
	default:
		u.Simulation.PollFailed(id)
	}
}

// recordNewPhase notes an answer with a new phase, and polls all nodes then.
func (u *User) recordNewPhase(ctx context.Context, id string, body any, phase wire.JobPhase, sent time.Time) {
	u.Simulation.PhaseReported(id, phase, sent)
	u.pollAllNodes(ctx, id, body)
}

// pollAllNodes asks all nodes, and repeats the submission, several times within milliseconds.
func (u *User) pollAllNodes(ctx context.Context, id string, body any) {
	if !u.PollsAllNodes {
		return
	}
	var wg sync.WaitGroup
	for range pollRounds {
		for _, node := range u.Simulation.Nodes {
			wg.Go(func() { u.pollOnce(ctx, node, id, http.MethodGet, "/work/"+id, nil) })
			wg.Go(func() { u.pollOnce(ctx, node, id, http.MethodPost, "/work", body) })
		}
		transport.Pause(ctx, pollRoundInterval)
	}
	wg.Wait()
}

// pollOnce sends a request about a job on a connection of its own, and notes the answer.
func (u *User) pollOnce(ctx context.Context, node Node, id, method, path string, body any) {
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
		body := submission(job)
		id := fmt.Sprintf("%s%d", job.ID, i)
		body["uid"] = id
		change(body)
		_, status := u.send(ctx, client, u.Pick(), http.MethodPost, "/work", body, submitTimeout)
		if status == http.StatusOK || status == http.StatusCreated {
			u.Simulation.AcceptedInvalid(id, status)
		}
		if _, status = u.send(ctx, client, u.Pick(), http.MethodGet, "/work/"+id, nil, pollTimeout); status == http.StatusOK {
			u.Simulation.AcceptedInvalid(id, status)
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

// submission is a job as a user writes it, with null where nothing is asked.
func submission(job *wire.Job) map[string]any {
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
