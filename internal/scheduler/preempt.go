package scheduler

import (
	"sort"
	"time"

	"ambersill/internal/resource"
	"ambersill/internal/tuning"
)

// preempt stops work of lower rank, or what another team runs beyond its
// guarantee, for a job that finds no room.
func (p *Partition) preempt(job *Job, n int, now time.Time) {
	if now.Sub(job.lastPreemption) < tuning.Seconds(p.tuning.PreemptGapS) {
		return
	}
	if !p.mayPreempt(job) || now.Sub(job.lastPreemptionSearch) < tuning.Seconds(p.tuning.SearchGapS) {
		return
	}
	job.lastPreemptionSearch = now
	where := p.findMachines(job, n, now, p.allMachines(), func(machine *Machine) resource.Vector { return p.resourcesAfterPreemption(job, machine) })
	if len(where) == 0 || (job.IsGang() && len(where) < n) {
		return
	}
	want := map[*Machine]int{}
	for _, machine := range where {
		want[machine]++
	}
	job.lastPreemption, job.awaitingPreemption = now, true
	for _, machine := range where {
		if tasks, ok := want[machine]; ok {
			delete(want, machine)
			p.preemptOnMachine(job, machine, tasks, now)
		}
	}
}

// resourcesAfterPreemption is a machine's room for a job with all that yields to it gone.
func (p *Partition) resourcesAfterPreemption(job *Job, machine *Machine) resource.Vector {
	room := machine.free()
	for _, placement := range machine.placements {
		if p.preemptible(placement, job) {
			room = room.Add(resource.OfJob(placement.job.Job))
		}
	}
	return room
}

// preemptOnMachine stops as much on a machine as some tasks of a job take, and keeps the room.
func (p *Partition) preemptOnMachine(job *Job, machine *Machine, tasks int, now time.Time) {
	goal := resource.OfJob(job.Job).Scale(tasks)
	room := machine.free()
	for _, placement := range machine.placements {
		if placement.stopRequest != nil {
			room = room.Add(resource.OfJob(placement.job.Job))
		}
	}
	grace := 0.0
	for _, placement := range p.victims(job, machine, now) {
		if room.Contains(goal) {
			break
		}
		if placement.stopRequest != nil {
			continue
		}
		room = room.Add(resource.OfJob(placement.job.Job))
		if placement.job.placements[placement.task] != placement {
			continue // its gang was stopped with a mate before it, and it had not left yet
		}
		grace = max(grace, placement.job.CheckpointSaveS)
		p.Counters.Preempted++
		p.stopGracefully(placement, now)
	}
	machine.reservedFor = job.ID
	machine.reservedUntil = now.Add(tuning.Seconds(grace + p.tuning.GraceS + 3*p.settings.Cluster.Workers.ReportS))
}

// victims lists what yields to a job on a machine, in the order in which it is stopped. A
// start that is stopped at once does not count, so settled tasks that can save go first; of
// the others those that have run the least lose the least.
func (p *Partition) victims(job *Job, machine *Machine, now time.Time) []*Placement {
	var out []*Placement
	for _, key := range sortedTaskAttempts(machine.placements) {
		if placement := machine.placements[key]; p.preemptible(placement, job) {
			out = append(out, placement)
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		x, y := p.settled(out[a], now), p.settled(out[b], now)
		if x != y {
			return x
		}
		return out[a].runningSince.After(out[b].runningSince)
	})
	return out
}

// settled tells whether a task has run long enough for its start to count, and
// loses little when it is stopped.
func (p *Partition) settled(placement *Placement, now time.Time) bool {
	return placement.job.CheckpointIntervalS > 0 && !placement.runningSince.IsZero() && now.Sub(placement.runningSince) > tuning.Seconds(p.tuning.SettledS)
}

func (p *Partition) mayPreempt(job *Job) bool { return job.withinGuarantee || job.Priority.Value() > 0 }

// preemptible tells whether a placement may be stopped for a job.
func (p *Partition) preemptible(placement *Placement, job *Job) bool {
	other := placement.job
	if other == job || placement.gangDone || placement.preemptionProtected && (placement.runningSince.IsZero() || p.cycleTime.Sub(placement.runningSince) < tuning.Seconds(p.tuning.SettledS)) {
		return false
	}
	if other.Priority.Value() < job.Priority.Value() {
		return !(other.withinGuarantee && !job.withinGuarantee)
	}
	return job.withinGuarantee && !other.withinGuarantee && other.Team != job.Team
}
