package scheduler

import (
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// FencingRequest returns a command request without commands. The request informs the worker of the
// current token, after which commands of earlier owners can no longer take effect. The result is
// false if the partition no longer has the machine.
func (p *Partition) FencingRequest(id string) (wire.CommandRequest, bool) {
	machine := p.machines.get(id)
	if machine == nil || machine.Record.Released {
		return wire.CommandRequest{}, false
	}
	request := machine.newCommandRequest()
	request.Commands = []wire.Command{}
	return request, true
}

// newCommandRequest returns a request without commands, which the worker refuses if it has seen a
// higher token or is in another incarnation.
func (m *Machine) newCommandRequest() wire.CommandRequest {
	return wire.CommandRequest{FencingToken: m.token.current, Incarnation: m.newestMessage.incarnation}
}

// UnfencedMachines returns the IDs of the machines that have tasks of an earlier owner and whose
// workers have not acknowledged any token of this owner.
func (p *Partition) UnfencedMachines() []string {
	return p.machines.selectIDs(func(machine *Machine) bool {
		return !machine.token.acknowledged && !machine.token.everAcknowledged && len(machine.placements) > 0
	})
}

// MachinesNeedingHigherToken returns the IDs of the machines whose records must be rewritten to
// raise their tokens, because commands sent under the current token may still be executed.
func (p *Partition) MachinesNeedingHigherToken() []string {
	return p.machines.selectIDs(func(machine *Machine) bool {
		return machine.command.needsHigherToken(machine.token.current)
	})
}

// MachinesAwaitingCommands returns the IDs of the machines to which commands should be sent without
// waiting for their next heartbeat. If cancellationsFresh (see HandleHeartbeat) is not set, only
// stop commands for cancelled jobs are sent.
func (p *Partition) MachinesAwaitingCommands(cancellationsFresh bool) []string {
	return p.machines.selectIDs(func(machine *Machine) bool {
		return !machine.lease.expired && machine.acceptsDirectCommands() && machine.hasUnsentCommands(cancellationsFresh)
	})
}

// acceptsDirectCommands reports whether a command request may be sent directly to the machine. The
// worker must have acknowledged the current token, and no earlier request may be pending.
func (m *Machine) acceptsDirectCommands() bool {
	return m.token.acknowledged && !m.command.pending()
}

// acceptsDirectStarts reports whether tasks may be started on the machine by a direct request.
func (m *Machine) acceptsDirectStarts() bool {
	return m.acceptsStarts() && len(m.pendingForgets) < maxExitedTasks
}

// hasUnsentCommands reports whether a start or stop command for the machine is still to be sent.
// See HandleHeartbeat for the meaning of cancellationsFresh.
func (m *Machine) hasUnsentCommands(cancellationsFresh bool) bool {
	for _, placement := range m.placements {
		if placement.stopUnsent(cancellationsFresh) || (cancellationsFresh && placement.startUnsent()) {
			return true
		}
	}
	return false
}

// DirectCommands returns a request with the start and stop commands to send directly to a machine.
// The result is false if there are none. Until a request with start commands is answered, no other
// task is started or forgotten on the machine. Copies of it may be executed after the answer, too: see
// supersedeToken. See HandleHeartbeat for the meaning of cancellationsFresh.
func (p *Partition) DirectCommands(id string, cancellationsFresh bool) (wire.CommandRequest, bool) {
	machine := p.machines.get(id)
	if machine == nil || !machine.acceptsDirectCommands() {
		return wire.CommandRequest{}, false
	}
	request := machine.newCommandRequest()
	for _, key := range sortedTaskAttempts(machine.placements) {
		if len(request.Commands) >= tuning.MaxCommandsPerResponse {
			break
		}
		if command, due := p.directCommand(machine.placements[key], cancellationsFresh); due {
			request.Commands = append(request.Commands, command)
			p.Counters.countCommand(command.Op)
		}
	}
	if len(request.Commands) == 0 {
		return request, false
	}
	request.FencingToken = machine.token.current // a start may have raised it
	machine.markRequestSent(request)
	return request, true
}

// directCommand returns the placement's command for a direct request. due is false if there is none.
func (p *Partition) directCommand(placement *Placement, cancellationsFresh bool) (command wire.Command, due bool) {
	key := placement.taskAttempt()
	switch {
	case placement.stopUnsent(cancellationsFresh):
		command = newCommand(wire.StopTask, key)
		command.GracePeriodS = placement.stopRequest.gracePeriodS
		return command, true
	case cancellationsFresh && placement.startUnsent():
		// The worker may drop an earlier attempt once it starts this one.
		earlierToken := placement.machine.exitedAttemptToken(key.task)
		return newCommand(wire.StartTask, key), p.supersedeToken(placement.machine, earlierToken)
	}
	return wire.Command{}, false
}

// markRequestSent records that a request is in flight.
func (m *Machine) markRequestSent(request wire.CommandRequest) {
	m.command.requestInFlight = true
	for _, command := range request.Commands {
		placement := m.placements[taskAttempt{command.Task, command.Attempt}]
		if command.Op == wire.StopTask {
			placement.stopRequest.sent = true
			continue
		}
		placement.start.sent = true
		placement.start.heartbeatSequence = m.newestMessage.heartbeatSequence
		placement.start.directToken = request.FencingToken
		m.command.startsInFlight = true
		m.command.lastStartToken = request.FencingToken
	}
}

// CommandOutcome is the outcome of a command request, as far as the sender knows it.
type CommandOutcome int

// The outcomes of a command request.
const (
	// CommandsExecuted means that the worker confirmed the request.
	CommandsExecuted CommandOutcome = iota
	// CommandsNotExecuted means that the worker refused the request, or that it was never sent.
	CommandsNotExecuted
	// CommandsUnknown means that no response arrived, so that the request may have been executed
	// or may be executed later.
	CommandsUnknown
)

// HandleCommandOutcome updates the placements on a machine with the outcome of a command request.
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
		if command.Op == wire.StartTask && machine.command.startsInFlight {
			placement.recordStartOutcome(outcome)
		}
	}
	p.Counters.countOutcome(outcome)
	machine.command.requestInFlight = false
	if machine.command.startsInFlight {
		machine.command.startsInFlight = false
		p.capacityVersion++
	}
}

// IsOutdated reports whether a worker refused a request only because it had seen a higher token of
// this owner by then. It has executed none of the commands, and executes them under that token.
func (p *Partition) IsOutdated(request wire.CommandRequest, response *wire.Heartbeat) bool {
	machine := p.machines.get(response.Machine)
	if machine == nil || machine.isSuperseded(response) {
		return false
	}
	return response.Incarnation == request.Incarnation && response.FencingToken > request.FencingToken
}

// resendStop marks the placement's stop command, if any, to be sent again.
func (pl *Placement) resendStop() {
	if pl.stopRequest != nil {
		pl.stopRequest.sent = false
	}
}

// recordStartOutcome records the outcome of a direct request that contained the placement's start
// command.
func (pl *Placement) recordStartOutcome(outcome CommandOutcome) {
	switch outcome {
	case CommandsExecuted:
		pl.start.observed = true
	case CommandsNotExecuted:
		// If a stop was requested meanwhile, the start is not sent again, and the next
		// heartbeat shows that the task is not on the machine. Until then the start must
		// count as sent, because the placement would otherwise never be freed.
		pl.start.sent = pl.stopRequest != nil
		pl.start.directToken = 0
	case CommandsUnknown:
		// The start may be executed as long as token and incarnation match. Only after the
		// token is raised does the task's absence from the worker's list show that it will
		// not be started.
		machine := pl.machine
		machine.command.markUnconfirmed(machine.token.current)
	}
}
