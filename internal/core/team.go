package core

import (
	"ambersill/internal/config"
)

type Team struct {
	config.Team
	Allocated Vector
}

// WithinLimit tells whether the team may use more by the given room.
func (t *Team) WithinLimit(request Vector) bool {
	u := t.Allocated.Add(request)
	return (t.CPUsMax == 0 || u.CPUs <= t.CPUsMax+Epsilon) && (t.GPUsMax == 0 || u.GPUs <= t.GPUsMax+Epsilon)
}

// RemainingTasks is how many tasks of the given room the team may still start.
func (t *Team) RemainingTasks(request Vector) int {
	n := 1 << 20
	if t.CPUsMax > 0 && request.CPUs > Epsilon {
		n = min(n, int((t.CPUsMax-t.Allocated.CPUs+Epsilon)/request.CPUs))
	}
	if t.GPUsMax > 0 && request.GPUs > Epsilon {
		n = min(n, int((t.GPUsMax-t.Allocated.GPUs+Epsilon)/request.GPUs))
	}
	return max(0, n)
}

// WithinGuarantee tells whether the guarantee holds the given room; a team without one
// is guaranteed nothing.
func (t *Team) WithinGuarantee(request Vector) bool {
	if t.CPUs == 0 && t.GPUs == 0 {
		return false
	}
	return (t.CPUs == 0 || request.CPUs <= t.CPUs+Epsilon) && (t.GPUs == 0 || request.GPUs <= t.GPUs+Epsilon) &&
		(t.GPUs > 0 || request.GPUs == 0)
}
