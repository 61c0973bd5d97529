package scheduler

import (
	"fmt"
	"testing"

	"ambersill/internal/wire"
)

// A late word of a submission does not revive a job that has just ended, however many have
// ended before it; and what is kept of ended jobs is bounded.
func TestEndedJobsAreNotRevived(t *testing.T) {
	b := newBed()
	for n := range 3*maxTombstones + 10 {
		job := array(fmt.Sprintf("req-%d", n), 1, 1)
		b.comeAndEnd(&job)
		if b.AddJob(&job, b.now, b.rev) != nil {
			t.Fatalf("job %d lives again", n)
		}
		if n > 0 {
			before := array(fmt.Sprintf("req-%d", n-1), 1, 1)
			if b.AddJob(&before, b.now, b.rev) != nil {
				t.Fatalf("job %d lives again after the next has ended", n-1)
			}
		}
	}
	if kept := len(b.tombstones) + len(b.olderTombstones); kept > 2*maxTombstones {
		t.Errorf("%d ended jobs are kept", kept)
	}
}

// comeAndEnd has a job come and end.
func (b *bed) comeAndEnd(job *wire.Job) {
	b.rev++
	b.Partition.finalizeJob(b.AddJob(job, b.now, b.rev))
	b.finishedJobs = b.finishedJobs[:0]
}
