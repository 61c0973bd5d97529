package scheduler

import (
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// HeartbeatVerdict determines how a heartbeat is answered.
type HeartbeatVerdict int

// Verdicts on a heartbeat.
const (
	// HeartbeatAccepted means that the heartbeat is answered with the commands for the worker,
	// which renews the worker's lease.
	HeartbeatAccepted HeartbeatVerdict = iota
	// HeartbeatStale means that the heartbeat is older than the known state, and must not renew the
	// worker's lease.
	HeartbeatStale
	// HeartbeatSuperseded means that the worker has seen a higher fencing token, so this owner
	// may have lost the partition.
	HeartbeatSuperseded
	// HeartbeatNotOwned means that the machine does not belong to this partition.
	HeartbeatNotOwned
)

// String returns the verdict's name in log messages.
func (v HeartbeatVerdict) String() string {
	switch v {
	case HeartbeatAccepted:
		return "accepted"
	case HeartbeatStale:
		return "stale"
	case HeartbeatSuperseded:
		return "superseded"
	case HeartbeatNotOwned:
		return "not owned"
	}
	return "unknown"
}

// HandleHeartbeat reconciles the partition's state with a worker's heartbeat and returns the
// response with the commands for the worker. cancellationsFresh reports whether this owner has read
// the cancellations recently. If not, no task is started, because its job may have been cancelled.
func (p *Partition) HandleHeartbeat(heartbeat *wire.Heartbeat, now time.Time, cancellationsFresh bool) (HeartbeatVerdict, wire.HeartbeatResponse) {
	machine := p.machines.get(heartbeat.Machine)
	if verdict := checkHeartbeat(machine, heartbeat); verdict != HeartbeatAccepted {
		return verdict, wire.HeartbeatResponse{}
	}
	response := wire.HeartbeatResponse{FencingToken: machine.token.current, Commands: []wire.Command{}}
	if machine.newestMessage.isStale(heartbeat) {
		machine.acceptOvertakenHeartbeat(heartbeat, now)
		return HeartbeatAccepted, response
	}
	p.detectUnreachableWorker(machine, heartbeat, now)
	machine.newestMessage.recordHeartbeat(heartbeat)
	p.renewLease(machine, now)
	p.setTerminationNotice(machine, heartbeat.TerminationNoticeS != nil)
	p.acknowledgeToken(machine, heartbeat, now)
	awaitingToken := !machine.token.isShownBy(heartbeat) || machine.command.unconfirmed
	machine.token.trackAcknowledgement(awaitingToken, now)
	p.reconcileTasks(machine, heartbeat, now)
	if machine.terminationNotice {
		p.evacuateOnNotice(machine, now)
	}
	response.Commands = p.heartbeatCommands(machine, heartbeat, now, cancellationsFresh)
	response.FencingToken = machine.token.current // the commands may have raised it
	return HeartbeatAccepted, response
}

// checkHeartbeat returns the verdict on a heartbeat. machine is nil if the partition does not have
// the machine.
func checkHeartbeat(machine *Machine, heartbeat *wire.Heartbeat) HeartbeatVerdict {
	switch {
	case machine == nil || machine.Record.Released:
		return HeartbeatNotOwned
	case machine.isSuperseded(heartbeat):
		return HeartbeatSuperseded
	case machine.isFromExpiredLease(heartbeat):
		return HeartbeatStale
	case machine.newestMessage.isStale(heartbeat) && !machine.newestMessage.isOvertaken(heartbeat):
		// A heartbeat that a network partition delayed contains an outdated task list.
		return HeartbeatStale
	}
	return HeartbeatAccepted
}

// isSuperseded reports whether the worker has seen a fencing token higher than this owner's. A
// later owner may have issued that token, and this owner must not contradict its decisions.
func (m *Machine) isSuperseded(message *wire.Heartbeat) bool {
	return message.FencingToken > m.token.current
}

// isFromExpiredLease reports whether the heartbeat was sent under a lease that has expired since.
// A worker increments its incarnation when its lease expires, so a heartbeat of the old incarnation
// is a delayed copy and does not show that the machine is alive.
func (m *Machine) isFromExpiredLease(heartbeat *wire.Heartbeat) bool {
	return m.lease.expired && heartbeat.Incarnation <= m.newestMessage.incarnation
}

// acceptOvertakenHeartbeat accepts a heartbeat that was overtaken by a response to a command
// request. Its task list is outdated and is not reconciled. The heartbeat is answered nevertheless,
// because the worker would otherwise switch to another controller.
func (m *Machine) acceptOvertakenHeartbeat(heartbeat *wire.Heartbeat, now time.Time) {
	m.newestMessage.overtakenSequence = heartbeat.Sequence
	m.lease.lastAnsweredAt = now
}

// detectUnreachableWorker detects a worker that sends heartbeats but receives no responses. Its new
// incarnation shows that its lease expired, although all of its heartbeats were answered during a
// whole lease duration. No task is placed on its machine until the worker has acknowledged a higher
// token, which it can learn only from a response.
func (p *Partition) detectUnreachableWorker(machine *Machine, heartbeat *wire.Heartbeat, now time.Time) {
	leaseDuration := tuning.Seconds(p.settings.Cluster.WorkerTiming.LeaseDurationS)
	lease := &machine.lease
	if lease.answeredSince.IsZero() || now.Sub(lease.lastAnsweredAt) > leaseDuration {
		lease.answeredSince = now
	}
	if heartbeat.Incarnation <= machine.newestMessage.incarnation {
		return
	}
	answeredThroughout := now.Sub(lease.answeredSince) >= leaseDuration
	if machine.token.everAcknowledged && !machine.command.unconfirmed && answeredThroughout {
		machine.command.markUnconfirmed(machine.token.current)
		p.capacityVersion++
	}
	lease.answeredSince = now
}

// renewLease records that a heartbeat is answered now, which renews the worker's lease.
func (p *Partition) renewLease(machine *Machine, now time.Time) {
	machine.lease.lastAnsweredAt = now
	if machine.lease.expired {
		machine.lease.expired = false
		p.capacityVersion++
	}
}

// setTerminationNotice records whether the cloud has announced that it will terminate the machine.
func (p *Partition) setTerminationNotice(machine *Machine, noticed bool) {
	if machine.terminationNotice != noticed {
		machine.terminationNotice = noticed
		p.capacityVersion++
	}
}

// acknowledgeToken records that the worker has seen the required token if the message shows it.
func (p *Partition) acknowledgeToken(machine *Machine, message *wire.Heartbeat, now time.Time) {
	if !machine.token.isShownBy(message) {
		return
	}
	if !machine.token.everAcknowledged {
		// From now on the worker ignores responses of earlier owners, so none of them can
		// renew the lease after this time.
		machine.token.everAcknowledged = true
		machine.lease.lastAnsweredAt = now
	}
	if machine.command.isResolvedBy(message.FencingToken) {
		machine.command.unconfirmed = false
		p.capacityVersion++
	}
	if !machine.token.acknowledged {
		machine.token.acknowledged = true
		p.capacityVersion++
	}
}

// HandleCommandResponse reconciles the partition's state with a worker's response to a command
// request. It does not renew the worker's lease, which only the response to a heartbeat does.
func (p *Partition) HandleCommandResponse(response *wire.Heartbeat, now time.Time) {
	machine := p.machines.get(response.Machine)
	if machine == nil || machine.isSuperseded(response) || machine.newestMessage.isStale(response) {
		return
	}
	if machine.token.everAcknowledged && response.Incarnation > machine.newestMessage.incarnation {
		// The worker's lease has expired, and no heartbeat of the new incarnation has
		// arrived yet. ExpireLeases counts the lease from the last answered heartbeat. It
		// would free tasks placed in the new incarnation together with those of the old
		// one, a lease duration too early.
		return
	}
	machine.newestMessage.recordResponse(response)
	p.acknowledgeToken(machine, response, now)
	p.reconcileTasks(machine, response, now)
}
