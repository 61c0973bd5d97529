package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ambersill/internal/records"
)

// restoration rebuilds a partition's jobs from its records after a takeover.
type restoration struct {
	partition *Partition
	states    map[*chunk]*chunkState
}

// Restore adds the jobs that the partition's records contain after a takeover. The machines
// must have been added before.
func (p *Partition) Restore(chunks []records.LoadedChunk, journal []records.LoadedJournalRecord) {
	r := &restoration{partition: p, states: map[*chunk]*chunkState{}}
	chunksByJob := r.addJobs(chunks)
	jobIDs := slices.Sorted(maps.Keys(p.jobs))
	for _, id := range jobIDs {
		r.layOutChunks(p.jobs[id], chunksByJob[id])
	}
	r.replayJournal(journal)
	for _, id := range jobIDs {
		for _, chunk := range p.jobs[id].chunks {
			if state := r.states[chunk]; state != nil {
				p.restoreChunk(chunk, state)
			}
		}
	}
	for _, job := range p.jobs {
		p.restoreGang(job)
	}
}

// addJobs adds the jobs that first chunks describe, and returns all chunks by job.
func (r *restoration) addJobs(chunks []records.LoadedChunk) map[string][]*records.LoadedChunk {
	chunksByJob := map[string][]*records.LoadedChunk{}
	for i := range chunks {
		loaded := &chunks[i]
		r.partition.journal.observeSequence(loaded.Record.JournalSequence)
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

// layOutChunks replaces a job's chunks by those that its records describe, and reads their
// states.
func (r *restoration) layOutChunks(job *Job, loadedChunks []*records.LoadedChunk) {
	loaded := r.partition.layout.loadChunks(job, loadedChunks)
	job.chunks = nil
	for _, l := range loaded {
		job.chunks = append(job.chunks, l.chunk)
		if l.record != nil {
			r.states[l.chunk] = newChunkState(l.record, l.chunk.from, l.chunk.to)
		}
	}
}

// replayJournal applies the journal's records in the order of their sequences.
func (r *restoration) replayJournal(journal []records.LoadedJournalRecord) {
	slices.SortFunc(journal, func(a, b records.LoadedJournalRecord) int {
		return cmp.Compare(a.Record.Sequence, b.Record.Sequence)
	})
	for _, loaded := range journal {
		sequence := loaded.Record.Sequence
		r.partition.journal.observeSequence(sequence)
		r.partition.journal.setRevision(sequence, loaded.Revision)
		for i := range loaded.Record.Entries {
			r.replayEntry(sequence, &loaded.Record.Entries[i])
		}
	}
}

// replayEntry applies a journal entry to the chunks whose records lack it. Entries of jobs
// without a first chunk are skipped: those have ended.
func (r *restoration) replayEntry(sequence uint64, entry *records.JournalEntry) {
	job := r.partition.jobs[entry.Job]
	if job == nil {
		return
	}
	job.highestAttempt = max(job.highestAttempt, entry.HighestAttempt)
	records.ForEachInRanges(entry.DoneRanges, func(task int) {
		if state := r.stateLacking(job, task, sequence); state != nil {
			state.done[task] = true
			delete(state.placements, task)
		}
	})
	records.ForEachInRanges(entry.WaitingRanges, func(task int) {
		if state := r.stateLacking(job, task, sequence); state != nil {
			delete(state.placements, task)
		}
	})
	for _, placed := range entry.Placements {
		if state := r.stateLacking(job, placed.Task, sequence); state != nil {
			state.placements[placed.Task] = placed
		}
	}
}

// stateLacking returns the state of a task's chunk if the chunk's own record lacks the journal
// record with the given sequence, or nil.
func (r *restoration) stateLacking(job *Job, task int, sequence uint64) *chunkState {
	if task < 0 || task >= job.Tasks {
		return nil
	}
	chunk := job.chunkOf(task)
	state := r.states[chunk]
	if state == nil {
		state = newChunkState(&records.ChunkRecord{}, chunk.from, chunk.to)
		r.states[chunk] = state
	}
	if sequence <= state.sequence {
		return nil
	}
	if chunk.oldestUncompacted == 0 {
		chunk.oldestUncompacted = sequence
	}
	return state
}

// chunkState is a chunk's state while journal entries are applied to it.
type chunkState struct {
	sequence       uint64 // newest journal record whose changes the chunk's record contains
	highestAttempt uint64
	done           map[int]bool
	placements     map[int]records.PlacementRecord
}

// newChunkState returns the state of the tasks [from, to) as a record contains it.
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

// restoreChunk sets the states of a chunk's tasks.
func (p *Partition) restoreChunk(chunk *chunk, state *chunkState) {
	job := chunk.job
	if chunk.oldestUncompacted > 0 {
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

// restorePlacement attaches a placement of an earlier owner, unless its machine is gone.
func (p *Partition) restorePlacement(chunk *chunk, placed records.PlacementRecord) {
	machine := p.machines.get(placed.Machine)
	if machine == nil {
		// A machine's record is deleted only after the cloud has confirmed its return, so
		// nothing on it can be in effect.
		p.journal.markDirty(chunk, placed.Task)
		return
	}
	p.attach(&Placement{
		job:         chunk.job,
		task:        placed.Task,
		attempt:     placed.Attempt,
		machine:     machine,
		incarnation: placed.Incarnation,
		// An earlier owner's start counts as sent and observed: it is never repeated,
		// since the worker may have cleared the task already.
		start: startState{sent: true, observed: true},
	})
}

// restoreGang finishes a gang of which only some ends are recorded, and marks one as broken of
// which only some placements are.
func (p *Partition) restoreGang(job *Job) {
	if job.IsGang() && job.doneTasks > 0 {
		// The tasks of a gang complete together. The other ends may not have been
		// committed when the earlier owner stopped, and the tasks that seem to be left
		// could never be placed again.
		p.markGangDone(job)
	}
	partlyPlaced := len(job.placements) > 0 && len(job.placements) < job.Tasks
	job.gangBroken = job.IsGang() && job.doneTasks == 0 && partlyPlaced
}
