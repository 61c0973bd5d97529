package scheduler

import (
	"time"

	"ambersill/internal/tuning"
)

// ExpireLeases frees what time alone frees: the placements on machines whose leases have
// expired, and starts that were withdrawn.
func (p *Partition) ExpireLeases(now time.Time) {
	for _, machine := range p.machines.all() {
		p.expireLease(machine, now)
	}
	for _, machine := range p.machines.all() {
		p.requeueWithdrawnStarts(machine, now)
	}
}

// expireLease requeues the tasks of a machine whose lease must have expired by the worker's
// own clock, upon which the worker has killed them.
func (p *Partition) expireLease(machine *Machine, now time.Time) {
	if !p.leaseHasExpired(machine, now) {
		return
	}
	machine.lease.expired = true
	machine.lease.expiredAt = now
	p.capacityVersion++
	p.requeueAll(machine, now)
}

// leaseHasExpired reports whether a machine's lease has expired since the last call. Only
// an owner whose token the worker has acknowledged knows when the lease was last renewed:
// after a failover the return of the machine must be confirmed instead.
func (p *Partition) leaseHasExpired(machine *Machine, now time.Time) bool {
	if !machine.token.everAcknowledged || machine.lease.expired {
		return false
	}
	// The worker's clock may be slower by the tolerated drift.
	duration := tuning.Seconds(p.settings.Cluster.Workers.LeaseS*(1+p.tuning.Drift) + p.tuning.MarginS)
	return now.Sub(machine.lease.lastAnsweredAt) > duration
}

// requeueWithdrawnStarts requeues the placements of a machine whose starts were lost and
// to be stopped by now.
func (p *Partition) requeueWithdrawnStarts(machine *Machine, now time.Time) {
	if !machine.acceptsDirectCommands() || !machine.hasWithdrawnStart() {
		return
	}
	for _, key := range sortedTaskAttempts(machine.placements) {
		// Requeueing one task of a gang changes the others, so each is looked at anew.
		placement := machine.placements[key]
		if placement != nil && placement.isWithdrawnStart() {
			p.requeue(placement, now)
		}
	}
}

// hasWithdrawnStart reports whether the start of any placement on the machine is withdrawn.
func (m *Machine) hasWithdrawnStart() bool {
	for _, placement := range m.placements {
		if placement.isWithdrawnStart() {
			return true
		}
	}
	return false
}

// isWithdrawnStart reports whether the placement's start was sent and lost, and is to be
// stopped: a heartbeat sent later does not list the task. A response to commands does not
// suffice, as the start may be in transit in the response to a heartbeat.
func (pl *Placement) isWithdrawnStart() bool {
	if pl.stopRequest == nil || pl.start.observed || !pl.start.sent {
		return false
	}
	latest := &pl.machine.latest
	return pl.incarnation == latest.incarnation && latest.heartbeatSequence > pl.start.heartbeatSequence
}
