package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"ambersill/internal/config"
	"ambersill/internal/records"
)

// chunkLayout divides jobs' tasks into chunks, each of which has its own record. In the initial
// format a chunk is named by its index, and its range follows from the configured value size.
// From feature level records.FeatureExplicitChunks on, each record contains its range. A chunk
// whose record would exceed the maximum value size can then be split, and a change of the
// configured size does not move tasks between chunks.
type chunkLayout struct {
	partition     int
	tasksPerChunk int // in indexed chunks
	// limits are the key-value store's limits for writes. ReduceWriteLimits may lower them.
	limits       config.StoreLimits
	featureLevel records.FeatureLevel
}

// newChunkLayout returns a partition's layout for the given settings.
func newChunkLayout(partition int, settings *config.Settings) chunkLayout {
	return chunkLayout{
		partition:     partition,
		tasksPerChunk: records.TasksPerChunk(settings),
		limits:        settings.WriteLimits(),
	}
}

// Level returns the cluster's feature level, as set by RaiseLevel.
func (p *Partition) Level() records.FeatureLevel { return p.layout.featureLevel }

// RaiseLevel raises the cluster's feature level. A lower level is ignored.
func (p *Partition) RaiseLevel(level records.FeatureLevel) {
	p.layout.featureLevel = max(p.layout.featureLevel, level)
}

// minValueKiB is the lower bound of the value size that ReduceWriteLimits sets. A job's description
// must still fit into a value.
const minValueKiB = 1

// ReduceWriteLimits halves the limits of values and transactions. It is called when the key-value
// store has rejected a commit as invalid, because then its limits are lower than configured.
func (p *Partition) ReduceWriteLimits() {
	limits := &p.layout.limits
	limits.MaxValueKiB = max(limits.MaxValueKiB/2, minValueKiB)
	limits.MaxTxnWrites = max(limits.MaxTxnWrites/2, config.MinTxnWrites)
}

// writesExplicitRanges reports whether the cluster's feature level permits records with explicit
// ranges.
func (l *chunkLayout) writesExplicitRanges() bool {
	return l.featureLevel >= records.FeatureExplicitChunks
}

// formatForNewChunks returns the format in which the records of new chunks are written.
func (l *chunkLayout) formatForNewChunks() chunkFormat {
	if l.writesExplicitRanges() {
		return explicitRangeChunk
	}
	return indexedChunk
}

// maxValueBytes returns the maximum size of a value that may be written, in bytes.
func (l *chunkLayout) maxValueBytes() int { return records.MaxValueBytes(l.limits.MaxValueKiB) }

// chunkKey returns the key of a chunk's record.
func (l *chunkLayout) chunkKey(chunk *chunk) string {
	return records.ChunkKey(l.partition, chunk.job.ID, chunk.name)
}

// chunkIndex returns the index of the chunk that contains the task in the initial format.
func (l *chunkLayout) chunkIndex(task int) int { return task / l.tasksPerChunk }

// newChunks returns the chunks of a new job. Only the first chunk has a record, which was created
// together with the job's record at the given revision.
func (l *chunkLayout) newChunks(job *Job, revision uint64) []*chunk {
	var chunks []*chunk
	for from := 0; from < job.TaskCount; from += l.tasksPerChunk {
		to := min(from+l.tasksPerChunk, job.TaskCount)
		chunks = append(chunks, newChunk(job, l.chunkIndex(from), from, to, l.formatForNewChunks()))
	}
	chunks[0].revision = revision
	chunks[0].storedFormat = l.formatForNewChunks()
	return chunks
}

// extent is a range of a job's tasks, [from, to), and the loaded record that contains their state.
type extent struct {
	from, to int
	loaded   *records.LoadedChunk // nil if no record contains their state
}

// extentOf returns the range of the job's tasks that a record contains. The result is false if the
// record contains none.
func (l *chunkLayout) extentOf(job *Job, loaded *records.LoadedChunk) (extent, bool) {
	if loaded.Record.HasExplicitRange() {
		from, to := loaded.Record.From, min(loaded.Record.To, job.TaskCount)
		return extent{from: from, to: to, loaded: loaded}, from >= 0 && from < to
	}
	index, err := strconv.Atoi(loaded.Name)
	chunkCount := (job.TaskCount + l.tasksPerChunk - 1) / l.tasksPerChunk
	if err != nil || index < 0 || index >= chunkCount {
		return extent{}, false
	}
	from := index * l.tasksPerChunk
	return extent{from: from, to: min(from+l.tasksPerChunk, job.TaskCount), loaded: loaded}, true
}

// extents divides a job's tasks into ranges by the records that contain them. If two records
// contain the same task, the record with the later start takes precedence, since its chunk was
// split off from the other.
func (l *chunkLayout) extents(job *Job, loadedChunks []*records.LoadedChunk) []extent {
	var recorded []extent
	for _, loaded := range loadedChunks {
		if e, ok := l.extentOf(job, loaded); ok {
			recorded = append(recorded, e)
		}
	}
	slices.SortFunc(recorded, func(a, b extent) int { return cmp.Compare(a.from, b.from) })
	var all []extent
	for _, chunk := range job.chunks {
		all = append(all, extent{from: chunk.from, to: chunk.to})
	}
	for _, e := range recorded {
		all = overlay(all, e)
	}
	return all
}

// overlay inserts an extent into a sorted list of extents without gaps, and cuts away the parts of
// the others that it covers.
func overlay(all []extent, added extent) []extent {
	const maxAdded = 2 // the new extent, and the second part of an extent that it cuts in two
	out := make([]extent, 0, len(all)+maxAdded)
	placed := false
	for _, e := range all {
		if e.to <= added.from {
			out = append(out, e)
			continue
		}
		if e.from < added.from {
			out = append(out, extent{from: e.from, to: added.from, loaded: e.loaded})
		}
		if !placed {
			out = append(out, added)
			placed = true
		}
		if e.to > added.to {
			out = append(out, extent{from: max(e.from, added.to), to: e.to, loaded: e.loaded})
		}
	}
	return out
}

// chunkWithRecord is a chunk and the loaded record that contains its tasks' state.
type chunkWithRecord struct {
	chunk  *chunk
	record *records.ChunkRecord // nil if there is none
}

// chunksFromRecords returns the chunks of a job as described by its loaded records. Ranges that no
// record contains become chunks without a record.
func (l *chunkLayout) chunksFromRecords(job *Job, loadedChunks []*records.LoadedChunk) []chunkWithRecord {
	format := l.formatForNewChunks()
	if slices.ContainsFunc(loadedChunks, func(loaded *records.LoadedChunk) bool { return loaded.Record.HasExplicitRange() }) {
		format = explicitRangeChunk
	}
	origins := map[*records.LoadedChunk]*chunk{}
	var all []chunkWithRecord
	for _, e := range l.extents(job, loadedChunks) {
		chunk := newChunk(job, l.chunkIndex(e.from), e.from, e.to, format)
		if e.loaded == nil {
			all = append(all, chunkWithRecord{chunk: chunk})
			continue
		}
		if origin := origins[e.loaded]; origin == nil {
			chunk.initFromRecord(e.loaded)
			origins[e.loaded] = chunk
		} else {
			chunk.initSplitOff(origin)
		}
		all = append(all, chunkWithRecord{chunk: chunk, record: &e.loaded.Record})
	}
	return all
}

// initFromRecord sets the name, revision and format of a new chunk to those of its loaded record.
func (c *chunk) initFromRecord(loaded *records.LoadedChunk) {
	c.name = loaded.Name
	c.revision = loaded.Revision
	c.storedFormat = indexedChunk
	if loaded.Record.HasExplicitRange() {
		c.storedFormat = explicitRangeChunk
	}
	c.format = c.storedFormat
}

// initSplitOff initializes a chunk that an earlier owner split off from origin without writing its
// record. The record of origin still contains the chunk's tasks.
func (c *chunk) initSplitOff(origin *chunk) {
	c.name = records.ExplicitChunkName(c.from)
	c.format = explicitRangeChunk
	c.setSplitFrom(origin)
}

// splitPoints returns the tasks before which to split a chunk so that each resulting record fits
// into a value. It returns none if the record fits without a split.
func (l *chunkLayout) splitPoints(c *chunk) []int {
	limit := l.maxValueBytes()
	size := records.ChunkOverheadBytes
	if c.from == 0 {
		size += records.JobDescriptionSizeBound(c.job.Job)
	}
	var boundaries []int
	for task := c.from; task < c.to; task++ {
		taskBytes := c.recordedTaskSizeBound(task)
		if size+taskBytes > limit && task > c.from {
			boundaries = append(boundaries, task)
			size = records.ChunkOverheadBytes
		}
		size += taskBytes
	}
	return boundaries
}

// needsFormatConversion reports whether the chunk's record should be written to convert its format,
// and can be written in the batch. This is the case if the stored record has no explicit range and
// all chunks that were split off have records or get them in the batch, or if the chunk was split
// off and has no record yet.
func (c *chunk) needsFormatConversion(batch *Batch) bool {
	if !c.hasRecord() {
		return c.splitFrom != nil
	}
	return c.storedFormat == indexedChunk && c.splitOffChunksWritten(batch)
}

// nextChunkToConvert returns a chunk for which needsFormatConversion holds, or nil if there is
// none.
func (p *Partition) nextChunkToConvert(batch *Batch) *chunk {
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		job := p.jobs[id]
		if job.finalized || job.recordsDeletable() {
			continue
		}
		for _, chunk := range slices.Backward(job.chunks) {
			if chunk.needsFormatConversion(batch) {
				return chunk
			}
		}
	}
	return nil
}
