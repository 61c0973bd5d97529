package scheduler

import (
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// heartbeatCommands returns the commands for the response to a heartbeat.
func (p *Partition) heartbeatCommands(machine *Machine, heartbeat *wire.Heartbeat, now time.Time, fresh bool) []wire.Command {
	commands := []wire.Command{}
	for i := range heartbeat.Tasks {
		if len(commands) >= tuning.MaxCommandsPerResponse {
			return commands
		}
		if command, due := p.endCommand(machine, &heartbeat.Tasks[i], now); due {
			commands = append(commands, command)
		}
	}
	if !fresh || !machine.acceptsStarts() || machine.command.pending() {
		return commands
	}
	return appendStartCommands(commands, machine, heartbeat.Sequence)
}

// endCommand returns the command that stops a task of the worker's list, or that has the
// worker forget it; due is false if it needs neither.
func (p *Partition) endCommand(machine *Machine, status *wire.TaskStatus, now time.Time) (command wire.Command, due bool) {
	key := taskAttempt{status.Task, status.Attempt}
	placement := machine.placements[key]
	switch {
	case status.State == wire.TaskExited:
		return newCommand(wire.ForgetTask, key), machine.mayForget(key)
	case placement == nil:
		// No placement is recorded for the task: its job was cancelled or has ended, or
		// the attempt was abandoned.
		return newCommand(wire.StopTask, key), true
	case placement.stopRequest != nil:
		command = newCommand(wire.StopTask, key)
		command.GracePeriodS = p.remainingGraceSeconds(placement.stopRequest, now)
		placement.stopRequest.sent = true
		return command, true
	}
	return wire.Command{}, false
}

// mayForget reports whether the worker may forget an exited task. While a direct request
// may still be executed it must not: a delayed copy could start the task once more.
func (m *Machine) mayForget(key taskAttempt) bool {
	if m.command.pending() {
		return false
	}
	forget, known := m.pendingForgets[key]
	// The end of an exited task that is not pending was committed before.
	return !known || forget.ready()
}

// appendStartCommands appends the starts of the machine's tasks, up to MaxCommandsPerResponse in all.
// sequence is that of the heartbeat which is answered.
//
// A start that no heartbeat has shown is repeated, as its response may have been lost. The
// worker cannot execute it twice: it sends its next heartbeat only after it has executed
// the commands of the last response.
func appendStartCommands(commands []wire.Command, machine *Machine, sequence uint64) []wire.Command {
	for _, key := range machine.startableTasks() {
		if len(commands) >= tuning.MaxCommandsPerResponse {
			break
		}
		placement := machine.placements[key]
		placement.start.sent = true
		placement.start.heartbeatSequence = sequence
		commands = append(commands, newCommand(wire.StartTask, key))
	}
	return commands
}

// newCommand returns a command for a task, with the grace period of a stop left at 0.
func newCommand(op wire.Op, key taskAttempt) wire.Command {
	return wire.Command{Op: op, Task: key.task, Attempt: key.attempt}
}

// acceptsStarts reports whether tasks may be started on the machine. Before the worker has
// shown the current token, a command of an earlier owner may still take effect.
func (m *Machine) acceptsStarts() bool {
	return m.token.acknowledged && !m.terminationNotice
}

// startPermitted reports whether the placement's start may be sent. It must be committed
// first: the next owner would otherwise not know of the task.
func (pl *Placement) startPermitted() bool {
	if pl.start.observed || pl.stopRequest != nil || pl.gangDone || pl.job.Cancelled {
		return false
	}
	committed := pl.chunk().committedVersion >= pl.chunkVersion
	return committed && pl.incarnation == pl.machine.newestMessage.incarnation
}

// startableTasks returns the machine's placements whose starts may be sent, in order.
func (m *Machine) startableTasks() []taskAttempt {
	return m.selectPlacements((*Placement).startPermitted)
}

// startUnsent reports whether the placement's start is permitted and was not sent yet. A
// start that was sent is repeated only in the response to a heartbeat, which shows that the
// earlier one has not been executed.
func (pl *Placement) startUnsent() bool {
	return !pl.start.sent && pl.machine.acceptsStarts() && pl.startPermitted()
}

// stopUnsent reports whether the placement's stop is still to be sent. fresh is as with
// HandleHeartbeat: without it only tasks of cancelled jobs are stopped, as a cancellation
// is never withdrawn.
func (pl *Placement) stopUnsent(fresh bool) bool {
	return pl.stopRequest != nil && !pl.stopRequest.sent && (fresh || pl.job.Cancelled)
}

// FencingRequest returns a command request without commands. It raises the token that the
// worker has seen, so that an earlier owner's commands can no longer take effect.
func (p *Partition) FencingRequest(id string) (wire.CommandRequest, bool) {
	machine := p.machines.get(id)
	if machine == nil || machine.Record.Released {
		return wire.CommandRequest{}, false
	}
	request := machine.newCommandRequest()
	request.Commands = []wire.Command{}
	return request, true
}

// newCommandRequest returns a request that the worker refuses if it has seen a higher token or
// is in another incarnation.
func (m *Machine) newCommandRequest() wire.CommandRequest {
	return wire.CommandRequest{FencingToken: m.token.current, Incarnation: m.newestMessage.incarnation}
}

// MachinesNotFenced lists the machines with tasks of an earlier owner that have not shown
// the current token yet.
func (p *Partition) MachinesNotFenced() []string {
	return p.machines.selectIDs(func(machine *Machine) bool {
		return !machine.token.acknowledged && !machine.token.everAcknowledged && len(machine.placements) > 0
	})
}

// MachinesToRefence lists the machines whose records must be rewritten to raise their
// tokens, because commands sent under the current one may still be executed.
func (p *Partition) MachinesToRefence() []string {
	return p.machines.selectIDs(func(machine *Machine) bool {
		return machine.command.needsHigherToken(machine.token.current)
	})
}

// MachinesAwaitingCommands lists the machines to which commands should be sent before their
// next heartbeat. fresh is as with HandleHeartbeat; without it only stops of cancelled jobs
// are sent.
func (p *Partition) MachinesAwaitingCommands(fresh bool) []string {
	return p.machines.selectIDs(func(machine *Machine) bool {
		return !machine.lease.expired && machine.acceptsDirectCommands() && machine.hasUnsentCommands(fresh)
	})
}

// acceptsDirectCommands reports whether a command request may be sent straight to the
// machine: to a worker that has shown the current token, one request at a time.
func (m *Machine) acceptsDirectCommands() bool {
	return m.token.acknowledged && !m.command.pending()
}

// hasUnsentCommands reports whether a start or stop on the machine is still to be sent. fresh
// is as with HandleHeartbeat.
func (m *Machine) hasUnsentCommands(fresh bool) bool {
	for _, placement := range m.placements {
		if placement.stopUnsent(fresh) || (fresh && placement.startUnsent()) {
			return true
		}
	}
	return false
}

// DirectCommands returns the starts and stops to send straight to a machine. Until the
// request is answered, nothing else is started or forgotten there: a copy that the network
// delays could start a task once more after the worker forgot it.
func (p *Partition) DirectCommands(id string, fresh bool) (wire.CommandRequest, bool) {
	machine := p.machines.get(id)
	if machine == nil || !machine.acceptsDirectCommands() {
		return wire.CommandRequest{}, false
	}
	request := machine.newCommandRequest()
	for _, key := range sortedTaskAttempts(machine.placements) {
		if len(request.Commands) >= tuning.MaxCommandsPerResponse {
			break
		}
		if command, due := machine.placements[key].directCommand(key, fresh); due {
			request.Commands = append(request.Commands, command)
		}
	}
	return request, len(request.Commands) > 0
}

// directCommand returns the placement's command for a direct request and records that it is
// sent; due is false if there is none.
func (pl *Placement) directCommand(key taskAttempt, fresh bool) (command wire.Command, due bool) {
	switch {
	case pl.stopUnsent(fresh):
		pl.stopRequest.sent = true
		command = newCommand(wire.StopTask, key)
		command.GracePeriodS = pl.stopRequest.gracePeriodS
		return command, true
	case fresh && pl.startUnsent():
		pl.start.sent = true
		pl.start.heartbeatSequence = pl.machine.newestMessage.heartbeatSequence
		pl.start.directToken = pl.machine.token.current
		pl.machine.command.inFlight = true
		return newCommand(wire.StartTask, key), true
	}
	return wire.Command{}, false
}

// CommandOutcome is the outcome of a command request.
type CommandOutcome int

// The outcomes of a command request.
const (
	// CommandsExecuted means that the worker confirmed the request.
	CommandsExecuted CommandOutcome = iota
	// CommandsNotExecuted means that the worker refused the request, or it was never sent.
	CommandsNotExecuted
	// CommandsUnknown means that no response arrived, so the request may be executed at any
	// time.
	CommandsUnknown
)

// HandleCommandOutcome records the outcome of a command request.
func (p *Partition) HandleCommandOutcome(request wire.CommandRequest, id string, outcome CommandOutcome) {
	machine := p.machines.get(id)
	if machine == nil {
		return
	}
	for _, command := range request.Commands {
		placement := machine.placements[taskAttempt{command.Task, command.Attempt}]
		if placement == nil {
			continue
		}
		if command.Op == wire.StopTask && outcome == CommandsNotExecuted {
			placement.resendStop()
		}
		if command.Op == wire.StartTask && machine.command.inFlight {
			placement.recordStartOutcome(outcome)
		}
	}
	if machine.command.inFlight {
		machine.command.inFlight = false
		p.capacityVersion++
	}
}

// resendStop has the placement's stop sent again.
func (pl *Placement) resendStop() {
	if pl.stopRequest != nil {
		pl.stopRequest.sent = false
	}
}

// recordStartOutcome records the outcome of a direct request with the placement's start.
func (pl *Placement) recordStartOutcome(outcome CommandOutcome) {
	switch outcome {
	case CommandsExecuted:
		pl.start.observed = true
	case CommandsNotExecuted:
		// A start that is to be stopped by now is not sent again, and the next heartbeat
		// shows that the task is not there. It has to count as sent until then: nothing
		// would ever free the placement otherwise.
		pl.start.sent = pl.stopRequest != nil
		pl.start.directToken = 0
	case CommandsUnknown:
		// The start may be executed as long as token and incarnation match, so the
		// token has to be raised before the task's absence shows anything.
		machine := pl.machine
		machine.command.markUnconfirmed(machine.token.current)
	}
}
