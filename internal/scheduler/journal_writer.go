package scheduler

import (
	"cmp"
	"slices"

	"ambersill/internal/records"
	"ambersill/internal/tuning"
)

// journalRecordOverheadBytes is an upper bound of the size of a journal record without entries.
const journalRecordOverheadBytes = 64

// journalWriter adds journal records to a batch and fills each up to the maximum value size.
type journalWriter struct {
	builder   *batchBuilder
	record    *records.JournalRecord // the record being filled, or nil
	sizeBound int                    // of the record's entries, in bytes
}

// appendJournalRecords adds the changes of dirty chunks to the batch until it is full, beginning
// with the chunks that have been dirty the longest.
func (b *batchBuilder) appendJournalRecords() {
	writer := &journalWriter{builder: b}
	for _, chunk := range b.chunksToJournal() {
		if !writer.appendChunk(chunk) {
			return
		}
	}
	writer.flush()
}

// chunksToJournal returns the dirty chunks whose changes the batch does not contain already, those
// that have been dirty the longest first.
func (b *batchBuilder) chunksToJournal() []*chunk {
	var chunks []*chunk
	for chunk := range b.partition.journal.dirtyChunks {
		if !b.batch.writesChunk(chunk) && chunk.job != b.batch.endedJob && !chunk.job.recordsDeletable() {
			chunks = append(chunks, chunk)
		}
	}
	slices.SortFunc(chunks, func(x, y *chunk) int { return cmp.Compare(x.dirtyOrder, y.dirtyOrder) })
	return chunks
}

// appendChunk adds the uncommitted changes of a chunk, and reports whether all of them fit into the
// batch.
func (w *journalWriter) appendChunk(chunk *chunk) bool {
	tasks := chunk.sortedDirtyTasks()
	for len(tasks) > 0 {
		if w.record == nil && !w.beginRecord() {
			return false
		}
		entryOverhead := records.JournalEntryOverheadBytes + len(chunk.job.ID)
		count := chunk.countFittingTasks(tasks, w.bytesLeft()-entryOverhead)
		if count <= 0 && len(w.record.Entries) > 0 {
			w.flush()
			continue
		}
		count = max(count, 1) // a single task is written even if it exceeds the limit
		w.appendEntry(chunk, tasks[:count])
		tasks = tasks[count:]
	}
	return true
}

// beginRecord begins a journal record, and reports whether the batch has capacity for one.
func (w *journalWriter) beginRecord() bool {
	if !w.builder.canWrite(1) || w.builder.sizeBound+tuning.MinJournalBytes > tuning.MaxTxnBytes {
		return false
	}
	w.record = &records.JournalRecord{Sequence: w.builder.partition.journal.nextSequence()}
	w.sizeBound = 0
	return true
}

// bytesLeft returns the number of bytes by which the record may still grow.
func (w *journalWriter) bytesLeft() int {
	valueBytes := w.builder.partition.layout.maxValueBytes() - journalRecordOverheadBytes
	return min(valueBytes, tuning.MaxTxnBytes-w.builder.sizeBound) - w.sizeBound
}

// appendEntry adds the current state of the given tasks of a chunk to the record.
func (w *journalWriter) appendEntry(chunk *chunk, tasks []int) {
	entry := chunk.journalEntry(tasks)
	w.record.Entries = append(w.record.Entries, entry)
	w.sizeBound += entry.SizeBound()
	w.builder.batch.entryWrites = append(w.builder.batch.entryWrites, entryWrite{
		chunk:         chunk,
		changeVersion: chunk.changeVersion,
		sequence:      w.record.Sequence,
		tasks:         tasks,
	})
}

// flush adds the record to the batch unless it has no entries.
func (w *journalWriter) flush() {
	if w.record == nil || len(w.record.Entries) == 0 {
		return
	}
	w.builder.putJournalRecord(*w.record)
	w.builder.sizeBound += w.sizeBound
	w.record = nil
}

// putJournalRecord adds the write of a journal record.
func (b *batchBuilder) putJournalRecord(record records.JournalRecord) {
	journal := &b.partition.journal
	b.put(journal.key(record.Sequence), journal.revision(record.Sequence), record)
	b.batch.journalSequences = append(b.batch.journalSequences, record.Sequence)
}

// appendEmptyJournalRecord adds a journal record without entries.
func (b *batchBuilder) appendEmptyJournalRecord() {
	b.putJournalRecord(records.JournalRecord{Sequence: b.partition.journal.nextSequence(), Entries: []records.JournalEntry{}})
}
