package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ambersill/internal/resource"
	"ambersill/internal/tuning"
)

const (
	// maxConsolidationShare is the allocated share of a machine up to which it is worth
	// draining: a fuller one costs more in moved work than its return saves.
	maxConsolidationShare = 0.5
	// drainReservationCycles is how many intervals of ConsolidateS a machine that is drained
	// accepts no work: enough for its tasks to leave and the leader to return it.
	drainReservationCycles = 3
	// minRunPerMoveTime is the multiple of a move's time, image fetch and checkpoint, that a
	// task must still have to run for the move to be worth it.
	minRunPerMoveTime = 2
)

// hourlyPrice returns what the machine costs per hour.
func (m *Machine) hourlyPrice() float64 {
	if m.Record.Spot {
		return m.machineType.HourlySpotPrice
	}
	return m.machineType.HourlyPrice
}

// consolidate drains one machine whose work fits into the free capacity of others that are
// in use, so that it can be returned: sizing counts allocated capacity, but only an empty
// machine can be returned. Only work that writes checkpoints is moved.
func (p *Partition) consolidate(now time.Time) {
	if now.Sub(p.lastConsolidatedAt) < tuning.Seconds(p.tuning.ConsolidateS) {
		return
	}
	p.lastConsolidatedAt = now
	for _, machine := range p.consolidationCandidates() {
		if p.canEvacuate(machine, now) {
			p.drain(machine, now)
			return
		}
	}
}

// consolidationCandidates returns the machines that are worth draining, the most expensive
// first, the emptiest among equals.
func (p *Partition) consolidationCandidates() []*Machine {
	inDemand := p.typesInDemand()
	var candidates []*Machine
	for _, machine := range p.machines.all() {
		if !inDemand[machine.Record.MachineType] && machine.worthDraining() {
			candidates = append(candidates, machine)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Machine) int {
		if order := cmp.Compare(b.hourlyPrice(), a.hourlyPrice()); order != 0 {
			return order
		}
		return cmp.Compare(a.allocatedShare(), b.allocatedShare())
	})
	return candidates
}

// worthDraining reports whether the machine is used by so little work that moving it costs less
// than the return of the machine saves.
func (m *Machine) worthDraining() bool {
	if !m.usable() || m.reservedFor != "" {
		return false
	}
	return len(m.placements) > 0 && m.allocatedShare() <= maxConsolidationShare
}

// typesInDemand returns the machine types that jobs with waiting tasks may use.
func (p *Partition) typesInDemand() map[string]bool {
	inDemand := map[string]bool{}
	for _, job := range p.jobs {
		if job.Cancelled || job.waitingTasks == 0 {
			continue
		}
		for name := range p.machineTypes {
			if resource.TypeAllowed(job.MachineTypes, name) {
				inDemand[name] = true
			}
		}
	}
	return inDemand
}

// drain stops all work on a machine, which is then placed elsewhere, and reserves the machine
// so that it gets no new work.
func (p *Partition) drain(machine *Machine, now time.Time) {
	for _, key := range sortedTaskAttempts(machine.placements) {
		if placement := machine.placements[key]; placement != nil {
			p.Counters.Moved++
			p.stopGracefully(placement, now)
		}
	}
	machine.reserve(reservedForDrain, now.Add(tuning.Seconds(drainReservationCycles*p.tuning.ConsolidateS)))
}

// canEvacuate reports whether all work of a machine can be moved, and is worth moving.
func (p *Partition) canEvacuate(machine *Machine, now time.Time) bool {
	freeAfterMoves := map[*Machine]resource.Vector{} // free capacity of the targets chosen so far
	for _, key := range sortedTaskAttempts(machine.placements) {
		placement := machine.placements[key]
		if !p.movable(placement, now) {
			return false
		}
		target := p.evacuationTarget(placement, freeAfterMoves, now)
		if target == nil {
			return false
		}
		freeAfterMoves[target] = freeCapacityAfterMoves(target, freeAfterMoves).Sub(resource.TaskRequest(placement.job.Job))
	}
	return true
}

// freeCapacityAfterMoves returns a machine's free capacity without what is planned for it.
func freeCapacityAfterMoves(machine *Machine, freeAfterMoves map[*Machine]resource.Vector) resource.Vector {
	if capacity, planned := freeAfterMoves[machine]; planned {
		return capacity
	}
	return machine.freeCapacity()
}

// movable reports whether a placement can be stopped and placed elsewhere at little loss.
func (p *Partition) movable(placement *Placement, now time.Time) bool {
	job := placement.job
	if placement.stopRequest != nil || placement.gangDone || !p.settled(placement, now) {
		return false
	}
	isMultiTaskGang := job.IsGang() && job.Tasks > 1
	return !isMultiTaskGang && !job.SingleZone && !job.SpreadZones
}

// evacuationTarget returns the first machine, by ID, that a placement can be moved to; nil if
// there is none.
func (p *Partition) evacuationTarget(placement *Placement, freeAfterMoves map[*Machine]resource.Vector, now time.Time) *Machine {
	job := placement.job
	remainingRunS := job.EstimatedRunS - now.Sub(placement.runningSince).Seconds()
	for _, target := range p.machines.all() {
		if !isEvacuationTarget(placement.machine, target) || !machineAllowed(job.Job, target) {
			continue
		}
		moveS := p.imageFetchSeconds(job, target) + job.CheckpointSaveS
		if remainingRunS < minRunPerMoveTime*moveS {
			continue
		}
		if freeCapacityAfterMoves(target, freeAfterMoves).Contains(resource.TaskRequest(job.Job)) {
			return target
		}
	}
	return nil
}

// isEvacuationTarget reports whether work of one machine may be moved to another: one of
// the same type in use that costs less, or as much if it is not emptier.
func isEvacuationTarget(source, target *Machine) bool {
	if target == source || !target.usable() || target.reservedFor != "" || len(target.placements) == 0 {
		return false
	}
	if target.Record.MachineType != source.Record.MachineType || target.hourlyPrice() > source.hourlyPrice() {
		return false
	}
	return target.hourlyPrice() < source.hourlyPrice() || target.allocatedShare() >= source.allocatedShare()
}
