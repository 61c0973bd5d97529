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

// The size of a usual machine replaces a guarantee that a team does not have: a team that uses
// one such machine counts as having used its fair share once.
const (
	referenceMachineGPUs = 8
	referenceMachineCPUs = 64
)

// ignoreGPUShareStarveFactor is the multiple of StarveS after which a job without GPUs may take
// CPUs and memory that belong to the free GPUs of a machine.
const ignoreGPUShareStarveFactor = 2

// teamQueue is the queue of a team's jobs with tasks to place, by precedence.
type teamQueue struct {
	team *quota.Team
	jobs []*Job
}

// fairShareRatio returns how much the team uses relative to its guarantee, or to a usual
// machine in a dimension without one. The CPUs of a team that is guaranteed only GPUs do
// not count, since the machines of its GPUs bring them along.
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

// servedBefore reports whether the first job of queue is placed before that of other: by
// urgency, then by fair share, then by turn.
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

// fairShareStep returns the queue's fair share ratio in steps of LoadStep. If ratios were
// equal to the last bit, all teams' jobs would end late together.
func (p *Partition) fairShareStep(queue *teamQueue) float64 {
	return math.Floor(queue.fairShareRatio() / p.tuning.LoadStep)
}

// compareInQueue orders the jobs of one team; negative: a goes first.
func (p *Partition) compareInQueue(a, b *Job) int {
	if order := compareUrgency(a, b); order != 0 {
		return order
	}
	return p.compareWithinUrgency(a, b)
}

// compareUrgency orders jobs by what takes precedence over size and fair share; negative: a
// goes first. Jobs whose first start is overdue go first, whatever their guarantee and
// priority; then guaranteed work, then by priority, and among equals starved jobs.
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

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// compareWithinUrgency orders jobs of the same urgency; negative: a goes first. Starved jobs go by
// age, others by when their turn is.
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

// precedenceTime returns when a job's turn is. Without a deadline, jobs with little work left come
// before those with much: that completes the most jobs in good time, and age still
// prevails in the end.
func (p *Partition) precedenceTime(job *Job) time.Time {
	switch {
	case job.IsService():
		return job.SubmittedAt
	case job.DeadlineS > 0:
		return job.SubmittedAt.Add(tuning.Seconds(job.DeadlineS - job.EstimatedRunS))
	}
	remainingS := float64(job.Tasks-job.doneTasks)*job.EstimatedRunS + job.cycle.imageFetchS
	work := remainingS * max(job.CPUs, 1)
	return job.SubmittedAt.Add(tuning.Seconds(p.tuning.WorkWeight * work))
}

// buildQueues returns the queues of the teams that have tasks to place, by team name.
func (p *Partition) buildQueues(now time.Time) []*teamQueue {
	unfinished := p.unfinishedJobsByTeam()
	var queues []*teamQueue
	for _, name := range slices.Sorted(maps.Keys(unfinished)) {
		team, jobs := p.team(name), unfinished[name]
		slices.SortFunc(jobs, compareSubmission)
		p.updateGuarantees(team, jobs)
		for _, job := range jobs {
			p.updateAgeClaims(job, now)
		}
		queue := &teamQueue{team: team, jobs: p.placeableJobs(jobs, now)}
		if len(queue.jobs) > 0 {
			queues = append(queues, queue)
		}
	}
	return queues
}

// unfinishedJobsByTeam returns the jobs with tasks that are not done.
func (p *Partition) unfinishedJobsByTeam() map[string][]*Job {
	byTeam := map[string][]*Job{}
	for _, job := range p.jobs {
		if !job.Cancelled && job.doneTasks < job.Tasks {
			byTeam[job.Team] = append(byTeam[job.Team], job)
		}
	}
	return byTeam
}

// compareSubmission orders jobs by age; negative: a is older.
func compareSubmission(a, b *Job) int {
	if order := a.SubmittedAt.Compare(b.SubmittedAt); order != 0 {
		return order
	}
	return strings.Compare(a.ID, b.ID)
}

// updateGuarantees sets which of a team's jobs, sorted from the oldest, its guarantee covers
// together with all older ones.
func (p *Partition) updateGuarantees(team *quota.Team, jobs []*Job) {
	var unfinishedTotal resource.Vector
	for _, job := range jobs {
		unfinished := resource.TaskRequest(job.Job).Scale(job.Tasks - job.doneTasks)
		unfinishedTotal = unfinishedTotal.Add(unfinished)
		job.cycle.withinGuarantee = team.WithinGuarantee(unfinishedTotal)
	}
}

// updateAgeClaims sets what a job may claim by how long it has waited, and whether machines
// without GPUs could run it.
func (p *Partition) updateAgeClaims(job *Job, now time.Time) {
	age := now.Sub(job.SubmittedAt)
	waitsForFirstStart := !job.hasStarted()
	job.cycle.starved = waitsForFirstStart && age > tuning.Seconds(p.tuning.StarveS)
	job.cycle.startOverdue = waitsForFirstStart && age > tuning.Seconds(p.tuning.OverdueS)
	job.cycle.startForced = waitsForFirstStart && age > tuning.Seconds(p.tuning.ForceS)
	job.cycle.ignoresGPUShare = age > tuning.Seconds(ignoreGPUShareStarveFactor*p.tuning.StarveS)
	job.cycle.cpuOnlyTypeFits = job.GPUs == 0 &&
		resource.CPUOnlyTypeFits(resource.TaskRequest(job.Job), job.MachineTypes, maps.Values(p.machineTypes))
}

// hasStarted reports whether the job has had its first start. Placements of a gang do not count
// before one has been seen running, since all of them may still be abandoned.
func (j *Job) hasStarted() bool {
	if j.observedRunning || j.doneTasks > 0 {
		return true
	}
	return !j.IsGang() && len(j.placements) > 0
}

// placeableJobs returns the jobs with tasks that may be placed by now, by precedence.
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
