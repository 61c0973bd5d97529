package controller

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"ambersill/internal/kvstore"
	"ambersill/internal/records"
	"ambersill/internal/scheduler"
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
		b := o.partition.PrepareBatch()
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
func (o *ownedPartition) commit(b *scheduler.Batch) bool {
	rev, err := o.controller.store.Commit(o.ctx, b.Txn)
	if err == nil {
		o.mu.Lock()
		o.partition.ConfirmBatch(b, rev)
		o.mu.Unlock()
		return true
	}
	switch {
	case errors.Is(err, kvstore.ErrRefused):
		transport.Pause(o.ctx, 100*time.Millisecond)
		return false
	case errors.Is(err, kvstore.ErrInvalid):
		// Not carried out, and never will be as it is: the next one has to be smaller.
		slog.Error("commit over the state service's limits", "part", o.index, "changes", len(b.Txn.Writes), "err", err)
		if err := o.controller.rereadLevel(o.ctx); err != nil {
			slog.Debug("feature level not read", "err", err)
		}
		o.mu.Lock()
		o.partition.ReduceLimits()
		o.mu.Unlock()
		transport.Pause(o.ctx, 100*time.Millisecond)
		return false
	}
	var conflict *kvstore.Conflict
	if errors.As(err, &conflict) {
		slog.Debug("commit conflict", "part", o.index, "keys", conflict.Keys)
	} else {
		slog.Debug("commit unanswered", "part", o.index, "err", err)
	}
	// Whatever happened to it, the keys tell; the next commit rewrites them
	// under the stamps read here, after which this one can no longer apply.
	for _, cond := range b.Txn.Compares {
		if !o.refresh(b, cond.Key) {
			return false
		}
	}
	return false
}

func (o *ownedPartition) refresh(b *scheduler.Batch, key string) bool {
	for o.ctx.Err() == nil {
		it, err := o.controller.store.Get(o.ctx, key)
		if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
			transport.Pause(o.ctx, 300*time.Millisecond)
			continue
		}
		if key == records.PartitionKey(o.index) {
			if it.Revision != o.revision {
				o.controller.lose(o, "its key has another stamp")
				return false
			}
			return true
		}
		var rec *records.JobRecord
		if len(it.Value) > 0 && key[:2] == "j/" {
			rec = &records.JobRecord{}
			if uerr := wire.Unmarshal(it.Value, rec); uerr != nil {
				rec = nil
			}
		}
		o.mu.Lock()
		o.partition.RefreshKey(b, key, it.Revision, rec, time.Now())
		o.mu.Unlock()
		return true
	}
	return false
}

// release lets go of machines that the leader wants back and that are empty,
// and raises the tokens of those where an order's outcome is unknown.
func (o *ownedPartition) release() {
	o.mu.Lock()
	changes := map[string]*records.MachineRecord{}
	for id, r := range o.partition.ReleasableMachines() {
		changes[id] = &r
	}
	for _, id := range o.partition.MachinesToRefence() {
		if e, ok := o.controller.cluster.machine(id); ok && e.rec.Partition == o.index && changes[id] == nil {
			changes[id] = &e.rec
		}
	}
	o.mu.Unlock()
	// The token is above all that was committed before, and no higher than the
	// revision of the commit that writes it, so that any later claim is above it.
	for id, r := range changes {
		e, _ := o.controller.cluster.machine(id)
		r.FencingToken = max(o.controller.store.Revision(), o.revision, e.stamp) + 1
	}
	if err := o.controller.rewrite(o.ctx, wire.Compare{Key: records.PartitionKey(o.index), Revision: o.revision}, changes); err != nil {
		slog.Debug("machines' records not rewritten", "part", o.index, "err", err)
	}
}

// rewrite changes machines' records under the fence of the part's owner or the
// leader; nil removes one.
func (c *Controller) rewrite(ctx context.Context, fence wire.Compare, changes map[string]*records.MachineRecord) error {
	limit := c.groupLimit()
	most := min(c.limits.TxnOps, max(1, tuning.TxnBytes/limit))
	var next groupChange
	for _, change := range c.cluster.regroup(changes, limit) {
		if len(next.then) > 0 && len(next.then)+len(change.then) > most {
			if err := c.commitGroups(ctx, fence, next); err != nil {
				return err
			}
			next = groupChange{}
		}
		next.conds = append(next.conds, change.conds...)
		next.then = append(next.then, change.then...)
	}
	return c.commitGroups(ctx, fence, next)
}

// commitGroups commits changes of groups, and takes them into the copy in their order.
func (c *Controller) commitGroups(ctx context.Context, fence wire.Compare, change groupChange) error {
	if len(change.then) == 0 {
		return nil
	}
	rev, err := c.store.Commit(ctx, wire.Txn{Compares: append([]wire.Compare{fence}, change.conds...), Writes: change.then})
	if err != nil {
		return err
	}
	for _, w := range change.then {
		if w.Put != "" {
			c.cluster.apply(w.Put, must(wire.Marshal(w.Value)), rev, false)
		} else {
			c.cluster.apply(w.Delete, nil, rev, true)
		}
	}
	return nil
}

// summaryGap is how long the next summary waits after one of some changes: they may take
// a share of the state service's rate only, since all else goes before them.
func (c *Controller) summaryGap(changes int) time.Duration {
	least := tuning.Seconds(c.tuning.SummaryS)
	return max(least, tuning.Seconds(float64(changes)/(tuning.SummaryShare*c.limits.WriteRPS)))
}

// summarise writes those of the summary's records that have changed.
func (o *ownedPartition) summarise() {
	if time.Since(o.summarised) < o.summaryGap {
		return
	}
	o.mu.Lock()
	s := o.partition.Summary(time.Now())
	o.mu.Unlock()
	values := map[string]any{}
	notes := s.SplitMachineDigests(o.controller.limits.ValueKB)
	for i, n := range notes {
		values[records.MachineDigestsKey(o.index, i)] = n
	}
	s.DigestRecords = len(notes)
	more := s.SplitWaiting(o.controller.limits.ValueKB)
	for i, demands := range more {
		values[records.WaitingKey(o.index, i)] = demands
	}
	s.OverflowRecords = len(more)
	values[records.SummaryKey(o.index)] = s
	// The condition on the part's key alone fences it: only owners write here.
	txn := wire.Txn{Compares: []wire.Compare{{Key: records.PartitionKey(o.index), Revision: o.revision}}}
	changed := map[string][]byte{}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		b, err := wire.Marshal(values[key])
		if err != nil || bytes.Equal(b, o.last[key]) || len(txn.Writes) == o.controller.limits.TxnOps {
			continue
		}
		changed[key] = b
		txn.Writes = append(txn.Writes, wire.Write{Put: key, Value: wire.Raw(b)})
	}
	if len(changed) == 0 {
		return
	}
	o.summarised = time.Now()
	o.summaryGap = o.controller.summaryGap(len(txn.Writes))
	if _, err := o.controller.store.Commit(o.ctx, txn); err != nil {
		slog.Debug("summary not written", "part", o.index, "err", err)
		return
	}
	maps.Copy(o.last, changed)
}
