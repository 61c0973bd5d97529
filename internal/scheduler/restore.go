package scheduler

import (
	"ambersill/internal/records"
	"maps"
	"slices"
	"sort"
	"time"
)

// Restore takes in all records of the part after a takeover. The machines must be
// known already.
func (p *Partition) Restore(chunks []records.LoadedChunk, journal []records.LoadedJournalRecord) {
	chunksByJob := map[string][]*records.LoadedChunk{}
	for i := range chunks {
		loaded := &chunks[i]
		if records.IsFirstChunk(loaded.Name) && loaded.Record.Job != nil {
			job := p.AddJob(loaded.Record.Job, time.UnixMilli(loaded.Record.SubmittedAtMS), loaded.Revision)
			if loaded.Record.JobRevision > 0 {
				job.Revision = loaded.Record.JobRevision
			}
		}
		chunksByJob[loaded.JobID] = append(chunksByJob[loaded.JobID], loaded)
		p.journalSequence = max(p.journalSequence, loaded.Record.JournalSequence)
	}
	states := map[*chunk]*replayState{}
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		p.layOutChunks(p.jobs[id], chunksByJob[id], states)
	}
	sort.Slice(journal, func(a, b int) bool { return journal[a].Record.Sequence < journal[b].Record.Sequence })
	for _, s := range journal {
		p.journalSequence = max(p.journalSequence, s.Record.Sequence)
		p.slotRevisions[p.journalSlot(s.Record.Sequence)] = s.Revision
		for i := range s.Record.Entries {
			entry := &s.Record.Entries[i]
			if job := p.jobs[entry.Job]; job != nil { // else it is over: its records are gone
				job.applyEntry(s.Record.Sequence, entry, states)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		for _, chunk := range p.jobs[id].chunks {
			if state := states[chunk]; state != nil {
				p.restoreChunk(chunk, state)
			}
		}
	}
	for _, job := range p.jobs {
		if job.IsGang() && job.doneTasks > 0 {
			// Its records may have been on the way when the last owner ended. The tasks
			// complete together, and what is left of it could never be placed again.
			p.finishGang(job)
		}
		job.gangBroken = job.IsGang() && job.doneTasks == 0 && len(job.placements) > 0 && len(job.placements) < job.Tasks
	}
}

// replayState is a chunk's state while journal entries are applied to it.
type replayState struct {
	sequence uint64 // the newest journal record whose changes are all in the chunk's record
	attempt  uint64
	done     map[int]bool
	live     map[int]records.PlacementRecord
}

// newReplay is the state of a range of tasks as a record shows it.
func newReplay(record *records.ChunkRecord, from, to int) *replayState {
	state := &replayState{sequence: record.JournalSequence, attempt: record.HighestAttempt, done: map[int]bool{}, live: map[int]records.PlacementRecord{}}
	records.ForEachInRanges(record.DoneRanges, func(t int) {
		if t >= from && t < to {
			state.done[t] = true
		}
	})
	for _, placed := range record.Placements {
		if placed.Task >= from && placed.Task < to {
			state.live[placed.Task] = placed
		}
	}
	return state
}

// applyEntry applies a journal entry to the chunks whose records lack it.
func (j *Job) applyEntry(seq uint64, entry *records.JournalEntry, states map[*chunk]*replayState) {
	j.highestAttempt = max(j.highestAttempt, entry.HighestAttempt)
	lacking := func(task int) *replayState {
		if task < 0 || task >= j.Tasks {
			return nil
		}
		chunk := j.chunkOf(task)
		state := states[chunk]
		if state == nil {
			state = newReplay(&records.ChunkRecord{}, chunk.from, chunk.to)
			states[chunk] = state
		}
		if seq <= state.sequence {
			return nil
		}
		if chunk.oldestUncompacted == 0 {
			chunk.oldestUncompacted = seq
		}
		return state
	}
	records.ForEachInRanges(entry.DoneRanges, func(t int) {
		if state := lacking(t); state != nil {
			state.done[t] = true
			delete(state.live, t)
		}
	})
	records.ForEachInRanges(entry.WaitingRanges, func(t int) {
		if state := lacking(t); state != nil {
			delete(state.live, t)
		}
	})
	for _, placed := range entry.Placements {
		if state := lacking(placed.Task); state != nil {
			state.live[placed.Task] = placed
		}
	}
}

// restoreChunk takes in a chunk's state as its record and the journal show it.
func (p *Partition) restoreChunk(chunk *chunk, state *replayState) {
	job := chunk.job
	if chunk.oldestUncompacted > 0 {
		p.uncompactedChunks[chunk] = true
	}
	job.highestAttempt = max(job.highestAttempt, state.attempt)
	for t := chunk.from; t < chunk.to; t++ {
		if state.done[t] {
			job.taskStates[t] = taskDone
			job.waitingTasks--
			job.doneTasks++
			continue
		}
		placed, live := state.live[t]
		if !live {
			continue
		}
		machine := p.machines[placed.Machine]
		if machine == nil {
			// The machine's record goes only after its return was answered
			// with 200, so nothing of it can be live.
			p.markDirty(chunk, t)
			continue
		}
		// An earlier owner's start counts as sent and seen: it is never
		// repeated, since it may have been cleared.
		p.attach(&Placement{job: job, task: t, attempt: placed.Attempt, machine: machine, incarnation: placed.Incarnation, startSent: true, observed: true})
	}
}
