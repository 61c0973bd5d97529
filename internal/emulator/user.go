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
	// PollsAllNodes: after each answer that says something new, the user asks all nodes at once
	// and repeats the submission, several times within milliseconds.
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
)

// session is a user's work on one job.
type session struct {
	*User
	job    *wire.Job
	body   any // the submission
	client *http.Client
	start  time.Time
}

// Run submits the job, polls it, and returns the phase it ended in; "" if the context ended
// first or the submission was given up.
func (u *User) Run(ctx context.Context, job *wire.Job) wire.JobPhase {
	s := &session{User: u, job: job, body: submission(job), client: transport.Client(u.Net, 1, 1, time.Second), start: time.Now()}
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
		if phase := s.poll(ctx); phase.Final() {
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
	if answer.Phase.Final() {
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
func (u *User) recordAnswer(id string, v wire.JobStatus, status int, sent time.Time) {
	switch status {
	case http.StatusOK, http.StatusCreated:
		u.Simulation.PhaseReported(id, v.Phase, sent)
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		u.Simulation.ReportedUnknown(id, status, sent)
	default:
		u.Simulation.PollFailed(id)
	}
}

// recordNewPhase notes an answer that says something new, and looks closely then.
func (u *User) recordNewPhase(ctx context.Context, id string, body any, phase wire.JobPhase, sent time.Time) {
	u.Simulation.PhaseReported(id, phase, sent)
	u.pollAllNodes(ctx, id, body)
}

// pollAllNodes asks all nodes, and repeats the submission, three times within milliseconds.
func (u *User) pollAllNodes(ctx context.Context, id string, body any) {
	if !u.PollsAllNodes {
		return
	}
	var wg sync.WaitGroup
	for range 3 {
		for _, n := range u.Simulation.Nodes {
			for _, again := range []bool{false, true} {
				wg.Go(func() {
					cl := transport.Client(u.Net, 1, 1, time.Second)
					defer cl.CloseIdleConnections()
					method, path, b := http.MethodGet, "/work/"+id, any(nil)
					if again {
						method, path, b = http.MethodPost, "/work", body
					}
					sent := time.Now()
					v, status := u.send(ctx, cl, n, method, path, b, pollTimeout)
					u.recordAnswer(id, v, status, sent)
				})
			}
		}
		transport.Pause(ctx, 3*time.Millisecond)
	}
	wg.Wait()
}

// SubmitInvalid sends what must be refused for good: a job that fits no machine, one that lacks a
// field, one of an unknown team.
func (u *User) SubmitInvalid(ctx context.Context, job *wire.Job) {
	cl := transport.Client(u.Net, 1, 1, time.Second)
	defer cl.CloseIdleConnections()
	for i, change := range []func(m map[string]any){
		func(m map[string]any) { m["cores"] = 1e6 },
		func(m map[string]any) { delete(m, "pieces") },
		func(m map[string]any) { m["crew"] = "nobody" },
	} {
		body := submission(job)
		id := fmt.Sprintf("%s%d", job.ID, i)
		body["uid"] = id
		change(body)
		_, status := u.send(ctx, cl, u.Pick(), http.MethodPost, "/work", body, submitTimeout)
		if status == http.StatusOK || status == http.StatusCreated {
			u.Simulation.AcceptedInvalid(id, status)
		}
		if _, status = u.send(ctx, cl, u.Pick(), http.MethodGet, "/work/"+id, nil, pollTimeout); status == http.StatusOK {
			u.Simulation.AcceptedInvalid(id, status)
		}
	}
}

func (u *User) send(ctx context.Context, cl *http.Client, to Node, method, path string, body any, limit time.Duration) (wire.JobStatus, int) {
	var v wire.JobStatus
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	u.Simulation.waitLinkDelay(ctx)
	defer u.Simulation.waitLinkDelay(ctx)
	resp, err := transport.Send(ctx, cl, method, "http://"+to.Addr+path, body)
	if err != nil {
		return v, 0
	}
	defer resp.Body.Close()
	if resp.StatusCode > 299 {
		transport.Discard(resp)
		return v, resp.StatusCode
	}
	if err := wire.ReadResponse(resp.Body, &v); err != nil {
		return v, 0
	}
	return v, resp.StatusCode
}

// submission is a job as a user writes it, with null where nothing is asked.
func submission(job *wire.Job) map[string]any {
	b, err := wire.Marshal(job)
	if err != nil {
		return nil
	}
	m := map[string]any{}
	if wire.Unmarshal(b, &m) != nil {
		return nil
	}
	for _, k := range []string{"breeds", "field", "dueS"} {
		if _, ok := m[k]; !ok {
			m[k] = nil
		}
	}
	return m
}
