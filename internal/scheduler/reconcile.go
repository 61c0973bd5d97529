package scheduler

import (
	"time"

	"ambersill/internal/wire"
)

// reconcileTasks updates the machine's placements from the task list of a worker's message.
func (p *Partition) reconcileTasks(machine *Machine, message *wire.Heartbeat, now time.Time) {
	machine.taskListCount++
	for i := range message.Tasks {
		p.reconcileTask(machine, message.Incarnation, &message.Tasks[i], now)
	}
	p.requeueMissingTasks(machine, message, now)
	machine.removeCompletedForgets(message)
}

// reconcileTask updates a task's placement, if any, from the task's reported status.
func (p *Partition) reconcileTask(machine *Machine, incarnation uint64, status *wire.TaskStatus, now time.Time) {
	key := taskAttempt{status.Task, status.Attempt}
	placement := machine.placements[key]
	if placement == nil {
		return
	}
	placement.lastTaskListNumber = machine.taskListCount
	if placement.incarnation > incarnation {
		return // the status was sent before the task was placed
	}
	placement.start.observed = true
	if status.State != wire.TaskExited {
		p.updateLiveTask(placement, status.State, now)
		return
	}
	p.handleTaskExit(placement, status.ExitCause, now)
	machine.pendingForgets[key] = pendingForget{
		job:          placement.job,
		task:         placement.task,
		chunkVersion: placement.chunk().changeVersion,
		directToken:  placement.start.directToken,
	}
}

// updateLiveTask records the reported state of a task that has not exited.
func (p *Partition) updateLiveTask(placement *Placement, state wire.TaskState, now time.Time) {
	job := placement.job
	notYetRunning := placement.state != wire.TaskRunning && placement.runningSince.IsZero()
	if state == wire.TaskRunning && notYetRunning {
		placement.runningSince = now
		job.observedRunning = true
	}
	placement.state = state
	placement.machine.cachedImages[job.Image] = now
	if state != wire.TaskFetching {
		placement.imageFetched = true
	}
	waitsForBrokenGang := state == wire.TaskWaitingForGang && job.gangBroken
	if waitsForBrokenGang && placement.stopRequest == nil {
		// The task was not stopped when its gang broke, so that it could finish fetching its image.
		p.reserveMachineForGang(placement, now)
		p.requestStop(placement, 0, now)
	}
}

// requeueMissingTasks requeues the tasks that, according to the worker's message, are lost.
func (p *Partition) requeueMissingTasks(machine *Machine, message *wire.Heartbeat, now time.Time) {
	for _, key := range machine.unlistedTasks() {
		placement := machine.placements[key]
		if placement == nil {
			continue // detached together with another task of its gang
		}
		if machine.hasLost(placement, message) {
			p.requeue(placement, now)
		}
	}
}

// hasLost reports whether the task of a placement that the message does not list is lost: it is not
// running, and no start command that was sent for it can take effect any more.
func (m *Machine) hasLost(placement *Placement, message *wire.Heartbeat) bool {
	if placement.incarnation < message.Incarnation {
		// The worker killed and forgot all tasks of its previous incarnation, and it ignores
		// commands for that incarnation.
		return true
	}
	if !m.token.isShownBy(message) {
		// A command from an earlier owner, or from a request that was not answered, may
		// still be in transit.
		return false
	}
	if placement.start.directToken > 0 && placement.start.directToken < message.FencingToken {
		// The worker ignores the request with the start command, should it not have arrived
		// before the message was sent.
		return true
	}
	// Commands with a lower token can no longer take effect, so a task that was observed and is
	// no longer listed is gone. A task that was not observed may still start.
	return placement.start.observed
}

// unlistedTasks returns the placements that are missing from the newest task list, sorted by task.
// Usually there are none, since most heartbeats report no change.
func (m *Machine) unlistedTasks() []taskAttempt {
	return m.selectPlacements(func(placement *Placement) bool {
		return placement.lastTaskListNumber != m.taskListCount
	})
}
