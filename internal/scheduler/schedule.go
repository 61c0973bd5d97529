package scheduler

import (
	"maps"
	"slices"
	"time"

	"ambersill/internal/quota"
	"ambersill/internal/resource"
)

const (
	// maxTasksPerTurn is the maximum number of tasks of an array job or service that are
	// placed before the next queue is selected. It is low enough that teams share scarce
	// capacity, and high enough that a large job does not need a search for each task.
	maxTasksPerTurn = 8
	// maxOverdueTasksPerTurn is the maximum number of tasks placed in one turn for a job whose
	// first start is overdue. One is enough, since hasStarted is true once a task is placed.
	// Gangs are exempt: all of their tasks are placed together.
	maxOverdueTasksPerTurn = 1
	// maxTasksPerPreemption is the maximum number of tasks of an array job or service for which
	// a single preemption frees capacity. Preempted tasks stop only after their grace period, so
	// capacity is freed for more than one turn. Gangs are exempt: room for a part of their tasks
	// is of no use to them.
	maxTasksPerPreemption = 2 * maxTasksPerTurn
	// cachedImagesPerMachine is the number of images that a worker is assumed to cache. The
	// machines of the cloud cache about as many.
	cachedImagesPerMachine = 12
)

// Schedule runs a scheduling cycle: it requeues the tasks on machines whose leases have expired,
// places waiting tasks from one queue per team, and then consolidates machines. The queue to serve
// next is selected by urgency and fair share.
func (p *Partition) Schedule(now time.Time) {
	p.cycleStartedAt = now
	p.ExpireLeases(now)
	p.collectCandidates()
	p.placeQueuedJobs(p.buildQueues(now), now)
	p.consolidate(now)
	p.scheduledVersion = p.capacityVersion
}

// NeedsScheduling reports whether a change since the last scheduling cycle requires another one
// immediately. Changes that are due to elapsed time alone wait for the next periodic cycle.
func (p *Partition) NeedsScheduling() bool {
	return p.journal.hasDirtyChunks() || p.capacityVersion != p.scheduledVersion || p.commitNeeded
}

// collectCandidates sets p.candidates to the usable machines that have free CPUs.
func (p *Partition) collectCandidates() {
	p.candidates = p.candidates[:0]
	for _, machine := range p.machines.all() {
		if machine.usable() && machine.freeCapacity().CPUs > resource.Epsilon {
			p.candidates = append(p.candidates, machine)
		}
	}
}

// placeQueuedJobs places tasks of the queued jobs until no more can be placed.
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

// nextQueue returns the index of the queue to serve next.
func (p *Partition) nextQueue(queues []*teamQueue) int {
	next := 0
	for i := 1; i < len(queues); i++ {
		if p.servedBefore(queues[i], queues[next]) {
			next = i
		}
	}
	return next
}

// placeJobTasks places the tasks of a job that can be placed in one turn. It reports whether the
// job may place more tasks in this cycle.
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
	return job.placeableTasks(now) > 0 && !job.IsGang()
}

// taskCountInTurn returns the maximum number of tasks of a job to place in this turn. For a gang
// it is either all tasks or 0.
func taskCountInTurn(job *Job, team *quota.Team, now time.Time) int {
	count := min(job.placeableTasks(now), maxTasksPerTurn)
	if count == 0 {
		return 0
	}
	remaining := team.RemainingTasks(resource.TaskRequest(job.Job))
	if job.IsGang() {
		if job.waitingTasks < job.TaskCount || remaining < job.TaskCount {
			return 0
		}
		return job.TaskCount
	}
	if job.cycle.startOverdue {
		count = min(count, maxOverdueTasksPerTurn)
	}
	return min(count, remaining)
}

// canBePlacedOn reports whether tasks of the job can be placed on machines, which findMachines
// returned for count tasks. A gang needs count entries, any other job at least one.
func (j *Job) canBePlacedOn(machines []*Machine, count int) bool {
	if j.IsGang() && len(machines) < count {
		return false
	}
	return len(machines) > 0
}

// preemptOrReserve preempts other tasks for a job that could not be placed. If no preemption is in
// progress afterwards and the job is a starved gang, it reserves machines for the job.
func (p *Partition) preemptOrReserve(job *Job, count int, now time.Time) {
	job.failedSearchVersion = p.capacityVersion
	if !job.IsGang() {
		count = min(count, maxTasksPerPreemption)
	}
	p.preempt(job, count, now)
	if !job.preemption.inProgress {
		p.reserveForGang(job, count, now)
	}
}

// placeOnMachines places the job's first placeable tasks under a new attempt number, one task
// per entry of machines.
func (p *Partition) placeOnMachines(job *Job, machines []*Machine, now time.Time) {
	job.highestAttempt++
	job.preemption.inProgress = false
	if job.GPUs > 0 {
		// The share of CPUs and memory that is set aside for free GPUs shrinks, so jobs
		// without GPUs may now fit on these machines.
		p.capacityVersion++
	}
	for task := range job.taskStates {
		if len(machines) == 0 {
			return
		}
		if !job.taskPlaceable(task, now) {
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

// trimCachedImages evicts the least recently used images beyond cachedImagesPerMachine.
func (m *Machine) trimCachedImages() {
	for len(m.cachedImages) > cachedImagesPerMachine {
		delete(m.cachedImages, m.leastRecentlyUsedImage())
	}
}

// leastRecentlyUsedImage returns the least recently used cached image, or the first by name if
// several have the same time of use.
func (m *Machine) leastRecentlyUsedImage() string {
	oldest := ""
	for _, image := range slices.Sorted(maps.Keys(m.cachedImages)) {
		if oldest == "" || m.cachedImages[image].Before(m.cachedImages[oldest]) {
			oldest = image
		}
	}
	return oldest
}
