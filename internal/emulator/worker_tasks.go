package emulator

import (
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// task is one attempt of a task on a machine.
type task struct {
	name    string
	job     *wire.Job
	index   int
	attempt uint64
	state   wire.TaskState
	cause   wire.ExitCause
	saved   bool       // a checkpoint was saved before it exited
	timer   *taskTimer // nil if nothing is due
	gang    *gangRun   // nil for tasks that belong to no gang or whose gang has not started
}

// status returns the entry for the task in a heartbeat.
func (t *task) status() wire.TaskStatus {
	return wire.TaskStatus{
		Task:            t.name,
		Attempt:         t.attempt,
		State:           t.state,
		ExitCause:       t.cause,
		CheckpointSaved: t.saved,
	}
}

// minTimerDelay is the delay of actions without a delay of their own. A timer runs them in another
// goroutine, because the caller holds the simulation's lock.
const minTimerDelay = time.Millisecond

// dropTasks removes all tasks and refused starts for the given reason, without reporting them. The
// simulation's lock must be held.
func (w *Worker) dropTasks(reason string) {
	for _, t := range w.tasks {
		t.cancelTimer()
		w.traceTask(t, "removed: %s", reason)
		w.simulation.removeTask(w, t)
	}
	w.tasks = map[string]*task{}
	w.refusedStarts = nil
}

// hasResourcesFor reports whether the machine has enough free CPUs, GPUs and memory for one more
// task of a job. All tasks that have not exited count, including those that fetch their image.
func (w *Worker) hasResourcesFor(job *wire.Job) bool {
	cpus, gpus, memory := job.CPUs, job.GPUs, job.MemoryGB
	for _, t := range w.tasks {
		if t.state != wire.TaskExited {
			cpus, gpus, memory = cpus+t.job.CPUs, gpus+t.job.GPUs, memory+t.job.MemoryGB
		}
	}
	machine := w.machineType
	return cpus <= machine.CPUs+roundingTolerance && gpus <= machine.GPUs+roundingTolerance && memory <= machine.MemoryGB+roundingTolerance
}

// imageFetchTime returns how long fetching a job's image takes; minTimerDelay if the machine has
// the image, or if its type has no rate.
func (w *Worker) imageFetchTime(job *wire.Job) time.Duration {
	rate := w.machineType.ImageFetchGBPerS
	if w.fetchedImages[job.Image] || rate <= 0 {
		return minTimerDelay
	}
	return tuning.Seconds(job.ImageGB / rate)
}

// exit makes a task exit with a cause, which heartbeats report until the task is forgotten. The
// simulation's lock must be held.
func (w *Worker) exit(t *task, exitCause wire.ExitCause, saved bool) {
	t.cancelTimer()
	w.simulation.removeTask(w, t)
	t.cause, t.saved = exitCause, saved
	w.setState(t, wire.TaskExited)
	w.requestEarlyHeartbeat()
}

// stop makes a task exit, after it has saved a checkpoint if savesCheckpoint holds. If the task is
// already saving a checkpoint, a stop with a grace period lets it finish; a grace period of 0 ends
// it at once.
func (w *Worker) stop(t *task, gracePeriodS float64) {
	w.traceTask(t, "stop with a grace period of %v s", gracePeriodS)
	switch {
	case t.state == wire.TaskSaving && gracePeriodS > 0:
		return
	case !t.savesCheckpoint(gracePeriodS):
		w.exit(t, wire.ExitStopped, false)
	case t.gang != nil:
		t.gang.stopMember(w, t)
	default:
		w.setState(t, wire.TaskSaving)
		w.runAfter(t, t.checkpointSaveTime(), func() { w.exit(t, wire.ExitStopped, true) })
	}
}

// checkpointSaveTime returns how long the task takes to save a checkpoint.
func (t *task) checkpointSaveTime() time.Duration {
	return time.Duration(t.job.CheckpointSaveS * float64(time.Second))
}

// savesCheckpoint reports whether a task that is stopped saves a checkpoint first. It does if it is
// running, its job makes checkpoints, and saving one takes no longer than the grace period.
func (t *task) savesCheckpoint(gracePeriodS float64) bool {
	if t.state != wire.TaskRunning || t.job.CheckpointIntervalS <= 0 {
		return false
	}
	return t.job.CheckpointSaveS > 0 && gracePeriodS >= t.job.CheckpointSaveS
}
