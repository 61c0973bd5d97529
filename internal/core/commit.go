package core

import (
	"strconv"
	"strings"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// maxOver is after how many ended jobs those before them are forgotten. A late word of a
// submission is seconds old, in which far fewer end.
const maxOver = 4096

// Keys of the state service.

// JobKey is the key of a job's record.
func JobKey(id string) string { return "j/" + id }

// ChunkPrefix is the prefix of all chunks of a part.
func ChunkPrefix(part int) string { return "a/" + strconv.Itoa(part) + "/" }

// ChunkKey is the key of a chunk of a job.
func ChunkKey(part int, id, name string) string { return ChunkPrefix(part) + id + "/" + name }

// SplitChunkKey takes a chunk's key apart.
func SplitChunkKey(key string) (id, name string, ok bool) {
	f := strings.Split(key, "/")
	if len(f) != 4 {
		return "", "", false
	}
	return f[2], f[3], true
}

// CancelPrefix is the prefix of the marks of cancelled jobs of a part.
func CancelPrefix(part int) string { return "x/" + strconv.Itoa(part) + "/" }

// CancelKey marks a job as cancelled for its part's owner.
func CancelKey(part int, id string) string { return CancelPrefix(part) + id }

// PartitionKey is the key that names a part's owner.
func PartitionKey(part int) string { return "c/p/" + strconv.Itoa(part) }

// FirstChunk is the record of a job's first chunk as it is submitted.
func FirstChunk(r *JobRecord, level FeatureLevel, s *config.Settings) ChunkRecord {
	c := ChunkRecord{Job: r.Job, At: r.At}
	if level >= SizedChunks {
		c.To = min(ChunkTasks(s), r.Job.Tasks)
	}
	return c
}

// Batch is a set of changes of a part on its way to the state service.
type Batch struct {
	Txn wire.Txn
	// Full: something was left for the next one.
	Full bool
	// slots are the numbers of its journal records, entries what those hold, folds
	// the chunks whose own records it writes.
	slots   []uint64
	entries []entryWrite
	folds   []foldWrite
	// ended is the job whose end the batch commits, removed the one whose
	// last records it deletes.
	ended *Job
	// cleaned are chunks deleted after their job's end.
	cleaned []*chunk
}

type foldWrite struct {
	c       *chunk
	version int
	ranged  bool // the record says which tasks it holds
}

type entryWrite struct {
	c       *chunk
	version int
	seq     uint64
	tasks   []int
}

// Empty tells whether there is nothing to commit.
func (b *Batch) Empty() bool { return len(b.Txn.Then) == 0 }

// record builds a chunk's record.
func (c *chunk) record() ChunkRecord {
	j := c.job
	r := ChunkRecord{Try: j.try}
	if c.index == 0 {
		r.Job, r.At, r.JobStamp = j.Job, j.At.UnixMilli(), j.Stamp
	}
	if c.sized {
		r.From, r.To = c.from, c.to
	}
	r.Done = ranges(c.from, c.to, func(i int) bool { return j.tasks[i] == done })
	for t := c.from; t < c.to; t++ {
		if pl := j.placed[t]; pl != nil && j.tasks[t] != done {
			r.Live = append(r.Live, pl.live())
		}
	}
	return r
}

// bytes bounds a record's size in the protocol's measure from above.
func (r *ChunkRecord) bytes() int {
	n := chunkBytes + rangeBytes/2*len(r.Done)
	for _, l := range r.Live {
		n += l.bytes()
	}
	if r.Job != nil {
		n += descriptionBytes(r.Job)
	}
	return n
}

// Sizes in the protocol's measure, in bytes.
const (
	chunkBytes = 128 // a chunk's record without its tasks and the job's description
	rangeBytes = 14  // two task numbers of up to six digits
	jobBytes   = 560 // a job's description without its names
	placeBytes = 8   // the punctuation of a live placement
)

// descriptionBytes bounds the size of a job's description from above.
func descriptionBytes(j *wire.Job) int {
	n := jobBytes + len(j.ID) + len(j.Class) + len(j.Team) + len(j.Image) + len(j.Zone)
	for _, t := range j.Types {
		n += len(t) + 3
	}
	return n
}

// Recordable tells whether a job's description leaves room in a record for a task.
func Recordable(j *wire.Job, s *config.Settings) bool {
	return chunkBytes+descriptionBytes(j)+tuning.TaskBytes <= int(s.WriteLimits().ValueKB*1024)
}

// bytes is a placement's size.
func (l LiveRecord) bytes() int {
	return placeBytes + digits(uint64(l.Task)) + digits(l.Try) + len(l.Machine) + digits(l.Session)
}

func digits(n uint64) int { return len(strconv.FormatUint(n, 10)) }

// Batch gathers changes for one transaction: the end of a job first, chunks that
// the journal's ring makes due, the journal, and records that are to go.
func (p *Partition) Batch() *Batch {
	ops := p.limits.TxnOps
	b := &Batch{}
	b.Txn.If = append(b.Txn.If, wire.Cond{Key: PartitionKey(p.Index), Revision: p.Stamp})
	size := 0
	ids := sortedKeys(p.jobs)
	for _, id := range ids {
		j := p.jobs[id]
		if j.final || j.Cancelled || j.done < j.Tasks {
			continue
		}
		if b.ended != nil {
			b.Full = true
			break
		}
		// One end per batch keeps conflicts with cancellations apart.
		rec := JobRecord{Job: j.Job, Phase: wire.Done, Part: p.Index, At: j.At.UnixMilli()}
		b.Txn.If = append(b.Txn.If, wire.Cond{Key: JobKey(id), Revision: j.Stamp}, wire.Cond{Key: p.chunkKey(j.chunks[0]), Revision: j.chunks[0].stamp})
		b.Txn.Then = append(b.Txn.Then, wire.Write{Put: JobKey(id), Value: rec}, wire.Write{Delete: p.chunkKey(j.chunks[0])})
		b.ended = j
		size += 1000
	}
	if p.fold(b, &size, ops) {
		p.journal(b, &size, ops)
	}
	for _, j := range p.ending {
		for _, c := range j.chunks {
			if c.from > 0 && c.stamp > 0 && len(b.Txn.Then) < ops {
				p.discard(b, c)
			}
		}
	}
	for _, id := range ids {
		if j := p.jobs[id]; !j.final && j.dropping() && len(b.Txn.Then)+2 <= ops {
			p.forget(b, j, ops)
		}
	}
	b.Full = b.Full || len(b.Txn.Then)+2 > ops || size+tuning.MinJournalBytes > tuning.TxnBytes
	return b
}

// discard deletes a chunk's record.
func (p *Partition) discard(b *Batch, c *chunk) {
	key := p.chunkKey(c)
	b.Txn.If = append(b.Txn.If, wire.Cond{Key: key, Revision: c.stamp})
	b.Txn.Then = append(b.Txn.Then, wire.Write{Delete: key})
	b.cleaned = append(b.cleaned, c)
}

// forget drops the records of a cancelled job, all of which is gone: the first
// chunk, which makes it known to a new owner, and then the mark last of all.
func (p *Partition) forget(b *Batch, j *Job, ops int) {
	for i := len(j.chunks) - 1; i >= 0; i-- {
		c := j.chunks[i]
		if c.stamp == 0 {
			continue
		}
		// The first chunk and the mark go together, so that no mark is left behind of
		// which no owner knows the job.
		if len(b.Txn.Then)+2 > ops || (i == 0 && b.ended != nil) {
			return
		}
		p.discard(b, c)
	}
	if b.ended == nil {
		b.Txn.Then = append(b.Txn.Then, wire.Write{Delete: CancelKey(p.Index, j.ID)})
		b.ended = j
	}
}

// Committed notes that a batch is in the state service.
func (p *Partition) Committed(b *Batch, rev uint64) {
	for _, seq := range b.slots {
		p.slots[p.slot(seq)] = rev
	}
	p.Journaled += len(b.slots)
	p.Folded += len(b.folds)
	for _, w := range b.entries {
		p.settle(w.c, w.version, w.tasks)
		if w.c.oldest == 0 && !w.c.job.final {
			w.c.oldest = w.seq
			p.unfolded[w.c] = true
		}
	}
	for _, w := range b.folds {
		w.c.stamp, w.c.oldest = rev, 0
		w.c.head, w.c.parts = nil, nil
		w.c.ranged = w.ranged
		delete(p.unfolded, w.c)
		p.settle(w.c, w.version, nil)
	}
	for _, c := range b.cleaned {
		c.stamp = 0
	}
	if b.ended != nil {
		p.end(b.ended)
	}
	still := p.ending[:0]
	for _, j := range p.ending {
		for _, c := range j.chunks {
			if c.from > 0 && c.stamp > 0 {
				still = append(still, j)
				break
			}
		}
	}
	p.ending = still
}

// end forgets a job whose end is committed. Placements of a finished gang that
// its workers have not reported yet keep their room until they do.
func (p *Partition) end(j *Job) {
	j.final = true
	delete(p.jobs, j.ID)
	if len(p.over) >= maxOver {
		p.over, p.overBefore = map[string]bool{}, p.over
	}
	p.over[j.ID] = true
	j.chunks[0].stamp = 0
	for _, c := range j.chunks {
		delete(p.dirty, c)
		delete(p.unfolded, c)
	}
	p.ending = append(p.ending, j)
}

// Refresh takes in what a re-read found of a key after an unknown outcome or a
// conflict. All stays marked as changed, so that the next commit rewrites the
// key under its present stamp, which fences whatever is still under way.
func (p *Partition) Refresh(b *Batch, key string, stamp uint64, rec *JobRecord, now time.Time) {
	if b.ended != nil && key == JobKey(b.ended.ID) {
		j := b.ended
		j.Stamp = stamp
		if rec == nil {
			return
		}
		switch rec.Phase {
		case wire.Done:
			p.end(j)
		case wire.Cancelled:
			p.Cancel(j.ID, now)
		}
		return
	}
	for _, seq := range b.slots {
		if key == p.journalKey(seq) {
			p.slots[p.slot(seq)] = stamp
			return
		}
	}
	for _, w := range b.folds {
		if key == p.chunkKey(w.c) {
			w.c.stamp = stamp
		}
	}
	for _, c := range b.cleaned {
		if key == p.chunkKey(c) {
			c.stamp = stamp
		}
	}
	if b.ended != nil && key == p.chunkKey(b.ended.chunks[0]) {
		b.ended.chunks[0].stamp = stamp
	}
}
