package scheduler

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"ambersill/internal/quota"
	"ambersill/internal/resource"
	"ambersill/internal/tuning"
)

type queue struct {
	team *quota.Team
	jobs []*Job
}

// fairShareRatio is how much a team uses, by its guarantee where it has one.
func (q *queue) fairShareRatio() float64 {
	team := q.team
	l := 0.0
	if team.GPUs > 0 {
		l = max(l, team.Allocated.GPUs/team.GPUs)
	} else {
		l = max(l, team.Allocated.GPUs/8)
	}
	if team.CPUs > 0 {
		l = max(l, team.Allocated.CPUs/team.CPUs)
	} else if team.GPUs == 0 {
		l = max(l, team.Allocated.CPUs/64)
	}
	return l
}

func (p *Partition) servedBefore(queue, other *queue) bool {
	a, b := queue.jobs[0], other.jobs[0]
	if d := urgency(a, b); d != 0 {
		return d > 0
	}
	// Shares are compared in steps, since even shares to the last bit would have
	// all teams' jobs end late together.
	if x, y := math.Floor(queue.fairShareRatio()/p.tuning.LoadStep), math.Floor(other.fairShareRatio()/p.tuning.LoadStep); x != y && !a.starved {
		return x < y
	}
	return p.earlier(a, b)
}

// urgency compares two jobs by what comes before size and shares; above 0: a first.
// Work that has to begin now goes before all; then guaranteed work, then by rank,
// and among equals what has waited long for its first start.
func urgency(a, b *Job) int {
	first := func(x, y bool) int {
		switch {
		case x == y:
			return 0
		case x:
			return 1
		}
		return -1
	}
	if d := first(a.startOverdue, b.startOverdue); d != 0 {
		return d
	}
	if d := first(a.withinGuarantee, b.withinGuarantee); d != 0 && !a.startOverdue {
		return d
	}
	if d := a.Priority.Value() - b.Priority.Value(); d != 0 && !a.startOverdue {
		return d
	}
	return first(a.starved, b.starved)
}

// turnAt is when a job's turn is. Without a deadline, little work comes before much:
// that gets the most jobs over in good time, and age still wins in the end.
func (p *Partition) turnAt(job *Job) time.Time {
	switch {
	case job.IsService():
		return job.SubmittedAt
	case job.DeadlineS > 0:
		return job.SubmittedAt.Add(tuning.Seconds(job.DeadlineS - job.EstimatedRunS))
	}
	work := (float64(job.Tasks-job.doneTasks)*job.EstimatedRunS + job.imageFetchS) * max(job.CPUs, 1)
	return job.SubmittedAt.Add(tuning.Seconds(p.tuning.WorkWeight * work))
}

func (p *Partition) earlier(a, b *Job) bool {
	if a.starved && b.starved && !a.SubmittedAt.Equal(b.SubmittedAt) {
		return a.SubmittedAt.Before(b.SubmittedAt)
	}
	if x, y := p.turnAt(a), p.turnAt(b); !x.Equal(y) {
		return x.Before(y)
	}
	return a.ID < b.ID
}

// buildQueues sorts the jobs with waiting tasks by team.
func (p *Partition) buildQueues(now time.Time) []*queue {
	all := map[string][]*Job{}
	for _, job := range p.jobs {
		if !job.Cancelled && job.doneTasks < job.Tasks {
			all[job.Team] = append(all[job.Team], job)
		}
	}
	var out []*queue
	for _, name := range slices.Sorted(maps.Keys(all)) {
		jobs := all[name]
		team := p.team(name)
		sort.Slice(jobs, func(a, b int) bool {
			if !jobs[a].SubmittedAt.Equal(jobs[b].SubmittedAt) {
				return jobs[a].SubmittedAt.Before(jobs[b].SubmittedAt)
			}
			return jobs[a].ID < jobs[b].ID
		})
		var sum resource.Vector
		for _, job := range jobs {
			sum = sum.Add(resource.OfJob(job.Job).Scale(job.Tasks - job.doneTasks))
			job.withinGuarantee = team.WithinGuarantee(sum)
			begun := job.seenRunning || job.doneTasks > 0 || (!job.IsGang() && len(job.placements) > 0)
			job.starved = !begun && now.Sub(job.SubmittedAt) > tuning.Seconds(p.tuning.StarveS)
			job.startOverdue = !begun && now.Sub(job.SubmittedAt) > tuning.Seconds(p.tuning.OverdueS)
			job.startForced = !begun && now.Sub(job.SubmittedAt) > tuning.Seconds(p.tuning.ForceS)
			job.ignoresGPUShare = now.Sub(job.SubmittedAt) > tuning.Seconds(2*p.tuning.StarveS)
			job.cpuOnlyTypeFits = job.GPUs == 0 && resource.CPUOnlyTypeFits(resource.OfJob(job.Job), job.MachineTypes, maps.Values(p.machineTypes))
		}
		q := &queue{team: team}
		for _, job := range jobs {
			if job.waitingTasks > 0 && !job.gangBroken && !now.Before(job.retryAt) {
				job.imageFetchS = p.shortestImageFetch(job)
				q.jobs = append(q.jobs, job)
			}
		}
		sort.SliceStable(q.jobs, func(a, b int) bool {
			x, y := q.jobs[a], q.jobs[b]
			if d := urgency(x, y); d != 0 {
				return d > 0
			}
			return p.earlier(x, y)
		})
		if len(q.jobs) > 0 {
			out = append(out, q)
		}
	}
	return out
}
