// Package autoscaler decides how many machines of each type the cluster rents. It performs no
// I/O: the leader passes in the state of the fleet and the waiting demand, and executes the
// returned Plan.
package autoscaler

import (
	"math"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/resource"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// Offering identifies machines that the cloud rents out: those of one type in one zone,
// either spot or on-demand.
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

// Machine is a rented machine as the leader knows it. In Input.PendingRentals only Offering
// and Partition are set, since the cloud has not returned an ID yet.
type Machine struct {
	ID        string
	Offering  Offering
	Partition int
	Desired   records.DesiredState
	Empty     bool // its partition's summary reports it as usable, not reserved and without tasks
	Booted    bool // it has sent heartbeats, or the cloud lists it as running
}

// Input is the state of the cluster from which a Plan is computed.
type Input struct {
	MachineTypes []wire.MachineType
	Machines     []Machine
	// PendingRentals contains one entry per machine of each recorded rental that the cloud
	// has not answered yet.
	PendingRentals []Machine
	// Summaries contains the partitions' summaries by partition number.
	Summaries map[int]records.PartitionSummary
	// Unavailable contains the offerings that must not be rented now.
	Unavailable map[Offering]bool
}

// Rental is a request to rent Count machines for a partition.
type Rental struct {
	Offering  Offering
	Partition int
	Count     int
}

// Reassignment is a request to move an empty machine to another partition.
type Reassignment struct {
	MachineID   string
	ToPartition int
}

// Plan lists the changes that bring the fleet to its target size. Rentals and reassignments
// for waiting work are ordered by the priority of the work.
type Plan struct {
	// TargetMachines is the target number of machines by machine type.
	TargetMachines map[string]int
	// AllocatedMachines is the allocated capacity by machine type, in machines. Unused types are
	// omitted.
	AllocatedMachines map[string]float64
	Rentals           []Rental
	Reassignments     []Reassignment
	Returns           []string // IDs of the machines to return to the cloud
}

// Autoscaler sizes the rented fleet. It is not safe for concurrent use.
type Autoscaler struct {
	tuning *tuning.Tuning
	// surplusSince maps a machine type to the time since which its target has been below
	// the number of its machines. Types without a surplus are absent.
	surplusSince map[string]time.Time
}

// New returns an Autoscaler that has not yet observed a surplus of machines.
func New(tunables *tuning.Tuning) *Autoscaler {
	return &Autoscaler{tuning: tunables, surplusSince: map[string]time.Time{}}
}

// Plan computes the target number of machines of each type and the changes to reach it.
// The target of a machine type is its in-flight term, ceil(allocated capacity / InFlightTarget).
// While tasks wait that need additional machines, the target is the larger of the in-flight
// term and machines + queue term. The queue term is the number of additional machines that
// the waiting tasks need once all empty, booting and pending machines are full. A pending rental
// is repeated under its ID until the cloud answers, so it needs no other one. Machines above the
// target are returned when the surplus has lasted for GiveBackS. The target may be zero.
func (a *Autoscaler) Plan(input Input, now time.Time) Plan {
	builder := newPlanBuilder(a.tuning, input)
	builder.placeDemands(waitingDemands(input.Summaries))
	allocated := sumAllocatedCapacity(input.Summaries)
	builder.plan.AllocatedMachines = allocated.machinesByType()
	for _, machineType := range input.MachineTypes {
		a.sizeType(builder, machineType, allocated, now)
	}
	return builder.plan
}

// sizeType sets the target of one machine type and plans the rentals and returns to reach it.
func (a *Autoscaler) sizeType(builder *planBuilder, machineType wire.MachineType, allocated allocatedCapacity, now time.Time) {
	fleet := builder.fleetCountsOf(machineType.Name)
	typeAllocated := allocated.byType[machineType.Name]
	target := a.inFlightTerm(typeAllocated.machines)
	if fleet.planned > 0 {
		target = max(target, fleet.machines+fleet.planned)
	}
	builder.plan.TargetMachines[machineType.Name] = target
	if missing := target - fleet.machines - fleet.planned; missing > 0 {
		// On-demand machines are rented if the existing ones do not cover the capacity
		// allocated to jobs that do not allow spot instances.
		spot := typeAllocated.onDemand <= a.tuning.InFlightTarget*float64(fleet.onDemand)
		builder.rentInZoneWithFewest(machineType, spot, allocated.busiestPartition, missing)
	}
	surplus := machineSurplus{
		total:    fleet.machines - target,
		onDemand: fleet.onDemand - a.inFlightTerm(typeAllocated.onDemand),
	}
	a.scaleIn(builder, machineType.Name, surplus, now)
}

// inFlightTerm returns ceil(allocated / InFlightTarget), where allocated is the allocated capacity,
// in machines. Epsilon is subtracted so that a rounding error does not add a machine.
func (a *Autoscaler) inFlightTerm(allocated float64) int {
	return int(math.Ceil(allocated/a.tuning.InFlightTarget - resource.Epsilon))
}
