package autoscaler

import (
	"slices"

	"ambersill/internal/records"
	"ambersill/internal/resource"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// fleetCounts counts the machines of one type.
type fleetCounts struct {
	machines int // rented and pending machines, except those that are being returned
	onDemand int // the on-demand machines among them
	planned  int // additional machines that this plan rents for waiting tasks
}

// planBuilder accumulates the Plan for one Input.
type planBuilder struct {
	tuning       *tuning.Tuning
	input        Input
	typesByName  map[string]wire.MachineType
	fleetsByType map[string]*fleetCounts
	// existingMachines is the number of machines by offering, including those that are being
	// returned and excluding pending rentals.
	existingMachines map[Offering]int
	// planned is the number of machines by offering that this plan rents for waiting tasks.
	planned map[Offering]int
	bins    []*capacityBin
	plan    Plan
}

func newPlanBuilder(tunables *tuning.Tuning, input Input) *planBuilder {
	b := &planBuilder{
		tuning:           tunables,
		input:            input,
		typesByName:      map[string]wire.MachineType{},
		fleetsByType:     map[string]*fleetCounts{},
		existingMachines: map[Offering]int{},
		planned:          map[Offering]int{},
		plan:             Plan{TargetMachines: map[string]int{}},
	}
	for _, machineType := range input.MachineTypes {
		b.typesByName[machineType.Name] = machineType
	}
	for i := range input.Machines {
		b.addMachine(&input.Machines[i])
	}
	for i := range input.PendingRentals {
		b.addPendingRental(&input.PendingRentals[i])
	}
	return b
}

func (b *planBuilder) addMachine(machine *Machine) {
	b.existingMachines[machine.Offering]++
	if machine.Desired == records.DesiredReturned {
		return
	}
	b.countMachine(machine.Offering)
	if machine.Desired == records.DesiredInService && (machine.Empty || !machine.Booted) {
		bin := b.newBin(machine.Offering, machine.Partition)
		bin.machine = machine
		b.bins = append(b.bins, bin)
	}
}

func (b *planBuilder) addPendingRental(machine *Machine) {
	b.countMachine(machine.Offering)
	bin := b.newBin(machine.Offering, machine.Partition)
	bin.rented = true
	b.bins = append(b.bins, bin)
}

func (b *planBuilder) countMachine(offering Offering) {
	counts := b.fleetCountsOf(offering.MachineType)
	counts.machines++
	if !offering.Spot {
		counts.onDemand++
	}
}

// fleetCountsOf returns a pointer to the counts of a machine type, and adds them if absent.
func (b *planBuilder) fleetCountsOf(machineType string) *fleetCounts {
	counts, ok := b.fleetsByType[machineType]
	if !ok {
		counts = &fleetCounts{}
		b.fleetsByType[machineType] = counts
	}
	return counts
}

// newBin returns a bin with the whole capacity of a machine of the offering's type.
func (b *planBuilder) newBin(offering Offering, partition int) *capacityBin {
	return &capacityBin{
		offering:  offering,
		partition: partition,
		remaining: resource.MachineCapacity(b.typesByName[offering.MachineType]),
	}
}

// placeDemands assigns the tasks of all demands to machines, in order.
func (b *planBuilder) placeDemands(demands []partitionDemand) {
	smallest := smallestRequest(demands)
	for _, demand := range demands {
		b.placeDemand(demand)
		b.bins = slices.DeleteFunc(b.bins, func(bin *capacityBin) bool {
			return bin.usedByPlan && !bin.remaining.Contains(smallest)
		})
	}
}

// placeDemand assigns the tasks of a demand to machines, and plans the rentals and
// reassignments that the assignment needs.
func (b *planBuilder) placeDemand(demand partitionDemand) {
	request := demand.Request()
	for _, placement := range b.assign(demand).placements {
		bin := placement.bin
		switch {
		case bin.machine == nil && !bin.rented:
			b.rentForWaitingTasks(bin, demand.partition)
		case bin.machine != nil && bin.partition != demand.partition:
			b.reassign(bin, demand.partition)
		}
		bin.usedByPlan = true
		bin.remaining = bin.remaining.Sub(request.Scale(placement.tasks))
	}
}

// rentForWaitingTasks plans the rental of the machine of a bin for waiting tasks.
func (b *planBuilder) rentForWaitingTasks(bin *capacityBin, partition int) {
	bin.rented = true
	b.bins = append(b.bins, bin)
	b.planned[bin.offering]++
	b.fleetCountsOf(bin.offering.MachineType).planned++
	b.rent(bin.offering, partition, 1)
}

func (b *planBuilder) reassign(bin *capacityBin, partition int) {
	move := Reassignment{MachineID: bin.machine.ID, ToPartition: partition}
	b.plan.Reassignments = append(b.plan.Reassignments, move)
	bin.partition = partition
}

// rent plans a rental. If the plan already has one for the same offering and partition, its
// count is increased instead.
func (b *planBuilder) rent(offering Offering, partition, count int) {
	i := slices.IndexFunc(b.plan.Rentals, func(rental Rental) bool {
		return rental.Offering == offering && rental.Partition == partition
	})
	if i >= 0 {
		b.plan.Rentals[i].Count += count
		return
	}
	rental := Rental{Offering: offering, Partition: partition, Count: count}
	b.plan.Rentals = append(b.plan.Rentals, rental)
}
