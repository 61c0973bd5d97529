package core

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"ambersill/internal/wire"

	"pgregory.net/rapid"
)

// plainState is a state service of the plainest kind: keys with stamps, and
// transactions that are lost or come late.
type plainState struct {
	rev  uint64
	vals map[string]wire.Raw
	at   map[string]uint64
	late []wire.Txn
	big  int // bytes of the largest value since the limits were lowered, as JSON
	ops  int // changes of the largest transaction since
}

func (s *plainState) apply(t wire.Txn) bool {
	for _, c := range t.If {
		if s.at[c.Key] != c.Revision {
			return false
		}
	}
	s.rev++
	s.ops = max(s.ops, len(t.Then))
	for _, w := range t.Then {
		if w.Put == "" {
			delete(s.vals, w.Delete)
			delete(s.at, w.Delete)
			continue
		}
		v, err := wire.Marshal(w.Value)
		if err != nil {
			panic(err)
		}
		s.vals[w.Put], s.at[w.Put] = v, s.rev
		s.big = max(s.big, valueBytes(w.Value))
	}
	return true
}

// commit has a batch meet some fate, and the owner find out as it does.
func (s *plainState) commit(b *bed, x *Batch, fate string) {
	switch fate {
	case "refused":
		return
	case "late":
		s.late = append(s.late, x.Txn)
	default:
		if s.apply(x.Txn) && fate == "done" {
			b.Committed(x, s.rev)
			return
		}
	}
	for _, c := range x.Txn.If {
		var rec *JobRecord
		if v, ok := s.vals[c.Key]; ok && strings.HasPrefix(c.Key, "j/") {
			rec = &JobRecord{}
			if wire.Unmarshal(v, rec) != nil {
				rec = nil
			}
		}
		b.Refresh(x, c.Key, s.at[c.Key], rec, b.now)
	}
}

// successor is a new owner that knows only what the state service holds.
func (s *plainState) successor(t *rapid.T, machines []string, b *bed) *bed {
	o := newBed()
	o.limits = b.limits
	o.SetLevel(b.level)
	o.slots = make([]uint64, testRing)
	for _, id := range machines {
		o.machine(id, "cpu", "a", false)
	}
	var chunks []LoadedChunk
	var slots []LoadedSlot
	for k, v := range s.vals {
		if id, name, ok := SplitChunkKey(k); ok && strings.HasPrefix(k, "a/") {
			c := LoadedChunk{Job: id, Name: name, Stamp: s.at[k]}
			if err := wire.Unmarshal(v, &c.Record); err != nil {
				t.Fatal(err)
			}
			chunks = append(chunks, c)
		}
		if strings.HasPrefix(k, JournalPrefix(0)) {
			l := LoadedSlot{Stamp: s.at[k]}
			if err := wire.Unmarshal(v, &l.Record); err != nil {
				t.Fatal(err)
			}
			slots = append(slots, l)
		}
	}
	o.Load(chunks, slots)
	return o
}

// keepsFirstFormat checks that chunks' records are such as programs of before the feature
// levels read: numbered, and without the tasks that they hold.
func (s *plainState) keepsFirstFormat(t *rapid.T) {
	for key, v := range s.vals {
		_, name, ok := SplitChunkKey(key)
		if !ok || !strings.HasPrefix(key, ChunkPrefix(0)) {
			continue
		}
		var r ChunkRecord
		if err := wire.Unmarshal(v, &r); err != nil {
			t.Fatal(err)
		}
		if _, err := strconv.Atoi(name); err != nil || r.From > 0 || r.To > 0 {
			t.Fatalf("%s is in the new format below its level", key)
		}
	}
}

// shows tells whether some worker still knows of a task.
func (b *bed) shows(task string) bool {
	for _, on := range b.on {
		for k := range on {
			if k.task == task {
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
		b := newBed()
		b.slots = make([]uint64, testRing)
		b.limits.TxnOps = rapid.SampledFrom([]int{3, 6}).Draw(t, "ops")
		raised := rapid.IntRange(0, 60).Draw(t, "raised")
		lowered := raised + rapid.IntRange(1, 20).Draw(t, "lowered after")
		limitKB := rapid.SampledFrom([]float64{1, 1.5, 2}).Draw(t, "KiB")
		s := &plainState{rev: 1000, vals: map[string]wire.Raw{}, at: map[string]uint64{PartitionKey(0): b.Stamp}}
		machines := []string{"m-1", "m-2", "m-3"}
		for _, id := range machines {
			b.machine(id, "cpu", "a", false)
		}
		submit := func(n int) {
			j := array(fmt.Sprintf("req-%d", n), rapid.IntRange(1, 300).Draw(t, "tasks"), 0.25)
			r := &JobRecord{Job: &j, Phase: wire.Queued, At: b.now.UnixMilli()}
			s.apply(wire.Txn{Then: []wire.Write{{Put: JobKey(j.ID), Value: r}, {Put: FirstChunkKey(0, j.ID), Value: FirstChunk(r, b.level, b.s)}}})
			b.AddJob(&j, b.now, s.rev)
		}
		ended := map[string]bool{} // tasks whose end a worker has reported
		for round := range rapid.IntRange(1, 60).Draw(t, "rounds") {
			if round%3 == 0 {
				submit(round)
			}
			if round == raised {
				b.SetLevel(SizedChunks)
			}
			if round == lowered {
				b.limits.ValueKB, b.limits.TxnOps = limitKB, 3
				s.big, s.ops = 0, 0
			}
			b.now = b.now.Add(time.Second)
			b.Schedule(b.now)
			for range 4 {
				x := b.Batch()
				if x.Empty() {
					break
				}
				s.commit(b, x, rapid.SampledFrom([]string{"done", "done", "done", "lost", "late", "refused"}).Draw(t, "fate"))
				if n := len(s.late); n > 0 && rapid.Bool().Draw(t, "arrives") {
					s.apply(s.late[0])
					s.late = s.late[1:]
				}
			}
			for _, id := range machines {
				b.report(id)
				for _, k := range sortedAttempts(b.machines[id].places) {
					if _, on := b.on[id][k]; on && rapid.IntRange(0, 2).Draw(t, "ends") == 0 {
						why := rapid.SampledFrom([]wire.Cause{wire.CauseDone, wire.CauseDone, wire.CauseStopped}).Draw(t, "cause")
						b.end(id, k.task, k.try, why)
						ended[k.task] = ended[k.task] || why == wire.CauseDone
					}
				}
				b.report(id)
			}
			if b.level == FirstFormat {
				s.keepsFirstFormat(t)
			}
			o := s.successor(t, machines, b)
			for id, j := range b.jobs {
				k := o.jobs[id]
				if k == nil {
					if j.done < j.Tasks {
						t.Fatalf("round %d: %s is not known to a new owner", round, id)
					}
					continue
				}
				if k.try < j.try && len(j.placed) > 0 {
					for _, pl := range j.placed {
						if pl.sent && pl.try > k.try {
							t.Fatalf("round %d: attempt %d of %s was started, a new owner knows of %d", round, pl.try, id, k.try)
						}
					}
				}
				for i, pl := range j.placed {
					if !pl.sent {
						continue
					}
					if l := k.placed[i]; l == nil || l.try != pl.try || l.machine.ID != pl.machine.ID {
						t.Fatalf("round %d: %s/%d attempt %d on %s was started, a new owner has %+v", round, id, i, pl.try, pl.machine.ID, l)
					}
				}
				for i, st := range j.tasks {
					if task := wire.TaskName(id, i); st == done && k.tasks[i] != done && !b.shows(task) {
						t.Fatalf("round %d: %s was cleared, but its end is not on record", round, task)
					}
				}
				for i, st := range k.tasks {
					if st == done && !ended[wire.TaskName(id, i)] {
						t.Fatalf("round %d: %s/%d is done on record, but never ended", round, id, i)
					}
				}
			}
			if s.big > int(b.limits.ValueKB*1024) || s.ops > b.limits.TxnOps {
				t.Fatalf("round %d: a value of %d bytes, a transaction of %d changes", round, s.big, s.ops)
			}
		}
		// With every commit served, what a new owner reads is all there is.
		for range 2000 {
			x := b.Batch()
			if x.Empty() {
				break
			}
			s.commit(b, x, "done")
		}
		if len(b.dirty) > 0 {
			t.Fatalf("%d chunks are not recorded in the end", len(b.dirty))
		}
		o := s.successor(t, machines, b)
		for id, j := range b.jobs {
			if k := o.jobs[id]; k.done != j.done || k.waiting != j.waiting || k.try < j.try {
				t.Fatalf("%s: %d done, %d waiting, attempt %d; a new owner reads %d, %d, %d", id, j.done, j.waiting, j.try, k.done, k.waiting, k.try)
			}
		}
	})
}
