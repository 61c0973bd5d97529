package scheduler

import (
	"maps"
	"slices"
	"time"

	"ambersill/internal/quota"
	"ambersill/internal/resource"
)

const (
	// placementSlice is how many tasks of an array are placed before it is another team's
	// turn: few enough that teams share a small capacity, many enough that a large array
	// does not need a search for each task.
	placementSlice = 8
	// overdueSlice is how many tasks of an array take precedence because its first start is
	// overdue; with the first of them it has begun.
	overdueSlice = 1
	// preemptionSlice is for how many tasks of a job work is preempted at once. Preempted work
	// stops only after its grace period, so capacity is requested ahead of the next turns.
	preemptionSlice = 2 * placementSlice
	// cachedImagesPerMachine is how many images a machine is assumed to cache, about as
	// many as the cloud's machines do.
	cachedImagesPerMachine = 12
)

// Schedule runs a scheduling cycle. It places waiting tasks from a queue per team; the
// queues take turns by urgency and fair share.
func (p *Partition) Schedule(now time.Time) {
	p.cycleTime = now
	p.ExpireLeases(now)
	p.collectCandidates()
	p.placeQueues(p.buildQueues(now), now)
	p.consolidate(now)
	p.scheduledVersion = p.capacityVersion
}

// NeedsScheduling reports whether a change since the last scheduling cycle requires another one
// at once. What only the passing of time requires is left to the next regular cycle.
func (p *Partition) NeedsScheduling() bool {
	return p.journal.hasDirtyChunks() || p.capacityVersion != p.scheduledVersion
}

// collectCandidates lists the machines with free capacity for this cycle.
func (p *Partition) collectCandidates() {
	p.candidates = p.candidates[:0]
	for _, machine := range p.machines.all() {
		if machine.usable() && machine.free().CPUs > resource.Epsilon {
			p.candidates = append(p.candidates, machine)
		}
	}
}

// placeQueues places the queues' jobs until nothing more can be placed.
func (p *Partition) placeQueues(queues []*teamQueue, now time.Time) {
	for len(queues) > 0 {
		next := p.nextQueue(queues)
		queue := queues[next]
		if p.placeTasks(queue.jobs[0], queue.team, now) {
			continue
		}
		queue.jobs = queue.jobs[1:]
		if len(queue.jobs) == 0 {
			queues = slices.Delete(queues, next, next+1)
		}
	}
}

// nextQueue returns the index of the queue whose turn it is.
func (p *Partition) nextQueue(queues []*teamQueue) int {
	next := 0
	for i := 1; i < len(queues); i++ {
		if p.servedBefore(queues[i], queues[next]) {
			next = i
		}
	}
	return next
}

// placeTasks places what it can of a job in this turn, and reports whether the job has
// more to place in this cycle.
func (p *Partition) placeTasks(job *Job, team *quota.Team, now time.Time) bool {
	if job.noCapacityVersion == p.capacityVersion {
		return false
	}
	count := tasksInTurn(job, team, now)
	if count == 0 {
		return false
	}
	machines := p.findMachines(job, count, now, p.candidates, (*Machine).free)
	if !job.canStartOn(machines, count) {
		p.requestCapacity(job, count, now)
		return false
	}
	p.startTasks(job, machines, now)
	return job.startableCount(now) > 0 && !job.IsGang()
}

// tasksInTurn returns how many tasks of a job may be placed in this turn. A gang's are all
// or none.
func tasksInTurn(job *Job, team *quota.Team, now time.Time) int {
	count := min(job.startableCount(now), placementSlice)
	if count == 0 {
		return 0
	}
	remaining := team.RemainingTasks(resource.TaskRequest(job.Job))
	if job.IsGang() {
		if job.waitingTasks < job.Tasks || remaining < job.Tasks {
			return 0
		}
		return job.Tasks
	}
	if job.cycle.startOverdue {
		count = min(count, overdueSlice)
	}
	return min(count, remaining)
}

// canStartOn reports whether the machines found for count tasks allow a start: some for any
// job, all for a gang.
func (j *Job) canStartOn(machines []*Machine, count int) bool {
	if j.IsGang() && len(machines) < count {
		return false
	}
	return len(machines) > 0
}

// requestCapacity preempts other work for a job that finds no capacity, or reserves machines
// for it if it is a gang.
func (p *Partition) requestCapacity(job *Job, count int, now time.Time) {
	job.noCapacityVersion = p.capacityVersion
	p.preempt(job, min(count, preemptionSlice), now)
	if !job.preemption.awaiting {
		p.reserveForGang(job, count, now)
	}
}

// startTasks places the job's first startable tasks under a new attempt, one for each of
// the machines.
func (p *Partition) startTasks(job *Job, machines []*Machine, now time.Time) {
	job.highestAttempt++
	job.preemption.awaiting = false
	if job.GPUs > 0 {
		// With fewer GPUs free, more of these machines' CPUs and memory is free for others.
		p.capacityVersion++
	}
	for task := range job.taskStates {
		if len(machines) == 0 {
			return
		}
		if !job.startable(task, now) {
			continue
		}
		p.startTask(job, task, machines[0], now)
		machines = machines[1:]
	}
}

// startTask places a task on a machine.
func (p *Partition) startTask(job *Job, task int, machine *Machine, now time.Time) {
	placement := &Placement{
		job:                 job,
		task:                task,
		attempt:             job.highestAttempt,
		machine:             machine,
		incarnation:         machine.latest.incarnation,
		preemptionProtected: job.cycle.startForced,
	}
	p.attach(placement)
	chunk := placement.chunk()
	p.journal.markDirty(chunk, task)
	placement.chunkVersion = chunk.changeVersion
	machine.cachedImages[job.Image] = now
	machine.trimCachedImages()
	if machine.reservedFor == job.ID {
		machine.reservedFor = ""
	}
	p.Counters.Started++
}

// trimCachedImages drops the least recently used images beyond what the machine is assumed
// to cache.
func (m *Machine) trimCachedImages() {
	for len(m.cachedImages) > cachedImagesPerMachine {
		delete(m.cachedImages, m.leastRecentImage())
	}
}

// leastRecentImage returns the cached image whose use is the longest ago, the first by name
// among equals.
func (m *Machine) leastRecentImage() string {
	oldest := ""
	for _, image := range slices.Sorted(maps.Keys(m.cachedImages)) {
		if oldest == "" || m.cachedImages[image].Before(m.cachedImages[oldest]) {
			oldest = image
		}
	}
	return oldest
}
