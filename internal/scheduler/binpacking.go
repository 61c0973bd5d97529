package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ambersill/internal/resource"
	"ambersill/internal/wire"
)

// Costs of a machine for a task, in seconds of image fetch that it is worth to avoid it.
const (
	// gpuMachineCostS keeps work without GPUs off machines with GPUs, which are scarce. It
	// exceeds the fetch time of all but the largest images.
	gpuMachineCostS = 120
	// emptyMachineCostS is for a machine without tasks, less for fuller ones, so that work is
	// packed onto few machines and the others can be returned.
	emptyMachineCostS = 10
)

// capacityFunc returns how much of a machine's capacity counts as available.
type capacityFunc func(*Machine) resource.Vector

// maxTasksPerZone returns how many tasks of a job that is spread over zones may be in one.
func (j *Job) maxTasksPerZone() int { return (j.Tasks + 1) / 2 }

// tasksByZone counts the job's tasks that may be running, by zone.
func (j *Job) tasksByZone() map[string]int {
	counts := map[string]int{}
	for _, placement := range j.placements {
		counts[placement.machine.Record.Zone]++
	}
	return counts
}

// machineAllowed reports whether the job's description allows it to run on a machine.
func machineAllowed(job *wire.Job, machine *Machine) bool {
	if machine.Record.Spot && !job.AllowSpot {
		return false
	}
	if job.Zone != "" && machine.Record.Zone != job.Zone {
		return false
	}
	return resource.TypeAllowed(job.MachineTypes, machine.Record.MachineType)
}

// machineUsableBy reports whether the machine can take work, and may take that of a job in
// particular, its capacity and reservations aside.
func machineUsableBy(job *Job, machine *Machine) bool {
	return machine.usable() && machineAllowed(job.Job, machine) && !job.failures.failedOn(machine.ID)
}

// findMachines returns machines for up to count tasks of a job among those given, one entry
// for each task; for a gang in a single zone count of them or none.
func (p *Partition) findMachines(job *Job, count int, now time.Time, candidates []*Machine, available capacityFunc) []*Machine {
	var eligible []*Machine
	for _, machine := range candidates {
		if p.eligible(job, machine, now) && fitsTask(job, machine, available(machine)) {
			eligible = append(eligible, machine)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	if job.SingleZone {
		return p.packSingleZone(job, count, eligible, available)
	}
	return p.packCheapest(job, count, eligible, available)
}

// eligible reports whether tasks of a job may be placed on a machine now, its capacity
// aside.
func (p *Partition) eligible(job *Job, machine *Machine, now time.Time) bool {
	if !machineUsableBy(job, machine) {
		return false
	}
	if machine.isReservedForOther(job, now) {
		return false
	}
	// Jobs that the overdue one has overtaken may need an empty machine as a whole.
	needsUsedMachine := job.cycle.startOverdue && !job.cycle.startForced && !job.IsGang()
	return !needsUsedMachine || len(machine.placements) > 0
}

// fitsTask reports whether the machine's available capacity suffices for one task of a job,
// and may be used for it.
func fitsTask(job *Job, machine *Machine, available resource.Vector) bool {
	return available.Contains(resource.TaskRequest(job.Job)) && leavesGPUShare(job, machine, available)
}

// leavesGPUShare reports whether a task without GPUs leaves the machine's free GPUs their
// share of its CPUs and memory, where other types could run it: GPUs are scarce, and cannot be
// used without CPUs. A job that has waited long may take any capacity.
func leavesGPUShare(job *Job, machine *Machine, available resource.Vector) bool {
	if job.GPUs > 0 || machine.capacity.GPUs == 0 || !job.cycle.cpuOnlyTypeFits || job.cycle.ignoresGPUShare {
		return true
	}
	remaining := available.Sub(resource.TaskRequest(job.Job))
	freeGPUShare := available.GPUs / machine.capacity.GPUs
	return remaining.CPUs >= freeGPUShare*machine.capacity.CPUs-resource.Epsilon &&
		remaining.MemoryGB >= freeGPUShare*machine.capacity.MemoryGB-resource.Epsilon
}

// packSingleZone returns machines of the one zone that takes the most tasks, the cheapest
// among equals. Tasks of earlier attempts that may still run bind the job to their zone.
func (p *Partition) packSingleZone(job *Job, count int, eligible []*Machine, available capacityFunc) []*Machine {
	occupiedZones := job.tasksByZone()
	byZone := map[string][]*Machine{}
	for _, machine := range eligible {
		zone := machine.Record.Zone
		if len(occupiedZones) == 0 || occupiedZones[zone] > 0 {
			byZone[zone] = append(byZone[zone], machine)
		}
	}
	var best []*Machine
	bestCost := 0.0
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		machines := p.packCheapest(job, count, byZone[zone], available)
		if job.IsGang() && len(machines) < count {
			continue
		}
		cost := p.totalCost(job, machines)
		if len(machines) > len(best) || (len(machines) == len(best) && cost < bestCost) {
			best, bestCost = machines, cost
		}
	}
	return best
}

// totalCost sums the placement costs of the machines.
func (p *Partition) totalCost(job *Job, machines []*Machine) float64 {
	total := 0.0
	for _, machine := range machines {
		total += p.placementCost(job, machine)
	}
	return total
}

// packCheapest fills the cheapest machines one after the other. The cost of a machine counts
// only what is allocated already, so the order stays the same while tasks are assigned.
func (p *Partition) packCheapest(job *Job, count int, eligible []*Machine, available capacityFunc) []*Machine {
	request := resource.TaskRequest(job.Job)
	byZone := job.tasksByZone()
	var assigned []*Machine
	for _, machine := range p.sortByCost(job, eligible) {
		zone := machine.Record.Zone
		remaining := available(machine)
		for len(assigned) < count && fitsTask(job, machine, remaining) {
			if job.SpreadZones && byZone[zone] >= job.maxTasksPerZone() {
				break
			}
			byZone[zone]++
			assigned = append(assigned, machine)
			remaining = remaining.Sub(request)
		}
		if len(assigned) == count {
			break
		}
	}
	return assigned
}

// sortByCost returns the machines by their placement cost, in the given order among equals.
func (p *Partition) sortByCost(job *Job, machines []*Machine) []*Machine {
	type choice struct {
		machine *Machine
		cost    float64
	}
	choices := make([]choice, len(machines))
	for i, machine := range machines {
		choices[i] = choice{machine: machine, cost: p.placementCost(job, machine)}
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
	sorted := make([]*Machine, len(choices))
	for i, choice := range choices {
		sorted[i] = choice.machine
	}
	return sorted
}

// imageFetchSeconds returns how long a machine would take to fetch the job's image.
func (p *Partition) imageFetchSeconds(job *Job, machine *Machine) float64 {
	if _, cached := machine.cachedImages[job.Image]; cached {
		return 0
	}
	if machine.machineType.ImageFetchGBPerS <= 0 {
		return 0
	}
	return job.ImageGB / machine.machineType.ImageFetchGBPerS
}

// shortestImageFetchSeconds returns the shortest fetch of a job's image, in seconds, among the
// candidates with capacity for a task of it now. A job whose image is cached precedes one
// that would occupy the machine while it fetches.
func (p *Partition) shortestImageFetchSeconds(job *Job) float64 {
	shortest, found := 0.0, false
	request := resource.TaskRequest(job.Job)
	for _, machine := range p.candidates {
		if !machine.freeCapacity().Contains(request) || !machineAllowed(job.Job, machine) {
			continue
		}
		if fetch := p.imageFetchSeconds(job, machine); !found || fetch < shortest {
			shortest, found = fetch, true
		}
	}
	return shortest
}

// placementCost orders machines for a task, in seconds: by the image's fetch, then the
// scarcer machine, then the emptier one, so that whole machines become empty.
func (p *Partition) placementCost(job *Job, machine *Machine) float64 {
	cost := p.imageFetchSeconds(job, machine)
	if job.GPUs == 0 && machine.machineType.GPUs > 0 {
		cost += gpuMachineCostS
	}
	cost += emptyMachineCostS * (1 - machine.allocatedShare())
	if job.AllowSpot && !machine.Record.Spot {
		cost += p.tuning.OrdinaryCostS
	}
	return cost
}

// allocatedShare returns the share of the machine's capacity that is allocated, in the
// dimension that is the scarcest there.
func (m *Machine) allocatedShare() float64 { return m.capacity.DominantShare(m.allocated) }
