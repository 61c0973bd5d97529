package scheduler

import (
	"slices"
	"time"

	"ambersill/internal/resource"
	"ambersill/internal/tuning"
)

// preemptionState is the progress of preemption for a job.
type preemptionState struct {
	lastSearchAt    time.Time // for work to preempt
	lastPreemptedAt time.Time // when work was last preempted for the job
	// inProgress: tasks are being stopped for the job, so no machine needs to be rented for it.
	inProgress bool
}

// preempt stops work of lower priority, or what another team runs beyond its guarantee, for
// up to count tasks of a job that finds no capacity.
func (p *Partition) preempt(job *Job, count int, now time.Time) {
	if !p.maySearchPreemption(job, now) {
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

// maySearchPreemption reports whether a job may look now for work to preempt.
func (p *Partition) maySearchPreemption(job *Job, now time.Time) bool {
	if !job.mayPreempt() {
		return false
	}
	if now.Sub(job.preemption.lastPreemptedAt) < tuning.Seconds(p.tuning.PreemptGapS) {
		return false
	}
	return now.Sub(job.preemption.lastSearchAt) >= tuning.Seconds(p.tuning.SearchGapS)
}

// countByMachine counts how often each machine is listed.
func countByMachine(machines []*Machine) map[*Machine]int {
	counts := map[*Machine]int{}
	for _, machine := range machines {
		counts[machine]++
	}
	return counts
}

// capacityAfterPreemption returns a machine's free capacity for a job once everything that
// the job may preempt is gone.
func (p *Partition) capacityAfterPreemption(job *Job, machine *Machine) resource.Vector {
	capacity := machine.freeCapacity()
	for _, placement := range machine.placements {
		if p.preemptible(placement, job) {
			capacity = capacity.Add(resource.TaskRequest(placement.job.Job))
		}
	}
	return capacity
}

// preemptOnMachine stops as much on a machine as the given number of tasks of a job needs,
// and reserves the machine for the job until the stopped work has left.
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
			continue // stopped with another member of its gang, before its start was sent
		}
		graceS = max(graceS, placement.job.CheckpointSaveS)
		p.Counters.Preempted++
		p.stopGracefully(placement, now)
	}
	machine.reserve(job.ID, now.Add(tuning.Seconds(graceS+p.tuning.GraceS+p.heartbeatToleranceS())))
}

// freeCapacityAfterStops returns the machine's free capacity once the placements that are being
// stopped are gone.
func (m *Machine) freeCapacityAfterStops() resource.Vector {
	capacity := m.freeCapacity()
	for _, placement := range m.placements {
		if placement.stopRequest != nil {
			capacity = capacity.Add(resource.TaskRequest(placement.job.Job))
		}
	}
	return capacity
}

// victims returns what a job may preempt on a machine, in the order in which it is stopped.
// A start that is stopped at once does not count, so settled tasks with checkpoints go
// first; of the others, those that have run the least lose the least.
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

// settled reports whether a task has run long enough for its start to count, and loses
// little when it is stopped, since it writes checkpoints.
func (p *Partition) settled(placement *Placement, now time.Time) bool {
	if placement.job.CheckpointIntervalS <= 0 || placement.runningSince.IsZero() {
		return false
	}
	return now.Sub(placement.runningSince) > tuning.Seconds(p.tuning.SettledS)
}

// mayPreempt reports whether the job may preempt at all: idle work beyond its team's
// guarantee may not.
func (j *Job) mayPreempt() bool { return j.cycle.withinGuarantee || j.Priority.Value() > 0 }

// preemptible reports whether a placement may be stopped for a job: work of lower priority
// unless only that is guaranteed, and another team's work beyond its guarantee for
// guaranteed work.
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

// isProtected reports whether a placement was forced and has not run long enough for its start
// to count.
func (p *Partition) isProtected(placement *Placement) bool {
	return placement.preemptionProtected && !p.countsAsStarted(placement, p.cycleStartedAt)
}
