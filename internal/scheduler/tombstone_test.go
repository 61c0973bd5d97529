package scheduler

import (
	"fmt"
	"testing"

	"ambersill/internal/wire"
)

// A late word of a submission does not revive a job that has just ended, however many have
// ended before it; and what is kept of ended jobs is bounded.
func TestEndedJobsAreNotRevived(t *testing.T) {
	harness := newPartitionHarness()
	for n := range 3*maxTombstones + 10 {
		job := newArrayJob(fmt.Sprintf("req-%d", n), 1, 1)
		harness.comeAndEnd(&job)
		if harness.AddJob(&job, harness.now, harness.revision) != nil {
			t.Fatalf("job %d lives again", n)
		}
		if n > 0 {
			before := newArrayJob(fmt.Sprintf("req-%d", n-1), 1, 1)
			if harness.AddJob(&before, harness.now, harness.revision) != nil {
				t.Fatalf("job %d lives again after the next has ended", n-1)
			}
		}
	}
	if kept := len(harness.tombstones.recent) + len(harness.tombstones.older); kept > 2*maxTombstones {
		t.Errorf("%d ended jobs are kept", kept)
	}
}

// comeAndEnd has a job come and end.
func (h *partitionHarness) comeAndEnd(job *wire.Job) {
	h.revision++
	h.Partition.finalizeJob(h.AddJob(job, h.now, h.revision))
	h.finishedJobs = h.finishedJobs[:0]
}
