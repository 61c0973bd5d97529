package emulator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"ambersill/internal/wire"
)

// serveCommands serves direct commands, which controllers send without waiting for a heartbeat,
// until ctx ends.
func (w *Worker) serveCommands(ctx context.Context) {
	listener, err := w.simulation.zoneNet(w.Machine).Listen(ctx, w.Machine.Address)
	if err != nil {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(rw http.ResponseWriter, r *http.Request) {
		var request wire.CommandRequest
		if !readRequest(rw, r, &request) {
			return
		}
		w.simulation.waitLinkDelay(ctx)
		w.handleCommands(ctx, rw, &request)
	})
	server := &http.Server{Handler: bufferResponses(mux)}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener)
}

// handleCommands executes the commands of a request, and responds with a heartbeat. It responds
// with StatusConflict and executes none if the request has a lower fencing token than the worker
// has seen, or is for another incarnation. A machine that hangs executes the commands when the
// hang ends. If inbound traffic is cut, the connection is closed without a response.
func (w *Worker) handleCommands(ctx context.Context, rw http.ResponseWriter, request *wire.CommandRequest) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	if w.inboundCut {
		panic(http.ErrAbortHandler)
	}
	if len(request.Commands) > 0 && (w.hung || w.commandDelay > 0) {
		w.lateCommandRequests++
	}
	if !w.awaitCommandExecution(ctx) || w.dead {
		return
	}
	if !w.executeRequest(request) {
		writeResponse(rw, http.StatusConflict, w.heartbeat())
		return
	}
	writeResponse(rw, http.StatusOK, w.heartbeat())
	if onExecuted := w.simulation.OnCommandsExecuted; onExecuted != nil {
		onExecuted(request, w.commandRepeater(ctx, request))
	}
}

// executeRequest executes the commands of a request. It executes none and returns false if the
// request has a lower fencing token than the worker has seen, or is for another incarnation. The
// simulation's lock must be held.
func (w *Worker) executeRequest(request *wire.CommandRequest) (executed bool) {
	w.expireLease()
	if request.FencingToken < w.fencingToken || request.Incarnation != w.incarnation {
		return false
	}
	if request.FencingToken > w.fencingToken {
		w.requestEarlyHeartbeat()
	}
	w.fencingToken = request.FencingToken
	w.executeCommands(request.Commands)
	return true
}

// awaitCommandExecution waits until the command delay has passed and the machine does not hang. It
// returns false if ctx ends during a hang. The simulation's lock must be held; it is released while
// waiting, and held again on return.
func (w *Worker) awaitCommandExecution(ctx context.Context) bool {
	if delay := w.commandDelay; delay > 0 {
		w.simulation.mu.Unlock()
		time.Sleep(delay)
		w.simulation.mu.Lock()
	}
	for w.hung {
		resume := w.resume
		w.simulation.mu.Unlock()
		ended := false
		select {
		case <-resume:
		case <-ctx.Done():
			ended = true
		}
		w.simulation.mu.Lock()
		if ended {
			return false
		}
	}
	return true
}

// Execute executes a command without a request, and so without checks of fencing token and
// incarnation.
func (w *Worker) Execute(c wire.Command) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	w.executeCommands([]wire.Command{c})
}

// executeCommands executes commands in their order. The simulation's lock must be held.
func (w *Worker) executeCommands(commands []wire.Command) {
	for _, c := range commands {
		switch c.Op {
		case wire.StartTask:
			w.start(c)
		case wire.StopTask:
			if t := w.tasks[c.Task]; t != nil && t.attempt == c.Attempt && t.state != wire.TaskExited {
				w.stop(t, c.GracePeriodS)
			}
		case wire.ForgetTask:
			w.forget(c)
		}
	}
	w.requestEarlyHeartbeat()
}

// forget removes the exited task or refused start that a command names, so that heartbeats no
// longer report it.
func (w *Worker) forget(c wire.Command) {
	if t := w.tasks[c.Task]; t != nil && t.attempt == c.Attempt && t.state == wire.TaskExited {
		delete(w.tasks, c.Task)
	}
	if i := w.refusedStartIndex(c); i >= 0 {
		w.refusedStarts = slices.Delete(slices.Clone(w.refusedStarts), i, i+1)
	}
}

// refusedStartIndex returns the index in refusedStarts of the attempt that a command names; -1 if
// it is not there.
func (w *Worker) refusedStartIndex(c wire.Command) int {
	return slices.IndexFunc(w.refusedStarts, func(t *task) bool { return t.name == c.Task && t.attempt == c.Attempt })
}

// start starts the attempt that a command names. It does nothing if the worker already has or has
// refused this attempt. It refuses an unknown task, a task of which another attempt has not exited,
// and a task for which the machine lacks resources.
func (w *Worker) start(c wire.Command) {
	old := w.tasks[c.Task]
	if w.refusedStartIndex(c) >= 0 || (old != nil && old.attempt == c.Attempt) {
		return
	}
	id, index, _ := wire.ParseTaskName(c.Task)
	job := w.simulation.jobDescription(id)
	if job == nil || index >= job.TaskCount {
		w.refuse(c, wire.ExitTaskUnknown)
		return
	}
	if old != nil && old.state != wire.TaskExited {
		w.refuse(c, wire.ExitTaskPresent)
		return
	}
	delete(w.tasks, c.Task)
	if !w.hasResourcesFor(job) {
		w.refuse(c, wire.ExitInsufficientResources)
		return
	}
	t := &task{
		name:    c.Task,
		job:     job,
		index:   index,
		attempt: c.Attempt,
		state:   wire.TaskFetching,
	}
	w.tasks[c.Task] = t
	w.traceTask(t, "%s", t.state)
	w.runAfter(t, w.imageFetchTime(job), func() {
		w.fetchedImages[job.Image] = true
		w.simulation.startTask(w, t)
	})
}

// refuse makes the heartbeats report that a start was refused, and for which cause.
func (w *Worker) refuse(c wire.Command, cause wire.ExitCause) {
	w.refusedStarts = append(w.refusedStarts, &task{
		name:    c.Task,
		attempt: c.Attempt,
		state:   wire.TaskExited,
		cause:   cause,
	})
}
