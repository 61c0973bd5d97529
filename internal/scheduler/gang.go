package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ambersill/internal/resource"
	"ambersill/internal/tuning"
)

// minRemainingS is how long a task that has exceeded its estimated run time is still expected
// to run.
const minRemainingS = 1

// futureSlot is capacity for one task of a job that a machine will have.
type futureSlot struct {
	machine      *Machine
	availableInS float64 // seconds until then, by the estimates of what runs there
}

// futureZone is what a zone will have for a gang.
type futureZone struct {
	slots []futureSlot
	// reservedForOther: a machine of the zone is reservedForOther for another job. Only one gang at a time
	// gets reservations in a zone, since two could wait for each other.
	reservedForOther bool
}

// reserveForGang reserves machines for a gang that has waited long, where all the capacity
// that it needs becomes free the soonest as the tasks there end. No task is stopped for it.
// Without reservations small jobs would use each slot as it becomes free, and a gang of many
// machines would never find them free together.
func (p *Partition) reserveForGang(job *Job, count int, now time.Time) {
	if !job.IsGang() || !job.cycle.starved || now.Before(job.reservedUntil) {
		return
	}
	slots := earliestSlots(job, count, p.futureZones(job, now))
	if slots == nil {
		return
	}
	waitS := min(slots[count-1].availableInS, p.tuning.StarveS) + p.heartbeatToleranceS()
	job.reservedUntil = now.Add(tuning.Seconds(waitS))
	for _, slot := range slots {
		slot.machine.reserve(job.ID, job.reservedUntil)
	}
	p.Counters.GangReservations++
}

// futureZones are the zones by name. For a job that may be in several zones, all slots are under
// the empty name.
type futureZones map[string]*futureZone

// zone returns the zone of a name, to be changed in place.
func (z futureZones) zone(name string) *futureZone {
	if z[name] == nil {
		z[name] = &futureZone{}
	}
	return z[name]
}

// futureZones returns the capacity that machines will have for a job.
func (p *Partition) futureZones(job *Job, now time.Time) futureZones {
	zones := futureZones{}
	for _, machine := range p.machines.all() {
		if !machineUsableBy(job, machine) {
			continue
		}
		if machine.isReservedForOther(job, now) {
			if machine.reservedFor != reservedForDrain {
				zones.zone(machine.Record.Zone).reservedForOther = true
			}
			continue
		}
		name := ""
		if job.SingleZone {
			name = machine.Record.Zone
		}
		zone := zones.zone(name)
		zone.slots = append(zone.slots, p.futureSlots(job, machine, now)...)
	}
	return zones
}

// earliestSlots returns the slots, by when they are available, of the zone that has count
// of them the soonest; nil if none ever has.
func earliestSlots(job *Job, count int, zones futureZones) []futureSlot {
	var best []futureSlot
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		if zones[name].reservedForOther {
			continue
		}
		slots := firstSlots(job, count, zones[name].slots)
		if len(slots) < count {
			continue
		}
		if best == nil || slots[count-1].availableInS < best[count-1].availableInS {
			best = slots
		}
	}
	return best
}

// firstSlots returns the first slots to be available, up to count of them.
func firstSlots(job *Job, count int, slots []futureSlot) []futureSlot {
	slices.SortStableFunc(slots, func(a, b futureSlot) int { return cmp.Compare(a.availableInS, b.availableInS) })
	var first []futureSlot
	byZone := map[string]int{}
	for _, slot := range slots {
		if len(first) == count {
			break
		}
		zone := slot.machine.Record.Zone
		if job.SpreadZones && byZone[zone] >= job.maxTasksPerZone() {
			continue
		}
		byZone[zone]++
		first = append(first, slot)
	}
	return first
}

// taskEnd is capacity that a task will release.
type taskEnd struct {
	endsInS float64 // seconds until then
	request resource.Vector
}

// futureSlots returns when a machine will have capacity for one task of a job, for a second
// one, and so on, if nothing else is placed there.
func (p *Partition) futureSlots(job *Job, machine *Machine, now time.Time) []futureSlot {
	request := resource.TaskRequest(job.Job)
	freeCapacity := machine.freeCapacity()
	var slots []futureSlot
	addSlots := func(availableInS float64) {
		for freeCapacity.Contains(request) && len(slots) < job.Tasks {
			freeCapacity = freeCapacity.Sub(request)
			slots = append(slots, futureSlot{machine: machine, availableInS: availableInS})
		}
	}
	addSlots(0)
	for _, end := range p.taskEnds(machine, now) {
		if len(slots) == job.Tasks {
			break
		}
		freeCapacity = freeCapacity.Add(end.request)
		addSlots(end.endsInS)
	}
	return slots
}

// taskEnds returns when the machine's tasks are expected to end, the first one first.
func (p *Partition) taskEnds(machine *Machine, now time.Time) []taskEnd {
	var ends []taskEnd
	for _, key := range sortedTaskAttempts(machine.placements) {
		placement := machine.placements[key]
		ends = append(ends, taskEnd{
			endsInS: p.remainingSeconds(placement, now),
			request: resource.TaskRequest(placement.job.Job),
		})
	}
	slices.SortStableFunc(ends, func(a, b taskEnd) int { return cmp.Compare(a.endsInS, b.endsInS) })
	return ends
}

// remainingSeconds returns how long a placement is expected to stay.
func (p *Partition) remainingSeconds(placement *Placement, now time.Time) float64 {
	expected := expectedRunSeconds(placement.job.Job)
	if placement.runningSince.IsZero() {
		return expected + p.imageFetchSeconds(placement.job, placement.machine)
	}
	return max(expected-now.Sub(placement.runningSince).Seconds(), minRemainingS)
}
