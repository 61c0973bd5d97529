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

// User emulates a user, who submits a job and polls its phase until it has ended.
type User struct {
	Simulation *Simulation
	Net        transport.Net
	// PickNode chooses a node for each request.
	PickNode func() Node
	// CancelAfter, if above 0, is how long after the start of Run the user cancels the job.
	CancelAfter time.Duration
	// CancelSignal, if not nil, is closed to make the user cancel the job.
	CancelSignal <-chan struct{}
	// PollAllNodes makes the user poll all nodes at once and repeat the submission to them,
	// several times within milliseconds, after the job was accepted, cancelled or reported as
	// ended.
	PollAllNodes bool
	// CancelWhenDone makes the user request the cancellation of a job that is done, which must
	// not change its phase.
	CancelWhenDone bool
	// RepeatAfter has the times after which late copies of submissions and cancellations that were
	// answered reach the nodes, one after the other.
	RepeatAfter []time.Duration
}

const (
	// submitTimeout and pollTimeout limit how long a user waits for the answer to a request.
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	// pollInterval is the time between two polls of a job.
	pollInterval = 5 * time.Second
	// submitRetryDelay is the pause before a failed submission or cancellation is repeated.
	// submitRetryLimit is how long after the start of Run a submission is still repeated.
	submitRetryDelay = time.Second
	submitRetryLimit = time.Minute
	// pollRepeats and pollRepeatInterval set how often and at which interval PollAllNodes polls
	// all nodes. Polls within milliseconds detect nodes whose answers contradict each other for
	// a short time only.
	pollRepeats        = 3
	pollRepeatInterval = 3 * time.Millisecond
)

// session is the state of one call of User.Run.
type session struct {
	*User
	job        *wire.Job
	submission any // the body of the submission request
	client     *http.Client
	startedAt  time.Time
}

func (u *User) newClient() *http.Client {
	return transport.Client(u.Net, 1, 1, time.Second)
}

// Run submits the job, polls it until it has ended, and returns its final phase. It returns "" if
// the context ends first, or if the submission is refused or not accepted within
// submitRetryLimit.
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
		if phase := s.poll(ctx); phase.IsFinal() {
			return phase
		}
		s.waitForPoll(ctx)
	}
	return ""
}

// submit submits the job until it is accepted, and reports whether it was. It returns false if the
// job is refused, submitRetryLimit has passed or the context ends.
func (s *session) submit(ctx context.Context) bool {
	for ctx.Err() == nil && time.Since(s.startedAt) <= submitRetryLimit {
		sent := time.Now()
		answer, status := s.sendChange(ctx, "/work", s.submission)
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

// cancelJob requests the cancellation of the job, and reports whether the request succeeded.
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
	return s.sendChange(ctx, "/work/"+s.job.ID+"/withdraw", nil)
}

// sendChange sends a request that changes the job to a node, and records it in the job's trace.
func (s *session) sendChange(ctx context.Context, path string, body any) (wire.JobStatus, int) {
	node, sent := s.PickNode(), time.Now()
	answer, status := s.send(ctx, s.client, node, http.MethodPost, path, body, submitTimeout)
	s.Simulation.traceRequest(s.job.ID, node, path, status, sent)
	if status == http.StatusOK || status == http.StatusCreated {
		s.repeatChange(ctx, path, body)
	}
	return answer, status
}

// repeatChange sends late copies of a request that was answered, each to another node, and records the
// answers.
func (s *session) repeatChange(ctx context.Context, path string, body any) {
	for i, delay := range s.RepeatAfter {
		node := s.Simulation.Nodes[i%len(s.Simulation.Nodes)]
		go func() {
			transport.Pause(ctx, delay)
			if ctx.Err() != nil {
				return
			}
			client, sent := s.newClient(), time.Now()
			defer client.CloseIdleConnections()
			answer, status := s.send(ctx, client, node, http.MethodPost, path, body, submitTimeout)
			s.recordAnswer(s.job.ID, answer, status, sent)
		}()
	}
}

// poll requests the job's status once, and returns its phase, or "" if the request failed.
func (s *session) poll(ctx context.Context) wire.JobPhase {
	sent := time.Now()
	answer, status := s.send(ctx, s.client, s.PickNode(), http.MethodGet, "/work/"+s.job.ID, nil, pollTimeout)
	s.recordAnswer(s.job.ID, answer, status, sent)
	if status != http.StatusOK {
		return ""
	}
	if answer.Phase.IsFinal() {
		s.pollAllNodes(ctx, s.job.ID, s.submission)
	}
	if s.CancelWhenDone && answer.Phase == wire.JobDone {
		sent := time.Now()
		answer, status := s.requestCancellation(ctx)
		s.recordAnswer(s.job.ID, answer, status, sent)
	}
	return answer.Phase
}

// waitForPoll waits until the next poll is due, CancelSignal is closed or the context ends.
func (s *session) waitForPoll(ctx context.Context) {
	cancel := s.CancelSignal
	if s.Simulation.isCancelRequested(s.job.ID) {
		cancel = nil // the channel may be closed already, and would end each wait at once
	}
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-cancel:
	case <-timer.C:
	}
}

// wantsCancellation reports whether the user wants to cancel the job by now, which is the case if
// CancelSignal is closed or CancelAfter has passed since the start.
func (u *User) wantsCancellation(start time.Time) bool {
	select {
	case <-u.CancelSignal:
		return true
	default:
		return u.CancelAfter > 0 && time.Since(start) > u.CancelAfter
	}
}

// recordAnswer records the answer to a request about a job. sent is when the request was sent.
func (u *User) recordAnswer(id string, answer wire.JobStatus, status int, sent time.Time) {
	switch status {
	case http.StatusOK, http.StatusCreated:
		u.Simulation.RecordPhaseAnswer(id, answer.Phase, sent)
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		u.Simulation.RecordUnknownJobAnswer(id, status, sent)
	default:
		u.Simulation.RecordUnansweredRequest(id)
	}
}

// recordNewPhase records an answer that reports a new phase, and then polls all nodes.
func (u *User) recordNewPhase(ctx context.Context, id string, body any, phase wire.JobPhase, sent time.Time) {
	u.Simulation.RecordPhaseAnswer(id, phase, sent)
	u.pollAllNodes(ctx, id, body)
}

// pollAllNodes polls all nodes and repeats the submission to them, several times within
// milliseconds. It does nothing unless PollAllNodes is set.
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

// pollNode sends a request about a job to a node on a new connection, and records the answer.
func (u *User) pollNode(ctx context.Context, node Node, id, method, path string, body any) {
	client := u.newClient()
	defer client.CloseIdleConnections()
	sent := time.Now()
	answer, status := u.send(ctx, client, node, method, path, body, pollTimeout)
	u.recordAnswer(id, answer, status, sent)
}

// SubmitInvalid submits variants of a job that must be refused permanently: one that fits no machine, one
// that lacks a field, one that has the name of a field in capitals only and one of an unknown team. It
// records a violation if one is accepted, or if a later request for its status succeeds.
func (u *User) SubmitInvalid(ctx context.Context, job *wire.Job) {
	client := u.newClient()
	defer client.CloseIdleConnections()
	for i, change := range []func(body map[string]any){
		func(body map[string]any) { body["cores"] = 1e6 },
		func(body map[string]any) { delete(body, "pieces") },
		func(body map[string]any) {
			body["PIECES"] = body["pieces"]
			delete(body, "pieces")
		},
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

// send sends a request, and returns the answer with its HTTP status. The status is 0 if there is no
// answer within the timeout, or one that cannot be decoded.
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

// submissionFields returns the fields of a submission of the job. Optional fields that the job does
// not set are null, because users send them so. The result is nil if the job cannot be encoded.
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
