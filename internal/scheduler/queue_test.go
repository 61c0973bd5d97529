package scheduler

import "testing"

// Guards against a job of many long tasks that goes before all others, since its work is out of range.
func TestJobWithMostWorkComesLast(t *testing.T) {
	harness := newPartitionHarness()
	short := harness.addJob(newArrayJob("req-1", 1, 1))
	longest := newArrayJob("req-2", 100_000, 1)
	longest.EstimatedRunS = 1e9
	long := harness.addJob(longest)
	if harness.precedenceTime(long).Before(harness.precedenceTime(short)) {
		t.Errorf("precedence of a job of %d tasks of %g s: got %v, want one after %v",
			long.TaskCount, long.EstimatedRunS, harness.precedenceTime(long), harness.precedenceTime(short))
	}
}
