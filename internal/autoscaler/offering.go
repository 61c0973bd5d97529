package autoscaler

import (
	"math"
	"slices"

	"ambersill/internal/resource"
	"ambersill/internal/wire"
)

// costDoublingBootS is the boot time, in seconds, that doubles the cost at which an offering is
// compared with others. A machine that boots faster may therefore be chosen despite a higher
// price.
const costDoublingBootS = 300

// offeringCost is an offering with the values by which offerings are compared.
type offeringCost struct {
	offering Offering
	taskCost float64 // as returned by costPerTask
	machines int     // existing and planned machines of the offering
}

// betterThan reports whether c is cheaper than other, or equally cheap with fewer machines.
// The latter spreads machines of one type over the zones.
func (c offeringCost) betterThan(other offeringCost) bool {
	if c.taskCost < other.taskCost-resource.Epsilon {
		return true
	}
	return c.taskCost < other.taskCost+resource.Epsilon && c.machines < other.machines
}

// cheapestOffering returns the offering with the lowest cost for the unplaced tasks, and
// reports whether any offering is usable.
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

// tasksPerMachine returns how many of the demand's tasks fit on one machine of a type, or 0 if
// the type must not be rented for them. A type with GPUs is not rented for tasks that need
// none if an allowed type without GPUs fits.
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

// usableOfferings returns the offerings of a machine type that the demand may use and that are
// not marked unavailable, spot before on-demand in each zone.
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

// costPerTask returns the hourly price of the machines that all unplaced tasks need, divided
// by the number of these tasks and multiplied by 1 + boot time / costDoublingBootS.
func (p *packing) costPerTask(machineType wire.MachineType, spot bool, tasksPerMachine int) float64 {
	price := machineType.HourlyPrice
	if spot {
		price = machineType.HourlySpotPrice
	}
	machines := (p.unplaced + tasksPerMachine - 1) / tasksPerMachine
	return price * float64(machines) / float64(p.unplaced) * (1 + machineType.BootS/costDoublingBootS)
}

// rentInZoneWithFewest plans the rental of count machines in the zone that has the fewest
// machines of the same type and kind, spot or on-demand. If spot is true and no spot offering
// is available, on-demand machines are rented.
func (b *planBuilder) rentInZoneWithFewest(machineType wire.MachineType, spot bool, partition, count int) {
	offering, ok := b.offeringWithFewest(machineType, spot)
	if !ok && spot {
		offering, ok = b.offeringWithFewest(machineType, onDemandMachines)
	}
	if ok {
		b.rent(offering, partition, count)
	}
}

// offeringWithFewest returns the available offering of a machine type that has the fewest
// existing machines, and reports whether any is available.
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
