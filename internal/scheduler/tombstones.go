package scheduler

// tombstonesPerGeneration is the number of ended jobs after which those before them are forgotten. A
// submission that a watch delivers late is seconds old, in which far fewer jobs end.
const tombstonesPerGeneration = 4096

// tombstones are jobs that ended under this owner, so that the late delivery of their
// submission does not add them again. Two generations bound the memory.
type tombstones struct {
	recent map[string]bool
	older  map[string]bool
}

// newTombstones returns an empty set.
func newTombstones() tombstones { return tombstones{recent: map[string]bool{}} }

// add remembers an ended job, and forgets the older generation once the recent one is full.
func (t *tombstones) add(id string) {
	if len(t.recent) >= tombstonesPerGeneration {
		t.older = t.recent
		t.recent = map[string]bool{}
	}
	t.recent[id] = true
}

// contains reports whether a job is known to have ended.
func (t *tombstones) contains(id string) bool { return t.recent[id] || t.older[id] }
