package scheduler

// tombstonesPerGeneration is the number of ended jobs in a full generation. A submission that a
// watch delivers late is a few seconds old, and far fewer jobs end in that time.
const tombstonesPerGeneration = 4096

// tombstones is the set of jobs that recently ended under this owner. A submission that is
// delivered late does not add such a job again. Jobs are kept for one to two generations, which
// limits the memory used.
type tombstones struct {
	recent map[string]bool
	older  map[string]bool
}

func newTombstones() tombstones { return tombstones{recent: map[string]bool{}} }

// add adds an ended job. If the recent generation is full, it replaces the older one.
func (t *tombstones) add(id string) {
	if len(t.recent) >= tombstonesPerGeneration {
		t.older = t.recent
		t.recent = map[string]bool{}
	}
	t.recent[id] = true
}

// contains reports whether the job is in the set.
func (t *tombstones) contains(id string) bool { return t.recent[id] || t.older[id] }
