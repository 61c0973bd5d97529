package core

import (
	"slices"
	"sort"
	"strconv"

	"ambersill/internal/config"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// A job's tasks are kept in chunks, each with a record of its own. In the first format a
// chunk's name is its number and its size follows from a setting. From the level
// SizedChunks on each record says which tasks it holds, so that a chunk whose record
// would outgrow a value can be split, and a change of the setting moves nothing.

// firstChunk is the name of the chunk that holds a job's description.
const firstChunk = "0"

// FirstChunkKey is the key of the chunk that holds a job's description.
func FirstChunkKey(part int, id string) string { return ChunkKey(part, id, firstChunk) }

// IsFirstChunk tells whether a chunk's name is that of a job's first one.
func IsFirstChunk(name string) bool { return name == firstChunk }

// ChunkTasks is how many tasks a chunk of the first format holds.
func ChunkTasks(s *config.Settings) int {
	return max(1, int(s.Cluster.State.ValueKB*1024)/tuning.TaskBytes)
}

// chunkKey is the key of a chunk's record.
func (p *Partition) chunkKey(c *chunk) string { return ChunkKey(p.Index, c.job.ID, c.name) }

// newChunk makes a chunk without a record.
func (p *Partition) newChunk(j *Job, from, to int, sized bool) *chunk {
	c := &chunk{job: j, index: from / p.perChunk, from: from, to: to, sized: sized}
	c.name = strconv.Itoa(c.index)
	if sized && from > 0 {
		c.name = sizedName(from)
	}
	return c
}

// sizedName is the name of a chunk that begins at a task; it is no number, so that it is
// never that of a chunk of the first format.
func sizedName(from int) string { return "t" + strconv.Itoa(from) }

// extent is a range of tasks with the record that tells of them, if any.
type extent struct {
	from, to int
	record   *LoadedChunk
}

// extentOf tells which tasks a record holds.
func (p *Partition) extentOf(j *Job, r *LoadedChunk) (extent, bool) {
	if r.Record.To > 0 {
		e := extent{r.Record.From, min(r.Record.To, j.Tasks), r}
		return e, e.from >= 0 && e.from < e.to
	}
	index, err := strconv.Atoi(r.Name)
	if err != nil || index < 0 || index >= (j.Tasks+p.perChunk-1)/p.perChunk {
		return extent{}, false
	}
	from := index * p.perChunk
	return extent{from, min(from+p.perChunk, j.Tasks), r}, true
}

// extents divides a job's tasks by the records that tell of them. Where two do, the one
// that begins later was split off from the other, and counts.
func (p *Partition) extents(j *Job, records []*LoadedChunk) []extent {
	var known []extent
	for _, r := range records {
		if e, ok := p.extentOf(j, r); ok {
			known = append(known, e)
		}
	}
	sort.Slice(known, func(a, b int) bool { return known[a].from < known[b].from })
	var all []extent
	for _, c := range j.chunks {
		all = append(all, extent{c.from, c.to, nil})
	}
	for _, e := range known {
		all = overlay(all, e)
	}
	return all
}

// overlay puts an extent in the place of what it covers.
func overlay(all []extent, e extent) []extent {
	out := make([]extent, 0, len(all)+2)
	placed := false
	for _, a := range all {
		if a.to <= e.from {
			out = append(out, a)
			continue
		}
		if a.from < e.from {
			out = append(out, extent{a.from, e.from, a.record})
		}
		if !placed {
			out, placed = append(out, e), true
		}
		if a.to > e.to {
			out = append(out, extent{max(a.from, e.to), a.to, a.record})
		}
	}
	return out
}

// layOut gives a job the chunks that its records show, and returns their states.
func (p *Partition) layOut(j *Job, records []*LoadedChunk, states map[*chunk]*replay) {
	sized := p.level >= SizedChunks || slices.ContainsFunc(records, func(r *LoadedChunk) bool { return r.Record.To > 0 })
	heads := map[*LoadedChunk]*chunk{}
	var chunks []*chunk
	for _, e := range p.extents(j, records) {
		c := p.newChunk(j, e.from, e.to, sized)
		if r := e.record; r != nil {
			if head := heads[r]; head == nil {
				c.name, c.stamp, c.ranged = r.Name, r.Stamp, r.Record.To > 0
				c.sized = c.ranged
				heads[r] = c
			} else {
				// The record still tells of these tasks as well: they were to be split
				// off, and their own record has not been written.
				c.name, c.sized = sizedName(e.from), true
				c.head = head
				head.parts = append(head.parts, c)
			}
			states[c] = newReplay(&r.Record, e.from, e.to)
		}
		chunks = append(chunks, c)
	}
	j.chunks = chunks
}

// mayWrite tells whether a chunk's record may be written: all that was split off from it
// must have records, since its own tells of their tasks as long as they have none.
func (c *chunk) mayWrite() bool {
	return !slices.ContainsFunc(c.parts, func(part *chunk) bool { return part.stamp == 0 })
}

// split divides a chunk into pieces whose records fit a value. The chunk keeps the first
// of them, and its name; the others are returned.
func (p *Partition) split(c *chunk) []*chunk {
	limit := p.valueBytes()
	var cuts []int
	size := chunkBytes
	if c.from == 0 {
		size += descriptionBytes(c.job.Job)
	}
	for t := c.from; t < c.to; t++ {
		n := c.taskBytes(t)
		if size+n > limit && t > c.from {
			cuts = append(cuts, t)
			size = chunkBytes
		}
		size += n
	}
	if len(cuts) == 0 {
		return nil
	}
	at := slices.Index(c.job.chunks, c)
	end := c.to
	c.to, c.sized = cuts[0], true
	var pieces []*chunk
	for i, from := range cuts {
		to := end
		if i+1 < len(cuts) {
			to = cuts[i+1]
		}
		pieces = append(pieces, p.splitOff(c, from, to))
	}
	c.recount()
	p.clean(c)
	c.job.chunks = slices.Insert(c.job.chunks, at+1, pieces...)
	return pieces
}

// splitOff makes a chunk of some tasks of another.
func (p *Partition) splitOff(c *chunk, from, to int) *chunk {
	piece := &chunk{job: c.job, name: sizedName(from), index: c.index, from: from, to: to, sized: true,
		version: c.version, committed: c.committed, since: c.since, oldest: c.oldest, touched: map[int]int{}}
	switch {
	case c.stamp != 0:
		piece.head = c
	case c.head != nil:
		piece.head = c.head
	}
	if piece.head != nil {
		piece.head.parts = append(piece.head.parts, piece)
	}
	for t, version := range c.touched {
		if t >= from && t < to {
			piece.touched[t] = version
			delete(c.touched, t)
		}
	}
	piece.recount()
	if len(piece.touched) > 0 {
		p.dirty[piece] = true
	}
	if piece.oldest > 0 {
		p.unfolded[piece] = true
	}
	return piece
}

// recount finds the version up to which all changes are recorded.
func (c *chunk) recount() {
	c.committed = c.version
	for _, v := range c.touched {
		c.committed = min(c.committed, v-1)
	}
}

// clean takes a chunk off the list of those with changes to record if it has none.
func (p *Partition) clean(c *chunk) {
	if len(c.touched) == 0 {
		delete(p.dirty, c)
	}
}

// taskBytes is what a task may take of its chunk's record.
func (c *chunk) taskBytes(task int) int {
	if c.job.tasks[task] == done {
		return rangeBytes
	}
	if pl := c.job.placed[task]; pl != nil {
		return max(pl.live().bytes(), usualTaskBytes)
	}
	return usualTaskBytes
}

// usualTaskBytes is what a placement mostly takes; one that waits will take as much.
const usualTaskBytes = 32

// LowerLimits halves what the next commits may hold, after the state service has found
// one invalid: its limits are lower than the settings say.
func (p *Partition) LowerLimits() {
	p.limits.ValueKB = max(p.limits.ValueKB/2, leastValueKB)
	p.limits.TxnOps = max(p.limits.TxnOps/2, leastTxnOps)
}

// The least that LowerLimits goes down to: a job's description, and the end of a job with
// one record more.
const (
	leastValueKB = 1
	leastTxnOps  = 3
)

// valueBytes is the size of the largest value that may be written.
func (p *Partition) valueBytes() int { return int(p.limits.ValueKB * 1024) }

// outdated finds a record to be written anew for the sake of its format: one of the first
// format, or one that a chunk which was split off still lacks.
func (p *Partition) outdated() *chunk {
	for _, id := range sortedKeys(p.jobs) {
		j := p.jobs[id]
		if j.final || j.dropping() {
			continue
		}
		for i := len(j.chunks) - 1; i >= 0; i-- {
			c := j.chunks[i]
			old := c.stamp != 0 && !c.ranged
			lacking := c.stamp == 0 && c.head != nil
			if (old && c.mayWrite()) || lacking {
				return c
			}
		}
	}
	return nil
}

// writeChunk adds a chunk's record to a batch of at most so many changes. One that would
// outgrow a value is split first, and the pieces are written before it.
func (p *Partition) writeChunk(b *Batch, size *int, most int, c *chunk) {
	if p.level >= SizedChunks {
		c.sized = true
		if rec := c.record(); rec.bytes() > p.valueBytes() {
			for _, piece := range slices.Backward(p.split(c)) {
				p.writeChunk(b, size, most, piece)
			}
		}
	}
	if len(b.Txn.Then) >= most || !c.mayWriteWith(b) {
		return
	}
	rec := c.record()
	rec.Seq = p.seq
	n := rec.bytes()
	if *size > 0 && *size+n > tuning.TxnBytes {
		return
	}
	*size += n
	key := p.chunkKey(c)
	b.Txn.If = append(b.Txn.If, wire.Cond{Key: key, Revision: c.stamp})
	b.Txn.Then = append(b.Txn.Then, wire.Write{Put: key, Value: rec})
	b.folds = append(b.folds, foldWrite{c, c.version, c.sized})
}

// mayWriteWith is mayWrite, with the records of a batch taken as written.
func (c *chunk) mayWriteWith(b *Batch) bool {
	for _, part := range c.parts {
		if part.stamp == 0 && !b.folding(part) {
			return false
		}
	}
	return true
}

// folding tells whether a batch writes a chunk's record.
func (b *Batch) folding(c *chunk) bool {
	return slices.ContainsFunc(b.folds, func(f foldWrite) bool { return f.c == c })
}
