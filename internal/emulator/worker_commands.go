package emulator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"ambersill/internal/wire"
)

// listen accepts direct commands.
func (k *Worker) listen(ctx context.Context) {
	listener, err := k.simulation.net(k.Machine).Listen(ctx, k.Machine.Address)
	if err != nil {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) {
		var request wire.CommandRequest
		if !readRequest(w, r, &request) {
			return
		}
		k.simulation.waitLinkDelay(ctx)
		k.handleCommands(ctx, w, &request)
	})
	server := &http.Server{Handler: deferResponses(mux)}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener)
}

// handleCommands executes a request's commands and responds, unless the machine can't: one
// that hangs executes them when the hang ends.
func (k *Worker) handleCommands(ctx context.Context, w http.ResponseWriter, request *wire.CommandRequest) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	if k.inboundCut {
		panic(http.ErrAbortHandler)
	}
	if len(request.Commands) > 0 && (k.hung || k.commandDelay > 0) {
		k.lateCommands++
	}
	if !k.waitUntilCommandsRun(ctx) || k.dead {
		return
	}
	k.checkLease()
	status := http.StatusOK
	if request.FencingToken < k.fencingToken || request.Incarnation != k.incarnation {
		status = http.StatusConflict
	} else {
		if request.FencingToken > k.fencingToken {
			k.notifyChange()
		}
		k.fencingToken = request.FencingToken
		k.execute(request.Commands)
	}
	writeResponse(w, status, k.heartbeat())
}

// waitUntilCommandsRun waits out the delay of commands, and a hang; false: the machine ended.
// The simulation's lock is held before and after, not meanwhile.
func (k *Worker) waitUntilCommandsRun(ctx context.Context) bool {
	if delay := k.commandDelay; delay > 0 {
		k.simulation.mu.Unlock()
		time.Sleep(delay)
		k.simulation.mu.Lock()
	}
	for k.hung {
		resume := k.resume
		k.simulation.mu.Unlock()
		ended := false
		select {
		case <-resume:
		case <-ctx.Done():
			ended = true
		}
		k.simulation.mu.Lock()
		if ended {
			return false
		}
	}
	return true
}

// Execute executes a command as if a request had brought it.
func (k *Worker) Execute(c wire.Command) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	k.execute([]wire.Command{c})
}

// execute executes commands. The simulation's lock must be held.
func (k *Worker) execute(commands []wire.Command) {
	for _, c := range commands {
		switch c.Op {
		case wire.StartTask:
			k.start(c)
		case wire.StopTask:
			if t := k.tasks[c.Task]; t != nil && t.attempt == c.Attempt && t.state != wire.TaskExited {
				k.stop(t, c.GracePeriodS)
			}
		case wire.ForgetTask:
			k.forget(c)
		}
	}
	k.notifyChange()
}

// forget removes an exited task, or a refused start, from the heartbeats.
func (k *Worker) forget(c wire.Command) {
	if t := k.tasks[c.Task]; t != nil && t.attempt == c.Attempt && t.state == wire.TaskExited {
		delete(k.tasks, c.Task)
	}
	if i := k.refusedStart(c); i >= 0 {
		k.refused = slices.Delete(slices.Clone(k.refused), i, i+1)
	}
}

// refusedStart is the index of the refused start that a command names; -1 if there is none.
func (k *Worker) refusedStart(c wire.Command) int {
	return slices.IndexFunc(k.refused, func(t *task) bool { return t.name == c.Task && t.attempt == c.Attempt })
}

// start starts a task, unless the worker has the attempt already.
func (k *Worker) start(c wire.Command) {
	old := k.tasks[c.Task]
	if k.refusedStart(c) >= 0 || (old != nil && old.attempt == c.Attempt) {
		return
	}
	id, index, _ := wire.ParseTaskName(c.Task)
	job := k.simulation.description(id)
	if job == nil || index >= job.TaskCount {
		k.refuse(c, wire.ExitTaskUnknown)
		return
	}
	if old != nil && old.state != wire.TaskExited {
		k.refuse(c, wire.ExitTaskPresent)
		return
	}
	delete(k.tasks, c.Task)
	if !k.hasResources(job) {
		k.refuse(c, wire.ExitInsufficientResources)
		return
	}
	t := &task{
		name:    c.Task,
		job:     job,
		index:   index,
		attempt: c.Attempt,
		state:   wire.TaskFetching,
	}
	k.tasks[c.Task] = t
	k.after(t, k.imageFetchTime(job), func() {
		k.images[job.Image] = true
		k.simulation.startTask(k, t)
	})
}

// refuse has the heartbeats say that a start is refused.
func (k *Worker) refuse(c wire.Command, cause wire.ExitCause) {
	k.refused = append(k.refused, &task{
		name:    c.Task,
		attempt: c.Attempt,
		state:   wire.TaskExited,
		cause:   cause,
	})
}
