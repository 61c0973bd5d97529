package scheduler

import (
	"strings"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// fakeStore is an in-memory key-value store with revisions of keys. Its transactions can be
// refused, go unanswered or be applied with a delay.
type fakeStore struct {
	revision  uint64
	values    map[string]wire.Raw
	revisions map[string]uint64
	delayed   []wire.Txn // transactions that are not applied yet, oldest first
	// largestValueBytes is the size in bytes, as JSON, of the largest value written since
	// resetMaxima, and maxWrites is the number of writes in the largest transaction since then.
	largestValueBytes int
	maxWrites         int
}

// newFakeStore returns a store that contains only the owner record of the harness's partition.
func newFakeStore(harness *partitionHarness) *fakeStore {
	return &fakeStore{
		revision:  1000,
		values:    map[string]wire.Raw{},
		revisions: map[string]uint64{records.PartitionKey(0): harness.Revision},
	}
}

// apply executes a transaction if its conditions are met, and reports whether they are.
func (s *fakeStore) apply(txn wire.Txn) bool {
	for _, compare := range txn.Compares {
		if s.revisions[compare.Key] != compare.Revision {
			return false
		}
	}
	s.revision++
	s.maxWrites = max(s.maxWrites, len(txn.Writes))
	for _, write := range txn.Writes {
		s.applyWrite(write)
	}
	return true
}

func (s *fakeStore) applyWrite(write wire.Write) {
	if write.Put == "" {
		delete(s.values, write.Delete)
		delete(s.revisions, write.Delete)
		return
	}
	value, err := wire.Marshal(write.Value)
	if err != nil {
		panic(err)
	}
	s.values[write.Put] = value
	s.revisions[write.Put] = s.revision
	s.largestValueBytes = max(s.largestValueBytes, encodedSizeOrZero(write.Value))
}

// applyOldestDelayed applies the oldest delayed transaction.
func (s *fakeStore) applyOldestDelayed() {
	s.apply(s.delayed[0])
	s.delayed = s.delayed[1:]
}

// resetMaxima resets largestValueBytes and maxWrites.
func (s *fakeStore) resetMaxima() { s.largestValueBytes, s.maxWrites = 0, 0 }

// commitOutcome is the outcome of a commit.
type commitOutcome string

const (
	commitConfirmed commitOutcome = "done"    // applied and answered
	commitUnknown   commitOutcome = "lost"    // applied, but the answer is lost
	commitDelayed   commitOutcome = "late"    // not answered, and applied after a delay
	commitRefused   commitOutcome = "refused" // answered with an error, and never applied
)

// commit commits a batch with the given outcome. Unless the commit is confirmed or refused, the
// owner then reads the batch's keys, as it does after a conflict or an unanswered commit.
func (s *fakeStore) commit(harness *partitionHarness, batch *Batch, outcome commitOutcome) {
	switch outcome {
	case commitRefused:
		return
	case commitDelayed:
		s.delayed = append(s.delayed, batch.Txn)
	default:
		if s.apply(batch.Txn) && outcome == commitConfirmed {
			harness.ConfirmBatch(batch, s.revision)
			return
		}
	}
	for _, compare := range batch.Txn.Compares {
		harness.RefreshKey(batch, compare.Key, s.revisions[compare.Key], s.jobRecord(compare.Key), harness.now)
	}
}

// commitAll commits batches until there is nothing left to commit, but at most maxBatches.
func (s *fakeStore) commitAll(harness *partitionHarness, maxBatches int) {
	for range maxBatches {
		batch := harness.PrepareBatch()
		if batch.Empty() {
			return
		}
		s.commit(harness, batch, commitConfirmed)
	}
}

// jobRecord returns the job record stored under a key, or nil if there is none.
func (s *fakeStore) jobRecord(key string) *records.JobRecord {
	value, ok := s.values[key]
	if !ok || !strings.HasPrefix(key, "j/") {
		return nil
	}
	record := &records.JobRecord{}
	if wire.Unmarshal(value, record) != nil {
		return nil
	}
	return record
}

// submit adds a job as a controller does. Its first chunk's record has the format for the feature
// level.
func (s *fakeStore) submit(harness *partitionHarness, job *wire.Job, level records.FeatureLevel) {
	record := &records.JobRecord{Job: job, Phase: wire.JobQueued, SubmittedAtMS: harness.now.UnixMilli()}
	firstChunk := records.NewFirstChunk(record, level, harness.settings)
	s.apply(wire.Txn{Writes: []wire.Write{
		{Put: records.JobKey(job.ID), Value: record},
		{Put: records.FirstChunkKey(0, job.ID), Value: firstChunk},
	}})
	harness.AddJob(job, harness.now, s.revision)
}

// testingT contains the methods of testing.T and rapid.T that the tests use.
type testingT interface {
	Helper()
	Fatal(...any)
	Fatalf(string, ...any)
}

// restore restores a partition without jobs from stored records, as after a takeover.
func restore(t testingT, harness *partitionHarness, values map[string]wire.Raw, revisions map[string]uint64) {
	t.Helper()
	var chunks []records.LoadedChunk
	var journal []records.LoadedJournalRecord
	for key, value := range values {
		if id, name, ok := records.ParseChunkKey(key); ok && strings.HasPrefix(key, records.ChunkPrefix(0)) {
			loaded := records.LoadedChunk{JobID: id, Name: name, Revision: revisions[key]}
			decodeStored(t, key, value, &loaded.Record)
			chunks = append(chunks, loaded)
		}
		if strings.HasPrefix(key, records.JournalPrefix(0)) {
			loaded := records.LoadedJournalRecord{Revision: revisions[key]}
			decodeStored(t, key, value, &loaded.Record)
			journal = append(journal, loaded)
		}
	}
	harness.Restore(chunks, journal)
}

// decodeStored decodes a stored value. It fails the test if it cannot be decoded.
func decodeStored(t testingT, key string, value wire.Raw, into any) {
	t.Helper()
	if err := wire.Unmarshal(value, into); err != nil {
		t.Fatalf("decoding the stored value of key %s: %v", key, err)
	}
}
