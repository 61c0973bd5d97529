package core

import (
	"math"
	"sort"
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

type queue struct {
	team *team
	jobs []*Job
}

// load is how much a team uses, by its guarantee where it has one.
func (q *queue) load() float64 {
	t := q.team
	l := 0.0
	if t.GPUs > 0 {
		l = max(l, t.used.GPUs/t.GPUs)
	} else {
		l = max(l, t.used.GPUs/8)
	}
	if t.CPUs > 0 {
		l = max(l, t.used.CPUs/t.CPUs)
	} else if t.GPUs == 0 {
		l = max(l, t.used.CPUs/64)
	}
	return l
}

func (p *Partition) before(q, o *queue) bool {
	a, b := q.jobs[0], o.jobs[0]
	if d := urgency(a, b); d != 0 {
		return d > 0
	}
	// Shares are compared in steps, since even shares to the last bit would have
	// all teams' jobs end late together.
	if x, y := math.Floor(q.load()/p.t.LoadStep), math.Floor(o.load()/p.t.LoadStep); x != y && !a.aged {
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
	if d := first(a.overdue, b.overdue); d != 0 {
		return d
	}
	if d := first(a.covered, b.covered); d != 0 && !a.overdue {
		return d
	}
	if d := a.Rank.Level() - b.Rank.Level(); d != 0 && !a.overdue {
		return d
	}
	return first(a.aged, b.aged)
}

// due is when a job's turn is. Without a deadline, little work comes before much:
// that gets the most jobs over in good time, and age still wins in the end.
func (p *Partition) due(j *Job) time.Time {
	switch {
	case isService(j.Job):
		return j.At
	case j.Deadline > 0:
		return j.At.Add(tuning.Seconds(j.Deadline - j.Estimate))
	}
	work := (float64(j.Tasks-j.done)*j.Estimate + j.fetchS) * max(j.CPUs, 1)
	return j.At.Add(tuning.Seconds(p.t.WorkWeight * work))
}

func (p *Partition) earlier(a, b *Job) bool {
	if a.aged && b.aged && !a.At.Equal(b.At) {
		return a.At.Before(b.At)
	}
	if x, y := p.due(a), p.due(b); !x.Equal(y) {
		return x.Before(y)
	}
	return a.ID < b.ID
}

// queues sorts the jobs with waiting tasks by team.
func (p *Partition) queues(now time.Time) []*queue {
	all := map[string][]*Job{}
	for _, j := range p.jobs {
		if !j.Cancelled && j.done < j.Tasks {
			all[j.Team] = append(all[j.Team], j)
		}
	}
	var out []*queue
	for _, name := range sortedKeys(all) {
		jobs := all[name]
		t := p.team(name)
		sort.Slice(jobs, func(a, b int) bool {
			if !jobs[a].At.Equal(jobs[b].At) {
				return jobs[a].At.Before(jobs[b].At)
			}
			return jobs[a].ID < jobs[b].ID
		})
		var sum Room
		for _, j := range jobs {
			sum = sum.add(need(j.Job).times(j.Tasks - j.done))
			j.covered = t.covers(sum)
			begun := j.started || j.done > 0 || (j.Shape != wire.Gang && len(j.placed) > 0)
			j.aged = !begun && now.Sub(j.At) > tuning.Seconds(p.t.StarveS)
			j.overdue = !begun && now.Sub(j.At) > tuning.Seconds(p.t.OverdueS)
			j.forced = !begun && now.Sub(j.At) > tuning.Seconds(p.t.ForceS)
			j.old = now.Sub(j.At) > tuning.Seconds(2*p.t.StarveS)
			j.plain = j.GPUs == 0 && p.plain(j.Job)
		}
		q := &queue{team: t}
		for _, j := range jobs {
			if j.waiting > 0 && !j.broken && !now.Before(j.retryAt) {
				j.fetchS = p.leastFetch(j)
				q.jobs = append(q.jobs, j)
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
