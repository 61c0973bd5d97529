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
	machines int // rented or pending, except those that are being returned
	onDemand int // of these, the ones that are not spot machines
	planned  int // additional ones that the waiting tasks need
}

// planBuilder is the state of one sizing of the fleet.
type planBuilder struct {
	tuning       *tuning.Tuning
	input        Input
	typesByName  map[string]wire.MachineType
	fleetsByType map[string]*fleetCounts // by machine type
	// existingMachines counts the machines of each offering, those being returned included but
	// not the pending rentals.
	existingMachines map[Offering]int
	// planned counts the rentals that this round has planned for waiting tasks.
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
	if machine.Desired == records.DesiredInService && (machine.Empty || !machine.Running) {
		bin := b.newBin(machine.Offering, machine.Partition)
		bin.machine = machine
		b.bins = append(b.bins, bin)
	}
}

func (b *planBuilder) addPendingRental(machine *Machine) {
	b.countMachine(machine.Offering)
	b.bins = append(b.bins, b.newBin(machine.Offering, machine.Partition))
}

func (b *planBuilder) countMachine(offering Offering) {
	counts := b.fleetCountsOf(offering.MachineType)
	counts.machines++
	if !offering.Spot {
		counts.onDemand++
	}
}

// fleetCountsOf returns the counts of a machine type, to be changed in place.
func (b *planBuilder) fleetCountsOf(machineType string) *fleetCounts {
	counts, ok := b.fleetsByType[machineType]
	if !ok {
		counts = &fleetCounts{}
		b.fleetsByType[machineType] = counts
	}
	return counts
}

// newBin returns the capacity of a whole machine.
func (b *planBuilder) newBin(offering Offering, partition int) *capacityBin {
	return &capacityBin{
		offering:  offering,
		partition: partition,
		remaining: resource.MachineCapacity(b.typesByName[offering.MachineType]),
	}
}

// placeDemand assigns the tasks of a demand to machines and plans the rentals and
// reassignments that this takes.
func (b *planBuilder) placeDemand(demand partitionDemand) {
	request := demand.Request()
	for _, placement := range b.assign(demand).placements {
		bin := placement.bin
		switch {
		case bin.machine == nil && !bin.planned:
			b.rentForWaitingTasks(bin, demand.partition)
		case bin.machine != nil && bin.partition != demand.partition:
			b.reassign(bin, demand.partition)
		}
		bin.usedByPlan = true
		bin.remaining = bin.remaining.Sub(request.Scale(placement.tasks))
	}
}

// rentForWaitingTasks plans a rental for waiting tasks. Its first use queues the bin of a pending
// rental as well, although that machine is asked for already.
func (b *planBuilder) rentForWaitingTasks(bin *capacityBin, partition int) {
	bin.planned = true
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

// rent plans a rental, or enlarges the one that is planned for the same offering and
// partition.
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
