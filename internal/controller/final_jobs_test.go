package controller

import (
	"fmt"
	"testing"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

func TestFinalJobCacheKeepsFinalJobsUpToItsLimit(t *testing.T) {
	const limit = 3
	cache := newFinalJobCache(limit)
	cache.addIfFinal(records.JobRecord{Job: &wire.Job{ID: "queued"}, Phase: wire.JobQueued})
	if _, ok := cache.get("queued"); ok {
		t.Error("a queued job is cached, want only jobs that have ended")
	}
	for i := range 2 * limit {
		id := fmt.Sprint("done-", i)
		cache.addIfFinal(records.JobRecord{Job: &wire.Job{ID: id, TaskCount: i + 1}, Phase: wire.JobDone})
		record, ok := cache.get(id)
		if !ok || record.Phase != wire.JobDone || record.Job.TaskCount != i+1 {
			t.Errorf("get(%s) = ok %v, record %+v, want a done job with all its tasks", id, ok, record)
		}
		if want := min(i+1, limit); cache.size() != want {
			t.Errorf("%d records are cached after %d jobs, want %d", cache.size(), i+1, want)
		}
	}
}
