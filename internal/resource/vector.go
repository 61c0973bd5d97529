package resource

import (
	"ambersill/internal/wire"
	"math"
)

// Epsilon absorbs rounding where amounts are added and taken away again.
const Epsilon = 1e-6

// Vector is an amount of a machine.
type Vector struct{ CPUs, GPUs, MemoryGB float64 }

func (r Vector) Add(o Vector) Vector {
	return Vector{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

func (r Vector) Sub(o Vector) Vector {
	return Vector{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

func (r Vector) Scale(n int) Vector {
	f := float64(n)
	return Vector{r.CPUs * f, r.GPUs * f, r.MemoryGB * f}
}

// Contains tells whether o fits into r.
func (r Vector) Contains(o Vector) bool {
	return o.CPUs <= r.CPUs+Epsilon && o.GPUs <= r.GPUs+Epsilon && o.MemoryGB <= r.MemoryGB+Epsilon
}

// CountOf is how many of o fit into r.
func (r Vector) CountOf(o Vector) int {
	n := math.Inf(1)
	for _, p := range [][2]float64{{r.CPUs, o.CPUs}, {r.GPUs, o.GPUs}, {r.MemoryGB, o.MemoryGB}} {
		if p[1] > Epsilon {
			n = math.Min(n, math.Floor((p[0]+Epsilon)/p[1]))
		}
	}
	if math.IsInf(n, 1) {
		return 1 << 20
	}
	return max(0, int(n))
}

// DominantShare is how much of a machine of size r o takes: its scarcest dimension.
func (r Vector) DominantShare(o Vector) float64 {
	s := 0.0
	for _, p := range [][2]float64{{r.CPUs, o.CPUs}, {r.GPUs, o.GPUs}, {r.MemoryGB, o.MemoryGB}} {
		if p[0] > Epsilon {
			s = math.Max(s, p[1]/p[0])
		}
	}
	return s
}

func OfJob(job *wire.Job) Vector { return Vector{job.CPUs, job.GPUs, job.MemoryGB} }

func OfMachineType(machineType wire.MachineType) Vector {
	return Vector{machineType.CPUs, machineType.GPUs, machineType.MemoryGB}
}
