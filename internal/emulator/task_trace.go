package emulator

import (
	"fmt"
	"time"

	"ambersill/internal/wire"
)

// maxTracedEvents is the number of events after which the oldest ones are discarded, so that an
// emulator that runs for long does not use ever more memory.
const maxTracedEvents = 100_000

// taskEvent is an event in the life of one attempt of a task on a machine.
type taskEvent struct {
	at      time.Time
	job     string
	task    string
	attempt uint64
	machine string
	change  string
}

// String returns the event as one line.
func (e *taskEvent) String() string {
	return fmt.Sprintf("%s task %s, attempt %d, machine %s: %s", e.at.Format("15:04:05.000000"), e.task, e.attempt, e.machine, e.change)
}

// traceTask records an event of a task on the worker's machine. The simulation's lock must be held.
func (w *Worker) traceTask(t *task, format string, args ...any) {
	s := w.simulation
	if len(s.taskEvents) >= maxTracedEvents {
		s.taskEvents = append([]taskEvent(nil), s.taskEvents[maxTracedEvents/2:]...)
	}
	change := fmt.Sprintf(format, args...)
	if w.hung {
		change += " (machine hangs)"
	}
	s.taskEvents = append(s.taskEvents, taskEvent{
		at:      time.Now(),
		job:     t.job.ID,
		task:    t.name,
		attempt: t.attempt,
		machine: w.Machine.ID,
		change:  change,
	})
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

// TaskTrace returns the events of a job's tasks, one line each, in the order in which they
// happened. Events that are long past may be missing.
func (s *Simulation) TaskTrace(jobID string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lines []string
	for i := range s.taskEvents {
		if s.taskEvents[i].job == jobID {
			lines = append(lines, s.taskEvents[i].String())
		}
	}
	return lines
}
