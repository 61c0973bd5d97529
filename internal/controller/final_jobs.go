package controller

import (
	"sync"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// finalJobCache caches the records of jobs whose end is known to be committed. These records
// never change again, so queries for them need no request to the key-value store.
type finalJobCache struct {
	limit int // maximum number of records

	mu   sync.Mutex // guards jobs
	jobs map[string]records.JobRecord
}

func newFinalJobCache(limit int) *finalJobCache {
	return &finalJobCache{limit: limit, jobs: map[string]records.JobRecord{}}
}

// get returns the cached record of a job, and whether there is one.
func (f *finalJobCache) get(id string) (records.JobRecord, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record, ok := f.jobs[id]
	return record, ok
}

// addIfFinal caches a job's record if the job has ended. Only the fields of the job's description
// that queries need are cached.
func (f *finalJobCache) addIfFinal(record records.JobRecord) {
	if !record.Phase.IsFinal() {
		return
	}
	record.Job = &wire.Job{ID: record.Job.ID, TaskCount: record.Job.TaskCount}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.jobs) >= f.limit {
		f.evictOne()
	}
	f.jobs[record.Job.ID] = record
}

// evictOne removes an arbitrary record. Any record will do, since the next query for it reads it
// from the key-value store again. The caller must hold f.mu.
func (f *finalJobCache) evictOne() {
	for id := range f.jobs {
		delete(f.jobs, id)
		return
	}
}

// size returns the number of cached records.
func (f *finalJobCache) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.jobs)
}
