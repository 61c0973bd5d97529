package scheduler

import (
	"maps"
	"slices"
	"time"

	"ambersill/internal/quota"
	"ambersill/internal/resource"
)

const (
	// maxTasksPerTurn is how many tasks of an array are placed before it is another team's
	// turn: few enough that teams share a small capacity, many enough that a large array
	// does not need a search for each task.
	maxTasksPerTurn = 8
	// maxOverdueTasksPerTurn is how many tasks of an array take precedence because its first start is
	// overdue; with the first of them it has begun.
	maxOverdueTasksPerTurn = 1
	// maxTasksPerPreemption is for how many tasks of a job work is preempted at once. Preempted work
	// stops only after its grace period, so capacity is requested ahead of the next turns.
	maxTasksPerPreemption = 2 * maxTasksPerTurn
	// cachedImagesPerMachine is how many images a machine is assumed to cache, about as
	// many as the cloud's machines do.
	cachedImagesPerMachine = 12
)

// Schedule runs a scheduling cycle. It places waiting tasks from a queue per team; the
// queues take turns by urgency and fair share.
func (p *Partition) Schedule(now time.Time) {
	p.cycleStartedAt = now
	p.ExpireLeases(now)
	p.collectCandidates()
	p.placeQueuedJobs(p.buildQueues(now), now)
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
		if machine.usable() && machine.freeCapacity().CPUs > resource.Epsilon {
			p.candidates = append(p.candidates, machine)
		}
	}
}

// placeQueuedJobs places the queues' jobs until nothing more can be placed.
func (p *Partition) placeQueuedJobs(queues []*teamQueue, now time.Time) {
	for len(queues) > 0 {
		next := p.nextQueue(queues)
		queue := queues[next]
		if p.placeJobTasks(queue.jobs[0], queue.team, now) {
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

// placeJobTasks places what it can of a job in this turn, and reports whether the job has
// more to place in this cycle.
func (p *Partition) placeJobTasks(job *Job, team *quota.Team, now time.Time) bool {
	if job.failedSearchVersion == p.capacityVersion {
		return false
	}
	count := taskCountInTurn(job, team, now)
	if count == 0 {
		return false
	}
	machines := p.findMachines(job, count, now, p.candidates, (*Machine).freeCapacity)
	if !job.canBePlacedOn(machines, count) {
		p.preemptOrReserve(job, count, now)
		return false
	}
	p.placeOnMachines(job, machines, now)
	return job.startableCount(now) > 0 && !job.IsGang()
}

// taskCountInTurn returns how many tasks of a job may be placed in this turn. A gang's are all
// or none.
func taskCountInTurn(job *Job, team *quota.Team, now time.Time) int {
	count := min(job.startableCount(now), maxTasksPerTurn)
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
		count = min(count, maxOverdueTasksPerTurn)
	}
	return min(count, remaining)
}

// canBePlacedOn reports whether the machines found for count tasks allow a start: some for any
// job, all for a gang.
func (j *Job) canBePlacedOn(machines []*Machine, count int) bool {
	if j.IsGang() && len(machines) < count {
		return false
	}
	return len(machines) > 0
}

// preemptOrReserve preempts other work for a job that finds no capacity, or reserves machines
// for it if it is a gang.
func (p *Partition) preemptOrReserve(job *Job, count int, now time.Time) {
	job.failedSearchVersion = p.capacityVersion
	p.preempt(job, min(count, maxTasksPerPreemption), now)
	if !job.preemption.inProgress {
		p.reserveForGang(job, count, now)
	}
}

// placeOnMachines places the job's first startable tasks under a new attempt, one for each of
// the machines.
func (p *Partition) placeOnMachines(job *Job, machines []*Machine, now time.Time) {
	job.highestAttempt++
	job.preemption.inProgress = false
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
		p.placeTask(job, task, machines[0], now)
		machines = machines[1:]
	}
}

// placeTask places a task on a machine.
func (p *Partition) placeTask(job *Job, task int, machine *Machine, now time.Time) {
	placement := &Placement{
		job:                 job,
		task:                task,
		attempt:             job.highestAttempt,
		machine:             machine,
		incarnation:         machine.newestMessage.incarnation,
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
	p.Counters.Placed++
}

// trimCachedImages drops the least recently used images beyond what the machine is assumed
// to cache.
func (m *Machine) trimCachedImages() {
	for len(m.cachedImages) > cachedImagesPerMachine {
		delete(m.cachedImages, m.leastRecentlyUsedImage())
	}
}

// leastRecentlyUsedImage returns the cached image whose use is the longest ago, the first by name
// among equals.
func (m *Machine) leastRecentlyUsedImage() string {
	oldest := ""
	for _, image := range slices.Sorted(maps.Keys(m.cachedImages)) {
		if oldest == "" || m.cachedImages[image].Before(m.cachedImages[oldest]) {
			oldest = image
		}
	}
	return oldest
}
