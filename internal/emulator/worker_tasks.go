package emulator

import (
	"time"

	"ambersill/internal/wire"
)

// task is an attempt at a task on a machine.
type task struct {
	name    string
	job     *wire.Job
	index   int
	attempt uint64
	state   wire.TaskState
	cause   wire.ExitCause
	saved   bool // a checkpoint was saved before it exited
	timer   *time.Timer
}

// status returns the task's entry in a heartbeat.
func (t *task) status() wire.TaskStatus {
	return wire.TaskStatus{
		Task:            t.name,
		Attempt:         t.attempt,
		State:           t.state,
		ExitCause:       t.cause,
		CheckpointSaved: t.saved,
	}
}

// minTimerDelay is the delay of what happens at once, but in a goroutine of its own.
const minTimerDelay = time.Millisecond

// dropTasks forgets all tasks. The simulation's lock must be held.
func (w *Worker) dropTasks() {
	for _, t := range w.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
		w.simulation.removeTask(w, t)
	}
	w.tasks = map[string]*task{}
	w.refusedStarts = nil
}

// hasResourcesFor reports whether another task of a job fits beside those that are here,
// fetching ones included.
func (w *Worker) hasResourcesFor(job *wire.Job) bool {
	cpus, gpus, memory := job.CPUs, job.GPUs, job.MemoryGB
	for _, t := range w.tasks {
		if t.state != wire.TaskExited {
			cpus, gpus, memory = cpus+t.job.CPUs, gpus+t.job.GPUs, memory+t.job.MemoryGB
		}
	}
	machine := w.machineType
	return cpus <= machine.CPUs+rounding && gpus <= machine.GPUs+rounding && memory <= machine.MemoryGB+rounding
}

// imageFetchTime is how long a job's image takes to be there.
func (w *Worker) imageFetchTime(job *wire.Job) time.Duration {
	if w.images[job.Image] {
		return minTimerDelay
	}
	return time.Duration(job.ImageGB / w.machineType.ImageFetchGBPerS * float64(time.Second))
}

// runAfter runs f for a task runAfter a while, unless it has exited; a hanging
// machine's timers wait until the hang ends.
func (w *Worker) runAfter(t *task, d time.Duration, f func()) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.timer = time.AfterFunc(d, func() {
		w.simulation.mu.Lock()
		defer w.simulation.mu.Unlock()
		if w.dead || w.hung || w.tasks[t.name] != t || t.state == wire.TaskExited {
			return
		}
		f()
		w.notifyChange()
	})
}

// exit ends a task. The simulation's lock must be held.
func (w *Worker) exit(t *task, exitCause wire.ExitCause, saved bool) {
	if t.timer != nil {
		t.timer.Stop()
	}
	w.simulation.removeTask(w, t)
	t.state, t.cause, t.saved = wire.TaskExited, exitCause, saved
	w.notifyChange()
}

// stop ends a task, after it has saved a checkpoint if the grace period suffices for that.
func (w *Worker) stop(t *task, gracePeriodS float64) {
	if t.savesCheckpoint(gracePeriodS) {
		t.state = wire.TaskSaving
		saveTime := time.Duration(t.job.CheckpointSaveS * float64(time.Second))
		w.runAfter(t, saveTime, func() { w.exit(t, wire.ExitStopped, true) })
		return
	}
	if t.state == wire.TaskSaving && gracePeriodS > 0 {
		return
	}
	w.exit(t, wire.ExitStopped, false)
}

// savesCheckpoint reports whether a task that is stopped saves a checkpoint first.
func (t *task) savesCheckpoint(gracePeriodS float64) bool {
	if t.state != wire.TaskRunning || t.job.CheckpointIntervalS <= 0 {
		return false
	}
	return t.job.CheckpointSaveS > 0 && gracePeriodS >= t.job.CheckpointSaveS
}
