package scheduler

import (
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// heartbeatCommands returns the commands for the response to a heartbeat. Tasks are started only if
// cancellationsFresh is set; see HandleHeartbeat for its meaning.
func (p *Partition) heartbeatCommands(machine *Machine, heartbeat *wire.Heartbeat, now time.Time, cancellationsFresh bool) []wire.Command {
	commands := []wire.Command{}
	for i := range heartbeat.Tasks {
		if len(commands) >= tuning.MaxCommandsPerResponse {
			return commands
		}
		if command, due := p.stopOrForgetCommand(machine, &heartbeat.Tasks[i], now); due {
			commands = append(commands, command)
			p.Counters.countCommand(command.Op)
		}
	}
	if !cancellationsFresh || !machine.acceptsStarts() || machine.command.pending() {
		return commands
	}
	return p.appendStartCommands(commands, machine, heartbeat.Sequence)
}

// stopOrForgetCommand returns the command that stops a task on the worker's list or makes the
// worker forget it. due is false if the task needs neither, or if it must not be forgotten yet.
func (p *Partition) stopOrForgetCommand(machine *Machine, status *wire.TaskStatus, now time.Time) (command wire.Command, due bool) {
	key := taskAttempt{status.Task, status.Attempt}
	placement := machine.placements[key]
	switch {
	case status.State == wire.TaskExited:
		return newCommand(wire.ForgetTask, key), p.mayForget(machine, key)
	case placement == nil:
		// There is no placement for the task, because its job was cancelled or has ended,
		// or because the attempt was abandoned.
		return newCommand(wire.StopTask, key), true
	case placement.stopRequest != nil:
		command = newCommand(wire.StopTask, key)
		command.GracePeriodS = p.remainingGraceSeconds(placement.stopRequest, now)
		placement.stopRequest.sent = true
		return command, true
	}
	return wire.Command{}, false
}

// appendStartCommands appends start commands for the machine's tasks, up to MaxCommandsPerResponse
// commands in total. sequence is the sequence number of the heartbeat to which they respond.
//
// A start command is repeated with each response until the worker is known to have executed it,
// because the response with the command may have been lost. The worker cannot execute the command
// twice, because it sends its next heartbeat only after it has executed the commands of the last
// response.
func (p *Partition) appendStartCommands(commands []wire.Command, machine *Machine, sequence uint64) []wire.Command {
	for _, key := range machine.startableTasks() {
		if len(commands) >= tuning.MaxCommandsPerResponse {
			break
		}
		// The worker may drop an earlier attempt once it starts this one.
		if !p.supersedeToken(machine, machine.exitedAttemptToken(key.task)) {
			continue
		}
		placement := machine.placements[key]
		placement.start.sent = true
		placement.start.heartbeatSequence = sequence
		commands = append(commands, newCommand(wire.StartTask, key))
		p.Counters.countCommand(wire.StartTask)
	}
	return commands
}

// newCommand returns a command for a task, with a grace period of 0.
func newCommand(op wire.Op, key taskAttempt) wire.Command {
	return wire.Command{Op: op, Task: key.task, Attempt: key.attempt}
}

// acceptsStarts reports whether tasks may be started on the machine. Until the worker has
// acknowledged the current token, a command of an earlier owner may still take effect.
func (m *Machine) acceptsStarts() bool {
	return m.token.acknowledged && !m.terminationNotice
}

// startPermitted reports whether the start command for the placement may be sent. The placement
// must be committed first, because the next owner would otherwise not know of the task.
func (pl *Placement) startPermitted() bool {
	if pl.start.observed || pl.stopRequest != nil || pl.gangDone || pl.job.Cancelled {
		return false
	}
	committed := pl.chunk().committedVersion >= pl.chunkVersion
	return committed && pl.incarnation == pl.machine.newestMessage.incarnation
}

// startableTasks returns the machine's placements whose start commands may be sent, sorted by task.
func (m *Machine) startableTasks() []taskAttempt {
	return m.selectPlacements((*Placement).startPermitted)
}

// startUnsent reports whether the start command for the placement may be sent and has not been
// sent yet. A start command is repeated only in the response to a heartbeat, and only if the
// heartbeat shows that the earlier command was not executed.
func (pl *Placement) startUnsent() bool {
	return !pl.start.sent && pl.machine.acceptsDirectStarts() && pl.startPermitted()
}

// stopUnsent reports whether a stop command for the placement is still to be sent. If
// cancellationsFresh (see HandleHeartbeat) is not set, only tasks of cancelled jobs are stopped,
// because a cancellation is never withdrawn.
func (pl *Placement) stopUnsent(cancellationsFresh bool) bool {
	return pl.stopRequest != nil && !pl.stopRequest.sent && (cancellationsFresh || pl.job.Cancelled)
}
