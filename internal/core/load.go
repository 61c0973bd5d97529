package core

import (
	"sort"
	"time"

	"ambersill/internal/wire"
)

// LoadedChunk is a chunk's record as its key shows it.
type LoadedChunk struct {
	Job    string
	Name   string
	Stamp  uint64
	Record ChunkRecord
}

// LoadedSlot is a journal record as its key shows it.
type LoadedSlot struct {
	Stamp  uint64
	Record JournalRecord
}

// Load takes in all records of the part after a takeover. The machines must be
// known already.
func (p *Partition) Load(chunks []LoadedChunk, journal []LoadedSlot) {
	records := map[string][]*LoadedChunk{}
	for i := range chunks {
		c := &chunks[i]
		if IsFirstChunk(c.Name) && c.Record.Job != nil {
			j := p.AddJob(c.Record.Job, time.UnixMilli(c.Record.At), c.Stamp)
			if c.Record.JobStamp > 0 {
				j.Stamp = c.Record.JobStamp
			}
		}
		records[c.Job] = append(records[c.Job], c)
		p.seq = max(p.seq, c.Record.Seq)
	}
	states := map[*chunk]*replay{}
	for _, id := range sortedKeys(p.jobs) {
		p.layOut(p.jobs[id], records[id], states)
	}
	sort.Slice(journal, func(a, b int) bool { return journal[a].Record.Seq < journal[b].Record.Seq })
	for _, s := range journal {
		p.seq = max(p.seq, s.Record.Seq)
		p.slots[p.slot(s.Record.Seq)] = s.Stamp
		for i := range s.Record.Entries {
			e := &s.Record.Entries[i]
			if j := p.jobs[e.Job]; j != nil { // else it is over: its records are gone
				j.replay(s.Record.Seq, e, states)
			}
		}
	}
	for _, id := range sortedKeys(p.jobs) {
		for _, c := range p.jobs[id].chunks {
			if r := states[c]; r != nil {
				p.restore(c, r)
			}
		}
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
	seq  uint64 // the newest journal record whose changes are all in the chunk's record
	try  uint64
	done map[int]bool
	live map[int]LiveRecord
}

// newReplay is the state of a range of tasks as a record shows it.
func newReplay(c *ChunkRecord, from, to int) *replay {
	r := &replay{seq: c.Seq, try: c.Try, done: map[int]bool{}, live: map[int]LiveRecord{}}
	eachIn(c.Done, func(t int) {
		if t >= from && t < to {
			r.done[t] = true
		}
	})
	for _, l := range c.Live {
		if l.Task >= from && l.Task < to {
			r.live[l.Task] = l
		}
	}
	return r
}

// replay applies a journal entry to the chunks whose records lack it.
func (j *Job) replay(seq uint64, e *JournalEntry, states map[*chunk]*replay) {
	j.try = max(j.try, e.Try)
	lacking := func(task int) *replay {
		if task < 0 || task >= j.Tasks {
			return nil
		}
		c := j.chunkOf(task)
		r := states[c]
		if r == nil {
			r = newReplay(&ChunkRecord{}, c.from, c.to)
			states[c] = r
		}
		if seq <= r.seq {
			return nil
		}
		if c.oldest == 0 {
			c.oldest = seq
		}
		return r
	}
	eachIn(e.Done, func(t int) {
		if r := lacking(t); r != nil {
			r.done[t] = true
			delete(r.live, t)
		}
	})
	eachIn(e.Free, func(t int) {
		if r := lacking(t); r != nil {
			delete(r.live, t)
		}
	})
	for _, l := range e.Live {
		if r := lacking(l.Task); r != nil {
			r.live[l.Task] = l
		}
	}
}

// restore takes in a chunk's state as its record and the journal show it.
func (p *Partition) restore(c *chunk, r *replay) {
	j := c.job
	if c.oldest > 0 {
		p.unfolded[c] = true
	}
	j.try = max(j.try, r.try)
	for t := c.from; t < c.to; t++ {
		if r.done[t] {
			j.tasks[t] = done
			j.waiting--
			j.done++
			continue
		}
		l, live := r.live[t]
		if !live {
			continue
		}
		m := p.machines[l.Machine]
		if m == nil {
			// The machine's record goes only after its return was answered
			// with 200, so nothing of it can be live.
			p.touch(c, t)
			continue
		}
		// An earlier owner's start counts as sent and seen: it is never
		// repeated, since it may have been cleared.
		p.attach(&Placement{job: j, task: t, try: l.Try, machine: m, session: l.Session, sent: true, seen: true})
	}
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
