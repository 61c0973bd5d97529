package scheduler

import (
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// HeartbeatVerdict is how a heartbeat is to be answered.
type HeartbeatVerdict int

// The verdicts on a heartbeat.
const (
	// HeartbeatAccepted: answer it with the commands, which renews the worker's lease.
	HeartbeatAccepted HeartbeatVerdict = iota
	// HeartbeatStale: it is older than what is known, and must not renew the lease.
	HeartbeatStale
	// HeartbeatSuperseded: the worker has seen a higher fencing token, so this owner may
	// have been deposed.
	HeartbeatSuperseded
	// HeartbeatNotOwned: the machine does not belong to this partition.
	HeartbeatNotOwned
)

// String returns the verdict as it is logged.
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

// HandleHeartbeat reconciles the state with a worker's heartbeat and returns the commands
// for the worker. fresh reports whether this owner has read the key-value store recently;
// if not, a task of a cancelled job might be started, so no task is.
func (p *Partition) HandleHeartbeat(heartbeat *wire.Heartbeat, now time.Time, stateFresh bool) (HeartbeatVerdict, wire.HeartbeatResponse) {
	machine := p.machines.get(heartbeat.Machine)
	if verdict := checkHeartbeat(machine, heartbeat); verdict != HeartbeatAccepted {
		return verdict, wire.HeartbeatResponse{}
	}
	response := wire.HeartbeatResponse{FencingToken: machine.token.current, Commands: []wire.Command{}}
	if machine.latest.isStale(heartbeat) {
		machine.acceptOvertakenHeartbeat(heartbeat, now)
		return HeartbeatAccepted, response
	}
	p.detectUnreachableWorker(machine, heartbeat, now)
	machine.latest.recordHeartbeat(heartbeat)
	p.renewLease(machine, now)
	p.setTerminationNotice(machine, heartbeat.TerminationNoticeS != nil)
	p.acknowledgeToken(machine, heartbeat, now)
	awaitingToken := !machine.token.isCarriedBy(heartbeat) || machine.command.unconfirmed
	machine.token.trackAcknowledgement(awaitingToken, now)
	p.reconcileTasks(machine, heartbeat, now)
	if machine.terminationNotice {
		p.evacuateOnNotice(machine, now)
	}
	response.Commands = p.heartbeatCommands(machine, heartbeat, now, stateFresh)
	return HeartbeatAccepted, response
}

// checkHeartbeat decides whether a heartbeat may be answered. machine is nil if the
// partition does not have it.
func checkHeartbeat(machine *Machine, heartbeat *wire.Heartbeat) HeartbeatVerdict {
	switch {
	case machine == nil || machine.Record.Released:
		return HeartbeatNotOwned
	case machine.isSuperseded(heartbeat):
		return HeartbeatSuperseded
	case machine.isFromExpiredLease(heartbeat):
		return HeartbeatStale
	case machine.latest.isStale(heartbeat) && !machine.latest.isOvertaken(heartbeat):
		// Heartbeats that a network partition held back arrive late, and their task
		// lists are as old as they are.
		return HeartbeatStale
	}
	return HeartbeatAccepted
}

// isSuperseded reports whether the worker has seen a higher fencing token than this
// owner's. A later owner may have issued it, whose decisions this one must not contradict.
func (m *Machine) isSuperseded(message *wire.Heartbeat) bool {
	return message.FencingToken > m.token.current
}

// isFromExpiredLease reports whether the heartbeat was sent under a lease that has expired
// since. A worker raises its incarnation when its lease expires, so what still arrives from
// the old one is a delayed copy, and the machine may be dead.
func (m *Machine) isFromExpiredLease(heartbeat *wire.Heartbeat) bool {
	return m.lease.expired && heartbeat.Incarnation <= m.latest.incarnation
}

// acceptOvertakenHeartbeat accepts a heartbeat that a response to commands has overtaken. Its task
// list is outdated, so it is not reconciled; but if it were refused, the worker would turn
// to another controller.
func (m *Machine) acceptOvertakenHeartbeat(heartbeat *wire.Heartbeat, now time.Time) {
	m.latest.overtakenSequence = heartbeat.Sequence
	m.lease.lastAnsweredAt = now
}

// detectUnreachableWorker finds a worker whose heartbeats arrive but which receives no
// responses: its lease expired, which its new incarnation shows, although all its
// heartbeats were answered for as long as the lease lasts. No task is placed there until
// the worker has shown a token that it can have from a response only.
func (p *Partition) detectUnreachableWorker(machine *Machine, heartbeat *wire.Heartbeat, now time.Time) {
	leaseDuration := tuning.Seconds(p.settings.Cluster.Workers.LeaseS)
	lease := &machine.lease
	if lease.answeredSince.IsZero() || now.Sub(lease.lastAnsweredAt) > leaseDuration {
		lease.answeredSince = now
	}
	if heartbeat.Incarnation <= machine.latest.incarnation {
		return
	}
	answeredThroughout := now.Sub(lease.answeredSince) >= leaseDuration
	if machine.token.everAcknowledged && !machine.command.unconfirmed && answeredThroughout {
		machine.command.markUnconfirmed(machine.token.current)
		p.capacityVersion++
	}
	lease.answeredSince = now
}

// renewLease records that a heartbeat is answered, which renews the worker's lease.
func (p *Partition) renewLease(machine *Machine, now time.Time) {
	machine.lease.lastAnsweredAt = now
	if machine.lease.expired {
		machine.lease.expired = false
		p.capacityVersion++
	}
}

// setTerminationNotice records whether the cloud has announced that it will reclaim the
// machine.
func (p *Partition) setTerminationNotice(machine *Machine, noticed bool) {
	if machine.terminationNotice != noticed {
		machine.terminationNotice = noticed
		p.capacityVersion++
	}
}

// acknowledgeToken records that the worker has seen the current token, if the message
// carries it.
func (p *Partition) acknowledgeToken(machine *Machine, message *wire.Heartbeat, now time.Time) {
	if !machine.token.isCarriedBy(message) {
		return
	}
	if !machine.token.everAcknowledged {
		// The worker ignores responses of earlier owners from now on, so the lease
		// was last renewed no later than this.
		machine.token.everAcknowledged = true
		machine.lease.lastAnsweredAt = now
	}
	if machine.command.isResolvedBy(machine.token.current) {
		machine.command.unconfirmed = false
		p.capacityVersion++
	}
	if !machine.token.acknowledged {
		machine.token.acknowledged = true
		p.capacityVersion++
	}
}

// HandleCommandResponse reconciles the state with a worker's response to a command request.
// It does not renew the lease, which only responses to heartbeats do.
func (p *Partition) HandleCommandResponse(response *wire.Heartbeat, now time.Time) {
	machine := p.machines.get(response.Machine)
	if machine == nil || machine.isSuperseded(response) || machine.latest.isStale(response) {
		return
	}
	if machine.token.everAcknowledged && response.Incarnation > machine.latest.incarnation {
		// The worker's lease expired, and no heartbeat of the new incarnation has
		// arrived. If tasks were placed in the new incarnation now, ExpireLeases would
		// free them along with those of the old one, a lease too early: it counts the
		// lease from the last answered heartbeat.
		return
	}
	machine.latest.recordResponse(response)
	p.acknowledgeToken(machine, response, now)
	p.reconcileTasks(machine, response, now)
}
