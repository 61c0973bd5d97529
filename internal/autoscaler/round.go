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
	queued   int // additional ones that the waiting tasks need
}

// sizingRound is the state of one sizing of the fleet.
type sizingRound struct {
	tuning *tuning.Tuning
	input  Input
	types  map[string]wire.MachineType
	fleets map[string]*fleetCounts // by machine type
	// existing counts the machines of each offering, those being returned included but
	// not the pending rentals.
	existing map[Offering]int
	// queued counts the rentals that this round has planned for waiting tasks.
	queued map[Offering]int
	bins   []*capacityBin
	plan   Plan
}

func newSizingRound(tunables *tuning.Tuning, input Input) *sizingRound {
	r := &sizingRound{
		tuning:   tunables,
		input:    input,
		types:    map[string]wire.MachineType{},
		fleets:   map[string]*fleetCounts{},
		existing: map[Offering]int{},
		queued:   map[Offering]int{},
		plan:     Plan{TargetMachines: map[string]int{}},
	}
	for _, machineType := range input.MachineTypes {
		r.types[machineType.Name] = machineType
	}
	for i := range input.Machines {
		r.addMachine(&input.Machines[i])
	}
	for i := range input.PendingRentals {
		r.addPendingRental(&input.PendingRentals[i])
	}
	return r
}

func (r *sizingRound) addMachine(machine *Machine) {
	r.existing[machine.Offering]++
	if machine.Desired == records.DesiredReturned {
		return
	}
	r.countMachine(machine.Offering)
	if machine.Desired == records.DesiredInService && (machine.Empty || !machine.Running) {
		bin := r.newBin(machine.Offering, machine.Partition)
		bin.machine = machine
		r.bins = append(r.bins, bin)
	}
}

func (r *sizingRound) addPendingRental(machine *Machine) {
	r.countMachine(machine.Offering)
	r.bins = append(r.bins, r.newBin(machine.Offering, machine.Partition))
}

func (r *sizingRound) countMachine(offering Offering) {
	counts := r.fleetOf(offering.MachineType)
	counts.machines++
	if !offering.Spot {
		counts.onDemand++
	}
}

// fleetOf returns the counts of a machine type, to be changed in place.
func (r *sizingRound) fleetOf(machineType string) *fleetCounts {
	counts, ok := r.fleets[machineType]
	if !ok {
		counts = &fleetCounts{}
		r.fleets[machineType] = counts
	}
	return counts
}

// newBin returns the capacity of a whole machine.
func (r *sizingRound) newBin(offering Offering, partition int) *capacityBin {
	return &capacityBin{
		offering:  offering,
		partition: partition,
		remaining: resource.OfMachineType(r.types[offering.MachineType]),
	}
}

// placeDemand assigns the tasks of a demand to machines and plans the rentals and
// reassignments that this takes.
func (r *sizingRound) placeDemand(demand partitionDemand) {
	request := demand.Request()
	for _, placement := range r.assign(demand).placements {
		bin := placement.bin
		switch {
		case bin.machine == nil && !bin.queued:
			r.queueRental(bin, demand.partition)
		case bin.machine != nil && bin.partition != demand.partition:
			r.reassign(bin, demand.partition)
		}
		bin.used = true
		bin.remaining = bin.remaining.Sub(request.Scale(placement.tasks))
	}
}

// queueRental plans a rental for waiting tasks. Its first use queues the bin of a pending
// rental as well, although that machine is asked for already.
func (r *sizingRound) queueRental(bin *capacityBin, partition int) {
	bin.queued = true
	r.bins = append(r.bins, bin)
	r.queued[bin.offering]++
	r.fleetOf(bin.offering.MachineType).queued++
	r.rent(bin.offering, partition, 1)
}

func (r *sizingRound) reassign(bin *capacityBin, partition int) {
	move := Reassignment{MachineID: bin.machine.ID, ToPartition: partition}
	r.plan.Reassignments = append(r.plan.Reassignments, move)
	bin.partition = partition
}

// rent plans a rental, or enlarges the one that is planned for the same offering and
// partition.
func (r *sizingRound) rent(offering Offering, partition, count int) {
	i := slices.IndexFunc(r.plan.Rentals, func(rental Rental) bool {
		return rental.Offering == offering && rental.Partition == partition
	})
	if i >= 0 {
		r.plan.Rentals[i].Count += count
		return
	}
	rental := Rental{Offering: offering, Partition: partition, Count: count}
	r.plan.Rentals = append(r.plan.Rentals, rental)
}
