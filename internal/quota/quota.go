package quota

import (
	"ambersill/internal/config"
	"ambersill/internal/resource"
)

type Team struct {
	config.Team
	Allocated resource.Vector
}

// WithinLimit tells whether the team may use more by the given room.
func (t *Team) WithinLimit(request resource.Vector) bool {
	u := t.Allocated.Add(request)
	return (t.CPUsMax == 0 || u.CPUs <= t.CPUsMax+resource.Epsilon) && (t.GPUsMax == 0 || u.GPUs <= t.GPUsMax+resource.Epsilon)
}

// RemainingTasks is how many tasks of the given room the team may still start.
func (t *Team) RemainingTasks(request resource.Vector) int {
	n := 1 << 20
	if t.CPUsMax > 0 && request.CPUs > resource.Epsilon {
		n = min(n, int((t.CPUsMax-t.Allocated.CPUs+resource.Epsilon)/request.CPUs))
	}
	if t.GPUsMax > 0 && request.GPUs > resource.Epsilon {
		n = min(n, int((t.GPUsMax-t.Allocated.GPUs+resource.Epsilon)/request.GPUs))
	}
	return max(0, n)
}

// WithinGuarantee tells whether the guarantee holds the given room; a team without one
// is guaranteed nothing.
func (t *Team) WithinGuarantee(request resource.Vector) bool {
	if t.CPUs == 0 && t.GPUs == 0 {
		return false
	}
	return (t.CPUs == 0 || request.CPUs <= t.CPUs+resource.Epsilon) && (t.GPUs == 0 || request.GPUs <= t.GPUs+resource.Epsilon) &&
		(t.GPUs > 0 || request.GPUs == 0)
}
