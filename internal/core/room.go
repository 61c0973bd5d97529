package core

import (
	"math"

	"ambersill/internal/wire"
)

// eps absorbs rounding where amounts are added and taken away again.
const eps = 1e-6

// Room is an amount of a machine.
type Room struct{ CPUs, GPUs, RAM float64 }

func (r Room) add(o Room) Room { return Room{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.RAM + o.RAM} }

func (r Room) sub(o Room) Room { return Room{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.RAM - o.RAM} }

func (r Room) times(n int) Room {
	f := float64(n)
	return Room{r.CPUs * f, r.GPUs * f, r.RAM * f}
}

// holds tells whether o fits into r.
func (r Room) holds(o Room) bool {
	return o.CPUs <= r.CPUs+eps && o.GPUs <= r.GPUs+eps && o.RAM <= r.RAM+eps
}

// count is how many of o fit into r.
func (r Room) count(o Room) int {
	n := math.Inf(1)
	for _, p := range [][2]float64{{r.CPUs, o.CPUs}, {r.GPUs, o.GPUs}, {r.RAM, o.RAM}} {
		if p[1] > eps {
			n = math.Min(n, math.Floor((p[0]+eps)/p[1]))
		}
	}
	if math.IsInf(n, 1) {
		return 1 << 20
	}
	return max(0, int(n))
}

// share is how much of a machine of size r o takes: its scarcest dimension.
func (r Room) share(o Room) float64 {
	s := 0.0
	for _, p := range [][2]float64{{r.CPUs, o.CPUs}, {r.GPUs, o.GPUs}, {r.RAM, o.RAM}} {
		if p[0] > eps {
			s = math.Max(s, p[1]/p[0])
		}
	}
	return s
}

func need(j *wire.Job) Room { return Room{j.CPUs, j.GPUs, j.RAM} }

func size(t wire.MachineType) Room { return Room{t.CPUs, t.GPUs, t.RAM} }
