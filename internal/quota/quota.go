// Package quota compares what each team has allocated with its guarantee and its limit.
package quota

import (
	"ambersill/internal/config"
	"ambersill/internal/resource"
)

// Team is a team's quota with what its tasks have allocated.
type Team struct {
	config.Team
	Allocated resource.Vector
}

// WithinLimit reports whether the team may allocate request on top of what it has.
func (t *Team) WithinLimit(request resource.Vector) bool {
	total := t.Allocated.Add(request)
	return withinMax(total.CPUs, t.CPUsMax) && withinMax(total.GPUs, t.GPUsMax)
}

// withinMax reports whether an amount stays within a limit; 0 is no limit.
func withinMax(amount, limit float64) bool {
	return limit == 0 || amount <= limit+resource.Epsilon
}

// RemainingTasks returns how many tasks with the given request the team may still start,
// resource.Unlimited where no limit applies.
func (t *Team) RemainingTasks(request resource.Vector) int {
	count := min(
		tasksWithinLimit(t.CPUsMax, t.Allocated.CPUs, request.CPUs),
		tasksWithinLimit(t.GPUsMax, t.Allocated.GPUs, request.GPUs),
	)
	return max(0, count)
}

// tasksWithinLimit is RemainingTasks in one dimension; a limit of 0 is none.
func tasksWithinLimit(limit, allocated, requested float64) int {
	if limit <= 0 || requested <= resource.Epsilon {
		return resource.Unlimited
	}
	return min(resource.Unlimited, int((limit-allocated+resource.Epsilon)/requested))
}

// WithinGuarantee reports whether the team's guarantee covers request. A team without a
// guarantee is guaranteed nothing, and one without guaranteed GPUs no work that needs any.
func (t *Team) WithinGuarantee(request resource.Vector) bool {
	if t.CPUs == 0 && t.GPUs == 0 {
		return false
	}
	if t.GPUs == 0 && request.GPUs != 0 {
		return false
	}
	return withinMax(request.CPUs, t.CPUs) && withinMax(request.GPUs, t.GPUs)
}
