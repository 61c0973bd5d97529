package scheduler

import (
	"ambersill/internal/quota"
	"ambersill/internal/resource"
	"maps"
	"slices"
	"time"
)

// placementSlice is how many tasks of an array a team places before it is another
// team's turn.
const placementSlice = 8

// overdueSlice is how many tasks of an array go first because it has waited too long
// for its first start; with that it has begun.
const overdueSlice = 1

// Schedule places waiting tasks: a queue per team, the teams served in turn by
// shares, guaranteed work first, then by rank.
func (p *Partition) Schedule(now time.Time) {
	p.cycleTime = now
	p.ExpireLeases(now)
	p.candidates = p.candidates[:0]
	for _, id := range p.machineIDs {
		if machine := p.machines[id]; machine.usable() && machine.free().CPUs > resource.Epsilon {
			p.candidates = append(p.candidates, machine)
		}
	}
	queues := p.buildQueues(now)
	for len(queues) > 0 {
		best := 0
		for i := 1; i < len(queues); i++ {
			if p.servedBefore(queues[i], queues[best]) {
				best = i
			}
		}
		queue := queues[best]
		job := queue.jobs[0]
		if !p.placeTasks(job, queue.team, now) {
			queue.jobs = queue.jobs[1:]
			if len(queue.jobs) == 0 {
				queues = append(queues[:best], queues[best+1:]...)
			}
		}
	}
	p.consolidate(now)
	p.scheduledVersion = p.capacityVersion
}

// NeedsScheduling tells whether anything has changed since the last pass that one would act on
// before time alone makes it do so.
func (p *Partition) NeedsScheduling() bool {
	return p.journal.hasDirtyChunks() || p.capacityVersion != p.scheduledVersion
}

// placeTasks starts what it can of a job in this turn; false: nothing more now.
func (p *Partition) placeTasks(job *Job, team *quota.Team, now time.Time) bool {
	if job.noCapacityVersion == p.capacityVersion {
		return false
	}
	n := min(job.startableCount(now), placementSlice)
	if n == 0 {
		return false
	}
	if job.startOverdue {
		n = min(n, overdueSlice)
	}
	if job.IsGang() {
		n = job.Tasks
		if job.waitingTasks < n {
			return false
		}
	}
	left := team.RemainingTasks(resource.OfJob(job.Job))
	if left < n {
		if job.IsGang() || left == 0 {
			return false
		}
		n = left
	}
	where := p.findMachines(job, n, now, p.candidates, (*Machine).free)
	if len(where) == 0 || (job.IsGang() && len(where) < n) {
		job.noCapacityVersion = p.capacityVersion
		p.preempt(job, min(n, 2*placementSlice), now)
		if !job.awaitingPreemption {
			p.reserveForGang(job, n, now)
		}
		return false
	}
	job.highestAttempt++
	job.awaitingPreemption = false
	if job.GPUs > 0 {
		p.capacityVersion++ // what is left of its machines' other room is free for others now
	}
	k := 0
	for i := range job.taskStates {
		if k == len(where) {
			break
		}
		if !job.startable(i, now) {
			continue
		}
		machine := where[k]
		placement := &Placement{job: job, task: i, attempt: job.highestAttempt, machine: machine, incarnation: machine.latest.incarnation, preemptionProtected: job.startForced}
		p.attach(placement)
		chunk := placement.chunk()
		p.journal.markDirty(chunk, i)
		placement.chunkVersion = chunk.changeVersion
		machine.cachedImages[job.Image] = now
		p.trimImages(machine)
		if machine.reservedFor == job.ID {
			machine.reservedFor = ""
		}
		p.Counters.Started++
		k++
	}
	return job.startableCount(now) > 0 && !job.IsGang()
}

// trimImages keeps the guess of a machine's cache to the most recently used.
func (p *Partition) trimImages(machine *Machine) {
	const most = 12 // images; the cloud's caches hold about as many
	for len(machine.cachedImages) > most {
		oldest := ""
		for _, k := range slices.Sorted(maps.Keys(machine.cachedImages)) {
			if oldest == "" || machine.cachedImages[k].Before(machine.cachedImages[oldest]) {
				oldest = k
			}
		}
		delete(machine.cachedImages, oldest)
	}
}
