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
		t.Error("a job that has not ended is kept")
	}
	for i := range 2 * limit {
		id := fmt.Sprint("done-", i)
		cache.addIfFinal(records.JobRecord{Job: &wire.Job{ID: id, Tasks: i + 1}, Phase: wire.JobDone})
		record, ok := cache.get(id)
		if !ok || record.Phase != wire.JobDone || record.Job.Tasks != i+1 {
			t.Errorf("%s: kept %v, record %+v", id, ok, record)
		}
		if want := min(i+1, limit); cache.size() != want {
			t.Errorf("%d records are kept after %d jobs, want %d", cache.size(), i+1, want)
		}
	}
}
