package autoscaler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"ambersill/internal/records"
	"ambersill/internal/resource"
)

// partitionDemand is a demand that waits in a partition.
type partitionDemand struct {
	records.Demand
	partition int
}

// waitingDemands returns the demands of all partitions by descending priority, then by
// descending size of a task, since small tasks fit into the capacity that large ones leave.
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

// smallestRequest returns the least that a task of any of the demands requests, for each resource
// by itself. A machine on which it does not fit has no room for any of them.
func smallestRequest(demands []partitionDemand) resource.Vector {
	smallest := resource.Vector{CPUs: math.Inf(1), GPUs: math.Inf(1), MemoryGB: math.Inf(1)}
	for _, demand := range demands {
		request := demand.Request()
		smallest.CPUs = min(smallest.CPUs, request.CPUs)
		smallest.GPUs = min(smallest.GPUs, request.GPUs)
		smallest.MemoryGB = min(smallest.MemoryGB, request.MemoryGB)
	}
	return smallest
}

// concurrentTasks returns how many of a demand's tasks need capacity at the same time. All
// tasks of a gang do, and all tasks that run for HorizonS or longer. Shorter tasks run one
// after another on the same capacity within HorizonS: the result is
// tasks * run time / HorizonS / QueueTarget, rounded up.
func (b *planBuilder) concurrentTasks(demand records.Demand) int {
	if demand.Gang || demand.EstimatedRunS >= b.tuning.HorizonS {
		return demand.Tasks
	}
	slots := float64(demand.Tasks) * demand.EstimatedRunS / b.tuning.HorizonS / b.tuning.QueueTarget
	return max(1, int(math.Ceil(slots)))
}

// allocatedTypeCapacity is the allocated capacity of one machine type, in machines.
type allocatedTypeCapacity struct {
	machines float64
	onDemand float64 // the part allocated to jobs that do not allow spot instances
}

// allocatedCapacity is the sum of the allocated capacity of all partitions.
type allocatedCapacity struct {
	byType           map[string]allocatedTypeCapacity
	busiestPartition int // the partition with the most allocated capacity
}

// sumAllocatedCapacity adds up the allocated capacity of all partitions, in ascending order of
// their numbers so that the floating-point sums are deterministic.
func sumAllocatedCapacity(summaries map[int]records.PartitionSummary) allocatedCapacity {
	allocated := allocatedCapacity{byType: map[string]allocatedTypeCapacity{}}
	most := -1.0 // below the total of a partition with nothing allocated
	for _, partition := range sortedPartitions(summaries) {
		summary := summaries[partition]
		total := 0.0
		for name, machines := range summary.AllocatedMachines {
			use := allocated.byType[name]
			use.machines += machines
			allocated.byType[name] = use
			total += machines
		}
		for name, machines := range summary.AllocatedOnDemand {
			use := allocated.byType[name]
			use.onDemand += machines
			allocated.byType[name] = use
		}
		if total > most {
			allocated.busiestPartition, most = partition, total
		}
	}
	return allocated
}

// machinesByType returns the allocated capacity by machine type, in machines. Unused types are
// omitted.
func (b allocatedCapacity) machinesByType() map[string]float64 {
	machines := make(map[string]float64, len(b.byType))
	for name, use := range b.byType {
		if use.machines > 0 {
			machines[name] = use.machines
		}
	}
	return machines
}

// sortedPartitions returns the numbers of the partitions that have summaries in ascending
// order, so that plans are deterministic.
func sortedPartitions(summaries map[int]records.PartitionSummary) []int {
	return slices.Sorted(maps.Keys(summaries))
}
