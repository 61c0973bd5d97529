package scheduler

import (
	"time"

	"ambersill/internal/tuning"
)

// ExpireLeases requeues the tasks on machines whose leases have expired, and the tasks whose start
// commands were lost and then withdrawn by a stop.
func (p *Partition) ExpireLeases(now time.Time) {
	for _, machine := range p.machines.all() {
		p.expireLease(machine, now)
	}
	for _, machine := range p.machines.all() {
		p.requeueWithdrawnStarts(machine, now)
	}
}

// expireLease requeues the tasks of a machine if its lease must have expired by the worker's own
// clock as well, in which case the worker has killed them.
func (p *Partition) expireLease(machine *Machine, now time.Time) {
	if !p.leaseHasExpired(machine, now) {
		return
	}
	machine.lease.expired = true
	machine.lease.expiredAt = now
	p.capacityVersion++
	p.requeueMachine(machine, now)
}

// leaseHasExpired reports whether a machine's lease has expired and this was not recorded yet. Only
// an owner whose token the worker has acknowledged knows when the lease was last renewed. After a
// failover and without acknowledgement, placements are freed only when the cloud has confirmed the
// return of the machine.
func (p *Partition) leaseHasExpired(machine *Machine, now time.Time) bool {
	if !machine.token.everAcknowledged || machine.lease.expired {
		return false
	}
	// The worker's clock may be slow by the tolerated drift.
	duration := tuning.Seconds(p.settings.Cluster.WorkerTiming.LeaseDurationS*(1+p.tuning.Drift) + p.tuning.MarginS)
	return now.Sub(machine.lease.lastAnsweredAt) > duration
}

// requeueWithdrawnStarts requeues the tasks on a machine for whose placements isWithdrawnStart
// holds.
func (p *Partition) requeueWithdrawnStarts(machine *Machine, now time.Time) {
	if !machine.acceptsDirectCommands() || !machine.hasWithdrawnStart() {
		return
	}
	for _, key := range sortedTaskAttempts(machine.placements) {
		// Requeueing one task of a gang changes the others' placements, so each is looked up again.
		placement := machine.placements[key]
		if placement != nil && placement.isWithdrawnStart() {
			p.requeue(placement, now)
		}
	}
}

// hasWithdrawnStart reports whether isWithdrawnStart holds for any placement on the machine.
func (m *Machine) hasWithdrawnStart() bool {
	for _, placement := range m.placements {
		if placement.isWithdrawnStart() {
			return true
		}
	}
	return false
}

// isWithdrawnStart reports whether the placement's start command was lost and a stop is requested.
// The command was lost if a heartbeat that was sent later does not list the task. A response to a
// command request does not show this, because the start command may still be in transit in the
// response to a heartbeat.
func (pl *Placement) isWithdrawnStart() bool {
	if pl.stopRequest == nil || pl.start.observed || !pl.start.sent {
		return false
	}
	newestMessage := &pl.machine.newestMessage
	return pl.incarnation == newestMessage.incarnation && newestMessage.heartbeatSequence > pl.start.heartbeatSequence
}
