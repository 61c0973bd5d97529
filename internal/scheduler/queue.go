package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"ambersill/internal/quota"
	"ambersill/internal/resource"
	"ambersill/internal/tuning"
)

// The capacity of a typical machine, which stands in for the guarantee of a team that has none: a
// team that uses one such machine has a fair share ratio of 1.
const (
	referenceMachineGPUs = 8
	referenceMachineCPUs = 64
)

// ignoreGPUSetAsideStarveFactor is the multiple of StarveS after which a job without GPUs may use
// the CPUs and memory that are set aside for the free GPUs of a machine.
const ignoreGPUSetAsideStarveFactor = 2

// teamQueue contains the jobs of a team that have tasks to place, ordered by precedence.
type teamQueue struct {
	team *quota.Team
	jobs []*Job
}

// fairShareRatio returns the team's allocated resources divided by its guarantee, as the maximum
// over GPUs and CPUs. A resource without a guarantee is compared with the reference machine
// instead. The CPUs of a team that has a guarantee only for GPUs are ignored, since the machines
// that provide the GPUs have CPUs as well.
func (q *teamQueue) fairShareRatio() float64 {
	team := q.team
	guaranteedGPUs := team.GPUs
	if guaranteedGPUs <= 0 {
		guaranteedGPUs = referenceMachineGPUs
	}
	ratio := max(0, team.Allocated.GPUs/guaranteedGPUs)
	switch {
	case team.CPUs > 0:
		ratio = max(ratio, team.Allocated.CPUs/team.CPUs)
	case team.GPUs == 0:
		ratio = max(ratio, team.Allocated.CPUs/referenceMachineCPUs)
	}
	return ratio
}

// servedBefore reports whether the first job of queue is placed before the first job of other.
// They are compared by urgency, then by fair share unless the first job of queue is starved, then
// by compareWithinUrgency.
func (p *Partition) servedBefore(queue, other *teamQueue) bool {
	job, otherJob := queue.jobs[0], other.jobs[0]
	if order := compareUrgency(job, otherJob); order != 0 {
		return order < 0
	}
	if !job.cycle.starved {
		if order := cmp.Compare(p.fairShareStep(queue), p.fairShareStep(other)); order != 0 {
			return order < 0
		}
	}
	return p.compareWithinUrgency(job, otherJob) < 0
}

// fairShareStep returns the queue's fair share ratio in steps of LoadStep, rounded down. If
// ratios were compared exactly, the teams would progress in lockstep and all of their jobs would
// end late.
func (p *Partition) fairShareStep(queue *teamQueue) float64 {
	return math.Floor(queue.fairShareRatio() / p.tuning.LoadStep)
}

// compareInQueue orders the jobs of one team. It returns a negative number if a precedes b.
func (p *Partition) compareInQueue(a, b *Job) int {
	if order := compareUrgency(a, b); order != 0 {
		return order
	}
	return p.compareWithinUrgency(a, b)
}

// compareUrgency orders jobs by the criteria that take precedence over size and fair share. Jobs
// whose first start is overdue precede all others, regardless of guarantee and priority. The
// others are ordered by whether the team's guarantee covers them, then by priority. Among equals,
// starved jobs come first. It returns a negative number if a precedes b.
func compareUrgency(a, b *Job) int {
	if order := compareTrueFirst(a.cycle.startOverdue, b.cycle.startOverdue); order != 0 {
		return order
	}
	if !a.cycle.startOverdue {
		if order := compareTrueFirst(a.cycle.withinGuarantee, b.cycle.withinGuarantee); order != 0 {
			return order
		}
		if order := cmp.Compare(b.Priority.Value(), a.Priority.Value()); order != 0 {
			return order
		}
	}
	return compareTrueFirst(a.cycle.starved, b.cycle.starved)
}

// compareTrueFirst orders true before false. It returns a negative number if a precedes b.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// compareWithinUrgency orders jobs of equal urgency: starved jobs by submission time, oldest first,
// and others by precedence time. It returns a negative number if a precedes b.
func (p *Partition) compareWithinUrgency(a, b *Job) int {
	if a.cycle.starved && b.cycle.starved {
		if order := a.SubmittedAt.Compare(b.SubmittedAt); order != 0 {
			return order
		}
	}
	if order := p.precedenceTime(a).Compare(p.precedenceTime(b)); order != 0 {
		return order
	}
	return strings.Compare(a.ID, b.ID)
}

// precedenceTime returns the time by which jobs of equal urgency are ordered, earliest first. It
// is the submission time for a service, the latest start that meets the deadline for a job with
// a deadline, and otherwise the submission time plus a delay in proportion to the remaining work.
// Jobs with little remaining work thus precede larger ones, so that more jobs complete early, but
// a large job is not delayed indefinitely.
func (p *Partition) precedenceTime(job *Job) time.Time {
	switch {
	case job.IsService():
		return job.SubmittedAt
	case job.DeadlineS > 0:
		return job.SubmittedAt.Add(tuning.Seconds(job.DeadlineS - job.EstimatedRunS))
	}
	remainingS := float64(job.TaskCount-job.doneTasks)*job.EstimatedRunS + job.cycle.imageFetchS
	work := remainingS * max(job.CPUs, 1)
	return job.SubmittedAt.Add(tuning.Seconds(p.tuning.WorkWeight * work))
}

// buildQueues returns the queues of the teams that have tasks to place, sorted by team name. It
// also updates the cycle state of all unfinished jobs.
func (p *Partition) buildQueues(now time.Time) []*teamQueue {
	unfinished := p.unfinishedJobsByTeam()
	var queues []*teamQueue
	for _, name := range slices.Sorted(maps.Keys(unfinished)) {
		team, jobs := p.team(name), unfinished[name]
		slices.SortFunc(jobs, compareSubmission)
		p.updateGuarantees(team, jobs)
		for _, job := range jobs {
			p.updateAgeDependentState(job, now)
		}
		queue := &teamQueue{team: team, jobs: p.placeableJobs(jobs, now)}
		if len(queue.jobs) > 0 {
			queues = append(queues, queue)
		}
	}
	return queues
}

// unfinishedJobsByTeam returns, by team name, the jobs that are not cancelled and have tasks that
// are not done.
func (p *Partition) unfinishedJobsByTeam() map[string][]*Job {
	byTeam := map[string][]*Job{}
	for _, job := range p.jobs {
		if !job.Cancelled && job.doneTasks < job.TaskCount {
			byTeam[job.Team] = append(byTeam[job.Team], job)
		}
	}
	return byTeam
}

// compareSubmission orders jobs by submission time, then by ID. It returns a negative number if a
// precedes b.
func compareSubmission(a, b *Job) int {
	if order := a.SubmittedAt.Compare(b.SubmittedAt); order != 0 {
		return order
	}
	return strings.Compare(a.ID, b.ID)
}

// updateGuarantees sets withinGuarantee of a team's jobs, which must be sorted by submission time,
// oldest first. A job is within the guarantee if the guarantee covers it together with all older
// jobs.
func (p *Partition) updateGuarantees(team *quota.Team, jobs []*Job) {
	var unfinishedTotal resource.Vector
	for _, job := range jobs {
		unfinished := resource.TaskRequest(job.Job).Scale(job.TaskCount - job.doneTasks)
		unfinishedTotal = unfinishedTotal.Add(unfinished)
		job.cycle.withinGuarantee = team.WithinGuarantee(unfinishedTotal)
	}
}

// updateAgeDependentState sets the parts of a job's cycle state that depend on its age, and whether
// machines without GPUs could run it.
func (p *Partition) updateAgeDependentState(job *Job, now time.Time) {
	age := now.Sub(job.SubmittedAt)
	waitsForFirstStart := !job.hasStarted()
	job.cycle.starved = waitsForFirstStart && age > tuning.Seconds(p.tuning.StarveS)
	job.cycle.startOverdue = waitsForFirstStart && age > tuning.Seconds(p.tuning.OverdueS)
	job.cycle.startForced = waitsForFirstStart && age > tuning.Seconds(p.tuning.ForceS)
	job.cycle.ignoresGPUSetAside = age > tuning.Seconds(ignoreGPUSetAsideStarveFactor*p.tuning.StarveS)
	job.cycle.cpuOnlyTypeFits = job.GPUs == 0 &&
		resource.CPUOnlyTypeFits(resource.TaskRequest(job.Job), job.MachineTypes, maps.Values(p.machineTypes))
}

// hasStarted reports whether the job has had its first start. The placements of a gang count only
// once a task was reported as running, since until then the whole attempt may be abandoned.
func (j *Job) hasStarted() bool {
	if j.observedRunning || j.doneTasks > 0 {
		return true
	}
	return !j.IsGang() && len(j.placements) > 0
}

// placeableJobs returns the jobs that have tasks to place and are not delayed at the given time,
// ordered by precedence.
func (p *Partition) placeableJobs(jobs []*Job, now time.Time) []*Job {
	var placeable []*Job
	for _, job := range jobs {
		if job.waitingTasks == 0 || job.gangBroken || now.Before(job.failures.notBefore) {
			continue
		}
		job.cycle.imageFetchS = p.shortestImageFetchSeconds(job)
		placeable = append(placeable, job)
	}
	slices.SortStableFunc(placeable, p.compareInQueue)
	return placeable
}
