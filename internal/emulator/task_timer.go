package emulator

import (
	"time"

	"ambersill/internal/wire"
)

// scheduledAction is a function that is to be called later with the simulation's lock held.
type scheduledAction struct {
	timer     *time.Timer
	cancelled bool // guarded by the simulation's lock
}

// schedule calls f after d with the simulation's lock held.
func (s *Simulation) schedule(d time.Duration, f func()) *scheduledAction {
	action := &scheduledAction{}
	action.timer = time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !action.cancelled {
			f()
		}
	})
	return action
}

// cancel prevents the call, even if the timer has fired and is waiting for the simulation's lock,
// which the caller must hold.
func (a *scheduledAction) cancel() {
	a.cancelled = true
	a.timer.Stop()
}

// taskTimer calls a function after some time, unless the task has exited or been removed by then.
type taskTimer struct {
	run       func()
	dueAt     time.Time        // not set while a timer that pauses is paused
	remaining time.Duration    // of a timer that is paused
	scheduled *scheduledAction // nil while the machine hangs
	// pauses is set if the timer stands still while the machine hangs. Otherwise the time goes
	// on, and a timer that becomes due meanwhile runs when the hang ends.
	pauses bool
}

// cancelTimer cancels the task's timer, if any. The simulation's lock must be held.
func (t *task) cancelTimer() {
	if t.timer != nil && t.timer.scheduled != nil {
		t.timer.scheduled.cancel()
	}
	t.timer = nil
}

// runAfter calls f with the simulation's lock held, once the task has been executed for d, unless
// it has exited or been removed by then. A machine that hangs does not execute its tasks. It
// replaces the task's earlier timer. The simulation's lock must be held.
func (w *Worker) runAfter(t *task, d time.Duration, f func()) {
	w.setTimer(t, &taskTimer{run: f, remaining: d, dueAt: time.Now().Add(d), pauses: true})
}

// runAtTimeout is like runAfter, but the time goes on while the machine hangs. If it is over by the
// end of a hang, f is called then.
func (w *Worker) runAtTimeout(t *task, d time.Duration, f func()) {
	w.setTimer(t, &taskTimer{run: f, dueAt: time.Now().Add(d)})
}

// setTimer replaces the task's timer, which starts unless the machine hangs.
func (w *Worker) setTimer(t *task, timer *taskTimer) {
	t.cancelTimer()
	t.timer = timer
	if !w.hung {
		w.startTimer(t)
	}
}

// startTimer schedules the task's timer. Leases that have expired by then end first: they may end
// the task, or the run of its gang.
func (w *Worker) startTimer(t *task) {
	timer := t.timer
	delay := max(time.Until(timer.dueAt), minTimerDelay)
	timer.scheduled = w.simulation.schedule(delay, func() {
		t.timer = nil
		w.expireLease()
		if t.gang != nil {
			t.gang.expireLeases()
		}
		if w.dead || w.tasks[t.name] != t || t.state == wire.TaskExited {
			return
		}
		timer.run()
		w.requestEarlyHeartbeat()
	})
}

// pauseTimers stops the timers of all tasks when the machine begins to hang.
func (w *Worker) pauseTimers() {
	for _, t := range w.tasks {
		if t.timer == nil {
			continue
		}
		t.timer.scheduled.cancel()
		t.timer.scheduled = nil
		t.timer.remaining = time.Until(t.timer.dueAt)
	}
}

// resumeTimers starts the timers of all tasks again when a hang ends.
func (w *Worker) resumeTimers() {
	for _, t := range w.tasks {
		if t.timer == nil {
			continue
		}
		if t.timer.pauses {
			t.timer.dueAt = time.Now().Add(t.timer.remaining)
		}
		w.startTimer(t)
	}
}
