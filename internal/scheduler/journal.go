package scheduler

import (
	"sort"
	"strconv"

	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// A part's journal is a ring of records. Each carries what has changed in many
// chunks since the record before, so that hundreds of starts and ends of many jobs
// cost one change of the state service, not one per job. A chunk's own record is
// written anew ("folded") only before the ring comes round to what it lacks.

func (p *Partition) journalKey(seq uint64) string {
	return records.JournalPrefix(p.Index) + strconv.FormatUint(p.journalSlot(seq), 10)
}

func (p *Partition) journalSlot(seq uint64) uint64 { return seq % uint64(len(p.slotRevisions)) }

// markDirty notes that a task's state has changed, and must be recorded.
func (p *Partition) markDirty(chunk *chunk, task int) {
	if chunk.job.finalized {
		return
	}
	chunk.changeVersion++
	if len(chunk.dirtyTasks) == 0 {
		chunk.dirtyTasks = map[int]int{}
		p.dirtyCount++
		chunk.dirtySince = p.dirtyCount
		p.dirtyChunks[chunk] = true
	}
	chunk.dirtyTasks[task] = chunk.changeVersion
}

// markCommitted notes that all changes up to a version are recorded, of the tasks given
// or, for nil, of all.
func (p *Partition) markCommitted(chunk *chunk, version int, tasks []int) {
	if tasks == nil {
		for t, v := range chunk.dirtyTasks {
			if v <= version {
				delete(chunk.dirtyTasks, t)
			}
		}
	}
	for _, t := range tasks {
		if chunk.dirtyTasks[t] <= version {
			delete(chunk.dirtyTasks, t)
		}
	}
	chunk.committedVersion = max(chunk.committedVersion, version)
	for _, v := range chunk.dirtyTasks {
		chunk.committedVersion = min(chunk.committedVersion, v-1)
	}
	if len(chunk.dirtyTasks) == 0 {
		delete(p.dirtyChunks, chunk)
	}
}

// recordsDue tells whether all records of a cancelled job are about to be deleted.
func (j *Job) recordsDue() bool { return j.Cancelled && len(j.placements) == 0 }

// compact adds the records of chunks whose journal entries the ring will soon
// overwrite. It tells whether the journal can go on before those are committed.
func (p *Partition) compact(batch *Batch, size *int, most int) bool {
	ring := uint64(len(p.slotRevisions))
	due := p.compactionDue(batch, most)
	if len(due) == 0 {
		p.convertFormat(batch, size, most)
		return true
	}
	oldest := due[0].oldestUncompacted
	for _, chunk := range due {
		if chunk.oldestUncompacted > 0 {
			oldest = min(oldest, chunk.oldestUncompacted)
		}
	}
	free := oldest+ring > p.journalSequence+uint64(most)
	if free {
		most /= 2
	}
	for _, chunk := range due {
		if len(batch.Txn.Writes) >= most {
			break
		}
		p.writeChunk(batch, size, most, chunk)
	}
	return free
}

// compactionDue lists the chunks whose journal entries the ring will soon overwrite, the
// oldest first; of a job, what was split off before what it was split off from. Soon is
// within two batches at least: with small values a batch writes many journal records, and
// the ring once came round to a chunk between two looks.
func (p *Partition) compactionDue(batch *Batch, most int) []*chunk {
	ring := uint64(len(p.slotRevisions))
	soon := max(ring/4, 2*uint64(most))
	var due []*chunk
	oldest := map[*Job]uint64{}
	for chunk := range p.uncompactedChunks {
		if !chunk.job.recordsDue() && chunk.job != batch.endedJob && chunk.oldestUncompacted+ring <= p.journalSequence+soon {
			due = append(due, chunk)
			if seq, ok := oldest[chunk.job]; !ok || chunk.oldestUncompacted < seq {
				oldest[chunk.job] = chunk.oldestUncompacted
			}
			for _, piece := range chunk.splitOff {
				if piece.revision == 0 && !p.uncompactedChunks[piece] {
					due = append(due, piece)
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

// convertFormat writes one record anew for the sake of its format, now and then, so that none
// of the first format is left in the end.
func (p *Partition) convertFormat(batch *Batch, size *int, most int) {
	if p.featureLevel < records.FeatureExplicitChunks || p.cycleTime.Sub(p.lastConversion) < tuning.ConversionGap || len(batch.Txn.Writes) >= most {
		return
	}
	p.lastConversion = p.cycleTime
	if chunk := p.outdatedChunk(); chunk != nil && chunk.job != batch.endedJob {
		p.writeChunk(batch, size, most, chunk)
	}
}

// appendJournal adds the changes of all chunks, those that wait the longest first. A
// number is used once, whatever becomes of the batch: a lost one may be carried out
// late, and must then count as older than what was written since.
func (p *Partition) appendJournal(batch *Batch, size *int, most int) {
	folded := map[*chunk]bool{}
	for _, f := range batch.chunkWrites {
		folded[f.chunk] = true
	}
	var todo []*chunk
	for chunk := range p.dirtyChunks {
		if !folded[chunk] && chunk.job != batch.endedJob && !chunk.job.recordsDue() {
			todo = append(todo, chunk)
		}
	}
	sort.Slice(todo, func(a, b int) bool { return todo[a].dirtySince < todo[b].dirtySince })
	limit := p.valueBytes() - 64
	var cur *records.JournalRecord
	used := 0
	flush := func() {
		if cur == nil || len(cur.Entries) == 0 {
			return
		}
		key := p.journalKey(cur.Sequence)
		batch.Txn.Compares = append(batch.Txn.Compares, wire.Compare{Key: key, Revision: p.slotRevisions[p.journalSlot(cur.Sequence)]})
		batch.Txn.Writes = append(batch.Txn.Writes, wire.Write{Put: key, Value: *cur})
		batch.journalSequences = append(batch.journalSequences, cur.Sequence)
		*size += used
		cur = nil
	}
	for _, chunk := range todo {
		tasks := make([]int, 0, len(chunk.dirtyTasks))
		for t := range chunk.dirtyTasks {
			tasks = append(tasks, t)
		}
		sort.Ints(tasks)
		for len(tasks) > 0 {
			if cur == nil {
				if len(batch.Txn.Writes) >= most || *size+tuning.MinJournalBytes > tuning.TxnBytes {
					return
				}
				p.journalSequence++
				cur, used = &records.JournalRecord{Sequence: p.journalSequence}, 0
			}
			room := min(limit, tuning.TxnBytes-*size) - used
			n := chunk.entriesFitting(tasks, room-records.JournalEntryOverheadBytes-len(chunk.job.ID))
			if n <= 0 && len(cur.Entries) > 0 {
				flush()
				continue
			}
			n = max(n, 1)
			entry := chunk.journalEntry(tasks[:n])
			used += entry.SizeBound()
			cur.Entries = append(cur.Entries, entry)
			batch.entryWrites = append(batch.entryWrites, entryWrite{chunk, chunk.changeVersion, cur.Sequence, tasks[:n]})
			tasks = tasks[n:]
		}
	}
	flush()
}

// entriesFitting is how many of the tasks, the first ones, fit the given bytes of an entry.
func (c *chunk) entriesFitting(tasks []int, room int) int {
	for n, t := range tasks {
		size := records.RangeBytes
		if placement := c.job.placements[t]; placement != nil && c.job.taskStates[t] != taskDone {
			size = placement.record().SizeBound()
		}
		if room -= size; room < 0 {
			return n
		}
	}
	return len(tasks)
}

// journalEntry is the present state of some tasks, which must be sorted.
func (c *chunk) journalEntry(tasks []int) records.JournalEntry {
	job := c.job
	entry := records.JournalEntry{Job: job.ID, Chunk: c.index, HighestAttempt: job.highestAttempt}
	add := func(r []int, t int) []int {
		if n := len(r); n > 0 && r[n-1] == t {
			r[n-1] = t + 1
			return r
		}
		return append(r, t, t+1)
	}
	for _, t := range tasks {
		placement := job.placements[t]
		switch {
		case job.taskStates[t] == taskDone:
			entry.DoneRanges = add(entry.DoneRanges, t)
		case placement != nil:
			entry.Placements = append(entry.Placements, placement.record())
		default:
			entry.WaitingRanges = add(entry.WaitingRanges, t)
		}
	}
	return entry
}

func (pl *Placement) record() records.PlacementRecord {
	return records.PlacementRecord{Task: pl.task, Attempt: pl.attempt, Machine: pl.machine.ID, Incarnation: pl.incarnation}
}
