package scheduler

import (
	"slices"
	"time"

	"ambersill/internal/resource"
	"ambersill/internal/tuning"
)

// preemptionState is the state of preemption on behalf of a job.
type preemptionState struct {
	lastSearchAt    time.Time // when tasks to preempt were last searched for
	lastPreemptedAt time.Time // when tasks were last preempted for the job
	// inProgress is set while tasks are being stopped for the job. No machine has to be rented
	// for it meanwhile.
	inProgress bool
}

// preempt stops tasks of lower priority, or tasks of other teams beyond their guarantee, to make
// room for up to count tasks of a job for which no capacity was found.
func (p *Partition) preempt(job *Job, count int, now time.Time) {
	if !p.maySearchForVictims(job, now) {
		return
	}
	job.preemption.lastSearchAt = now
	afterPreemption := func(machine *Machine) resource.Vector { return p.capacityAfterPreemption(job, machine) }
	machines := p.findMachines(job, count, now, p.machines.all(), afterPreemption)
	if !job.canBePlacedOn(machines, count) {
		return
	}
	job.preemption.lastPreemptedAt = now
	job.preemption.inProgress = true
	tasks := countByMachine(machines)
	for _, machine := range machines {
		if tasks[machine] > 0 {
			p.preemptOnMachine(job, machine, tasks[machine], now)
			delete(tasks, machine)
		}
	}
}

// maySearchForVictims reports whether a search for tasks to preempt is permitted for the job now.
// Searches are at least SearchGapS apart, and preemptions at least PreemptGapS.
func (p *Partition) maySearchForVictims(job *Job, now time.Time) bool {
	if !job.mayPreempt() {
		return false
	}
	if now.Sub(job.preemption.lastPreemptedAt) < tuning.Seconds(p.tuning.PreemptGapS) {
		return false
	}
	return now.Sub(job.preemption.lastSearchAt) >= tuning.Seconds(p.tuning.SearchGapS)
}

// countByMachine returns how often each machine occurs in the list.
func countByMachine(machines []*Machine) map[*Machine]int {
	counts := map[*Machine]int{}
	for _, machine := range machines {
		counts[machine]++
	}
	return counts
}

// capacityAfterPreemption returns the capacity that a machine would have free if all tasks that
// may be preempted for the job were stopped.
func (p *Partition) capacityAfterPreemption(job *Job, machine *Machine) resource.Vector {
	capacity := machine.freeCapacity()
	for _, placement := range machine.placements {
		if p.preemptible(placement, job) {
			capacity = capacity.Add(resource.TaskRequest(placement.job.Job))
		}
	}
	return capacity
}

// preemptOnMachine stops as many tasks on a machine as necessary to fit the given number of tasks
// of a job, and reserves the machine for the job until the stopped tasks should have exited.
func (p *Partition) preemptOnMachine(job *Job, machine *Machine, tasks int, now time.Time) {
	needed := resource.TaskRequest(job.Job).Scale(tasks)
	available := machine.freeCapacityAfterStops()
	graceS := 0.0
	for _, placement := range p.victims(job, machine, now) {
		if available.Contains(needed) {
			break
		}
		if placement.stopRequest != nil {
			continue
		}
		available = available.Add(resource.TaskRequest(placement.job.Job))
		if placement.job.placements[placement.task] != placement {
			continue // already detached with the rest of its gang: its start was never sent
		}
		graceS = max(graceS, placement.job.CheckpointSaveS)
		p.Counters.Preempted++
		p.stopGracefully(placement, now)
	}
	machine.reserve(job.ID, now.Add(tuning.Seconds(graceS+p.tuning.GraceS+p.heartbeatToleranceSeconds())))
}

// freeCapacityAfterStops returns the capacity that the machine has free once the placements that
// are being stopped are gone.
func (m *Machine) freeCapacityAfterStops() resource.Vector {
	capacity := m.freeCapacity()
	for _, placement := range m.placements {
		if placement.stopRequest != nil {
			capacity = capacity.Add(resource.TaskRequest(placement.job.Job))
		}
	}
	return capacity
}

// victims returns the placements on a machine that may be preempted for a job, in the order in
// which to stop them. Settled tasks come first: they write checkpoints, and have run long enough
// to count as started, which a task that is stopped early does not. Within each group, the tasks
// that have run the shortest come first, since they lose the least work, and the tasks that have
// not been reported as running come last.
func (p *Partition) victims(job *Job, machine *Machine, now time.Time) []*Placement {
	var victims []*Placement
	for _, key := range sortedTaskAttempts(machine.placements) {
		placement := machine.placements[key]
		if p.preemptible(placement, job) {
			victims = append(victims, placement)
		}
	}
	slices.SortStableFunc(victims, func(a, b *Placement) int {
		if order := compareTrueFirst(p.settled(a, now), p.settled(b, now)); order != 0 {
			return order
		}
		return b.runningSince.Compare(a.runningSince)
	})
	return victims
}

// settled reports whether a placement's task has run for longer than SettledS and writes
// checkpoints, so that stopping it loses little work.
func (p *Partition) settled(placement *Placement, now time.Time) bool {
	if placement.job.CheckpointIntervalS <= 0 || placement.runningSince.IsZero() {
		return false
	}
	return now.Sub(placement.runningSince) > tuning.Seconds(p.tuning.SettledS)
}

// mayPreempt reports whether tasks may be preempted for the job. They may not if the job has
// priority idle and exceeds its team's guarantee.
func (j *Job) mayPreempt() bool { return j.cycle.withinGuarantee || j.Priority.Value() > 0 }

// preemptible reports whether a placement may be stopped for a job. A placement of lower priority
// may be stopped unless it is within its team's guarantee and the job is not. A placement of equal
// or higher priority may be stopped only if it belongs to another team and is beyond that team's
// guarantee, and the job is within its own.
func (p *Partition) preemptible(placement *Placement, job *Job) bool {
	other := placement.job
	if other == job || placement.gangDone || p.isProtected(placement) {
		return false
	}
	if other.Priority.Value() < job.Priority.Value() {
		return job.cycle.withinGuarantee || !other.cycle.withinGuarantee
	}
	return job.cycle.withinGuarantee && !other.cycle.withinGuarantee && other.Team != job.Team
}

// isProtected reports whether a placement is protected from preemption because its job's start was
// forced and it does not yet count as started.
func (p *Partition) isProtected(placement *Placement) bool {
	return placement.preemptionProtected && !p.countsAsStarted(placement, p.cycleStartedAt)
}
