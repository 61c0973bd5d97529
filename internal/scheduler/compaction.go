package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/tuning"
)

const (
	// compactionRingDivisor sets the margin of compaction: a chunk is due once at most
	// 1/compactionRingDivisor of the ring's slots can be written before the ring overwrites a
	// change that is missing from the chunk's record.
	compactionRingDivisor = 4
	// compactionMarginBatches is the minimum of this margin, in batches with the maximum number of
	// writes. If the maximum value size is small, a batch writes many journal records, and the ring
	// could otherwise overwrite a change between two batches.
	compactionMarginBatches = 2
	// compactionWriteDivisor limits compaction to 1/compactionWriteDivisor of a batch's writes
	// while the journal can be appended to, so that neither blocks the other.
	compactionWriteDivisor = 2
)

// formatConversion limits the rate at which records are rewritten only to convert their format.
type formatConversion struct {
	lastRewrite time.Time
}

// due reports whether the next record may be rewritten.
func (f *formatConversion) due(now time.Time) bool {
	return now.Sub(f.lastRewrite) >= tuning.MinConversionInterval
}

// compact adds the records of chunks whose journaled changes the ring will soon overwrite. If there
// are none, it may add a record to convert its format. It reports whether the journal can be
// appended to before the records are committed.
func (b *batchBuilder) compact() bool {
	due := b.chunksToCompact()
	if len(due) == 0 {
		b.convertFormat()
		return true
	}
	journal := &b.partition.journal
	canAppend := oldestUncompactedSequence(due)+journal.slotCount() > journal.sequence+uint64(b.maxWrites)
	limit := b.maxWrites
	if canAppend {
		limit /= compactionWriteDivisor
	}
	for _, chunk := range due {
		if len(b.batch.Txn.Writes) >= limit {
			break
		}
		b.writeChunk(chunk, limit)
	}
	return canAppend
}

// oldestUncompactedSequence returns the lowest sequence of a journal record with changes that are
// missing from one of the chunks' records. Chunks without journaled changes are ignored; at least
// one of the chunks must have some.
func oldestUncompactedSequence(due []*chunk) uint64 {
	oldest := uint64(math.MaxUint64)
	for _, chunk := range due {
		if chunk.oldestUncompactedSequence > 0 {
			oldest = min(oldest, chunk.oldestUncompactedSequence)
		}
	}
	return oldest
}

// chunksToCompact returns the chunks that are due, ordered by the age of their jobs' oldest
// journaled changes. Within a job, a chunk that was split off precedes the chunk that it was split
// off from.
func (b *batchBuilder) chunksToCompact() []*chunk {
	var due []*chunk
	oldest := map[*Job]uint64{}
	for chunk := range b.partition.journal.uncompactedChunks {
		if !b.compactionDue(chunk) {
			continue
		}
		due = append(due, chunk)
		if sequence, ok := oldest[chunk.job]; !ok || chunk.oldestUncompactedSequence < sequence {
			oldest[chunk.job] = chunk.oldestUncompactedSequence
		}
		due = append(due, b.unwrittenSplitOffChunks(chunk)...)
	}
	slices.SortFunc(due, func(x, y *chunk) int {
		if x.job == y.job {
			return cmp.Compare(y.from, x.from)
		}
		return cmp.Or(cmp.Compare(oldest[x.job], oldest[y.job]), cmp.Compare(x.job.ID, y.job.ID))
	})
	return due
}

// unwrittenSplitOffChunks returns the chunks that were split off from origin, have no record, and
// are not due by themselves. Origin cannot be written before they are.
func (b *batchBuilder) unwrittenSplitOffChunks(origin *chunk) []*chunk {
	var unwritten []*chunk
	for _, splitOffChunk := range origin.splitOffChunks {
		isDue := b.partition.journal.uncompactedChunks[splitOffChunk] && b.compactionDue(splitOffChunk)
		if !splitOffChunk.hasRecord() && !isDue {
			unwritten = append(unwritten, splitOffChunk)
		}
	}
	return unwritten
}

// compactionDue reports whether the ring will soon overwrite a change that is missing from an
// uncompacted chunk's record.
func (b *batchBuilder) compactionDue(chunk *chunk) bool {
	if chunk.job.recordsDeletable() || chunk.job == b.batch.endedJob {
		return false
	}
	journal := &b.partition.journal
	margin := max(journal.slotCount()/compactionRingDivisor, compactionMarginBatches*uint64(b.maxWrites))
	return chunk.oldestUncompactedSequence+journal.slotCount() <= journal.sequence+margin
}

// convertFormat adds one record to convert it from the initial format if the next conversion is
// due, so that eventually no record of that format remains.
func (b *batchBuilder) convertFormat() {
	p := b.partition
	if !p.layout.writesExplicitRanges() || !p.conversion.due(p.cycleStartedAt) || !b.canWrite(1) {
		return
	}
	p.conversion.lastRewrite = p.cycleStartedAt
	if chunk := p.nextChunkToConvert(b.batch); chunk != nil && chunk.job != b.batch.endedJob {
		b.writeChunk(chunk, b.maxWrites)
	}
}

// writeChunk adds a chunk's record to the batch unless the batch already has maxWrites writes. A
// chunk whose record would exceed the maximum value size is split first, and the records of the
// chunks that are split off are written before its own.
func (b *batchBuilder) writeChunk(chunk *chunk, maxWrites int) {
	if b.partition.layout.writesExplicitRanges() {
		chunk.format = explicitRangeChunk
		for _, splitOffChunk := range slices.Backward(b.splitIfTooLarge(chunk)) {
			b.writeChunk(splitOffChunk, maxWrites)
		}
	}
	if len(b.batch.Txn.Writes) >= maxWrites || !chunk.splitOffChunksWritten(b.batch) {
		return
	}
	record := chunk.record()
	record.JournalSequence = b.partition.journal.sequence
	b.putChunk(chunk, record)
}

// splitIfTooLarge splits a chunk if its record would exceed the maximum value size. It returns the
// chunks that were split off.
func (b *batchBuilder) splitIfTooLarge(chunk *chunk) []*chunk {
	layout := &b.partition.layout
	record := chunk.record()
	if record.SizeBound() <= layout.maxValueBytes() {
		return nil
	}
	boundaries := layout.splitPoints(chunk)
	if len(boundaries) == 0 {
		return nil
	}
	splitOffChunks := chunk.splitAt(boundaries)
	b.partition.journal.trackSplitOffChunks(chunk, splitOffChunks)
	return splitOffChunks
}

// putChunk adds a chunk's record to the batch if the size limit of a transaction permits it. An
// empty batch accepts a record of any size, because the record could never be written otherwise.
func (b *batchBuilder) putChunk(chunk *chunk, record records.ChunkRecord) {
	sizeBound := record.SizeBound()
	if b.sizeBound > 0 && b.sizeBound+sizeBound > tuning.MaxTxnBytes {
		return
	}
	b.sizeBound += sizeBound
	b.put(b.partition.layout.chunkKey(chunk), chunk.revision, record)
	b.batch.chunkWrites = append(b.batch.chunkWrites, chunkWrite{
		chunk:         chunk,
		changeVersion: chunk.changeVersion,
		format:        chunk.format,
	})
}
