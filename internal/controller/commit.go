package controller

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"maps"
	"time"

	"ambersill/internal/core"
	"ambersill/internal/store"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// pass schedules once and commits what came of it.
func (o *ownedPartition) pass() {
	if o.fresh() {
		o.mu.Lock()
		o.partition.Schedule(time.Now())
		o.mu.Unlock()
	}
	// Not until nothing is left to commit: on a busy part there always is something
	// new, and meanwhile nothing would be placed or sent.
	for more := true; more && o.ctx.Err() == nil; {
		o.mu.Lock()
		b := o.partition.Batch()
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
func (o *ownedPartition) commit(b *core.Batch) bool {
	rev, err := o.controller.store.Commit(o.ctx, b.Txn)
	if err == nil {
		o.mu.Lock()
		o.partition.Committed(b, rev)
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

func (o *ownedPartition) refresh(b *core.Batch, key string) bool {
	for o.ctx.Err() == nil {
		it, err := o.controller.store.Get(o.ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			transport.Pause(o.ctx, 300*time.Millisecond)
			continue
		}
		if key == core.PartitionKey(o.index) {
			if it.Revision != o.revision {
				o.controller.lose(o, "its key has another stamp")
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
		o.partition.Refresh(b, key, it.Revision, rec, time.Now())
		o.mu.Unlock()
		return true
	}
	return false
}

// release lets go of machines that the leader wants back and that are empty,
// and raises the tokens of those where an order's outcome is unknown.
func (o *ownedPartition) release() {
	o.mu.Lock()
	changes := map[string]*core.MachineRecord{}
	for id, r := range o.partition.Releasable() {
		changes[id] = &r
	}
	for _, id := range o.partition.Unconfirmed() {
		if e, ok := o.controller.cluster.machine(id); ok && e.rec.Part == o.index && changes[id] == nil {
			changes[id] = &e.rec
		}
	}
	o.mu.Unlock()
	// The token is above all that was committed before, and no higher than the
	// revision of the commit that writes it, so that any later claim is above it.
	for id, r := range changes {
		e, _ := o.controller.cluster.machine(id)
		r.Token = max(o.controller.store.Revision(), o.revision, e.stamp) + 1
	}
	if err := o.controller.rewrite(o.ctx, wire.Cond{Key: core.PartitionKey(o.index), Revision: o.revision}, changes); err != nil {
		slog.Debug("machines' records not rewritten", "part", o.index, "err", err)
	}
}

// rewrite changes machines' records under the fence of the part's owner or the
// leader; nil removes one.
func (c *Controller) rewrite(ctx context.Context, fence wire.Cond, changes map[string]*core.MachineRecord) error {
	conds, then := c.cluster.regroup(changes)
	for len(then) > 0 {
		n := min(len(then), c.settings.Cluster.State.TxnOps, max(1, int(tuning.TxnBytes/(c.settings.Cluster.State.ValueKB*1024))))
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
func (o *ownedPartition) summarise() {
	if time.Since(o.summarised) < tuning.Seconds(o.controller.tuning.SummaryS) {
		return
	}
	o.mu.Lock()
	s := o.partition.Summary(time.Now())
	o.mu.Unlock()
	records := map[string]any{}
	notes := s.MachineNotes(o.controller.settings.Cluster.State.ValueKB)
	for i, n := range notes {
		records[notesKey(o.index, i)] = n
	}
	s.Notes = len(notes)
	records[summaryKey(o.index)] = s
	// The condition on the part's key alone fences it: only owners write here.
	txn := wire.Txn{If: []wire.Cond{{Key: core.PartitionKey(o.index), Revision: o.revision}}}
	changed := map[string][]byte{}
	for _, key := range sortedIDs(records) {
		b, err := wire.Marshal(records[key])
		if err != nil || bytes.Equal(b, o.last[key]) || len(txn.Then) == o.controller.settings.Cluster.State.TxnOps {
			continue
		}
		changed[key] = b
		txn.Then = append(txn.Then, wire.Write{Put: key, Value: wire.Raw(b)})
	}
	if len(changed) == 0 {
		return
	}
	o.summarised = time.Now()
	if _, err := o.controller.store.Commit(o.ctx, txn); err != nil {
		slog.Debug("summary not written", "part", o.index, "err", err)
		return
	}
	maps.Copy(o.last, changed)
}
