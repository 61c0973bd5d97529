package core

import (
	"ambersill/internal/config"
)

type team struct {
	config.Team
	used Room
}

// within tells whether the team may use more by the given room.
func (t *team) within(r Room) bool {
	u := t.used.add(r)
	return (t.CPUsMax == 0 || u.CPUs <= t.CPUsMax+eps) && (t.GPUsMax == 0 || u.GPUs <= t.GPUsMax+eps)
}

// left is how many tasks of the given room the team may still start.
func (t *team) left(r Room) int {
	n := 1 << 20
	if t.CPUsMax > 0 && r.CPUs > eps {
		n = min(n, int((t.CPUsMax-t.used.CPUs+eps)/r.CPUs))
	}
	if t.GPUsMax > 0 && r.GPUs > eps {
		n = min(n, int((t.GPUsMax-t.used.GPUs+eps)/r.GPUs))
	}
	return max(0, n)
}

// covers tells whether the guarantee holds the given room; a team without one
// is guaranteed nothing.
func (t *team) covers(r Room) bool {
	if t.CPUs == 0 && t.GPUs == 0 {
		return false
	}
	return (t.CPUs == 0 || r.CPUs <= t.CPUs+eps) && (t.GPUs == 0 || r.GPUs <= t.GPUs+eps) &&
		(t.GPUs > 0 || r.GPUs == 0)
}
