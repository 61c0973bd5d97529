package core

import (
	"sort"
	"strconv"
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// A part's journal is a ring of records. Each carries what has changed in many
// chunks since the record before, so that hundreds of starts and ends of many jobs
// cost one change of the state service, not one per job. A chunk's own record is
// written anew ("folded") only before the ring comes round to what it lacks.

// JournalPrefix is the prefix of a part's journal.
func JournalPrefix(part int) string { return "g/" + strconv.Itoa(part) + "/" }

func (p *Partition) journalKey(seq uint64) string {
	return JournalPrefix(p.Index) + strconv.FormatUint(p.slot(seq), 10)
}

func (p *Partition) slot(seq uint64) uint64 { return seq % uint64(len(p.slots)) }

// JournalRecord is one record of the journal. Its number orders it: what a higher
// one says of a task overrides a lower one, and a chunk's record holds all up to
// the number it names.
type JournalRecord struct {
	Seq     uint64         `cbor:"q"`
	Entries []JournalEntry `cbor:"e"`
}

// JournalEntry is the present state of some tasks of a chunk.
type JournalEntry struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Chunk int
	Try   uint64 // highest attempt given out
	Live  []LiveRecord
	Done  []int // ranges, as in a chunk's record
	Free  []int // ranges of tasks that wait again
}

func (e *JournalEntry) bytes() int {
	return 40 + len(e.Job) + (tuning.TaskBytes-8)*len(e.Live) + 8*(len(e.Done)+len(e.Free))
}

// touch notes that a task's state has changed, and must be recorded.
func (p *Partition) touch(c *chunk, task int) {
	if c.job.final {
		return
	}
	c.version++
	if len(c.touched) == 0 {
		c.touched = map[int]int{}
		p.touches++
		c.since = p.touches
		p.dirty[c] = true
	}
	c.touched[task] = c.version
}

// settle notes that all changes up to a version are recorded, of the tasks given
// or, for nil, of all.
func (p *Partition) settle(c *chunk, version int, tasks []int) {
	if tasks == nil {
		for t, v := range c.touched {
			if v <= version {
				delete(c.touched, t)
			}
		}
	}
	for _, t := range tasks {
		if c.touched[t] <= version {
			delete(c.touched, t)
		}
	}
	c.committed = max(c.committed, version)
	for _, v := range c.touched {
		c.committed = min(c.committed, v-1)
	}
	if len(c.touched) == 0 {
		delete(p.dirty, c)
	}
}

// dropping tells whether all records of a cancelled job are about to be deleted.
func (j *Job) dropping() bool { return j.Cancelled && len(j.placed) == 0 }

// fold adds the records of chunks whose journal entries the ring will soon
// overwrite. It tells whether the journal can go on before those are committed.
func (p *Partition) fold(b *Batch, size *int, most int) bool {
	ring := uint64(len(p.slots))
	var due []*chunk
	for c := range p.unfolded {
		if !c.job.dropping() && c.job != b.ended && c.oldest+ring*3/4 <= p.seq {
			due = append(due, c)
		}
	}
	if len(due) == 0 {
		return true
	}
	sort.Slice(due, func(a, b int) bool {
		x, y := due[a], due[b]
		if x.oldest != y.oldest {
			return x.oldest < y.oldest
		}
		if x.job != y.job {
			return x.job.ID < y.job.ID
		}
		return x.index < y.index
	})
	free := due[0].oldest+ring > p.seq+uint64(most)
	if free {
		most /= 2
	}
	for _, c := range due {
		if len(b.Txn.Then) >= most {
			break
		}
		rec := c.record()
		rec.Seq = p.seq
		n := rec.bytes()
		if *size > 0 && *size+n > tuning.TxnBytes {
			break
		}
		*size += n
		key := ChunkKey(p.Index, c.job.ID, c.index)
		b.Txn.If = append(b.Txn.If, wire.Cond{Key: key, Revision: c.stamp})
		b.Txn.Then = append(b.Txn.Then, wire.Write{Put: key, Value: rec})
		b.folds = append(b.folds, foldWrite{c, c.version})
	}
	return free
}

// journal adds the changes of all chunks, those that wait the longest first. A
// number is used once, whatever becomes of the batch: a lost one may be carried out
// late, and must then count as older than what was written since.
func (p *Partition) journal(b *Batch, size *int, most int) {
	folded := map[*chunk]bool{}
	for _, f := range b.folds {
		folded[f.c] = true
	}
	var todo []*chunk
	for c := range p.dirty {
		if !folded[c] && c.job != b.ended && !c.job.dropping() {
			todo = append(todo, c)
		}
	}
	sort.Slice(todo, func(a, b int) bool { return todo[a].since < todo[b].since })
	limit := int(p.s.Cluster.State.ValueKB*1024) - 64
	var cur *JournalRecord
	used := 0
	flush := func() {
		if cur == nil || len(cur.Entries) == 0 {
			return
		}
		key := p.journalKey(cur.Seq)
		b.Txn.If = append(b.Txn.If, wire.Cond{Key: key, Revision: p.slots[p.slot(cur.Seq)]})
		b.Txn.Then = append(b.Txn.Then, wire.Write{Put: key, Value: *cur})
		b.slots = append(b.slots, cur.Seq)
		*size += used
		cur = nil
	}
	for _, c := range todo {
		tasks := make([]int, 0, len(c.touched))
		for t := range c.touched {
			tasks = append(tasks, t)
		}
		sort.Ints(tasks)
		for len(tasks) > 0 {
			if cur == nil {
				if len(b.Txn.Then) >= most || *size+tuning.MinJournalBytes > tuning.TxnBytes {
					return
				}
				p.seq++
				cur, used = &JournalRecord{Seq: p.seq}, 0
			}
			room := min(limit, tuning.TxnBytes-*size) - used
			n := min(len(tasks), (room-40-len(c.job.ID))/(tuning.TaskBytes-8))
			if n <= 0 && len(cur.Entries) > 0 {
				flush()
				continue
			}
			n = max(n, 1)
			e := c.entry(tasks[:n])
			used += e.bytes()
			cur.Entries = append(cur.Entries, e)
			b.entries = append(b.entries, entryWrite{c, c.version, cur.Seq, tasks[:n]})
			tasks = tasks[n:]
		}
	}
	flush()
}

// entry is the present state of some tasks, which must be sorted.
func (c *chunk) entry(tasks []int) JournalEntry {
	j := c.job
	e := JournalEntry{Job: j.ID, Chunk: c.index, Try: j.try}
	add := func(r []int, t int) []int {
		if n := len(r); n > 0 && r[n-1] == t {
			r[n-1] = t + 1
			return r
		}
		return append(r, t, t+1)
	}
	for _, t := range tasks {
		pl := j.placed[t]
		switch {
		case j.tasks[t] == done:
			e.Done = add(e.Done, t)
		case pl != nil:
			e.Live = append(e.Live, pl.live())
		default:
			e.Free = add(e.Free, t)
		}
	}
	return e
}

func (pl *Placement) live() LiveRecord {
	return LiveRecord{Task: pl.task, Try: pl.try, Machine: pl.machine.ID, Session: pl.session}
}

// LoadedChunk is a chunk as its key shows it.
type LoadedChunk struct {
	Job    string
	Index  int
	Stamp  uint64
	Record ChunkRecord
	oldest uint64
}

// LoadedSlot is a journal record as its key shows it.
type LoadedSlot struct {
	Stamp  uint64
	Record JournalRecord
}

// Load takes in all records of the part after a takeover. The machines must be
// known already.
func (p *Partition) Load(chunks []LoadedChunk, journal []LoadedSlot) {
	type id struct {
		job   string
		index int
	}
	at := map[id]*LoadedChunk{}
	var order []*LoadedChunk
	for i := range chunks {
		c := &chunks[i]
		if c.Index == 0 && c.Record.Job != nil {
			p.AddJob(c.Record.Job, time.UnixMilli(c.Record.At), c.Stamp)
		}
		at[id{c.Job, c.Index}] = c
		order = append(order, c)
		p.seq = max(p.seq, c.Record.Seq)
	}
	sort.Slice(journal, func(a, b int) bool { return journal[a].Record.Seq < journal[b].Record.Seq })
	states := map[*LoadedChunk]*replay{}
	for _, s := range journal {
		p.seq = max(p.seq, s.Record.Seq)
		p.slots[p.slot(s.Record.Seq)] = s.Stamp
		for i := range s.Record.Entries {
			e := &s.Record.Entries[i]
			if p.jobs[e.Job] == nil {
				continue // over: its records are gone
			}
			c := at[id{e.Job, e.Chunk}]
			if c == nil {
				c = &LoadedChunk{Job: e.Job, Index: e.Chunk}
				at[id{e.Job, e.Chunk}] = c
				order = append(order, c)
			}
			if s.Record.Seq <= c.Record.Seq {
				continue
			}
			if c.oldest == 0 {
				c.oldest = s.Record.Seq
			}
			r := states[c]
			if r == nil {
				r = newReplay(&c.Record)
				states[c] = r
			}
			r.apply(e)
		}
	}
	for _, c := range order {
		if r := states[c]; r != nil {
			r.store(&c.Record)
		}
		p.loadChunk(c)
	}
	for _, j := range p.jobs {
		if j.Shape == wire.Gang && j.done > 0 {
			// Its records may have been on the way when the last owner ended. The tasks
			// complete together, and what is left of it could never be placed again.
			p.finishGang(j)
		}
		j.broken = j.Shape == wire.Gang && j.done == 0 && len(j.placed) > 0 && len(j.placed) < j.Tasks
	}
}

// replay is a chunk's state while journal entries are applied to it.
type replay struct {
	try  uint64
	done map[int]bool
	live map[int]LiveRecord
}

func newReplay(c *ChunkRecord) *replay {
	r := &replay{try: c.Try, done: map[int]bool{}, live: map[int]LiveRecord{}}
	eachIn(c.Done, func(t int) { r.done[t] = true })
	for _, l := range c.Live {
		r.live[l.Task] = l
	}
	return r
}

func (r *replay) apply(e *JournalEntry) {
	r.try = max(r.try, e.Try)
	eachIn(e.Done, func(t int) { r.done[t] = true; delete(r.live, t) })
	eachIn(e.Free, func(t int) { delete(r.live, t) })
	for _, l := range e.Live {
		r.live[l.Task] = l
	}
}

func (r *replay) store(c *ChunkRecord) {
	c.Try, c.Done, c.Live = r.try, nil, nil
	tasks := make([]int, 0, len(r.done))
	for t := range r.done {
		tasks = append(tasks, t)
	}
	sort.Ints(tasks)
	for _, t := range tasks {
		c.Done = append(c.Done, t, t+1)
	}
	for _, l := range r.live {
		c.Live = append(c.Live, l)
	}
	sort.Slice(c.Live, func(a, b int) bool { return c.Live[a].Task < c.Live[b].Task })
}

// maxSpan bounds a range read from a record, so that a damaged one does no harm.
const maxSpan = 1 << 17

// eachIn visits the tasks of flattened ranges.
func eachIn(r []int, f func(int)) {
	for i := 0; i+1 < len(r); i += 2 {
		for t := r[i]; t < r[i+1] && t-r[i] < maxSpan; t++ {
			f(t)
		}
	}
}
