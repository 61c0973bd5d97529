package autoscaler

import (
	"maps"
	"slices"

	"ambersill/internal/records"
	"ambersill/internal/resource"
)

// capacityBin is the remaining capacity of a machine that is empty, booting, pending, or
// planned for rental.
type capacityBin struct {
	machine    *Machine // nil if it has no ID yet
	offering   Offering
	partition  int
	remaining  resource.Vector
	usedByPlan bool // the plan assigns tasks to the machine or returns it
	rented     bool // a rental of the machine is recorded, or this plan has one
}

// placement assigns a number of a demand's tasks to one bin.
type placement struct {
	bin   *capacityBin
	tasks int
}

// assignment is a possible placement of a demand's tasks.
type assignment struct {
	placements []placement
	tasks      int // sum over all placements
	newRentals int
}

// betterThan reports whether a places more tasks than other, or equally many with fewer rentals.
func (a assignment) betterThan(other assignment) bool {
	if a.tasks != other.tasks {
		return a.tasks > other.tasks
	}
	return a.newRentals < other.newRentals
}

// assign places the tasks of a demand in existing bins and in bins for new rentals. If the
// demand must stay in a single zone and names none, assign chooses the zone where the most
// tasks can be placed, and among those the one with the fewest rentals.
func (b *planBuilder) assign(demand partitionDemand) assignment {
	if !demand.SingleZone || demand.Zone != "" {
		return b.assignInZone(demand, demand.Zone)
	}
	var best assignment
	for _, zone := range b.zones() {
		if candidate := b.assignInZone(demand, zone); candidate.betterThan(best) {
			best = candidate
		}
	}
	return best
}

// zones returns the names of all zones in alphabetical order.
func (b *planBuilder) zones() []string {
	names := map[string]bool{}
	for _, machineType := range b.input.MachineTypes {
		for _, zone := range machineType.Zones {
			names[zone] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// assignInZone places the tasks of a demand in a zone, or in any zone if zone is empty. It
// uses the partition's own machines first, then unused machines of other partitions, then
// rentals.
func (b *planBuilder) assignInZone(demand partitionDemand, zone string) assignment {
	p := newPacking(b, demand, zone)
	p.fillBins(p.usableInPartition)
	p.fillBins(p.usableByReassignment)
	p.fillRentals()
	return p.assignment
}

// packing is one attempt to assign the tasks of a demand to bins. It does not modify the
// bins, so that attempts for several zones can be compared.
type packing struct {
	builder  *planBuilder
	demand   partitionDemand
	request  resource.Vector
	zone     string         // the only zone allowed; empty if all are
	unplaced int            // tasks without a bin
	inZone   map[string]int // assigned tasks by zone
	// planned is the number of planned rentals by offering, including those of this attempt.
	planned    map[Offering]int
	assignment assignment
}

// newPacking returns a packing to which no tasks are assigned.
func newPacking(builder *planBuilder, demand partitionDemand, zone string) *packing {
	return &packing{
		builder:  builder,
		demand:   demand,
		request:  demand.Request(),
		zone:     zone,
		unplaced: builder.concurrentTasks(demand.Demand),
		inZone:   map[string]int{},
		planned:  maps.Clone(builder.planned),
	}
}

// assignableTasksIn returns how many of the unplaced tasks may be assigned to a zone: all of
// them, unless MaxPerZone limits the number.
func (p *packing) assignableTasksIn(zone string) int {
	if p.demand.MaxPerZone == 0 {
		return p.unplaced
	}
	return min(p.unplaced, p.demand.MaxPerZone-p.inZone[zone])
}

// fill assigns as many unplaced tasks to a bin as its capacity and its zone's limit allow.
func (p *packing) fill(bin *capacityBin) {
	tasks := min(p.assignableTasksIn(bin.offering.Zone), bin.remaining.FitCount(p.request))
	if tasks <= 0 {
		return
	}
	p.assignment.placements = append(p.assignment.placements, placement{bin: bin, tasks: tasks})
	p.assignment.tasks += tasks
	p.inZone[bin.offering.Zone] += tasks
	p.unplaced -= tasks
}

// fillBins assigns tasks to the bins for which usable returns true, in order, until all tasks
// are placed.
func (p *packing) fillBins(usable func(*capacityBin) bool) {
	for _, bin := range p.builder.bins {
		if p.unplaced == 0 {
			return
		}
		if p.mayUse(bin) && usable(bin) {
			p.fill(bin)
		}
	}
}

// mayUse reports whether the demand's tasks may run on a bin's machine. Tasks that need no
// GPUs are kept off machines with GPUs, which cost more.
func (p *packing) mayUse(bin *capacityBin) bool {
	if p.demand.GPUs == 0 && p.builder.typesByName[bin.offering.MachineType].GPUs > 0 {
		return false
	}
	return offeringAllowed(p.demand.Demand, bin.offering, p.zone)
}

// usableInPartition reports whether a bin belongs to the demand's own partition and can take
// its tasks. The partition's scheduler has not placed the waiting tasks on its empty machines,
// so a task by itself does not fit there. A gang of several tasks may still use the empty
// machines in combination with others.
func (p *packing) usableInPartition(bin *capacityBin) bool {
	if bin.partition != p.demand.partition {
		return false
	}
	empty := bin.machine != nil && bin.machine.Empty
	return !empty || (p.demand.Gang && p.demand.Tasks > 1)
}

// usableByReassignment reports whether a bin is a machine of another partition that the plan
// does not use yet.
func (p *packing) usableByReassignment(bin *capacityBin) bool {
	return bin.partition != p.demand.partition && !bin.usedByPlan && bin.machine != nil
}

// fillRentals assigns the unplaced tasks to new rentals of the cheapest offerings.
func (p *packing) fillRentals() {
	for p.unplaced > 0 {
		offering, ok := p.cheapestOffering()
		if !ok {
			return
		}
		p.planned[offering]++
		p.assignment.newRentals++
		p.fill(p.builder.newBin(offering, p.demand.partition))
	}
}

// offeringAllowed reports whether a demand may use an offering, and the offering is in zone if
// zone is not empty.
func offeringAllowed(demand records.Demand, offering Offering, zone string) bool {
	return resource.TypeAllowed(demand.MachineTypes, offering.MachineType) &&
		(zone == "" || offering.Zone == zone) &&
		(demand.AllowSpot || !offering.Spot)
}
