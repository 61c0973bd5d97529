package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/tuning"
)

// Parameters of compaction.
const (
	// compactionRingShare divides the ring's length: a chunk is due once the ring is within this
	// fraction of overwriting a change that the chunk's record lacks.
	compactionRingShare = 4
	// compactionBatches is the number of full batches before such an overwrite at which a chunk
	// is due at the latest. With small values a batch writes many journal records, and the ring
	// could otherwise overwrite a change between two batches.
	compactionBatches = 2
	// compactionWriteShare divides a batch: compaction uses this fraction of it while the
	// journal can be appended to, so that neither blocks the other.
	compactionWriteShare = 2
)

// formatConversion limits the rate at which records are rewritten to convert their format.
type formatConversion struct {
	lastRewrite time.Time
}

// due reports whether the next record may be rewritten.
func (f *formatConversion) due(now time.Time) bool {
	return now.Sub(f.lastRewrite) >= tuning.MinConversionInterval
}

// compact adds the records of chunks whose journaled changes the ring will soon overwrite. It
// reports whether the journal can be appended to before those records are committed.
func (b *batchBuilder) compact() bool {
	due := b.chunksToCompact()
	if len(due) == 0 {
		b.convertFormat()
		return true
	}
	journal := &b.partition.journal
	canAppend := oldestUncompacted(due)+journal.slotCount() > journal.sequence+uint64(b.maxWrites)
	limit := b.maxWrites
	if canAppend {
		limit /= compactionWriteShare
	}
	for _, chunk := range due {
		if len(b.batch.Txn.Writes) >= limit {
			break
		}
		b.writeChunk(chunk, limit)
	}
	return canAppend
}

// oldestUncompacted returns the oldest sequence that the chunks' records lack. It is 0, which
// blocks the journal, while the first of them is a piece without journaled changes that has
// to be written before the chunk that it was split off from.
func oldestUncompacted(due []*chunk) uint64 {
	oldest := due[0].oldestUncompacted
	for _, chunk := range due {
		if chunk.oldestUncompacted > 0 {
			oldest = min(oldest, chunk.oldestUncompacted)
		}
	}
	return oldest
}

// chunksToCompact lists the chunks that are due, the job first whose journaled changes are the
// oldest; within a job what was split off precedes what it was split off from.
func (b *batchBuilder) chunksToCompact() []*chunk {
	var due []*chunk
	oldest := map[*Job]uint64{}
	for chunk := range b.partition.journal.uncompactedChunks {
		if !b.compactionDue(chunk) {
			continue
		}
		due = append(due, chunk)
		if sequence, ok := oldest[chunk.job]; !ok || chunk.oldestUncompacted < sequence {
			oldest[chunk.job] = chunk.oldestUncompacted
		}
		due = append(due, b.unwrittenPieces(chunk)...)
	}
	slices.SortFunc(due, func(x, y *chunk) int {
		if x.job == y.job {
			return cmp.Compare(y.from, x.from)
		}
		return cmp.Or(cmp.Compare(oldest[x.job], oldest[y.job]), cmp.Compare(x.job.ID, y.job.ID))
	})
	return due
}

// unwrittenPieces returns the chunks that were split off from a chunk and have neither a record
// nor journaled changes that make them due themselves.
func (b *batchBuilder) unwrittenPieces(origin *chunk) []*chunk {
	var pieces []*chunk
	for _, piece := range origin.splitOff {
		if !piece.hasRecord() && !b.partition.journal.uncompactedChunks[piece] {
			pieces = append(pieces, piece)
		}
	}
	return pieces
}

// compactionDue reports whether the ring will soon overwrite a change that an uncompacted
// chunk's record lacks.
func (b *batchBuilder) compactionDue(chunk *chunk) bool {
	if chunk.job.recordsDeletable() || chunk.job == b.batch.endedJob {
		return false
	}
	journal := &b.partition.journal
	margin := max(journal.slotCount()/compactionRingShare, compactionBatches*uint64(b.maxWrites))
	return chunk.oldestUncompacted+journal.slotCount() <= journal.sequence+margin
}

// convertFormat rewrites one record of the initial format if the next conversion is due, so
// that eventually none remains.
func (b *batchBuilder) convertFormat() {
	p := b.partition
	if !p.layout.writesExplicitRanges() || !p.conversion.due(p.cycleStartedAt) || !b.canWrite(1) {
		return
	}
	p.conversion.lastRewrite = p.cycleStartedAt
	if chunk := p.outdatedChunk(b.batch); chunk != nil && chunk.job != b.batch.endedJob {
		b.writeChunk(chunk, b.maxWrites)
	}
}

// writeChunk adds a chunk's record to the batch unless that then exceeds maxWrites changes. A
// record that would outgrow a value is split first, and the pieces are written before it.
func (b *batchBuilder) writeChunk(chunk *chunk, maxWrites int) {
	if b.partition.layout.writesExplicitRanges() {
		chunk.format = explicitRangeChunk
		for _, piece := range slices.Backward(b.splitIfTooLarge(chunk)) {
			b.writeChunk(piece, maxWrites)
		}
	}
	if len(b.batch.Txn.Writes) >= maxWrites || !chunk.splitOffWritten(b.batch) {
		return
	}
	record := chunk.record()
	record.JournalSequence = b.partition.journal.sequence
	b.putChunk(chunk, record)
}

// splitIfTooLarge splits a chunk whose record would outgrow a value, and returns the pieces
// that were split off.
func (b *batchBuilder) splitIfTooLarge(chunk *chunk) []*chunk {
	layout := &b.partition.layout
	record := chunk.record()
	if record.SizeBound() <= layout.maxValueBytes() {
		return nil
	}
	cuts := layout.splitPoints(chunk)
	if len(cuts) == 0 {
		return nil
	}
	pieces := chunk.splitAt(cuts)
	b.partition.journal.adoptPieces(chunk, pieces)
	return pieces
}

// putChunk adds a chunk's record to the batch if the transaction's size limit permits. A
// batch without other changes accepts a record of any size, or it could never be written.
func (b *batchBuilder) putChunk(chunk *chunk, record records.ChunkRecord) {
	size := record.SizeBound()
	if b.size > 0 && b.size+size > tuning.MaxTxnBytes {
		return
	}
	b.size += size
	b.put(b.partition.layout.chunkKey(chunk), chunk.revision, record)
	b.batch.chunkWrites = append(b.batch.chunkWrites, chunkWrite{
		chunk:         chunk,
		changeVersion: chunk.changeVersion,
		format:        chunk.format,
	})
}
