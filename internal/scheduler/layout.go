package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"ambersill/internal/config"
	"ambersill/internal/records"
)

// chunkLayout divides jobs' tasks into chunks, each with a record of its own. In the initial
// format a chunk's name is its number, and its range follows from a setting. From
// records.FeatureExplicitChunks on each record contains its range, so that a chunk whose record
// would outgrow a value can be split, and a change of the setting moves no task.
type chunkLayout struct {
	partition     int
	tasksPerChunk int // of numbered chunks
	// limits are those of the key-value store that everything written must keep to.
	limits       config.StateLimits
	featureLevel records.FeatureLevel
}

// newChunkLayout returns the layout that the settings give a partition.
func newChunkLayout(partition int, settings *config.Settings) chunkLayout {
	return chunkLayout{
		partition:     partition,
		tasksPerChunk: records.TasksPerChunk(settings),
		limits:        settings.WriteLimits(),
	}
}

// Level returns the cluster's feature level as last set.
func (p *Partition) Level() records.FeatureLevel { return p.layout.featureLevel }

// SetLevel sets the cluster's feature level, which never goes down.
func (p *Partition) SetLevel(level records.FeatureLevel) {
	p.layout.featureLevel = max(p.layout.featureLevel, level)
}

// Lower bounds of ReduceLimits.
const (
	minValueKB = 1 // a job's description must still fit
	minTxnOps  = 3 // the end of a job needs two changes, and one more must fit with them
)

// ReduceLimits halves what the next commits may contain, after the key-value store has found
// one invalid: its limits are lower than the settings claim.
func (p *Partition) ReduceLimits() {
	limits := &p.layout.limits
	limits.ValueKB = max(limits.ValueKB/2, minValueKB)
	limits.TxnOps = max(limits.TxnOps/2, minTxnOps)
}

// writesExplicitRanges reports whether the cluster's feature level permits explicit ranges.
func (l *chunkLayout) writesExplicitRanges() bool {
	return l.featureLevel >= records.FeatureExplicitChunks
}

// newFormat returns the format of new chunks.
func (l *chunkLayout) newFormat() chunkFormat {
	if l.writesExplicitRanges() {
		return explicitRangeChunk
	}
	return numberedChunk
}

// maxValueBytes returns the size of the largest value that may be written.
func (l *chunkLayout) maxValueBytes() int { return records.MaxValueBytes(l.limits.ValueKB) }

// chunkKey returns the key of a chunk's record.
func (l *chunkLayout) chunkKey(chunk *chunk) string {
	return records.ChunkKey(l.partition, chunk.job.ID, chunk.name)
}

// numberOf returns the number of the chunk that a task belongs to in the initial format.
func (l *chunkLayout) numberOf(task int) int { return task / l.tasksPerChunk }

// newChunks returns the chunks of a new job. Only the first one has a record, which was created
// with the job's own at the given revision.
func (l *chunkLayout) newChunks(job *Job, revision uint64) []*chunk {
	var chunks []*chunk
	for from := 0; from < job.Tasks; from += l.tasksPerChunk {
		to := min(from+l.tasksPerChunk, job.Tasks)
		chunks = append(chunks, newChunk(job, l.numberOf(from), from, to, l.newFormat()))
	}
	chunks[0].revision = revision
	chunks[0].storedFormat = l.newFormat()
	return chunks
}

// extent is a range of a job's tasks, [from, to), with the record that contains their state.
type extent struct {
	from, to int
	loaded   *records.LoadedChunk // nil: no record
}

// extentOf returns the range of tasks that a record contains, and whether it has any.
func (l *chunkLayout) extentOf(job *Job, loaded *records.LoadedChunk) (extent, bool) {
	if loaded.Record.HasExplicitRange() {
		from, to := loaded.Record.From, min(loaded.Record.To, job.Tasks)
		return extent{from: from, to: to, loaded: loaded}, from >= 0 && from < to
	}
	number, err := strconv.Atoi(loaded.Name)
	chunkCount := (job.Tasks + l.tasksPerChunk - 1) / l.tasksPerChunk
	if err != nil || number < 0 || number >= chunkCount {
		return extent{}, false
	}
	from := number * l.tasksPerChunk
	return extent{from: from, to: min(from+l.tasksPerChunk, job.Tasks), loaded: loaded}, true
}

// extents divides a job's tasks by the records that contain them. Where two records contain the
// same task, the one that begins later was split off from the other, and applies.
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

// overlay replaces what a new extent covers of the others, which are sorted without gaps.
func overlay(all []extent, added extent) []extent {
	const mostAdded = 2 // the new extent, and the rest of one that is cut in two
	out := make([]extent, 0, len(all)+mostAdded)
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

// loadedChunk is a chunk with the record that contains its state.
type loadedChunk struct {
	chunk  *chunk
	record *records.ChunkRecord // nil: no record
}

// loadChunks returns the chunks that a job's records describe.
func (l *chunkLayout) loadChunks(job *Job, loadedChunks []*records.LoadedChunk) []loadedChunk {
	format := l.newFormat()
	if slices.ContainsFunc(loadedChunks, func(loaded *records.LoadedChunk) bool { return loaded.Record.HasExplicitRange() }) {
		format = explicitRangeChunk
	}
	origins := map[*records.LoadedChunk]*chunk{}
	var all []loadedChunk
	for _, e := range l.extents(job, loadedChunks) {
		chunk := newChunk(job, l.numberOf(e.from), e.from, e.to, format)
		if e.loaded == nil {
			all = append(all, loadedChunk{chunk: chunk})
			continue
		}
		if origin := origins[e.loaded]; origin == nil {
			chunk.adoptRecord(e.loaded)
			origins[e.loaded] = chunk
		} else {
			chunk.awaitOwnRecord(origin)
		}
		all = append(all, loadedChunk{chunk: chunk, record: &e.loaded.Record})
	}
	return all
}

// adoptRecord makes a loaded record that of the chunk.
func (c *chunk) adoptRecord(loaded *records.LoadedChunk) {
	c.name = loaded.Name
	c.revision = loaded.Revision
	c.storedFormat = numberedChunk
	if loaded.Record.HasExplicitRange() {
		c.storedFormat = explicitRangeChunk
	}
	c.format = c.storedFormat
}

// awaitOwnRecord makes the chunk one that the earlier owner had yet to split off: the record of
// the origin contains its tasks as well.
func (c *chunk) awaitOwnRecord(origin *chunk) {
	c.name = records.ExplicitChunkName(c.from)
	c.format = explicitRangeChunk
	c.linkTo(origin)
}

// splitPoints returns the tasks at which to split a chunk so that each piece's record fits a
// value; none if its record fits as it is.
func (l *chunkLayout) splitPoints(c *chunk) []int {
	limit := l.maxValueBytes()
	size := records.ChunkOverheadBytes
	if c.from == 0 {
		size += records.JobDescriptionSizeBound(c.job.Job)
	}
	var cuts []int
	for task := c.from; task < c.to; task++ {
		taskBytes := c.recordedTaskBytes(task)
		if size+taskBytes > limit && task > c.from {
			cuts = append(cuts, task)
			size = records.ChunkOverheadBytes
		}
		size += taskBytes
	}
	return cuts
}

// isOutdated reports whether the chunk's record is to be written to convert its format: the
// stored one has no explicit range, or the chunk was split off and has none yet.
func (c *chunk) isOutdated(batch *Batch) bool {
	if !c.hasRecord() {
		return c.splitFrom != nil
	}
	return c.storedFormat == numberedChunk && c.splitOffWritten(batch)
}

// outdatedChunk returns a chunk whose record is to be written to convert its format, or nil.
func (p *Partition) outdatedChunk(batch *Batch) *chunk {
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		job := p.jobs[id]
		if job.finalized || job.recordsDeletable() {
			continue
		}
		for _, chunk := range slices.Backward(job.chunks) {
			if chunk.isOutdated(batch) {
				return chunk
			}
		}
	}
	return nil
}
