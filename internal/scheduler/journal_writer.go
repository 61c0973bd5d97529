package scheduler

import (
	"cmp"
	"slices"

	"ambersill/internal/records"
	"ambersill/internal/tuning"
)

// journalRecordOverheadBytes bounds the size of a journal record without its entries.
const journalRecordOverheadBytes = 64

// journalWriter adds journal records to a batch, each as full as a value permits.
type journalWriter struct {
	builder *batchBuilder
	record  *records.JournalRecord // the one being filled; nil: none
	size    int                    // bytes of its entries
}

// appendJournal adds the changes of all chunks to the batch as far as they fit, those first
// that have waited the longest.
func (b *batchBuilder) appendJournal() {
	writer := &journalWriter{builder: b}
	for _, chunk := range b.chunksToJournal() {
		if !writer.appendChunk(chunk) {
			return
		}
	}
	writer.flush()
}

// chunksToJournal lists the chunks with changes that the batch does not contain otherwise.
func (b *batchBuilder) chunksToJournal() []*chunk {
	var chunks []*chunk
	for chunk := range b.partition.journal.dirtyChunks {
		if !b.batch.writesChunk(chunk) && chunk.job != b.batch.endedJob && !chunk.job.recordsDeletable() {
			chunks = append(chunks, chunk)
		}
	}
	slices.SortFunc(chunks, func(x, y *chunk) int { return cmp.Compare(x.dirtySince, y.dirtySince) })
	return chunks
}

// appendChunk adds the changes of a chunk, and reports whether all of them fit the batch.
func (w *journalWriter) appendChunk(chunk *chunk) bool {
	tasks := chunk.sortedDirtyTasks()
	for len(tasks) > 0 {
		if w.record == nil && !w.beginRecord() {
			return false
		}
		entryOverhead := records.JournalEntryOverheadBytes + len(chunk.job.ID)
		count := chunk.tasksFitting(tasks, w.bytesLeft()-entryOverhead)
		if count <= 0 && len(w.record.Entries) > 0 {
			w.flush()
			continue
		}
		count = max(count, 1) // a task that exceeds the limits alone must still be written
		w.appendEntry(chunk, tasks[:count])
		tasks = tasks[count:]
	}
	return true
}

// beginRecord begins a record, and reports whether the batch has capacity for one.
func (w *journalWriter) beginRecord() bool {
	if !w.builder.canWrite(1) || w.builder.size+tuning.MinJournalBytes > tuning.MaxTxnBytes {
		return false
	}
	w.record = &records.JournalRecord{Sequence: w.builder.partition.journal.nextSequence()}
	w.size = 0
	return true
}

// bytesLeft returns how many bytes the record may still grow by.
func (w *journalWriter) bytesLeft() int {
	valueBytes := w.builder.partition.layout.maxValueBytes() - journalRecordOverheadBytes
	return min(valueBytes, tuning.MaxTxnBytes-w.builder.size) - w.size
}

// appendEntry adds the present state of some of a chunk's tasks to the record.
func (w *journalWriter) appendEntry(chunk *chunk, tasks []int) {
	entry := chunk.journalEntry(tasks)
	w.record.Entries = append(w.record.Entries, entry)
	w.size += entry.SizeBound()
	w.builder.batch.entryWrites = append(w.builder.batch.entryWrites, entryWrite{
		chunk:         chunk,
		changeVersion: chunk.changeVersion,
		sequence:      w.record.Sequence,
		tasks:         tasks,
	})
}

// flush adds the record to the batch.
func (w *journalWriter) flush() {
	if w.record == nil || len(w.record.Entries) == 0 {
		return
	}
	sequence := w.record.Sequence
	journal := &w.builder.partition.journal
	w.builder.put(journal.key(sequence), journal.revision(sequence), *w.record)
	w.builder.batch.journalSequences = append(w.builder.batch.journalSequences, sequence)
	w.builder.size += w.size
	w.record = nil
}
