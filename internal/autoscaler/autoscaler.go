// Package autoscaler decides how many machines of which type the cluster rents. It does no
// input or output: the leader passes in the state of the fleet and the waiting demand, and
// carries out the Plan that is returned.
package autoscaler

import (
	"math"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/resource"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// Offering identifies what the cloud rents out: machines of one type and price class in
// one zone.
type Offering struct {
	MachineType string
	Zone        string
	Spot        bool
}

// Values of Offering.Spot.
const (
	onDemandMachines = false
	spotMachines     = true
)

// Machine is a rented machine as the leader knows it. One that is rented but whose ID
// the cloud has not returned yet has neither an ID nor a state.
type Machine struct {
	ID        string
	Offering  Offering
	Partition int
	Desired   records.DesiredState
	Empty     bool // usable and without tasks, by the summary of its partition
	Running   bool // has sent heartbeats
}

// Input is the state of the cluster that one sizing of the fleet is based on.
type Input struct {
	MachineTypes []wire.MachineType
	Machines     []Machine
	// PendingRentals has one entry for each machine of the recorded rentals that the cloud
	// has not answered yet.
	PendingRentals []Machine
	// Summaries of the partitions, by partition.
	Summaries map[int]records.PartitionSummary
	// Unavailable offerings are not to be rented now.
	Unavailable map[Offering]bool
}

// Rental asks for new machines for a partition.
type Rental struct {
	Offering  Offering
	Partition int
	Count     int
}

// Reassignment moves an empty machine to another partition.
type Reassignment struct {
	MachineID   string
	ToPartition int
}

// Plan is what has to be done to size the fleet, in the order of need.
type Plan struct {
	// TargetMachines is the number of machines aimed at, by machine type.
	TargetMachines map[string]int
	// BookedMachines is the capacity in use, in machines, by machine type; types that
	// nothing uses are left out.
	BookedMachines map[string]float64
	Rentals        []Rental
	Reassignments  []Reassignment
	Returns        []string // IDs of machines
}

// Autoscaler sizes the rented fleet. It is not safe for concurrent use.
type Autoscaler struct {
	tuning *tuning.Tuning
	// surplusSince is when the target of a machine type fell below the number of
	// its machines, while it stays there.
	surplusSince map[string]time.Time
}

// New returns an Autoscaler that has not observed a surplus of machines yet.
func New(tunables *tuning.Tuning) *Autoscaler {
	return &Autoscaler{tuning: tunables, surplusSince: map[string]time.Time{}}
}

// Plan sizes the fleet. The target of a machine type is its in-flight term, that is
// ceil(booked capacity / InFlightTarget). While work waits unplaced, the target is the
// larger of that and machines + queue term. The queue term is the number of additional
// machines that the waiting tasks fill once those that are empty or still to come are
// full. Machines above the target are returned when the surplus has lasted for GiveBackS.
// The target may be zero.
func (a *Autoscaler) Plan(input Input, now time.Time) Plan {
	builder := newPlanBuilder(a.tuning, input)
	for _, demand := range waitingDemands(input.Summaries) {
		builder.placeDemand(demand)
	}
	booked := sumBookedCapacity(input.Summaries)
	builder.plan.BookedMachines = booked.machinesByType()
	for _, machineType := range input.MachineTypes {
		a.sizeType(builder, machineType, booked, now)
	}
	return builder.plan
}

// sizeType sets the target of one machine type, and plans the rentals and returns to reach it.
func (a *Autoscaler) sizeType(builder *planBuilder, machineType wire.MachineType, booked bookedCapacity, now time.Time) {
	fleet := builder.fleetCountsOf(machineType.Name)
	typeBooked := booked.byType[machineType.Name]
	target := a.machinesFor(typeBooked.machines)
	if fleet.planned > 0 {
		target = max(target, fleet.machines+fleet.planned)
	}
	builder.plan.TargetMachines[machineType.Name] = target
	if missing := target - fleet.machines - fleet.planned; missing > 0 {
		// Work that may not run on spot machines needs capacity on the others.
		spot := typeBooked.onDemand <= a.tuning.InFlightTarget*float64(fleet.onDemand)
		builder.rentInZoneWithFewest(machineType, spot, booked.busiestPartition, missing)
	}
	surplus := machineSurplus{
		total:    fleet.machines - target,
		onDemand: fleet.onDemand - a.machinesFor(typeBooked.onDemand),
	}
	a.scaleIn(builder, machineType.Name, surplus, now)
}

// machinesFor returns how many machines the booked capacity needs at the in-flight target.
func (a *Autoscaler) machinesFor(booked float64) int {
	return int(math.Ceil(booked/a.tuning.InFlightTarget - resource.Epsilon))
}
