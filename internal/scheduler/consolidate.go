package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ambersill/internal/resource"
	"ambersill/internal/tuning"
)

const (
	// maxAllocatedShareToDrain is the maximum allocated share of a machine that is worth
	// draining. Moving the tasks of a fuller machine costs more than its return saves.
	maxAllocatedShareToDrain = 0.5
	// drainReservationCycles is the number of ConsolidateS intervals for which a drained
	// machine accepts no tasks. Within them its tasks exit and the leader can return it.
	drainReservationCycles = 3
	// minRunPerMoveTime is the minimum ratio of a task's remaining run time to the time that a
	// move takes, which consists of saving a checkpoint and fetching the image.
	minRunPerMoveTime = 2
)

// hourlyPrice returns the price of the machine per hour.
func (m *Machine) hourlyPrice() float64 {
	if m.Record.Spot {
		return m.machineType.HourlySpotPrice
	}
	return m.machineType.HourlyPrice
}

// consolidate drains at most one machine whose tasks fit into the free capacity of other machines
// in use. The autoscaler plans by allocated capacity, but only an empty machine can be returned.
// Only tasks that write checkpoints are moved. It does nothing if it last ran less than
// ConsolidateS ago.
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

// consolidationCandidates returns the machines that are worth draining and whose type no waiting
// job may use, sorted by descending price, then by ascending allocated share.
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

// worthDraining reports whether the machine is usable, unreserved and in use, and its allocated
// share is so low that its return saves more than moving its tasks costs.
func (m *Machine) worthDraining() bool {
	if !m.usable() || m.reservedFor != "" {
		return false
	}
	return len(m.placements) > 0 && m.allocatedShare() <= maxAllocatedShareToDrain
}

// typesInDemand returns the names of the machine types that jobs with waiting tasks may use.
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

// drain stops all tasks on a machine, so that they are placed elsewhere, and reserves the machine
// so that no new tasks are placed on it.
func (p *Partition) drain(machine *Machine, now time.Time) {
	for _, key := range sortedTaskAttempts(machine.placements) {
		if placement := machine.placements[key]; placement != nil {
			p.Counters.Moved++
			p.stopGracefully(placement, now)
		}
	}
	machine.reserve(reservedForDrain, now.Add(tuning.Seconds(drainReservationCycles*p.tuning.ConsolidateS)))
}

// canEvacuate reports whether every task on a machine can be moved to another machine and has
// enough run time left to be worth moving.
func (p *Partition) canEvacuate(machine *Machine, now time.Time) bool {
	freeAfterMoves := map[*Machine]resource.Vector{} // free capacity of the targets selected so far
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

// freeCapacityAfterMoves returns a machine's free capacity once the tasks that are planned to be
// moved to it have been placed. freeAfterMoves contains it for the machines selected so far.
func freeCapacityAfterMoves(machine *Machine, freeAfterMoves map[*Machine]resource.Vector) resource.Vector {
	if capacity, planned := freeAfterMoves[machine]; planned {
		return capacity
	}
	return machine.freeCapacity()
}

// movable reports whether a placement can be stopped and placed elsewhere with little lost work.
// Jobs whose tasks are placed with regard to each other are not moved.
func (p *Partition) movable(placement *Placement, now time.Time) bool {
	job := placement.job
	if placement.stopRequest != nil || placement.gangDone || !p.settled(placement, now) {
		return false
	}
	isMultiTaskGang := job.IsGang() && job.TaskCount > 1
	return !isMultiTaskGang && !job.SingleZone && !job.SpreadZones
}

// evacuationTarget returns the first machine by ID that a placement can be moved to, or nil if
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

// isEvacuationTarget reports whether tasks may be moved from the source to the target. The target
// must be of the same type and in use. It must be cheaper, or have the same price and at least the
// same allocated share.
func isEvacuationTarget(source, target *Machine) bool {
	if target == source || !target.usable() || target.reservedFor != "" || len(target.placements) == 0 {
		return false
	}
	if target.Record.MachineType != source.Record.MachineType || target.hourlyPrice() > source.hourlyPrice() {
		return false
	}
	return target.hourlyPrice() < source.hourlyPrice() || target.allocatedShare() >= source.allocatedShare()
}
