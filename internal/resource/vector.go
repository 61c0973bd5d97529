// Package resource provides arithmetic on amounts of machine resources, and matches tasks'
// requests to machine types.
package resource

import (
	"math"

	"ambersill/internal/wire"
)

// Epsilon is the tolerance for comparing amounts, which are subject to rounding errors when
// they are repeatedly added and subtracted.
const Epsilon = 1e-6

// Unlimited represents an unlimited number of tasks. It is larger than any job's number of
// tasks, and small enough that sums of such counts do not overflow.
const Unlimited = 1 << 20

// Vector is an amount of each resource.
type Vector struct{ CPUs, GPUs, MemoryGB float64 }

// Add returns v + other.
func (v Vector) Add(other Vector) Vector {
	return Vector{
		CPUs:     v.CPUs + other.CPUs,
		GPUs:     v.GPUs + other.GPUs,
		MemoryGB: v.MemoryGB + other.MemoryGB,
	}
}

// Sub returns v - other.
func (v Vector) Sub(other Vector) Vector {
	return Vector{
		CPUs:     v.CPUs - other.CPUs,
		GPUs:     v.GPUs - other.GPUs,
		MemoryGB: v.MemoryGB - other.MemoryGB,
	}
}

// Scale returns v multiplied by count.
func (v Vector) Scale(count int) Vector {
	factor := float64(count)
	return Vector{
		CPUs:     v.CPUs * factor,
		GPUs:     v.GPUs * factor,
		MemoryGB: v.MemoryGB * factor,
	}
}

// Contains reports whether request is at most v in each resource.
func (v Vector) Contains(request Vector) bool {
	return request.CPUs <= v.CPUs+Epsilon &&
		request.GPUs <= v.GPUs+Epsilon &&
		request.MemoryGB <= v.MemoryGB+Epsilon
}

// FitCount returns how many times request fits into v, or Unlimited for an empty request.
func (v Vector) FitCount(request Vector) int {
	count := math.Min(fitCountIn(v.CPUs, request.CPUs), fitCountIn(v.GPUs, request.GPUs))
	count = math.Min(count, fitCountIn(v.MemoryGB, request.MemoryGB))
	if math.IsInf(count, 1) {
		return Unlimited
	}
	return max(0, int(count))
}

// fitCountIn returns how many times the requested amount of one resource fits into the
// available amount, or infinity if none is requested.
func fitCountIn(available, requested float64) float64 {
	if requested <= Epsilon {
		return math.Inf(1)
	}
	return math.Floor((available + Epsilon) / requested)
}

// DominantShare returns the largest used fraction among the resources of a machine with
// capacity v.
func (v Vector) DominantShare(used Vector) float64 {
	share := math.Max(usedFraction(v.CPUs, used.CPUs), usedFraction(v.GPUs, used.GPUs))
	return math.Max(share, usedFraction(v.MemoryGB, used.MemoryGB))
}

// usedFraction returns the used fraction of one resource, or 0 if the machine has none of it.
func usedFraction(capacity, used float64) float64 {
	if capacity <= Epsilon {
		return 0
	}
	return math.Max(0, used/capacity)
}

// TaskRequest returns the resources that one task of a job requests.
func TaskRequest(job *wire.Job) Vector {
	return Vector{CPUs: job.CPUs, GPUs: job.GPUs, MemoryGB: job.MemoryGB}
}

// MachineCapacity returns the capacity of one machine of a type.
func MachineCapacity(machineType wire.MachineType) Vector {
	return Vector{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
}
