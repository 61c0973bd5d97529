package controller

import (
	"sync"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// finalJobCache keeps the records of jobs whose end is known to be committed. They never
// change again, so that queries for them need no request to the key-value store.
type finalJobCache struct {
	limit int // records

	mu   sync.Mutex // guards jobs
	jobs map[string]records.JobRecord
}

func newFinalJobCache(limit int) *finalJobCache {
	return &finalJobCache{limit: limit, jobs: map[string]records.JobRecord{}}
}

// get returns a final job's record.
func (f *finalJobCache) get(id string) (records.JobRecord, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record, ok := f.jobs[id]
	return record, ok
}

// addIfFinal keeps a job's record if the job is final. Of the job's description only what queries
// need is kept.
func (f *finalJobCache) addIfFinal(record records.JobRecord) {
	if !record.Phase.Final() {
		return
	}
	record.Job = &wire.Job{ID: record.Job.ID, Tasks: record.Job.Tasks}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.jobs) >= f.limit {
		f.evictOne()
	}
	f.jobs[record.Job.ID] = record
}

// evictOne removes any record; f.mu must be held. Which one does not matter: it is read
// again at the next query for it.
func (f *finalJobCache) evictOne() {
	for id := range f.jobs {
		delete(f.jobs, id)
		return
	}
}

// size returns the number of records kept.
func (f *finalJobCache) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.jobs)
}
