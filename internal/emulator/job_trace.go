package emulator

import (
	"fmt"
	"time"

	"ambersill/internal/wire"
)

// maxTracedEvents is the number of events after which the oldest ones are discarded, so that an
// emulator that runs for long does not use ever more memory.
const maxTracedEvents = 100_000

// jobEvent is an event in the life of a job: a change of one of its tasks, or a request of its user.
type jobEvent struct {
	job  string
	text string // one line, which begins with the time
}

// traceJob records an event of a job. The simulation's lock must be held.
func (s *Simulation) traceJob(jobID, format string, args ...any) {
	if len(s.jobEvents) >= maxTracedEvents {
		s.jobEvents = append([]jobEvent(nil), s.jobEvents[maxTracedEvents/2:]...)
	}
	at := time.Now().Format("15:04:05.000000 ")
	s.jobEvents = append(s.jobEvents, jobEvent{jobID, at + fmt.Sprintf(format, args...)})
}

// traceTask records an event of a task on the worker's machine. The simulation's lock must be held.
func (w *Worker) traceTask(t *task, format string, args ...any) {
	change := fmt.Sprintf(format, args...)
	if w.hung {
		change += " (machine hangs)"
	}
	w.simulation.traceJob(t.job.ID, "task %s, attempt %d, machine %s: %s", t.name, t.attempt, w.Machine.ID, change)
}

// traceRequest records a request that a job's user sent to a node, with the HTTP status of its
// answer, which is 0 if there was none.
func (s *Simulation) traceRequest(jobID string, node Node, path string, status int, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.traceJob(jobID, "user: POST %s to %s: status %d after %v", path, node.Name, status, time.Since(sent))
}

// setState changes the state of a task and records the change. The simulation's lock must be held.
func (w *Worker) setState(t *task, state wire.TaskState) {
	t.state = state
	switch {
	case state != wire.TaskExited:
		w.traceTask(t, "%s", state)
	case t.saved:
		w.traceTask(t, "%s, cause %s, checkpoint saved", state, t.cause)
	default:
		w.traceTask(t, "%s, cause %s", state, t.cause)
	}
}

// JobTrace returns the events of a job's tasks and the requests of its user that change the job,
// one line each, in the order in which they ended. Events that are long past may be missing.
func (s *Simulation) JobTrace(jobID string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lines []string
	for _, event := range s.jobEvents {
		if event.job == jobID {
			lines = append(lines, event.text)
		}
	}
	return lines
}
