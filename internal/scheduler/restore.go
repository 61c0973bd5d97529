package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ambersill/internal/records"
)

// restorer rebuilds a partition's jobs from its stored records after a takeover.
type restorer struct {
	partition   *Partition
	chunkStates map[*chunk]*chunkState
}

// Restore adds the jobs described by the partition's stored records after a takeover. The
// partition's machines must have been added before.
func (p *Partition) Restore(chunks []records.LoadedChunk, journal []records.LoadedJournalRecord) {
	r := &restorer{partition: p, chunkStates: map[*chunk]*chunkState{}}
	chunksByJob := r.addJobs(chunks)
	jobIDs := slices.Sorted(maps.Keys(p.jobs))
	for _, id := range jobIDs {
		r.replaceChunks(p.jobs[id], chunksByJob[id])
	}
	r.replayJournal(journal)
	for _, id := range jobIDs {
		for _, chunk := range p.jobs[id].chunks {
			if state := r.chunkStates[chunk]; state != nil {
				p.restoreChunk(chunk, state)
			}
		}
	}
	for _, job := range p.jobs {
		p.restoreGang(job)
	}
}

// addJobs adds the jobs whose descriptions the first chunks contain, and returns all chunks by job
// ID.
func (r *restorer) addJobs(chunks []records.LoadedChunk) map[string][]*records.LoadedChunk {
	chunksByJob := map[string][]*records.LoadedChunk{}
	for i := range chunks {
		loaded := &chunks[i]
		r.partition.journal.raiseSequence(loaded.Record.JournalSequence)
		chunksByJob[loaded.JobID] = append(chunksByJob[loaded.JobID], loaded)
		if !records.IsFirstChunkName(loaded.Name) || loaded.Record.Job == nil {
			continue
		}
		submittedAt := time.UnixMilli(loaded.Record.SubmittedAtMS)
		job := r.partition.AddJob(loaded.Record.Job, submittedAt, loaded.Revision)
		if loaded.Record.JobRevision > 0 {
			job.Revision = loaded.Record.JobRevision
		}
	}
	return chunksByJob
}

// replaceChunks replaces a job's chunks by those that its records describe, and initializes their
// states.
func (r *restorer) replaceChunks(job *Job, loadedChunks []*records.LoadedChunk) {
	loaded := r.partition.layout.chunksFromRecords(job, loadedChunks)
	job.chunks = nil
	for _, l := range loaded {
		job.chunks = append(job.chunks, l.chunk)
		if l.record != nil {
			r.chunkStates[l.chunk] = newChunkState(l.record, l.chunk.from, l.chunk.to)
		}
	}
}

// replayJournal applies the journal's records in ascending order of their sequences.
func (r *restorer) replayJournal(journal []records.LoadedJournalRecord) {
	slices.SortFunc(journal, func(a, b records.LoadedJournalRecord) int {
		return cmp.Compare(a.Record.Sequence, b.Record.Sequence)
	})
	for _, loaded := range journal {
		sequence := loaded.Record.Sequence
		r.partition.journal.raiseSequence(sequence)
		r.partition.journal.setRevision(sequence, loaded.Revision)
		for i := range loaded.Record.Entries {
			r.replayEntry(sequence, &loaded.Record.Entries[i])
		}
	}
}

// replayEntry applies a journal entry to the chunks whose records do not include it. It skips
// entries of jobs without a first chunk, which have ended.
func (r *restorer) replayEntry(sequence uint64, entry *records.JournalEntry) {
	job := r.partition.jobs[entry.Job]
	if job == nil {
		return
	}
	job.highestAttempt = max(job.highestAttempt, entry.HighestAttempt)
	records.ForEachInRanges(entry.DoneRanges, func(task int) {
		if state := r.stateToUpdate(job, task, sequence); state != nil {
			state.done[task] = true
			delete(state.placements, task)
		}
	})
	records.ForEachInRanges(entry.WaitingRanges, func(task int) {
		if state := r.stateToUpdate(job, task, sequence); state != nil {
			delete(state.placements, task)
		}
	})
	for _, placed := range entry.Placements {
		if state := r.stateToUpdate(job, placed.Task, sequence); state != nil {
			state.placements[placed.Task] = placed
		}
	}
}

// stateToUpdate returns the state of a task's chunk, to which a change from the journal record with
// the given sequence must be applied, and records that the change is missing from the chunk's own
// record. It returns nil if the chunk's own record already includes the journal record, or if the
// job has no such task.
func (r *restorer) stateToUpdate(job *Job, task int, sequence uint64) *chunkState {
	if task < 0 || task >= job.TaskCount {
		return nil
	}
	chunk := job.chunkOf(task)
	state := r.chunkStates[chunk]
	if state == nil {
		state = newChunkState(&records.ChunkRecord{}, chunk.from, chunk.to)
		r.chunkStates[chunk] = state
	}
	if sequence <= state.sequence {
		return nil
	}
	if chunk.oldestUncompactedSequence == 0 {
		chunk.oldestUncompactedSequence = sequence
	}
	return state
}

// chunkState is a chunk's state while journal entries are applied to it.
type chunkState struct {
	sequence       uint64 // of the newest journal record that the chunk's record includes
	highestAttempt uint64
	done           map[int]bool
	placements     map[int]records.PlacementRecord
}

// newChunkState returns the state that a record contains for the tasks [from, to).
func newChunkState(record *records.ChunkRecord, from, to int) *chunkState {
	state := &chunkState{
		sequence:       record.JournalSequence,
		highestAttempt: record.HighestAttempt,
		done:           map[int]bool{},
		placements:     map[int]records.PlacementRecord{},
	}
	records.ForEachInRanges(record.DoneRanges, func(task int) {
		if task >= from && task < to {
			state.done[task] = true
		}
	})
	for _, placed := range record.Placements {
		if placed.Task >= from && placed.Task < to {
			state.placements[placed.Task] = placed
		}
	}
	return state
}

// restoreChunk sets the states of a chunk's tasks from the chunk's restored state.
func (p *Partition) restoreChunk(chunk *chunk, state *chunkState) {
	job := chunk.job
	if chunk.oldestUncompactedSequence > 0 {
		p.journal.uncompactedChunks[chunk] = true
	}
	job.highestAttempt = max(job.highestAttempt, state.highestAttempt)
	for task := chunk.from; task < chunk.to; task++ {
		if state.done[task] {
			job.taskStates[task] = taskDone
			job.waitingTasks--
			job.doneTasks++
			continue
		}
		if placed, ok := state.placements[task]; ok {
			p.restorePlacement(chunk, placed)
		}
	}
}

// restorePlacement attaches a placement that an earlier owner recorded, unless its machine is gone.
func (p *Partition) restorePlacement(chunk *chunk, placed records.PlacementRecord) {
	machine := p.machines.get(placed.Machine)
	if machine == nil {
		// A machine's record is deleted only after the cloud has confirmed the machine's
		// return, so the task cannot be running there or be started there any more.
		p.journal.markDirty(chunk, placed.Task)
		return
	}
	p.attach(&Placement{
		job:         chunk.job,
		task:        placed.Task,
		attempt:     placed.Attempt,
		machine:     machine,
		incarnation: placed.Incarnation,
		// The start is assumed to have been sent and observed under the earlier owner. It
		// must not be repeated, because the worker may have run and forgotten the task.
		start: startState{sent: true, observed: true},
	})
}

// restoreGang finishes a gang if the records contain the end of any of its tasks. It marks a gang
// as broken if the records contain no end and the placements of only some of its tasks.
func (p *Partition) restoreGang(job *Job) {
	if job.IsGang() && job.doneTasks > 0 {
		// The tasks of a gang complete together. The earlier owner may have stopped before
		// it committed the ends of the other tasks, which could never be placed again,
		// because a gang is placed as a whole.
		p.markGangDone(job)
	}
	partlyPlaced := len(job.placements) > 0 && len(job.placements) < job.TaskCount
	job.gangBroken = job.IsGang() && job.doneTasks == 0 && partlyPlaced
}
