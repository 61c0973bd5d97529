package autoscaler

import (
	"maps"
	"slices"

	"ambersill/internal/records"
	"ambersill/internal/resource"
)

// capacityBin is the free capacity of a machine that is empty, still booting, or to be
// rented.
type capacityBin struct {
	machine    *Machine // nil if it has no ID yet
	offering   Offering
	partition  int
	remaining  resource.Vector
	usedByPlan bool // tasks are assigned to it, or it is returned
	planned    bool // its rental is part of the plan
}

// placement is a number of a demand's tasks in one bin.
type placement struct {
	bin   *capacityBin
	tasks int
}

// assignment is where the tasks of a demand would go.
type assignment struct {
	placements []placement
	tasks      int // in all placements
	newRentals int
}

// betterThan reports whether an assignment places more tasks than another, or as many with
// fewer rentals.
func (a assignment) betterThan(other assignment) bool {
	if a.tasks != other.tasks {
		return a.tasks > other.tasks
	}
	return a.newRentals < other.newRentals
}

// assign finds bins for the tasks of a demand and adds what has to be rented. A demand that
// must stay in one zone gets the one where most of it can be, at the least rentals.
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

// zones returns the names of all zones in order.
func (b *planBuilder) zones() []string {
	names := map[string]bool{}
	for _, machineType := range b.input.MachineTypes {
		for _, zone := range machineType.Zones {
			names[zone] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// assignInZone finds bins in a zone, or in any if it is empty. The partition's own machines
// come first, then empty ones of other partitions, then rentals.
func (b *planBuilder) assignInZone(demand partitionDemand, zone string) assignment {
	p := newPacking(b, demand, zone)
	p.fillBins(p.usableInPartition)
	p.fillBins(p.usableByReassignment)
	p.fillRentals()
	return p.assignment
}

// packing is one attempt to assign the tasks of a demand to bins. It changes no bin.
type packing struct {
	builder  *planBuilder
	demand   partitionDemand
	request  resource.Vector
	zone     string         // the only zone allowed; empty for any
	unplaced int            // tasks without a bin
	inZone   map[string]int // tasks assigned in each zone
	// planned counts the planned rentals by offering, those of this attempt included.
	planned    map[Offering]int
	assignment assignment
}

// newPacking returns a packing without assignments.
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

// assignableTasksIn returns how many more tasks may go to a zone.
func (p *packing) assignableTasksIn(zone string) int {
	if p.demand.MaxPerZone == 0 {
		return p.unplaced
	}
	return min(p.unplaced, p.demand.MaxPerZone-p.inZone[zone])
}

// fill assigns as many tasks to a bin as may go there and fit.
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

// fillBins assigns tasks to the usable bins, in order, until all are placed.
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

// mayUse reports whether the demand's tasks may use a bin's machine. Work without GPUs stays
// off machines with GPUs, which cost more.
func (p *packing) mayUse(bin *capacityBin) bool {
	if p.demand.GPUs == 0 && p.builder.typesByName[bin.offering.MachineType].GPUs > 0 {
		return false
	}
	return offeringAllowed(p.demand.Demand, bin.offering, p.zone)
}

// usableInPartition reports whether a bin of the demand's own partition can take tasks. The
// partition's scheduler has not placed the waiting tasks on its empty machines, so these do
// not fit them; only a gang of several tasks can use them together with other machines.
func (p *packing) usableInPartition(bin *capacityBin) bool {
	if bin.partition != p.demand.partition {
		return false
	}
	empty := bin.machine != nil && bin.machine.Empty
	return !empty || (p.demand.Gang && p.demand.Tasks > 1)
}

// usableByReassignment reports whether a bin is an unused machine of another partition.
func (p *packing) usableByReassignment(bin *capacityBin) bool {
	return bin.partition != p.demand.partition && !bin.usedByPlan && bin.machine != nil
}

// fillRentals rents machines for the tasks that are left.
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

// offeringAllowed reports whether a demand permits machines of an offering in a zone, or in any
// if it is empty.
func offeringAllowed(demand records.Demand, offering Offering, zone string) bool {
	return resource.TypeAllowed(demand.MachineTypes, offering.MachineType) &&
		(zone == "" || offering.Zone == zone) &&
		(demand.AllowSpot || !offering.Spot)
}
