package scheduler

import (
	"maps"
	"slices"
	"sort"
	"strconv"

	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// A job's tasks are kept in chunks, each with a record of its own. In the first format a
// chunk's name is its number and its size follows from a setting. From the level
// SizedChunks on each record says which tasks it holds, so that a chunk whose record
// would outgrow a value can be split, and a change of the setting moves nothing.

// chunkKey is the key of a chunk's record.
func (p *Partition) chunkKey(chunk *chunk) string {
	return records.ChunkKey(p.Index, chunk.job.ID, chunk.name)
}

// newChunk makes a chunk without a record.
func (p *Partition) newChunk(job *Job, from, to int, sized bool) *chunk {
	c := &chunk{job: job, index: from / p.tasksPerChunk, from: from, to: to, explicitRange: sized}
	c.name = strconv.Itoa(c.index)
	if sized && from > 0 {
		c.name = records.ExplicitChunkName(from)
	}
	return c
}

// extent is a range of tasks with the record that tells of them, if any.
type extent struct {
	from, to int
	record   *records.LoadedChunk
}

// extentOf tells which tasks a record holds.
func (p *Partition) extentOf(job *Job, loaded *records.LoadedChunk) (extent, bool) {
	if loaded.Record.To > 0 {
		e := extent{loaded.Record.From, min(loaded.Record.To, job.Tasks), loaded}
		return e, e.from >= 0 && e.from < e.to
	}
	index, err := strconv.Atoi(loaded.Name)
	if err != nil || index < 0 || index >= (job.Tasks+p.tasksPerChunk-1)/p.tasksPerChunk {
		return extent{}, false
	}
	from := index * p.tasksPerChunk
	return extent{from, min(from+p.tasksPerChunk, job.Tasks), loaded}, true
}

// extents divides a job's tasks by the records that tell of them. Where two do, the one
// that begins later was split off from the other, and counts.
func (p *Partition) extents(job *Job, loadedChunks []*records.LoadedChunk) []extent {
	var known []extent
	for _, loaded := range loadedChunks {
		if extent, ok := p.extentOf(job, loaded); ok {
			known = append(known, extent)
		}
	}
	sort.Slice(known, func(a, b int) bool { return known[a].from < known[b].from })
	var all []extent
	for _, chunk := range job.chunks {
		all = append(all, extent{chunk.from, chunk.to, nil})
	}
	for _, extent := range known {
		all = overlay(all, extent)
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

// layOutChunks gives a job the chunks that its records show, and returns their states.
func (p *Partition) layOutChunks(job *Job, loadedChunks []*records.LoadedChunk, states map[*chunk]*replayState) {
	sized := p.featureLevel >= records.FeatureExplicitChunks || slices.ContainsFunc(loadedChunks, func(loaded *records.LoadedChunk) bool { return loaded.Record.To > 0 })
	heads := map[*records.LoadedChunk]*chunk{}
	var chunks []*chunk
	for _, extent := range p.extents(job, loadedChunks) {
		chunk := p.newChunk(job, extent.from, extent.to, sized)
		if loaded := extent.record; loaded != nil {
			if head := heads[loaded]; head == nil {
				chunk.name, chunk.revision, chunk.storedExplicitRange = loaded.Name, loaded.Revision, loaded.Record.To > 0
				chunk.explicitRange = chunk.storedExplicitRange
				heads[loaded] = chunk
			} else {
				// The record still tells of these tasks as well: they were to be split
				// off, and their own record has not been written.
				chunk.name, chunk.explicitRange = records.ExplicitChunkName(extent.from), true
				chunk.splitFrom = head
				head.splitOff = append(head.splitOff, chunk)
			}
			states[chunk] = newReplay(&loaded.Record, extent.from, extent.to)
		}
		chunks = append(chunks, chunk)
	}
	job.chunks = chunks
}

// splitsWritten tells whether a chunk's record may be written: all that was split off from it
// must have records, since its own tells of their tasks as long as they have none.
func (c *chunk) splitsWritten() bool {
	return !slices.ContainsFunc(c.splitOff, func(piece *chunk) bool { return piece.revision == 0 })
}

// splitChunk divides a chunk into pieces whose records fit a value. The chunk keeps the first
// of them, and its name; the others are returned.
func (p *Partition) splitChunk(c *chunk) []*chunk {
	limit := p.valueBytes()
	var cuts []int
	size := records.ChunkOverheadBytes
	if c.from == 0 {
		size += records.JobDescriptionBytes(c.job.Job)
	}
	for t := c.from; t < c.to; t++ {
		n := c.taskBytes(t)
		if size+n > limit && t > c.from {
			cuts = append(cuts, t)
			size = records.ChunkOverheadBytes
		}
		size += n
	}
	if len(cuts) == 0 {
		return nil
	}
	at := slices.Index(c.job.chunks, c)
	end := c.to
	c.to, c.explicitRange = cuts[0], true
	var pieces []*chunk
	for i, from := range cuts {
		to := end
		if i+1 < len(cuts) {
			to = cuts[i+1]
		}
		pieces = append(pieces, p.splitOff(c, from, to))
	}
	c.recountCommitted()
	p.clearDirty(c)
	c.job.chunks = slices.Insert(c.job.chunks, at+1, pieces...)
	return pieces
}

// splitOff makes a chunk of some tasks of another.
func (p *Partition) splitOff(c *chunk, from, to int) *chunk {
	piece := &chunk{job: c.job, name: records.ExplicitChunkName(from), index: c.index, from: from, to: to, explicitRange: true,
		changeVersion: c.changeVersion, committedVersion: c.committedVersion, dirtySince: c.dirtySince, oldestUncompacted: c.oldestUncompacted, dirtyTasks: map[int]int{}}
	switch {
	case c.revision != 0:
		piece.splitFrom = c
	case c.splitFrom != nil:
		piece.splitFrom = c.splitFrom
	}
	if piece.splitFrom != nil {
		piece.splitFrom.splitOff = append(piece.splitFrom.splitOff, piece)
	}
	for t, version := range c.dirtyTasks {
		if t >= from && t < to {
			piece.dirtyTasks[t] = version
			delete(c.dirtyTasks, t)
		}
	}
	piece.recountCommitted()
	if len(piece.dirtyTasks) > 0 {
		p.dirtyChunks[piece] = true
	}
	if piece.oldestUncompacted > 0 {
		p.uncompactedChunks[piece] = true
	}
	return piece
}

// recountCommitted finds the version up to which all changes are recorded.
func (c *chunk) recountCommitted() {
	c.committedVersion = c.changeVersion
	for _, v := range c.dirtyTasks {
		c.committedVersion = min(c.committedVersion, v-1)
	}
}

// clearDirty takes a chunk off the list of those with changes to record if it has none.
func (p *Partition) clearDirty(chunk *chunk) {
	if len(chunk.dirtyTasks) == 0 {
		delete(p.dirtyChunks, chunk)
	}
}

// taskBytes is what a task may take of its chunk's record.
func (c *chunk) taskBytes(task int) int {
	if c.job.taskStates[task] == taskDone {
		return records.RangeBytes
	}
	if placement := c.job.placements[task]; placement != nil {
		return max(placement.record().SizeBound(), usualTaskBytes)
	}
	return usualTaskBytes
}

// usualTaskBytes is what a placement mostly takes; one that waits will take as much.
const usualTaskBytes = 32

// ReduceLimits halves what the next commits may hold, after the state service has found
// one invalid: its limits are lower than the settings say.
func (p *Partition) ReduceLimits() {
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

// outdatedChunk finds a record to be written anew for the sake of its format: one of the first
// format, or one that a chunk which was split off still lacks.
func (p *Partition) outdatedChunk() *chunk {
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		job := p.jobs[id]
		if job.finalized || job.recordsDue() {
			continue
		}
		for i := len(job.chunks) - 1; i >= 0; i-- {
			chunk := job.chunks[i]
			old := chunk.revision != 0 && !chunk.storedExplicitRange
			lacking := chunk.revision == 0 && chunk.splitFrom != nil
			if (old && chunk.splitsWritten()) || lacking {
				return chunk
			}
		}
	}
	return nil
}

// writeChunk adds a chunk's record to a batch of at most so many changes. One that would
// outgrow a value is split first, and the pieces are written before it.
func (p *Partition) writeChunk(batch *Batch, size *int, most int, chunk *chunk) {
	if p.featureLevel >= records.FeatureExplicitChunks {
		chunk.explicitRange = true
		if record := chunk.record(); record.SizeBound() > p.valueBytes() {
			for _, piece := range slices.Backward(p.splitChunk(chunk)) {
				p.writeChunk(batch, size, most, piece)
			}
		}
	}
	if len(batch.Txn.Writes) >= most || !chunk.splitsWrittenBy(batch) {
		return
	}
	record := chunk.record()
	record.JournalSequence = p.journalSequence
	n := record.SizeBound()
	if *size > 0 && *size+n > tuning.TxnBytes {
		return
	}
	*size += n
	key := p.chunkKey(chunk)
	batch.Txn.Compares = append(batch.Txn.Compares, wire.Compare{Key: key, Revision: chunk.revision})
	batch.Txn.Writes = append(batch.Txn.Writes, wire.Write{Put: key, Value: record})
	batch.chunkWrites = append(batch.chunkWrites, chunkWrite{chunk, chunk.changeVersion, chunk.explicitRange})
}

// splitsWrittenBy is mayWrite, with the records of a batch taken as written.
func (c *chunk) splitsWrittenBy(batch *Batch) bool {
	for _, piece := range c.splitOff {
		if piece.revision == 0 && !batch.writesChunk(piece) {
			return false
		}
	}
	return true
}

// writesChunk tells whether a batch writes a chunk's record.
func (b *Batch) writesChunk(chunk *chunk) bool {
	return slices.ContainsFunc(b.chunkWrites, func(f chunkWrite) bool { return f.chunk == chunk })
}
