package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ambersill/internal/resource"
	"ambersill/internal/wire"
)

// zoneCount counts the job's tasks that may be live, by zone.
func zoneCount(job *Job) map[string]int {
	out := map[string]int{}
	for _, placement := range job.placements {
		out[placement.machine.Record.Zone]++
	}
	return out
}

func machineAllowed(job *wire.Job, machine *Machine) bool {
	if machine.Record.Spot && !job.AllowSpot {
		return false
	}
	if job.Zone != "" && machine.Record.Zone != job.Zone {
		return false
	}
	return resource.TypeAllowed(job.MachineTypes, machine.Record.MachineType)
}

// findMachines finds machines for up to n tasks of a job among those given, for a gang for all
// n or none. free tells what room of a machine counts.
func (p *Partition) findMachines(job *Job, n int, now time.Time, among []*Machine, free func(*Machine) resource.Vector) []*Machine {
	request := resource.OfJob(job.Job)
	zones := zoneCount(job)
	var cands []*Machine
	for _, machine := range among {
		if !machine.usable() || !machineAllowed(job.Job, machine) || job.failedMachines[machine.ID] {
			continue
		}
		if machine.reservedFor != "" && machine.reservedFor != job.ID && now.Before(machine.reservedUntil) {
			continue
		}
		if job.startOverdue && !job.startForced && !job.IsGang() && len(machine.placements) == 0 {
			continue // others that go after it may need the machine as a whole
		}
		if f := free(machine); !f.Contains(request) || !leavesGPUShare(job, machine, f) {
			continue
		}
		cands = append(cands, machine)
	}
	if len(cands) == 0 {
		return nil
	}
	if !job.SingleZone {
		return p.packCheapest(job, n, cands, zones, free)
	}
	// All tasks in one zone, old attempts that may be live included.
	names := map[string][]*Machine{}
	for _, machine := range cands {
		names[machine.Record.Zone] = append(names[machine.Record.Zone], machine)
	}
	var best []*Machine
	bestCost := 0.0
	for _, z := range slices.Sorted(maps.Keys(names)) {
		if len(zones) > 0 && zones[z] == 0 {
			continue
		}
		got := p.packCheapest(job, n, names[z], zones, free)
		if job.IsGang() && len(got) < n {
			continue
		}
		c := 0.0
		for _, machine := range got {
			c += p.placementCost(job, machine)
		}
		if len(got) > len(best) || (len(got) == len(best) && c < bestCost) {
			best, bestCost = got, c
		}
	}
	return best
}

// leavesGPUShare tells whether a task that needs no GPU leaves a machine's free GPUs their
// share of its other room, where other types could do its work: GPUs are the scarce
// part, and idle with nothing beside. A job that has waited long takes any room.
func leavesGPUShare(job *Job, machine *Machine, free resource.Vector) bool {
	if job.GPUs > 0 || machine.capacity.GPUs == 0 || !job.cpuOnlyTypeFits || job.ignoresGPUShare {
		return true
	}
	rest := free.Sub(resource.OfJob(job.Job))
	k := free.GPUs / machine.capacity.GPUs
	return rest.CPUs >= k*machine.capacity.CPUs-resource.Epsilon && rest.MemoryGB >= k*machine.capacity.MemoryGB-resource.Epsilon
}

// packCheapest takes the cheapest machines one after the other.
func (p *Partition) packCheapest(job *Job, n int, cands []*Machine, zones map[string]int, free func(*Machine) resource.Vector) []*Machine {
	// What a machine costs does not change while tasks are put there, so the machines
	// are taken in one order, each until it is full.
	type choice struct {
		m    *Machine
		cost float64
	}
	choices := make([]choice, len(cands))
	for i, machine := range cands {
		choices[i] = choice{machine, p.placementCost(job, machine)}
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
	request := resource.OfJob(job.Job)
	perZone := map[string]int{}
	for z, c := range zones {
		perZone[z] = c
	}
	limit := (job.Tasks + 1) / 2
	var out []*Machine
	for _, c := range choices {
		for left := free(c.m); len(out) < n && left.Contains(request) && leavesGPUShare(job, c.m, left); left = left.Sub(request) {
			if job.SpreadZones && perZone[c.m.Record.Zone] >= limit {
				break
			}
			perZone[c.m.Record.Zone]++
			out = append(out, c.m)
		}
		if len(out) == n {
			break
		}
	}
	return out
}

// imageFetchSeconds is how many seconds a machine would take to fetch a job's image.
func (p *Partition) imageFetchSeconds(job *Job, machine *Machine) float64 {
	if _, ok := machine.cachedImages[job.Image]; ok || machine.machineType.ImageFetchGBPerS <= 0 {
		return 0
	}
	return job.ImageGB / machine.machineType.ImageFetchGBPerS
}

// shortestImageFetch is the shortest fetch of a job's image among the machines that have
// room for a task of it now. A job whose image is there goes before one that would
// hold on to the machine while it fetches.
func (p *Partition) shortestImageFetch(job *Job) float64 {
	least := -1.0
	request := resource.OfJob(job.Job)
	for _, machine := range p.candidates {
		if !machine.free().Contains(request) || !machineAllowed(job.Job, machine) {
			continue
		}
		if f := p.imageFetchSeconds(job, machine); least < 0 || f < least {
			least = f
		}
	}
	return max(0, least)
}

// placementCost orders machines for a task, in seconds: the image's fetch, then the
// scarcer machine, then the emptier one, so that whole machines fall empty.
func (p *Partition) placementCost(job *Job, machine *Machine) float64 {
	c := p.imageFetchSeconds(job, machine)
	if job.GPUs == 0 && machine.machineType.GPUs > 0 {
		c += 120
	}
	c += 10 * (1 - machine.capacity.DominantShare(machine.allocated))
	if job.AllowSpot && !machine.Record.Spot {
		c += p.tuning.OrdinaryCostS
	}
	return c
}

// allMachines lists the part's machines in the order of their names.
func (p *Partition) allMachines() []*Machine {
	out := make([]*Machine, len(p.machineIDs))
	for i, id := range p.machineIDs {
		out[i] = p.machines[id]
	}
	return out
}
