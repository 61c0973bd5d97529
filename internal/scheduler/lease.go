package scheduler

import (
	"time"

	"ambersill/internal/tuning"
)

// ExpireLeases handles what passes with time alone: silent machines, and starts whose
// order is withdrawn.
func (p *Partition) ExpireLeases(now time.Time) {
	lease := tuning.Seconds(p.settings.Cluster.Workers.LeaseS*(1+p.tuning.Drift) + p.tuning.MarginS)
	for _, id := range p.machineIDs {
		machine := p.machines[id]
		// Only an owner that has itself spoken with the worker under its token
		// knows when the lease was last renewed; after a takeover the
		// machine's return must be confirmed instead.
		if !machine.token.everAcknowledged || machine.lease.expired || now.Sub(machine.lease.lastAnswered) <= lease {
			continue
		}
		machine.lease.expired, machine.lease.expiredAt = true, now
		p.capacityVersion++
		for _, key := range sortedTaskAttempts(machine.placements) {
			if placement := machine.placements[key]; placement != nil {
				p.requeue(placement, now)
			}
		}
	}
	// A start that was sent but never seen, and is to be stopped, is gone once
	// a newer report does not show it. An answer to an order would not do: the
	// start may be under way in the answer to a report.
	for _, id := range p.machineIDs {
		machine := p.machines[id]
		if machine.command.inFlight || machine.command.unconfirmed || !machine.token.acknowledged {
			continue
		}
		gone := func(placement *Placement) bool {
			return placement != nil && placement.stopRequest != nil && !placement.observed && placement.startSent && placement.incarnation == machine.latest.incarnation && machine.latest.heartbeatSequence > placement.startSequence
		}
		some := false
		for _, placement := range machine.placements {
			some = some || gone(placement)
		}
		if !some {
			continue
		}
		for _, key := range sortedTaskAttempts(machine.placements) {
			if placement := machine.placements[key]; gone(placement) {
				p.requeue(placement, now)
			}
		}
	}
}
