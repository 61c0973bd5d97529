//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// The times of the protocol's users.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	pollInterval  = 5 * time.Second
	retryPause    = time.Second
	retryLimit    = time.Minute
)

// send sends a request to the next controller, as a new connection through the load balancer does.
func (r *rig) send(ctx context.Context, method, path string, body any, timeout time.Duration) (wire.JobStatus, int) {
	var answer wire.JobStatus
	r.mu.Lock()
	node := r.nodes[r.nextNode%len(r.nodes)]
	r.nextNode++
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := transport.Client(transport.TCP{}, 1, 1, 500*time.Millisecond)
	defer client.CloseIdleConnections()
	response, err := transport.Send(ctx, client, method, "http://"+node.Addr+path, body)
	if err != nil {
		r.logf("user: %s %s at %s: no answer: %v", method, path, node.Name, err)
		return answer, 0
	}
	defer response.Body.Close()
	if response.StatusCode < http.StatusMultipleChoices {
		if err := wire.ReadResponse(response.Body, &answer); err != nil {
			return answer, 0
		}
	}
	r.logf("user: %s %s at %s: %d phase=%s done=%d running=%d",
		method, path, node.Name, response.StatusCode, answer.Phase, answer.Done, answer.Running)
	return answer, response.StatusCode
}

// submit submits a job until it is accepted.
func (r *rig) submit(ctx context.Context, job *wire.Job) error {
	r.simulation.RegisterJob(job)
	r.mu.Lock()
	r.jobs = append(r.jobs, job.ID)
	r.mu.Unlock()
	r.logf("user: submits %s: team %s, class %s, %s, %s, %d tasks of %g CPUs, %g GPUs, %g GB",
		job.ID, job.Team, job.Class, job.Shape, job.Priority, job.TaskCount, job.CPUs, job.GPUs, job.MemoryGB)
	for began := time.Now(); time.Since(began) < retryLimit && ctx.Err() == nil; {
		_, status := r.send(ctx, http.MethodPost, "/work", job, submitTimeout)
		switch status {
		case http.StatusOK, http.StatusCreated:
			return nil
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return fmt.Errorf("submission of %s was answered %d", job.ID, status)
		}
		transport.Pause(ctx, retryPause)
	}
	return fmt.Errorf("submission of %s was not accepted", job.ID)
}

// poll asks for a job's phase once.
func (r *rig) poll(ctx context.Context, id string) (wire.JobStatus, bool) {
	status, code := r.send(ctx, http.MethodGet, "/work/"+id, nil, pollTimeout)
	return status, code == http.StatusOK
}

// cancel cancels a job until that is confirmed.
func (r *rig) cancel(ctx context.Context, id string) error {
	r.simulation.RecordCancelRequest(id)
	for began := time.Now(); time.Since(began) < retryLimit && ctx.Err() == nil; {
		if answer, code := r.send(ctx, http.MethodPost, "/work/"+id+"/withdraw", nil, submitTimeout); code == http.StatusOK {
			r.simulation.RecordPhaseAnswer(id, answer.Phase, time.Now())
			return nil
		}
		transport.Pause(ctx, retryPause)
	}
	return fmt.Errorf("cancellation of %s was not confirmed", id)
}

// awaitPhase polls a job until it has one of the phases, or the time is over.
func (r *rig) awaitPhase(ctx context.Context, id string, limit time.Duration, phases ...wire.JobPhase) error {
	for began := time.Now(); time.Since(began) < limit && ctx.Err() == nil; {
		if answer, ok := r.poll(ctx, id); ok {
			for _, phase := range phases {
				if answer.Phase == phase {
					return nil
				}
			}
		}
		transport.Pause(ctx, 500*time.Millisecond)
	}
	return fmt.Errorf("%s has none of the phases %v after %v", id, phases, limit)
}
