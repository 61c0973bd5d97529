package scheduler

import (
	"time"

	"ambersill/internal/wire"
)

// pendingForget is an exited task which its worker may forget once its end is committed. If
// it did so before, the next owner would consider the task lost.
type pendingForget struct {
	job          *Job
	task         int
	chunkVersion int // of the task's chunk, with the end
}

// isEndCommitted reports whether the task's end is committed.
func (f pendingForget) isEndCommitted() bool {
	return f.job.finalized || f.job.chunkOf(f.task).committedVersion >= f.chunkVersion
}

// reconcileTasks compares the task list of a worker's message with the machine's placements.
func (p *Partition) reconcileTasks(machine *Machine, message *wire.Heartbeat, now time.Time) {
	machine.statusLists++
	for i := range message.Tasks {
		p.reconcileTask(machine, message.Incarnation, &message.Tasks[i], now)
	}
	p.requeueMissingTasks(machine, message, now)
	machine.removeCompletedForgets(message)
}

// reconcileTask applies the status of one task to its placement.
func (p *Partition) reconcileTask(machine *Machine, incarnation uint64, status *wire.TaskStatus, now time.Time) {
	key := taskAttempt{status.Task, status.Attempt}
	placement := machine.placements[key]
	if placement == nil {
		return
	}
	placement.lastStatusList = machine.statusLists
	if placement.incarnation > incarnation {
		return // the status is from before the placement
	}
	placement.start.observed = true
	if status.State != wire.TaskExited {
		p.updateLiveTask(placement, status.State, now)
		return
	}
	p.taskExited(placement, status.ExitCause, now)
	machine.pendingForgets[key] = pendingForget{
		job:          placement.job,
		task:         placement.task,
		chunkVersion: placement.chunk().changeVersion,
	}
}

// updateLiveTask records the state of a task that has not exited.
func (p *Partition) updateLiveTask(placement *Placement, state wire.TaskState, now time.Time) {
	job := placement.job
	firstSeenRunning := placement.state != wire.TaskRunning && placement.runningSince.IsZero()
	if state == wire.TaskRunning && firstSeenRunning {
		placement.runningSince = now
		job.seenRunning = true
	}
	placement.state = state
	placement.machine.cachedImages[job.Image] = now
	if state != wire.TaskFetching {
		placement.imageFetched = true
	}
	waitsForBrokenGang := state == wire.TaskWaitingForGang && job.gangBroken
	if waitsForBrokenGang && placement.stopRequest == nil {
		// The task was not stopped before only so that it could finish fetching its image.
		p.reserveMachineForGang(placement, now)
		p.requestStop(placement, 0, now)
	}
}

// requeueMissingTasks requeues the placements which the worker's message shows to be gone.
func (p *Partition) requeueMissingTasks(machine *Machine, message *wire.Heartbeat, now time.Time) {
	for _, key := range machine.unlistedTasks() {
		placement := machine.placements[key]
		if placement == nil {
			continue // detached with another task of its gang
		}
		if machine.hasLost(placement, message) {
			p.requeue(placement, now)
		}
	}
}

// hasLost reports whether a placement that the message does not list is gone for good, so
// that its start can no longer take effect either.
func (m *Machine) hasLost(placement *Placement, message *wire.Heartbeat) bool {
	if placement.incarnation < message.Incarnation {
		// The worker killed and forgot all tasks of its last incarnation, and it
		// ignores commands that were meant for that one.
		return true
	}
	if !m.token.isCarriedBy(message) {
		// A command of an earlier owner, or of a request that was not answered, may
		// still be on its way.
		return false
	}
	if placement.start.directToken > 0 && placement.start.directToken < m.token.current {
		// The request with its start was never answered, and the worker ignores
		// requests under a lower token.
		return true
	}
	// No earlier command can take effect under the current token, so a task that was
	// observed and is no longer listed has ended. One that was not observed may still start.
	return placement.start.observed
}

// unlistedTasks returns the placements that the newest task list does not contain, in
// order. Usually there are none, since most heartbeats report no change.
func (m *Machine) unlistedTasks() []taskAttempt {
	return m.selectPlacements(func(placement *Placement) bool {
		return placement.lastStatusList != m.statusLists
	})
}

// removeCompletedForgets drops the pending forgets of tasks that the worker no longer lists. Under
// an older token the list may be from before the task was started, so it shows nothing.
func (m *Machine) removeCompletedForgets(message *wire.Heartbeat) {
	if len(m.pendingForgets) == 0 || !m.token.isCarriedBy(message) {
		return
	}
	listed := make(map[taskAttempt]bool, len(message.Tasks))
	for i := range message.Tasks {
		listed[taskAttempt{message.Tasks[i].Task, message.Tasks[i].Attempt}] = true
	}
	for key := range m.pendingForgets {
		if !listed[key] {
			delete(m.pendingForgets, key)
		}
	}
}
