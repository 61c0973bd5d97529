// Package quota compares the resources allocated to each team with its guarantee and its limit.
package quota

import (
	"ambersill/internal/config"
	"ambersill/internal/resource"
)

// Team is a team's quota and the resources allocated to its tasks.
type Team struct {
	config.Team
	Allocated resource.Vector
}

// WithinLimit reports whether the team stays within its limit if request is allocated in
// addition to the resources in Allocated.
func (t *Team) WithinLimit(request resource.Vector) bool {
	total := t.Allocated.Add(request)
	return withinMax(total.CPUs, t.MaxCPUs) && withinMax(total.GPUs, t.MaxGPUs)
}

// withinMax reports whether amount is at most limit. A limit of 0 means no limit.
func withinMax(amount, limit float64) bool {
	return limit == 0 || amount <= limit+resource.Epsilon
}

// RemainingTasks returns how many more tasks with the given request the team may start within
// its limit, or resource.Unlimited if no limit applies.
func (t *Team) RemainingTasks(request resource.Vector) int {
	count := min(
		tasksWithinLimit(t.MaxCPUs, t.Allocated.CPUs, request.CPUs),
		tasksWithinLimit(t.MaxGPUs, t.Allocated.GPUs, request.GPUs),
	)
	return max(0, count)
}

// tasksWithinLimit returns how many more tasks the limit of one resource allows. A limit of 0
// means no limit.
func tasksWithinLimit(limit, allocated, requested float64) int {
	if limit <= 0 || requested <= resource.Epsilon {
		return resource.Unlimited
	}
	return min(resource.Unlimited, int((limit-allocated+resource.Epsilon)/requested))
}

// WithinGuarantee reports whether the team's guarantee covers request. A guarantee of 0 CPUs
// covers any number of CPUs if GPUs are guaranteed, a guarantee of 0 GPUs covers no request for
// GPUs, and a team without either is guaranteed nothing.
func (t *Team) WithinGuarantee(request resource.Vector) bool {
	if t.CPUs == 0 && t.GPUs == 0 {
		return false
	}
	if t.GPUs == 0 && request.GPUs != 0 {
		return false
	}
	return withinMax(request.CPUs, t.CPUs) && withinMax(request.GPUs, t.GPUs)
}
