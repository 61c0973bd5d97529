package resource

import "testing"

func TestFitCountIsBoundedByScarcestResource(t *testing.T) {
	machine := Vector{CPUs: 8, GPUs: 4, MemoryGB: 32}
	for _, c := range []struct {
		name    string
		request Vector
		want    int
	}{
		{"CPUs", Vector{CPUs: 3, GPUs: 1, MemoryGB: 1}, 2},
		{"GPUs", Vector{CPUs: 1, GPUs: 2, MemoryGB: 1}, 2},
		{"memory", Vector{CPUs: 1, MemoryGB: 30}, 1},
		{"too large", Vector{CPUs: 9}, 0},
		{"rounding", Vector{CPUs: 8.0 / 3}, 3},
		{"nothing requested", Vector{}, Unlimited},
	} {
		if got := machine.FitCount(c.request); got != c.want {
			t.Errorf("%s: fit count: got %d, want %d", c.name, got, c.want)
		}
	}
}

func TestDominantShareReturnsLargestUsedFraction(t *testing.T) {
	for _, c := range []struct {
		name           string
		capacity, used Vector
		want           float64
	}{
		{"CPUs", Vector{CPUs: 8, GPUs: 4, MemoryGB: 32}, Vector{CPUs: 4, GPUs: 1, MemoryGB: 8}, 0.5},
		{"GPUs", Vector{CPUs: 8, GPUs: 4, MemoryGB: 32}, Vector{CPUs: 4, GPUs: 3, MemoryGB: 8}, 0.75},
		{"no GPUs", Vector{CPUs: 8, MemoryGB: 32}, Vector{CPUs: 2, GPUs: 1, MemoryGB: 4}, 0.25},
		{"unknown type", Vector{}, Vector{CPUs: 2}, 0},
	} {
		if got := c.capacity.DominantShare(c.used); got != c.want {
			t.Errorf("%s: dominant share: got %v, want %v", c.name, got, c.want)
		}
	}
}
