package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ambersill/internal/resource"
	"ambersill/internal/wire"
)

// Costs, in seconds, that are added to the image fetch time of machines on which tasks should not
// be placed. Another machine is preferred unless its image fetch takes longer by more than the
// cost.
const (
	// gpuMachineCostS keeps tasks without GPUs off machines with GPUs, which are scarce. It
	// exceeds the fetch time of all but the largest images.
	gpuMachineCostS = 120
	// emptyMachineCostS is the cost of a machine without tasks. The cost falls in proportion
	// to the allocated share, so that tasks are packed onto few machines and the others can be
	// returned.
	emptyMachineCostS = 10
)

// capacityFunc returns the capacity of a machine that is considered available.
type capacityFunc func(*Machine) resource.Vector

// maxTasksPerZone returns the maximum number of tasks in one zone for a job that is spread over
// zones.
func (j *Job) maxTasksPerZone() int { return (j.TaskCount + 1) / 2 }

// tasksByZone returns the number of the job's placements in each zone.
func (j *Job) tasksByZone() map[string]int {
	counts := map[string]int{}
	for _, placement := range j.placements {
		counts[placement.machine.Record.Zone]++
	}
	return counts
}

// machineAllowed reports whether the job's description permits the machine.
func machineAllowed(job *wire.Job, machine *Machine) bool {
	if machine.Record.Spot && !job.AllowSpot {
		return false
	}
	if job.Zone != "" && machine.Record.Zone != job.Zone {
		return false
	}
	return resource.TypeAllowed(job.MachineTypes, machine.Record.MachineType)
}

// machineUsableBy reports whether tasks of the job may be placed on the machine, regardless of its
// free capacity and reservations.
func machineUsableBy(job *Job, machine *Machine) bool {
	return machine.usable() && machineAllowed(job.Job, machine) && !job.failures.failedOn(machine.ID)
}

// findMachines selects machines from candidates for up to count tasks of a job. The result has one
// entry per task. For a gang in a single zone it has count entries or none.
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

// eligible reports whether tasks of a job may be placed on a machine now, regardless of its free
// capacity.
func (p *Partition) eligible(job *Job, machine *Machine, now time.Time) bool {
	if !machineUsableBy(job, machine) {
		return false
	}
	if machine.isReservedForOther(job, now) {
		return false
	}
	// An overdue job precedes all others, but leaves empty machines to them, since some of
	// them may need a whole machine.
	needsUsedMachine := job.cycle.startOverdue && !job.cycle.startForced && !job.IsGang()
	return !needsUsedMachine || len(machine.placements) > 0
}

// fitsTask reports whether one task of a job fits into the machine's available capacity without
// using the CPUs and memory that are set aside for the machine's free GPUs.
func fitsTask(job *Job, machine *Machine, available resource.Vector) bool {
	return available.Contains(resource.TaskRequest(job.Job)) && leavesGPUSetAside(job, machine, available)
}

// leavesGPUSetAside reports whether the machine's free GPUs keep their proportional share of its
// CPUs and memory when a task of the job is added. GPUs are scarce, and cannot be used without
// CPUs. The rule applies only to jobs without GPUs that a machine type without GPUs could run and
// that have not waited too long.
func leavesGPUSetAside(job *Job, machine *Machine, available resource.Vector) bool {
	if job.GPUs > 0 || machine.capacity.GPUs == 0 || !job.cycle.cpuOnlyTypeFits || job.cycle.ignoresGPUSetAside {
		return true
	}
	remaining := available.Sub(resource.TaskRequest(job.Job))
	freeGPUShare := available.GPUs / machine.capacity.GPUs
	return remaining.CPUs >= freeGPUShare*machine.capacity.CPUs-resource.Epsilon &&
		remaining.MemoryGB >= freeGPUShare*machine.capacity.MemoryGB-resource.Epsilon
}

// packSingleZone returns machines in the zone that fits the most tasks, or the cheapest such zone
// if there are several. Existing placements of the job, including those of earlier attempts that
// may still be running, restrict it to their zone.
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

// totalCost returns the sum of the machines' placement costs, in seconds.
func (p *Partition) totalCost(job *Job, machines []*Machine) float64 {
	total := 0.0
	for _, machine := range machines {
		total += p.placementCost(job, machine)
	}
	return total
}

// packCheapest assigns up to count tasks to the eligible machines, filling the cheapest first. The
// costs depend only on capacity that is already allocated, so the order does not change while
// tasks are assigned.
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

// sortByCost returns the machines sorted by placement cost. Machines of equal cost keep their
// order.
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

// imageFetchSeconds returns the expected time, in seconds, that a machine takes to fetch the job's
// image. It is 0 if the image is cached or the fetch rate of the machine type is unknown.
func (p *Partition) imageFetchSeconds(job *Job, machine *Machine) float64 {
	if _, cached := machine.cachedImages[job.Image]; cached {
		return 0
	}
	if machine.machineType.ImageFetchGBPerS <= 0 {
		return 0
	}
	return job.ImageGB / machine.machineType.ImageFetchGBPerS
}

// shortestImageFetchSeconds returns the shortest expected fetch time of a job's image, in seconds,
// among the candidates that have capacity for one of the job's tasks, or 0 if there are none. The
// fetch time counts as remaining work, so that a job whose image is cached precedes one that would
// occupy the machine while its image is fetched.
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

// placementCost returns the cost in seconds of placing a task of the job on a machine: the image
// fetch time, plus costs for a machine with GPUs that the job does not need, for an emptier
// machine, and for an on-demand machine if the job allows spot instances. Packing tasks onto
// fuller machines lets others become empty.
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

// allocatedShare returns the allocated share of the machine's capacity, from 0 to 1, for the
// resource with the largest share.
func (m *Machine) allocatedShare() float64 { return m.capacity.DominantShare(m.allocated) }
