package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ambersill/internal/resource"
	"ambersill/internal/tuning"
)

// minRemainingS is the expected remaining run time of a task that has exceeded its estimated run
// time, in seconds.
const minRemainingS = 1

// futureSlot is capacity for one task of a job that is available on a machine now or later.
type futureSlot struct {
	machine      *Machine
	availableInS float64 // seconds until the slot is expected to be available
}

// futureZone contains the slots that a zone has for a gang, now or later.
type futureZone struct {
	slots []futureSlot
	// reservedForOther is set if a machine in the zone is reserved for another job. A gang that
	// must run in a single zone does not reserve machines in this zone then, since two gangs
	// could block each other.
	reservedForOther bool
}

// reserveForGang reserves machines for a starved gang. It selects the zone in which all slots that
// the gang needs become available the soonest as running tasks end; it does not stop tasks.
// Without reservations, small jobs would occupy each slot as it becomes free, and a gang that
// needs many machines would never find all of them free at the same time.
func (p *Partition) reserveForGang(job *Job, count int, now time.Time) {
	if !job.IsGang() || !job.cycle.starved || now.Before(job.reservedUntil) {
		return
	}
	slots := earliestSlots(job, count, p.futureZones(job, now))
	if slots == nil {
		return
	}
	waitS := min(slots[count-1].availableInS, p.tuning.StarveS) + p.heartbeatToleranceSeconds()
	job.reservedUntil = now.Add(tuning.Seconds(waitS))
	for _, slot := range slots {
		slot.machine.reserve(job.ID, job.reservedUntil)
	}
	p.Counters.GangReservations++
}

// futureZones maps zone names to zones. For a job that may run in several zones, all slots are
// listed under the empty name.
type futureZones map[string]*futureZone

// zone returns a pointer to the entry of a zone, and adds the entry if it is missing.
func (z futureZones) zone(name string) *futureZone {
	if z[name] == nil {
		z[name] = &futureZone{}
	}
	return z[name]
}

// futureZones returns the slots that the machines have for a job, now or later.
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

// earliestSlots returns the first count slots, sorted by availability, of the zone where they are
// available the soonest. It returns nil if no zone has enough slots.
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

// firstSlots returns up to count slots in order of availability, within the limit per zone of a
// job that is spread over zones.
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

// taskEnd is the expected end of a task, which frees the capacity that it requested.
type taskEnd struct {
	endsInS float64 // seconds until the expected end
	request resource.Vector
}

// futureSlots returns the slots that a machine has for tasks of a job, now or as its tasks end, in
// order of availability and at most one per task of the job. It assumes that no other task is
// placed on the machine.
func (p *Partition) futureSlots(job *Job, machine *Machine, now time.Time) []futureSlot {
	request := resource.TaskRequest(job.Job)
	freeCapacity := machine.freeCapacity()
	var slots []futureSlot
	addSlots := func(availableInS float64) {
		for freeCapacity.Contains(request) && len(slots) < job.TaskCount {
			freeCapacity = freeCapacity.Sub(request)
			slots = append(slots, futureSlot{machine: machine, availableInS: availableInS})
		}
	}
	addSlots(0)
	for _, end := range p.taskEnds(machine, now) {
		if len(slots) == job.TaskCount {
			break
		}
		freeCapacity = freeCapacity.Add(end.request)
		addSlots(end.endsInS)
	}
	return slots
}

// taskEnds returns the expected ends of the machine's tasks, earliest first.
func (p *Partition) taskEnds(machine *Machine, now time.Time) []taskEnd {
	var ends []taskEnd
	for _, key := range sortedTaskAttempts(machine.placements) {
		placement := machine.placements[key]
		ends = append(ends, taskEnd{
			endsInS: p.remainingRunSeconds(placement, now),
			request: resource.TaskRequest(placement.job.Job),
		})
	}
	slices.SortStableFunc(ends, func(a, b taskEnd) int { return cmp.Compare(a.endsInS, b.endsInS) })
	return ends
}

// remainingRunSeconds returns the expected time, in seconds, until a placement's task ends.
func (p *Partition) remainingRunSeconds(placement *Placement, now time.Time) float64 {
	expected := expectedRunSeconds(placement.job.Job)
	if placement.runningSince.IsZero() {
		return expected + p.imageFetchSeconds(placement.job, placement.machine)
	}
	return max(expected-now.Sub(placement.runningSince).Seconds(), minRemainingS)
}
