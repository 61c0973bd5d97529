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

// Run submits the job, polls it, and returns the phase it ended in; "" if the
// context ended first or the submission was given up.
func (u *User) Run(ctx context.Context, job *wire.Job) wire.JobPhase {
	cl := transport.Client(u.Net, 1, 1, time.Second)
	defer cl.CloseIdleConnections()
	body := submission(job)
	u.Simulation.JobSubmitted(job)
	start := time.Now()
	for accepted := false; !accepted; {
		if ctx.Err() != nil || time.Since(start) > time.Minute {
			return ""
		}
		sent := time.Now()
		v, status := u.send(ctx, cl, u.Pick(), http.MethodPost, "/work", body, 5*time.Second)
		switch status {
		case http.StatusCreated, http.StatusOK:
			u.recordNewPhase(ctx, job.ID, body, v.Phase, sent)
			accepted = true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			u.Simulation.ReportedUnknown(job.ID, status, sent)
			return ""
		default:
			transport.Pause(ctx, time.Second)
		}
	}
	for ctx.Err() == nil {
		if u.cancels(start) {
			u.Simulation.CancelRequested(job.ID)
			sent := time.Now()
			v, status := u.send(ctx, cl, u.Pick(), http.MethodPost, "/work/"+job.ID+"/withdraw", nil, 5*time.Second)
			if status != http.StatusOK {
				transport.Pause(ctx, time.Second)
				continue
			}
			u.recordNewPhase(ctx, job.ID, body, v.Phase, sent)
		}
		sent := time.Now()
		v, status := u.send(ctx, cl, u.Pick(), http.MethodGet, "/work/"+job.ID, nil, 2*time.Second)
		u.recordAnswer(job.ID, v, status, sent)
		if status == http.StatusOK && v.Phase.Final() {
			u.pollAllNodes(ctx, job.ID, body)
			if u.CancelDone && v.Phase == wire.JobDone {
				sent := time.Now()
				v, status := u.send(ctx, cl, u.Pick(), http.MethodPost, "/work/"+job.ID+"/withdraw", nil, 5*time.Second)
				u.recordAnswer(job.ID, v, status, sent)
			}
			return v.Phase
		}
		wake := u.Cancel
		if u.Simulation.isCancelRequested(job.ID) {
			wake = nil // closed for good
		}
		t := time.NewTimer(5 * time.Second)
		select {
		case <-ctx.Done():
		case <-wake:
		case <-t.C:
		}
		t.Stop()
	}
	return ""
}

// cancels tells whether the user wants the job cancelled by now.
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
					v, status := u.send(ctx, cl, n, method, path, b, 2*time.Second)
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
		_, status := u.send(ctx, cl, u.Pick(), http.MethodPost, "/work", body, 5*time.Second)
		if status == http.StatusOK || status == http.StatusCreated {
			u.Simulation.AcceptedInvalid(id, status)
		}
		if _, status = u.send(ctx, cl, u.Pick(), http.MethodGet, "/work/"+id, nil, 2*time.Second); status == http.StatusOK {
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
