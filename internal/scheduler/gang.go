package scheduler

import (
	"maps"
	"slices"
	"sort"
	"time"

	"ambersill/internal/resource"
	"ambersill/internal/tuning"
)

// futureSlot is a place for one task of a job that a machine will have.
type futureSlot struct {
	machine      *Machine
	availableInS float64 // seconds until then, by the estimates of what runs there
}

// reserveForGang keeps machines free for a gang that has waited long, as the tasks on them
// end: where all the room it needs comes together the soonest. Nothing is stopped
// for it. Without this, small work takes each place as it falls free, and a gang of
// many machines never finds them empty together.
func (p *Partition) reserveForGang(job *Job, n int, now time.Time) {
	if !job.IsGang() || !job.starved || now.Before(job.reservedUntil) {
		return
	}
	zones := map[string][]futureSlot{}
	for _, id := range p.machineIDs {
		machine := p.machines[id]
		if !machine.usable() || !machineAllowed(job.Job, machine) || job.failedMachines[id] {
			continue
		}
		if machine.reservedFor != "" && machine.reservedFor != job.ID && now.Before(machine.reservedUntil) {
			if machine.reservedFor != reservedForDrain {
				zones[machine.Record.Zone] = append(zones[machine.Record.Zone], futureSlot{availableInS: -1})
			}
			continue
		}
		z := machine.Record.Zone
		if !job.SingleZone {
			z = ""
		}
		zones[z] = append(zones[z], p.futureSlots(job, machine, now)...)
	}
	var best []futureSlot
	limit := (job.Tasks + 1) / 2
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		vs := zones[z]
		sort.SliceStable(vs, func(a, b int) bool { return vs[a].availableInS < vs[b].availableInS })
		if len(vs) > 0 && vs[0].availableInS < 0 {
			continue // room is kept for another there, and one at a time gets it
		}
		var got []futureSlot
		perZone := map[string]int{}
		for _, v := range vs {
			if len(got) == n {
				break
			}
			if job.SpreadZones && perZone[v.machine.Record.Zone] >= limit {
				continue
			}
			perZone[v.machine.Record.Zone]++
			got = append(got, v)
		}
		if len(got) == n && (best == nil || got[n-1].availableInS < best[n-1].availableInS) {
			best = got
		}
	}
	if best == nil {
		return
	}
	wait := min(max(best[n-1].availableInS, 0), p.tuning.StarveS) + 3*p.settings.Cluster.Workers.ReportS
	job.reservedUntil = now.Add(tuning.Seconds(wait))
	for _, v := range best {
		v.machine.reservedFor, v.machine.reservedUntil = job.ID, job.reservedUntil
	}
	p.Counters.GangReservations++
}

// futureSlots lists when a machine will have room for one task of a job, for a second
// one, and so on, if nothing else is placed there.
func (p *Partition) futureSlots(job *Job, machine *Machine, now time.Time) []futureSlot {
	type end struct {
		in   float64
		room resource.Vector
	}
	var ends []end
	for _, key := range sortedTaskAttempts(machine.placements) {
		placement := machine.placements[key]
		other := placement.job
		left := runSeconds(other.Job) + p.imageFetchSeconds(other, machine)
		if !placement.runningSince.IsZero() {
			left = max(runSeconds(other.Job)-now.Sub(placement.runningSince).Seconds(), 1)
		}
		ends = append(ends, end{left, resource.OfJob(other.Job)})
	}
	sort.SliceStable(ends, func(a, b int) bool { return ends[a].in < ends[b].in })
	request := resource.OfJob(job.Job)
	free, in := machine.free(), 0.0
	var out []futureSlot
	for i := 0; ; i++ {
		for free.Contains(request) && len(out) < job.Tasks {
			free = free.Sub(request)
			out = append(out, futureSlot{machine, in})
		}
		if i == len(ends) || len(out) == job.Tasks {
			return out
		}
		free, in = free.Add(ends[i].room), ends[i].in
	}
}
