package core

import (
	"sort"
	"strconv"

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

// entryBytes is an entry's size without its job's name and tasks.
const entryBytes = 40

func (e *JournalEntry) bytes() int {
	n := entryBytes + len(e.Job) + rangeBytes/2*(len(e.Done)+len(e.Free))
	for _, l := range e.Live {
		n += l.bytes()
	}
	return n
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
	due := p.foldable(b, most)
	if len(due) == 0 {
		p.convert(b, size, most)
		return true
	}
	oldest := due[0].oldest
	for _, c := range due {
		if c.oldest > 0 {
			oldest = min(oldest, c.oldest)
		}
	}
	free := oldest+ring > p.seq+uint64(most)
	if free {
		most /= 2
	}
	for _, c := range due {
		if len(b.Txn.Then) >= most {
			break
		}
		p.writeChunk(b, size, most, c)
	}
	return free
}

// foldable lists the chunks whose journal entries the ring will soon overwrite, the
// oldest first; of a job, what was split off before what it was split off from. Soon is
// within two batches at least: with small values a batch writes many journal records, and
// the ring once came round to a chunk between two looks.
func (p *Partition) foldable(b *Batch, most int) []*chunk {
	ring := uint64(len(p.slots))
	soon := max(ring/4, 2*uint64(most))
	var due []*chunk
	oldest := map[*Job]uint64{}
	for c := range p.unfolded {
		if !c.job.dropping() && c.job != b.ended && c.oldest+ring <= p.seq+soon {
			due = append(due, c)
			if seq, ok := oldest[c.job]; !ok || c.oldest < seq {
				oldest[c.job] = c.oldest
			}
			for _, part := range c.parts {
				if part.stamp == 0 && !p.unfolded[part] {
					due = append(due, part)
				}
			}
		}
	}
	sort.Slice(due, func(a, b int) bool {
		x, y := due[a], due[b]
		switch {
		case x.job == y.job:
			return x.from > y.from
		case oldest[x.job] != oldest[y.job]:
			return oldest[x.job] < oldest[y.job]
		}
		return x.job.ID < y.job.ID
	})
	return due
}

// convert writes one record anew for the sake of its format, now and then, so that none
// of the first format is left in the end.
func (p *Partition) convert(b *Batch, size *int, most int) {
	if p.level < SizedChunks || p.now.Sub(p.converted) < tuning.ConversionGap || len(b.Txn.Then) >= most {
		return
	}
	p.converted = p.now
	if c := p.outdated(); c != nil && c.job != b.ended {
		p.writeChunk(b, size, most, c)
	}
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
	limit := p.valueBytes() - 64
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
			n := c.fitting(tasks, room-entryBytes-len(c.job.ID))
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

// fitting is how many of the tasks, the first ones, fit the given bytes of an entry.
func (c *chunk) fitting(tasks []int, room int) int {
	for n, t := range tasks {
		size := rangeBytes
		if pl := c.job.placed[t]; pl != nil && c.job.tasks[t] != done {
			size = pl.live().bytes()
		}
		if room -= size; room < 0 {
			return n
		}
	}
	return len(tasks)
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
