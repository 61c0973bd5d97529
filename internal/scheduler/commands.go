package scheduler

import (
	"slices"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// FencingRequest is an empty order, which raises a machine's token, so that an earlier
// owner's commands can no longer take effect.
func (p *Partition) FencingRequest(id string) (wire.CommandRequest, bool) {
	machine := p.machines[id]
	if machine == nil || machine.Record.Released {
		return wire.CommandRequest{}, false
	}
	return wire.CommandRequest{FencingToken: machine.token.current, Incarnation: machine.latest.incarnation, Commands: []wire.Command{}}, true
}

// MachinesNotFenced lists the machines with work of an earlier owner that have not shown the
// present token yet.
func (p *Partition) MachinesNotFenced() []string {
	var out []string
	for _, id := range p.machineIDs {
		if machine := p.machines[id]; !machine.token.acknowledged && !machine.token.everAcknowledged && len(machine.placements) > 0 {
			out = append(out, id)
		}
	}
	return out
}

// MachinesAwaitingCommands lists machines that should hear orders before their next report. fresh: as with
// Report; without, only stops of cancelled jobs are orders.
func (p *Partition) MachinesAwaitingCommands(fresh bool) []string {
	var out []string
	for _, id := range p.machineIDs {
		machine := p.machines[id]
		if !machine.token.acknowledged || machine.lease.expired || machine.command.inFlight || machine.command.unconfirmed {
			continue
		}
		for _, placement := range machine.placements {
			if placement.stopUnsent(fresh) || (fresh && !placement.startSent && !machine.terminationNotice && p.startable(placement)) {
				out = append(out, id)
				break
			}
		}
	}
	return out
}

// stopUnsent tells whether the placement's stop is still to be ordered.
func (pl *Placement) stopUnsent(fresh bool) bool {
	return pl.stopRequest != nil && !pl.stopRequest.sent && (fresh || pl.job.Cancelled)
}

// startable tells whether a placement's start may leave: only after it is committed.
func (p *Partition) startable(placement *Placement) bool {
	return !placement.observed && placement.stopRequest == nil && !placement.gangDone && !placement.job.Cancelled &&
		placement.incarnation == placement.machine.latest.incarnation && placement.chunk().committedVersion >= placement.chunkVersion
}

// startableTasks are the machine's placements whose starts may leave, in order.
func (p *Partition) startableTasks(machine *Machine) []taskAttempt {
	for _, placement := range machine.placements {
		if p.startable(placement) {
			return slices.DeleteFunc(sortedTaskAttempts(machine.placements), func(key taskAttempt) bool { return !p.startable(machine.placements[key]) })
		}
	}
	return nil
}

// DirectCommands gives the starts and stops to send straight to a machine. Until the
// order is answered nothing else starts or is cleared there: a copy that is held
// back on the way could start a task once more after it was cleared.
func (p *Partition) DirectCommands(id string, fresh bool) (wire.CommandRequest, bool) {
	machine := p.machines[id]
	if machine == nil || machine.command.inFlight || machine.command.unconfirmed || !machine.token.acknowledged {
		return wire.CommandRequest{}, false
	}
	o := wire.CommandRequest{FencingToken: machine.token.current, Incarnation: machine.latest.incarnation}
	for _, key := range sortedTaskAttempts(machine.placements) {
		if len(o.Commands) >= tuning.MaxCommands {
			break
		}
		placement := machine.placements[key]
		switch {
		case placement.stopUnsent(fresh):
			placement.stopRequest.sent = true
			o.Commands = append(o.Commands, wire.Command{Op: wire.StopTask, Task: key.task, Attempt: key.attempt, GracePeriodS: placement.stopRequest.gracePeriodS})
		case fresh && !placement.startSent && !machine.terminationNotice && p.startable(placement):
			// A start sent in the answer to a report is repeated only there.
			placement.startSent, placement.startSequence, placement.directToken = true, machine.latest.heartbeatSequence, machine.token.current
			o.Commands = append(o.Commands, wire.Command{Op: wire.StartTask, Task: key.task, Attempt: key.attempt})
			machine.command.inFlight = true
		}
	}
	return o, len(o.Commands) > 0
}

// CommandOutcome is what became of an order.
type CommandOutcome int

// The outcomes of an order.
const (
	CommandsExecuted    CommandOutcome = iota
	CommandsNotExecuted                // refused by the worker, or never left
	CommandsUnknown
)

// HandleCommandOutcome notes what became of an order. Without an answer its starts may
// still be carried out as long as token and session match, so the token has to
// be raised before anything is concluded from the tasks' absence.
func (p *Partition) HandleCommandOutcome(o wire.CommandRequest, id string, outcome CommandOutcome) {
	machine := p.machines[id]
	if machine == nil {
		return
	}
	for _, c := range o.Commands {
		placement := machine.placements[taskAttempt{c.Task, c.Attempt}]
		switch {
		case placement == nil:
		case c.Op == wire.StopTask && outcome == CommandsNotExecuted && placement.stopRequest != nil:
			placement.stopRequest.sent = false
		case c.Op != wire.StartTask || !machine.command.inFlight:
		case outcome == CommandsExecuted:
			placement.observed = true
		case outcome == CommandsNotExecuted:
			// One that is to be stopped by now is not sent again; the next report shows
			// that it is not there. Taken as not sent, nothing would ever free it.
			placement.startSent, placement.directToken = placement.stopRequest != nil, 0
		default:
			machine.command.unconfirmed, machine.command.unconfirmedToken = true, machine.token.current
		}
	}
	if machine.command.inFlight {
		machine.command.inFlight = false
		p.capacityVersion++
	}
}
