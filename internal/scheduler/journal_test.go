package scheduler

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/wire"

	"pgregory.net/rapid"
)

// fakeStore is an in-memory key-value store: keys with revisions, and transactions
// that are lost or applied late.
type fakeStore struct {
	revision  uint64
	values    map[string]wire.Raw
	revisions map[string]uint64
	late      []wire.Txn
	big       int // bytes of the largest value since the limits were lowered, as JSON
	ops       int // changes of the largest transaction since
}

func (s *fakeStore) apply(t wire.Txn) bool {
	for _, c := range t.Compares {
		if s.revisions[c.Key] != c.Revision {
			return false
		}
	}
	s.revision++
	s.ops = max(s.ops, len(t.Writes))
	for _, w := range t.Writes {
		if w.Put == "" {
			delete(s.values, w.Delete)
			delete(s.revisions, w.Delete)
			continue
		}
		v, err := wire.Marshal(w.Value)
		if err != nil {
			panic(err)
		}
		s.values[w.Put], s.revisions[w.Put] = v, s.revision
		s.big = max(s.big, encodedBytesOrZero(w.Value))
	}
	return true
}

// commit has a batch meet some fate, and the owner find out as it does.
func (s *fakeStore) commit(harness *partitionHarness, batch *Batch, fate string) {
	switch fate {
	case "refused":
		return
	case "late":
		s.late = append(s.late, batch.Txn)
	default:
		if s.apply(batch.Txn) && fate == "done" {
			harness.ConfirmBatch(batch, s.revision)
			return
		}
	}
	for _, c := range batch.Txn.Compares {
		var record *records.JobRecord
		if v, ok := s.values[c.Key]; ok && strings.HasPrefix(c.Key, "j/") {
			record = &records.JobRecord{}
			if wire.Unmarshal(v, record) != nil {
				record = nil
			}
		}
		harness.RefreshKey(batch, c.Key, s.revisions[c.Key], record, harness.now)
	}
}

// successor is a new owner that knows only what the state service holds.
func (s *fakeStore) successor(t *rapid.T, machines []string, harness *partitionHarness) *partitionHarness {
	successor := newPartitionHarness()
	successor.layout.limits = harness.layout.limits
	successor.SetLevel(harness.Level())
	successor.journal.slotRevisions = make([]uint64, testRing)
	for _, id := range machines {
		successor.addMachine(id, "cpu", "a", false)
	}
	var chunks []records.LoadedChunk
	var slots []records.LoadedJournalRecord
	for k, v := range s.values {
		if id, name, ok := records.ParseChunkKey(k); ok && strings.HasPrefix(k, "a/") {
			c := records.LoadedChunk{JobID: id, Name: name, Revision: s.revisions[k]}
			if err := wire.Unmarshal(v, &c.Record); err != nil {
				t.Fatal(err)
			}
			chunks = append(chunks, c)
		}
		if strings.HasPrefix(k, records.JournalPrefix(0)) {
			l := records.LoadedJournalRecord{Revision: s.revisions[k]}
			if err := wire.Unmarshal(v, &l.Record); err != nil {
				t.Fatal(err)
			}
			slots = append(slots, l)
		}
	}
	successor.Restore(chunks, slots)
	return successor
}

// keepsFirstFormat checks that chunks' records are such as programs of before the feature
// levels read: numbered, and without the tasks that they hold.
func (s *fakeStore) keepsFirstFormat(t *rapid.T) {
	for key, v := range s.values {
		_, name, ok := records.ParseChunkKey(key)
		if !ok || !strings.HasPrefix(key, records.ChunkPrefix(0)) {
			continue
		}
		var record records.ChunkRecord
		if err := wire.Unmarshal(v, &record); err != nil {
			t.Fatal(err)
		}
		if _, err := strconv.Atoi(name); err != nil || record.From > 0 || record.To > 0 {
			t.Fatalf("%s is in the new format below its level", key)
		}
	}
}

// shows tells whether some worker still knows of a task.
func (h *partitionHarness) shows(task string) bool {
	for _, on := range h.workerTasks {
		for key := range on {
			if key.task == task {
				return true
			}
		}
	}
	return false
}

// testRing is small, so that the journal comes round many times.
const testRing = 8

// What a new owner reads, at any moment and whatever became of single commits,
// must hold every start that may have left and every end that was cleared, and no
// end that never came. Records must stay within the service's limits.
//
// At some moment the feature level is raised, and later the limits are lowered: what is
// stored by then is larger than what may be written.
func TestJournalSurvivesATakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		harness := newPartitionHarness()
		harness.journal.slotRevisions = make([]uint64, testRing)
		harness.layout.limits.TxnOps = rapid.SampledFrom([]int{3, 6}).Draw(t, "ops")
		raised := rapid.IntRange(0, 60).Draw(t, "raised")
		lowered := raised + rapid.IntRange(1, 20).Draw(t, "lowered after")
		limitKB := rapid.SampledFrom([]float64{1, 1.5, 2}).Draw(t, "KiB")
		store := &fakeStore{revision: 1000, values: map[string]wire.Raw{}, revisions: map[string]uint64{records.PartitionKey(0): harness.Revision}}
		machines := []string{"m-1", "m-2", "m-3"}
		for _, id := range machines {
			harness.addMachine(id, "cpu", "a", false)
		}
		submit := func(n int) {
			job := newArrayJob(fmt.Sprintf("req-%d", n), rapid.IntRange(1, 300).Draw(t, "tasks"), 0.25)
			record := &records.JobRecord{Job: &job, Phase: wire.JobQueued, SubmittedAtMS: harness.now.UnixMilli()}
			store.apply(wire.Txn{Writes: []wire.Write{{Put: records.JobKey(job.ID), Value: record}, {Put: records.FirstChunkKey(0, job.ID), Value: records.NewFirstChunk(record, harness.Level(), harness.settings)}}})
			harness.AddJob(&job, harness.now, store.revision)
		}
		ended := map[string]bool{} // tasks whose end a worker has reported
		for round := range rapid.IntRange(1, 60).Draw(t, "rounds") {
			if round%3 == 0 {
				submit(round)
			}
			if round == raised {
				harness.SetLevel(records.FeatureExplicitChunks)
			}
			if round == lowered {
				harness.layout.limits.ValueKB, harness.layout.limits.TxnOps = limitKB, 3
				store.big, store.ops = 0, 0
			}
			harness.now = harness.now.Add(time.Second)
			harness.Schedule(harness.now)
			for range 4 {
				batch := harness.PrepareBatch()
				if batch.Empty() {
					break
				}
				store.commit(harness, batch, rapid.SampledFrom([]string{"done", "done", "done", "lost", "late", "refused"}).Draw(t, "fate"))
				if n := len(store.late); n > 0 && rapid.Bool().Draw(t, "arrives") {
					store.apply(store.late[0])
					store.late = store.late[1:]
				}
			}
			for _, id := range machines {
				harness.sendHeartbeat(id)
				for _, key := range sortedTaskAttempts(harness.machines[id].placements) {
					if _, on := harness.workerTasks[id][key]; on && rapid.IntRange(0, 2).Draw(t, "ends") == 0 {
						why := rapid.SampledFrom([]wire.ExitCause{wire.ExitDone, wire.ExitDone, wire.ExitStopped}).Draw(t, "cause")
						harness.endTask(id, key.task, key.attempt, why)
						ended[key.task] = ended[key.task] || why == wire.ExitDone
					}
				}
				harness.sendHeartbeat(id)
			}
			if harness.Level() == records.FeatureInitialFormat {
				store.keepsFirstFormat(t)
			}
			successor := store.successor(t, machines, harness)
			for id, job := range harness.jobs {
				k := successor.jobs[id]
				if k == nil {
					if job.doneTasks < job.Tasks {
						t.Fatalf("round %d: %s is not known to a new owner", round, id)
					}
					continue
				}
				if k.highestAttempt < job.highestAttempt && len(job.placements) > 0 {
					for _, placement := range job.placements {
						if placement.start.sent && placement.attempt > k.highestAttempt {
							t.Fatalf("round %d: attempt %d of %s was started, a new owner knows of %d", round, placement.attempt, id, k.highestAttempt)
						}
					}
				}
				for i, placement := range job.placements {
					if !placement.start.sent {
						continue
					}
					if l := k.placements[i]; l == nil || l.attempt != placement.attempt || l.machine.ID != placement.machine.ID {
						t.Fatalf("round %d: %s/%d attempt %d on %s was started, a new owner has %+v", round, id, i, placement.attempt, placement.machine.ID, l)
					}
				}
				for i, st := range job.taskStates {
					if task := wire.TaskName(id, i); st == taskDone && k.taskStates[i] != taskDone && !harness.shows(task) {
						t.Fatalf("round %d: %s was cleared, but its end is not on record", round, task)
					}
				}
				for i, st := range k.taskStates {
					if st == taskDone && !ended[wire.TaskName(id, i)] {
						t.Fatalf("round %d: %s/%d is done on record, but never ended", round, id, i)
					}
				}
			}
			if store.big > int(harness.layout.limits.ValueKB*1024) || store.ops > harness.layout.limits.TxnOps {
				t.Fatalf("round %d: a value of %d bytes, a transaction of %d changes", round, store.big, store.ops)
			}
		}
		// With every commit served, what a new owner reads is all there is.
		for range 2000 {
			batch := harness.PrepareBatch()
			if batch.Empty() {
				break
			}
			store.commit(harness, batch, "done")
		}
		if len(harness.journal.dirtyChunks) > 0 {
			t.Fatalf("%d chunks are not recorded in the end", len(harness.journal.dirtyChunks))
		}
		successor := store.successor(t, machines, harness)
		for id, job := range harness.jobs {
			if k := successor.jobs[id]; k.doneTasks != job.doneTasks || k.waitingTasks != job.waitingTasks || k.highestAttempt < job.highestAttempt {
				t.Fatalf("%s: %d done, %d waiting, attempt %d; a new owner reads %d, %d, %d", id, job.doneTasks, job.waitingTasks, job.highestAttempt, k.doneTasks, k.waitingTasks, k.highestAttempt)
			}
		}
	})
}
