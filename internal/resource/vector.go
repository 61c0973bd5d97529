// Package resource does arithmetic on the amounts of machines that tasks take, and matches
// requests to machine types.
package resource

import (
	"math"

	"ambersill/internal/wire"
)

// Epsilon absorbs rounding where amounts are added and subtracted again.
const Epsilon = 1e-6

// Unlimited is the count of tasks where nothing limits it: more than any job has, and still
// far from overflow where counts are added.
const Unlimited = 1 << 20

// Vector is an amount of each of a machine's resources.
type Vector struct{ CPUs, GPUs, MemoryGB float64 }

// Add returns the sum of both amounts.
func (v Vector) Add(other Vector) Vector {
	return Vector{
		CPUs:     v.CPUs + other.CPUs,
		GPUs:     v.GPUs + other.GPUs,
		MemoryGB: v.MemoryGB + other.MemoryGB,
	}
}

// Sub returns what remains of v without other.
func (v Vector) Sub(other Vector) Vector {
	return Vector{
		CPUs:     v.CPUs - other.CPUs,
		GPUs:     v.GPUs - other.GPUs,
		MemoryGB: v.MemoryGB - other.MemoryGB,
	}
}

// Scale returns v count times.
func (v Vector) Scale(count int) Vector {
	factor := float64(count)
	return Vector{
		CPUs:     v.CPUs * factor,
		GPUs:     v.GPUs * factor,
		MemoryGB: v.MemoryGB * factor,
	}
}

// Contains reports whether request fits into v.
func (v Vector) Contains(request Vector) bool {
	return request.CPUs <= v.CPUs+Epsilon &&
		request.GPUs <= v.GPUs+Epsilon &&
		request.MemoryGB <= v.MemoryGB+Epsilon
}

// FitCount returns how many times request fits into v, Unlimited for an empty request.
func (v Vector) FitCount(request Vector) int {
	count := math.Min(fitCountIn(v.CPUs, request.CPUs), fitCountIn(v.GPUs, request.GPUs))
	count = math.Min(count, fitCountIn(v.MemoryGB, request.MemoryGB))
	if math.IsInf(count, 1) {
		return Unlimited
	}
	return max(0, int(count))
}

// fitCountIn returns how many times requested fits into available, in one dimension.
func fitCountIn(available, requested float64) float64 {
	if requested <= Epsilon {
		return math.Inf(1)
	}
	return math.Floor((available + Epsilon) / requested)
}

// DominantShare returns the share of a machine of capacity v that used takes, in the
// dimension of which it takes the most.
func (v Vector) DominantShare(used Vector) float64 {
	share := math.Max(usedFraction(v.CPUs, used.CPUs), usedFraction(v.GPUs, used.GPUs))
	return math.Max(share, usedFraction(v.MemoryGB, used.MemoryGB))
}

// usedFraction returns the share of capacity that used takes, in one dimension.
func usedFraction(capacity, used float64) float64 {
	if capacity <= Epsilon {
		return 0
	}
	return math.Max(0, used/capacity)
}

// TaskRequest returns what one task of a job requests.
func TaskRequest(job *wire.Job) Vector {
	return Vector{CPUs: job.CPUs, GPUs: job.GPUs, MemoryGB: job.MemoryGB}
}

// MachineCapacity returns the capacity of a machine of a type.
func MachineCapacity(machineType wire.MachineType) Vector {
	return Vector{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
}
