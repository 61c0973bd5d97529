package autoscaler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"ambersill/internal/records"
)

// partitionDemand is the demand of tasks with the same requirements that wait in a partition.
type partitionDemand struct {
	records.Demand
	partition int
}

// waitingDemands returns all demands, the more urgent first, then those of larger tasks:
// small tasks fit into what the large ones leave.
func waitingDemands(summaries map[int]records.PartitionSummary) []partitionDemand {
	var demands []partitionDemand
	for _, partition := range sortedPartitions(summaries) {
		for _, demand := range summaries[partition].Waiting {
			demands = append(demands, partitionDemand{Demand: demand, partition: partition})
		}
	}
	slices.SortStableFunc(demands, func(a, b partitionDemand) int {
		return cmp.Or(
			cmp.Compare(b.Priority, a.Priority),
			cmp.Compare(b.GPUs, a.GPUs),
			cmp.Compare(b.CPUs, a.CPUs),
		)
	})
	return demands
}

// concurrentTasks returns how many of a demand's tasks are to run at once: short tasks of an
// array run one after the other on the same capacity within the horizon.
func (b *planBuilder) concurrentTasks(demand records.Demand) int {
	if demand.Gang || demand.EstimatedRunS >= b.tuning.HorizonS {
		return demand.Tasks
	}
	slots := float64(demand.Tasks) * demand.EstimatedRunS / b.tuning.HorizonS / b.tuning.QueueTarget
	return max(1, int(math.Ceil(slots)))
}

// bookedTypeCapacity is the capacity in use of one machine type, in machines.
type bookedTypeCapacity struct {
	machines float64
	onDemand float64 // of this, for jobs that may not use spot machines
}

// bookedCapacity is the capacity in use in all partitions.
type bookedCapacity struct {
	byType           map[string]bookedTypeCapacity
	busiestPartition int // the one with the most capacity in use
}

// sumBookedCapacity adds up the capacity in use in all partitions, in the order of their numbers.
func sumBookedCapacity(summaries map[int]records.PartitionSummary) bookedCapacity {
	booked := bookedCapacity{byType: map[string]bookedTypeCapacity{}}
	most := -1.0 // below the sum of a partition that uses nothing
	for _, partition := range sortedPartitions(summaries) {
		summary := summaries[partition]
		total := 0.0
		for name, machines := range summary.BookedMachines {
			use := booked.byType[name]
			use.machines += machines
			booked.byType[name] = use
			total += machines
		}
		for name, machines := range summary.BookedOnDemand {
			use := booked.byType[name]
			use.onDemand += machines
			booked.byType[name] = use
		}
		if total > most {
			booked.busiestPartition, most = partition, total
		}
	}
	return booked
}

// machinesByType returns the capacity in use of each machine type that has some.
func (b bookedCapacity) machinesByType() map[string]float64 {
	machines := make(map[string]float64, len(b.byType))
	for name, use := range b.byType {
		if use.machines > 0 {
			machines[name] = use.machines
		}
	}
	return machines
}

// sortedPartitions returns the numbers of the partitions that have summaries, sorted, so that
// plans are deterministic.
func sortedPartitions(summaries map[int]records.PartitionSummary) []int {
	return slices.Sorted(maps.Keys(summaries))
}
