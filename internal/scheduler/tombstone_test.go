package scheduler

import (
	"fmt"
	"testing"

	"ambersill/internal/wire"
)

// A submission that is delivered late must not add a job again that has just ended, however many
// jobs have ended before. The number of ended jobs that are kept must be bounded.
func TestEndedJobsAreNotRevived(t *testing.T) {
	harness := newPartitionHarness()
	for n := range 3*tombstonesPerGeneration + 10 {
		job := newArrayJob(fmt.Sprintf("req-%d", n), 1, 1)
		harness.addAndFinalize(&job)
		if harness.AddJob(&job, harness.now, harness.revision) != nil {
			t.Fatalf("job %d was added again right after its end", n)
		}
		if n == 0 {
			continue
		}
		previous := newArrayJob(fmt.Sprintf("req-%d", n-1), 1, 1)
		if harness.AddJob(&previous, harness.now, harness.revision) != nil {
			t.Fatalf("job %d was added again after the end of the next job", n-1)
		}
	}
	if kept := len(harness.tombstones.recent) + len(harness.tombstones.older); kept > 2*tombstonesPerGeneration {
		t.Errorf("%d ended jobs are kept, want at most two generations", kept)
	}
}

// addAndFinalize adds a job and commits its end, with no records left to delete.
func (h *partitionHarness) addAndFinalize(job *wire.Job) {
	h.revision++
	h.finalizeJob(h.AddJob(job, h.now, h.revision))
	h.finalizedJobs = h.finalizedJobs[:0]
}
