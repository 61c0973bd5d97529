package scheduler

import (
	"testing"

	"ambersill/internal/wire"
)

// fencedWorker is a worker that checks fencing tokens, forgets tasks, and remembers the requests that
// it has executed, so that a test can have late copies of them executed.
type fencedWorker struct {
	t       testing.TB
	machine string
	harness *partitionHarness

	token    uint64
	sequence uint64
	tasks    map[taskAttempt]wire.TaskStatus
	started  map[taskAttempt]bool
	// refuseStarts makes the worker refuse the tasks that it is told to start.
	refuseStarts bool
	executed     []wire.CommandRequest
	forgotten    int
}

// newFencedWorker adds a machine, and returns its worker, which has acknowledged the owner's token.
func newFencedWorker(t testing.TB, harness *partitionHarness, machine string) *fencedWorker {
	harness.addMachine(machine, "cpu", "a", false)
	return &fencedWorker{
		t:        t,
		machine:  machine,
		harness:  harness,
		token:    harness.machines.get(machine).token.current,
		sequence: harness.heartbeatSequences[machine],
		tasks:    map[taskAttempt]wire.TaskStatus{},
		started:  map[taskAttempt]bool{},
	}
}

// message returns the next message of the worker, which lists all its tasks.
func (w *fencedWorker) message() *wire.Heartbeat {
	w.sequence++
	message := &wire.Heartbeat{Machine: w.machine, Incarnation: 1, Sequence: w.sequence, FencingToken: w.token}
	for _, status := range w.tasks {
		message.Tasks = append(message.Tasks, status)
	}
	return message
}

// sendHeartbeat sends a heartbeat, executes the commands of the response and returns them.
func (w *fencedWorker) sendHeartbeat() []wire.Command {
	verdict, response := w.harness.HandleHeartbeat(w.message(), w.harness.now, true)
	if verdict != HeartbeatAccepted {
		w.t.Fatalf("verdict on a heartbeat: got %v, want %v", verdict, HeartbeatAccepted)
	}
	if response.FencingToken < w.token {
		w.t.Fatalf("token of the response to a heartbeat: got %d, want at least %d", response.FencingToken, w.token)
	}
	w.token = response.FencingToken
	w.execute(response.Commands)
	return response.Commands
}

// receiveRequest has the machine's pending commands sent directly, and returns them. The worker
// executes and answers them.
func (w *fencedWorker) receiveRequest() []wire.Command {
	request, ok := w.harness.DirectCommands(w.machine, true)
	if !ok {
		return nil
	}
	if !w.executeRequest(request) {
		w.t.Fatalf("token of a direct request: got %d, want at least %d", request.FencingToken, w.token)
	}
	w.executed = append(w.executed, request)
	w.harness.HandleCommandOutcome(request, w.machine, CommandsExecuted)
	w.harness.HandleCommandResponse(w.message(), w.harness.now)
	return request.Commands
}

// executeRequest executes a request, and reports whether it did. A worker refuses a request with a
// lower token than it has seen.
func (w *fencedWorker) executeRequest(request wire.CommandRequest) bool {
	if request.FencingToken < w.token {
		return false
	}
	w.token = request.FencingToken
	w.execute(request.Commands)
	return true
}

func (w *fencedWorker) execute(commands []wire.Command) {
	for _, command := range commands {
		key := taskAttempt{command.Task, command.Attempt}
		status, listed := w.tasks[key]
		switch command.Op {
		case wire.StartTask:
			if !listed {
				w.start(key)
			}
		case wire.StopTask:
			if listed && status.State != wire.TaskExited {
				w.exit(key, wire.ExitStopped)
			}
		case wire.ForgetTask:
			delete(w.tasks, key)
			w.forgotten++
		}
	}
}

// start starts an attempt, which must not have been started before. Like a worker that has one entry
// for a task, it drops attempts of the same task that have exited.
func (w *fencedWorker) start(key taskAttempt) {
	if w.started[key] {
		w.t.Errorf("task %s, attempt %d, was started again", key.task, key.attempt)
	}
	w.started[key] = true
	for other, status := range w.tasks {
		if other.task == key.task && status.State == wire.TaskExited {
			delete(w.tasks, other)
		}
	}
	w.tasks[key] = wire.TaskStatus{Task: key.task, Attempt: key.attempt, State: wire.TaskRunning}
	if w.refuseStarts {
		w.exit(key, wire.ExitInsufficientResources)
	}
}

func (w *fencedWorker) exit(key taskAttempt, cause wire.ExitCause) {
	w.tasks[key] = wire.TaskStatus{Task: key.task, Attempt: key.attempt, State: wire.TaskExited, ExitCause: cause}
}

// running returns the attempts that run, in order.
func (w *fencedWorker) running() []taskAttempt {
	var keys []taskAttempt
	for _, key := range sortedStatusKeys(w.tasks) {
		if w.tasks[key].State != wire.TaskExited {
			keys = append(keys, key)
		}
	}
	return keys
}

// executeCopies executes late copies of all requests that the worker has executed before.
func (w *fencedWorker) executeCopies() {
	for _, request := range w.executed {
		w.executeRequest(request)
	}
}
