package controller

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"

	"ambersill/internal/core"
	"ambersill/internal/store"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// owned is a part while this node owns it.
type owned struct {
	c      *Controller
	index  int
	stamp  uint64
	ctx    context.Context
	cancel context.CancelFunc
	kick   chan struct{}

	mu sync.Mutex
	p  *core.Part // nil until its records are read
	// early are changes of machines that came while the records were read.
	early map[string]earlyChange
	news  time.Time         // every cancellation confirmed before then is known to p
	last  map[string][]byte // summary's records as last written
	told  time.Time
	// noted is what was last logged of the news: late, and reports still answered.
	noted [2]bool
}

type earlyChange struct {
	e    machineEntry
	gone bool
}

// machineChanged takes in a change of a machine's record. One that comes while the part is
// being read waits: the listing may be older, and the copy tells of it only once.
func (o *owned) machineChanged(id string, e machineEntry, gone bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.p == nil {
		o.early[id] = earlyChange{e, gone}
		return
	}
	o.apply(id, e, gone)
}

// apply hands a change on to the part; o.mu must be held.
func (o *owned) apply(id string, e machineEntry, gone bool) {
	if gone {
		o.p.RemoveMachine(id, time.Now())
	} else {
		o.p.SetMachine(id, e.rec, e.stamp, time.Now())
	}
}

func (c *Controller) newOwned(ctx context.Context, index int, stamp uint64) *owned {
	ctx, cancel := context.WithCancel(ctx)
	return &owned{c: c, index: index, stamp: stamp, ctx: ctx, cancel: cancel, kick: make(chan struct{}, 1), early: map[string]earlyChange{}, noted: [2]bool{false, true}, last: map[string][]byte{}}
}

func (o *owned) poke() {
	select {
	case o.kick <- struct{}{}:
	default:
	}
}

// run reads the part's records, and then schedules until the part is lost.
func (o *owned) run() {
	var rev uint64
	for o.ctx.Err() == nil {
		r, err := o.load()
		if err == nil {
			rev = r
			break
		}
		slog.Info("part not read yet", "part", o.index, "err", err)
		transport.Pause(o.ctx, 300*time.Millisecond)
	}
	if o.ctx.Err() != nil {
		return
	}
	go o.followJobs(rev)
	go o.followMarks()
	go o.seize()
	gap := tuning.Seconds(o.c.t.PassGapS)
	tick := time.NewTicker(tuning.Seconds(o.c.t.TickS))
	defer tick.Stop()
	for o.ctx.Err() == nil {
		select {
		case <-o.ctx.Done():
			return
		case <-o.kick:
		case <-tick.C:
		}
		began := time.Now()
		o.pass()
		if d := time.Since(began); d > time.Second {
			slog.Debug("slow pass", "part", o.index, "seconds", d.Seconds())
		}
		transport.Pause(o.ctx, gap)
	}
}

// load reads the part. It runs after the claim, whose stamp fences the last
// owner: nothing of it can be committed any more, so what is read here is whole.
func (o *owned) load() (uint64, error) {
	c := o.c
	machines, _, err := c.store.List(o.ctx, machinePrefix)
	if err != nil {
		return 0, err
	}
	// The watch starts before the jobs are read, so that none falls between.
	_, rev, err := c.store.List(o.ctx, core.PartKey(o.index))
	if err != nil {
		return 0, err
	}
	chunks, _, err := c.store.List(o.ctx, core.ChunkPrefix(o.index))
	if err != nil {
		return 0, err
	}
	journal, _, err := c.store.List(o.ctx, core.JournalPrefix(o.index))
	if err != nil {
		return 0, err
	}
	asked := time.Now()
	marks, _, err := c.store.List(o.ctx, core.CancelPrefix(o.index))
	if err != nil {
		return 0, err
	}
	now := time.Now()
	p := core.NewPart(o.index, o.stamp, c.s, &c.t)
	p.SetTypes(c.catalog())
	for _, it := range machines {
		g, err := core.ReadGroup(it.Key[len(machinePrefix):], it.Value, it.Stamp)
		if err != nil {
			return 0, err
		}
		for id, r := range g.Machines {
			p.SetMachine(id, r, it.Stamp, now)
		}
	}
	var all []core.LoadedChunk
	for _, it := range chunks {
		id, index, ok := core.SplitChunkKey(it.Key)
		var r core.ChunkRecord
		if err := wire.Unmarshal(it.Value, &r); err != nil || !ok {
			slog.Error("record not understood", "key", it.Key, "err", err)
			continue
		}
		all = append(all, core.LoadedChunk{Job: id, Index: index, Stamp: it.Stamp, Record: r})
	}
	var slots []core.LoadedSlot
	for _, it := range journal {
		var r core.JournalRecord
		if err := wire.Unmarshal(it.Value, &r); err != nil {
			slog.Error("record not understood", "key", it.Key, "err", err)
			continue
		}
		slots = append(slots, core.LoadedSlot{Stamp: it.Stamp, Record: r})
	}
	p.Load(all, slots)
	p.Marked(o.marked(marks), now)
	o.mu.Lock()
	o.p, o.news = p, asked
	for _, id := range sortedIDs(o.early) {
		o.apply(id, o.early[id].e, o.early[id].gone)
	}
	o.early = nil
	o.mu.Unlock()
	slog.Info("part read", "part", o.index, "jobs", p.Jobs(), "machines", len(p.MachineIDs()))
	o.poke()
	return rev, nil
}

// marked names the jobs of a listing of marks.
func (o *owned) marked(items []wire.Item) []string {
	ids := make([]string, len(items))
	for i, it := range items {
		ids[i] = it.Key[len(core.CancelPrefix(o.index)):]
	}
	return ids
}

// newsAge is how old this node's knowledge of cancellations is: all that were confirmed
// longer ago are known, whoever confirmed them. Contact would not do: with it back after
// an outage, or watches open but stuck, a leader that had been refused alone answered its
// workers' reports without knowing what others had told users meanwhile.
func (o *owned) newsAge() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(o.news)
}

// fresh tells whether the news are new enough to start tasks.
func (o *owned) fresh() bool { return o.newsAge() < tuning.Seconds(o.c.t.FreshS) }

// noteNews logs when an owner's news become too old to start tasks, or to answer reports.
func (o *owned) noteNews() {
	age := o.newsAge()
	late, answered := age > tuning.Seconds(o.c.t.FreshS), age <= o.c.newsLimit()
	if state := [2]bool{late, answered}; state != o.noted {
		o.noted = state
		slog.Info("news of cancellations", "part", o.index, "late", late, "answered", answered, "age_s", age.Seconds())
	}
}

// followMarks reads the marks of cancelled jobs again and again. A mark is committed with
// the cancellation and goes when all of the job is gone, so that a reading shows
// every cancellation up to when it was asked for.
func (o *owned) followMarks() {
	gap := tuning.Seconds(o.c.t.NewsS)
	for o.ctx.Err() == nil {
		o.noteNews()
		asked := time.Now()
		items, _, err := o.c.store.ListAtOnce(o.ctx, core.CancelPrefix(o.index))
		if err != nil {
			slog.Debug("marks not read", "part", o.index, "err", err)
			transport.Pause(o.ctx, gap/4)
			continue
		}
		o.mu.Lock()
		some := o.p.Marked(o.marked(items), time.Now())
		o.news = asked
		o.mu.Unlock()
		if some {
			o.poke()
		}
		transport.Pause(o.ctx, gap-time.Since(asked))
	}
}

// cancelled takes in that a job's cancellation is committed, by word of mouth.
func (o *owned) cancelled(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.p != nil {
		o.p.Cancel(id, time.Now())
		o.poke()
	}
}

// followJobs learns of submissions and cancellations.
func (o *owned) followJobs(rev uint64) {
	o.watchJobs(rev)
	for o.ctx.Err() == nil {
		// Too far behind: what was missed stands in the part's records.
		rev, err := o.reread()
		if err != nil {
			transport.Pause(o.ctx, 500*time.Millisecond)
			continue
		}
		o.watchJobs(rev)
	}
}

func (o *owned) watchJobs(rev uint64) {
	followFrom(o.ctx, o.c.store, "j/", rev, func(e wire.Event) {
		if e.Put == "" {
			return
		}
		var r core.JobRecord
		if err := wire.Unmarshal(e.Value, &r); err != nil || r.Job == nil || r.Part != o.index {
			return
		}
		o.mu.Lock()
		switch r.Phase {
		case wire.Queued:
			o.p.AddJob(r.Job, time.UnixMilli(r.At), e.Stamp)
		case wire.Cancelled:
			o.p.Cancel(r.Job.ID, time.Now())
		}
		o.mu.Unlock()
		o.poke()
	}, func(uint64) {})
}

// reread takes in jobs and cancellations that the watch has missed.
func (o *owned) reread() (uint64, error) {
	_, rev, err := o.c.store.List(o.ctx, core.PartKey(o.index))
	if err != nil {
		return 0, err
	}
	chunks, _, err := o.c.store.List(o.ctx, core.ChunkPrefix(o.index))
	if err != nil {
		return 0, err
	}
	marks, _, err := o.c.store.List(o.ctx, core.CancelPrefix(o.index))
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, it := range chunks {
		var r core.ChunkRecord
		if _, index, ok := core.SplitChunkKey(it.Key); ok && index == 0 && wire.Unmarshal(it.Value, &r) == nil && r.Job != nil && r.JobStamp == 0 {
			o.p.AddJob(r.Job, time.UnixMilli(r.At), it.Stamp)
		}
	}
	o.p.Marked(o.marked(marks), time.Now())
	return rev, nil
}

// pass schedules once and commits what came of it.
func (o *owned) pass() {
	if o.fresh() {
		o.mu.Lock()
		o.p.Schedule(time.Now())
		o.mu.Unlock()
	}
	// Not until nothing is left to commit: on a busy part there always is something
	// new, and meanwhile nothing would be placed or sent.
	for more := true; more && o.ctx.Err() == nil; {
		o.mu.Lock()
		b := o.p.Batch()
		o.mu.Unlock()
		if b.Empty() {
			break
		}
		if !o.commit(b) {
			return
		}
		o.direct()
		more = b.Full
	}
	o.release()
	o.summarise()
	o.direct()
}

// commit sends a batch; false: wait before the next one.
func (o *owned) commit(b *core.Batch) bool {
	rev, err := o.c.store.Commit(o.ctx, b.Txn)
	if err == nil {
		o.mu.Lock()
		o.p.Committed(b, rev)
		o.mu.Unlock()
		return true
	}
	if errors.Is(err, store.ErrRefused) {
		transport.Pause(o.ctx, 100*time.Millisecond)
		return false
	}
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		slog.Debug("commit conflict", "part", o.index, "keys", conflict.Keys)
	} else {
		slog.Debug("commit unanswered", "part", o.index, "err", err)
	}
	// Whatever happened to it, the keys tell; the next commit rewrites them
	// under the stamps read here, after which this one can no longer apply.
	for _, cond := range b.Txn.If {
		if !o.refresh(b, cond.Key) {
			return false
		}
	}
	return false
}

func (o *owned) refresh(b *core.Batch, key string) bool {
	for o.ctx.Err() == nil {
		it, err := o.c.store.Get(o.ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			transport.Pause(o.ctx, 300*time.Millisecond)
			continue
		}
		if key == core.PartKey(o.index) {
			if it.Stamp != o.stamp {
				o.c.lose(o, "its key has another stamp")
				return false
			}
			return true
		}
		var rec *core.JobRecord
		if len(it.Value) > 0 && key[:2] == "j/" {
			rec = &core.JobRecord{}
			if uerr := wire.Unmarshal(it.Value, rec); uerr != nil {
				rec = nil
			}
		}
		o.mu.Lock()
		o.p.Refresh(b, key, it.Stamp, rec, time.Now())
		o.mu.Unlock()
		return true
	}
	return false
}

// release lets go of machines that the leader wants back and that are empty,
// and raises the tokens of those where an order's outcome is unknown.
func (o *owned) release() {
	o.mu.Lock()
	changes := map[string]*core.MachineRecord{}
	for id, r := range o.p.Releasable() {
		changes[id] = &r
	}
	for _, id := range o.p.Doubtful() {
		if e, ok := o.c.cluster.machine(id); ok && e.rec.Part == o.index && changes[id] == nil {
			changes[id] = &e.rec
		}
	}
	o.mu.Unlock()
	// The token is above all that was committed before, and no higher than the
	// revision of the commit that writes it, so that any later claim is above it.
	for id, r := range changes {
		e, _ := o.c.cluster.machine(id)
		r.Token = max(o.c.store.Revision(), o.stamp, e.stamp) + 1
	}
	if err := o.c.rewrite(o.ctx, wire.Cond{Key: core.PartKey(o.index), Stamp: o.stamp}, changes); err != nil {
		slog.Debug("machines' records not rewritten", "part", o.index, "err", err)
	}
}

// rewrite changes machines' records under the fence of the part's owner or the
// leader; nil removes one.
func (c *Controller) rewrite(ctx context.Context, fence wire.Cond, changes map[string]*core.MachineRecord) error {
	conds, then := c.cluster.regroup(changes)
	for len(then) > 0 {
		n := min(len(then), c.s.Cluster.State.TxnOps, max(1, int(tuning.TxnBytes/(c.s.Cluster.State.ValueKB*1024))))
		rev, err := c.store.Commit(ctx, wire.Txn{If: append([]wire.Cond{fence}, conds[:n]...), Then: then[:n]})
		if err != nil {
			return err
		}
		for _, w := range then[:n] {
			if w.Put != "" {
				c.cluster.apply(w.Put, must(wire.Marshal(w.Value)), rev, false)
			} else {
				c.cluster.apply(w.Delete, nil, rev, true)
			}
		}
		conds, then = conds[n:], then[n:]
	}
	return nil
}

// summarise writes those of the summary's records that have changed.
func (o *owned) summarise() {
	if time.Since(o.told) < tuning.Seconds(o.c.t.SummaryS) {
		return
	}
	o.mu.Lock()
	s := o.p.Summary(time.Now())
	o.mu.Unlock()
	records := map[string]any{}
	notes := s.MachineNotes(o.c.s.Cluster.State.ValueKB)
	for i, n := range notes {
		records[notesKey(o.index, i)] = n
	}
	s.Notes = len(notes)
	records[summaryKey(o.index)] = s
	// The condition on the part's key alone fences it: only owners write here.
	txn := wire.Txn{If: []wire.Cond{{Key: core.PartKey(o.index), Stamp: o.stamp}}}
	changed := map[string][]byte{}
	for _, key := range sortedIDs(records) {
		b, err := wire.Marshal(records[key])
		if err != nil || bytes.Equal(b, o.last[key]) || len(txn.Then) == o.c.s.Cluster.State.TxnOps {
			continue
		}
		changed[key] = b
		txn.Then = append(txn.Then, wire.Write{Put: key, Value: wire.Raw(b)})
	}
	if len(changed) == 0 {
		return
	}
	o.told = time.Now()
	if _, err := o.c.store.Commit(o.ctx, txn); err != nil {
		slog.Debug("summary not written", "part", o.index, "err", err)
		return
	}
	maps.Copy(o.last, changed)
}
