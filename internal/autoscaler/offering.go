package autoscaler

import (
	"math"
	"slices"

	"ambersill/internal/resource"
	"ambersill/internal/wire"
)

// costDoublingBootS is the boot time, in seconds, that doubles the cost of a machine: one that boots
// faster may cost more.
const costDoublingBootS = 300

// offeringCost is an offering with what decides whether it is rented.
type offeringCost struct {
	offering Offering
	taskCost float64 // of the waiting work, per task
	machines int     // of this offering, existing or planned
}

// betterThan reports whether an offering is cheaper than another, or as cheap with fewer
// machines, which spreads machines of one type over the zones.
func (c offeringCost) betterThan(other offeringCost) bool {
	if c.taskCost < other.taskCost-resource.Epsilon {
		return true
	}
	return c.taskCost < other.taskCost+resource.Epsilon && c.machines < other.machines
}

// cheapestOffering returns the offering whose machines run the tasks that are left at the
// lowest cost, and whether there is one.
func (p *packing) cheapestOffering() (Offering, bool) {
	best := offeringCost{taskCost: math.Inf(1)}
	for _, machineType := range p.builder.input.MachineTypes {
		tasksPerMachine := p.tasksPerMachine(machineType)
		if tasksPerMachine == 0 {
			continue
		}
		for _, offering := range p.usableOfferings(machineType) {
			candidate := offeringCost{
				offering: offering,
				taskCost: p.costPerTask(machineType, offering.Spot, tasksPerMachine),
				machines: p.planned[offering] + p.builder.existingMachines[offering],
			}
			if candidate.betterThan(best) {
				best = candidate
			}
		}
	}
	return best.offering, !math.IsInf(best.taskCost, 1)
}

// tasksPerMachine returns how many of the demand's tasks fit a machine of a type; 0 if it
// is not to be rented for them.
func (p *packing) tasksPerMachine(machineType wire.MachineType) int {
	if !resource.TypeAllowed(p.demand.MachineTypes, machineType.Name) {
		return 0
	}
	if p.demand.GPUs == 0 && machineType.GPUs > 0 && p.fitsWithoutGPUs() {
		return 0
	}
	return resource.MachineCapacity(machineType).FitCount(p.request)
}

func (p *packing) fitsWithoutGPUs() bool {
	types := slices.Values(p.builder.input.MachineTypes)
	return resource.CPUOnlyTypeFits(p.request, p.demand.MachineTypes, types)
}

// usableOfferings returns the offerings of a machine type that the demand may use and the
// cloud may have, spot machines first.
func (p *packing) usableOfferings(machineType wire.MachineType) []Offering {
	var usable []Offering
	for _, zone := range machineType.Zones {
		if p.assignableTasksIn(zone) <= 0 {
			continue
		}
		for _, spot := range []bool{spotMachines, onDemandMachines} {
			offering := Offering{MachineType: machineType.Name, Zone: zone, Spot: spot}
			if offeringAllowed(p.demand.Demand, offering, p.zone) && !p.builder.input.Unavailable[offering] {
				usable = append(usable, offering)
			}
		}
	}
	return usable
}

// costPerTask returns the hourly price of the machines for all tasks that are left, divided
// by these and weighted by the boot time.
func (p *packing) costPerTask(machineType wire.MachineType, spot bool, tasksPerMachine int) float64 {
	price := machineType.HourlyPrice
	if spot {
		price = machineType.HourlySpotPrice
	}
	machines := (p.unplaced + tasksPerMachine - 1) / tasksPerMachine
	return price * float64(machines) / float64(p.unplaced) * (1 + machineType.BootS/costDoublingBootS)
}

// rentInZoneWithFewest plans the rental of machines that the in-flight term asks for, in the
// zone that has the fewest of them. If no spot machines are available, on-demand machines
// are rented.
func (b *planBuilder) rentInZoneWithFewest(machineType wire.MachineType, spot bool, partition, count int) {
	offering, ok := b.offeringWithFewest(machineType, spot)
	if !ok && spot {
		offering, ok = b.offeringWithFewest(machineType, onDemandMachines)
	}
	if ok {
		b.rent(offering, partition, count)
	}
}

// offeringWithFewest returns the available offering that has the fewest machines, and
// whether there is one.
func (b *planBuilder) offeringWithFewest(machineType wire.MachineType, spot bool) (Offering, bool) {
	var best Offering
	found := false
	for _, zone := range machineType.Zones {
		offering := Offering{MachineType: machineType.Name, Zone: zone, Spot: spot}
		if b.input.Unavailable[offering] {
			continue
		}
		if !found || b.existingMachines[offering] < b.existingMachines[best] {
			best, found = offering, true
		}
	}
	return best, found
}
