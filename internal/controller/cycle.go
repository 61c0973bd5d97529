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

// runCycle schedules once and commits what came of it.
func (o *ownedPartition) runCycle() {
	if o.fresh() {
		o.mu.Lock()
		o.partition.Schedule(time.Now())
		o.mu.Unlock()
	}
	// Not until nothing is left to commit: on a busy part there always is something
	// new, and meanwhile nothing would be placed or sent.
	for more := true; more && o.ctx.Err() == nil; {
		o.mu.Lock()
		batch := o.partition.PrepareBatch()
		o.mu.Unlock()
		if batch.Empty() {
			break
		}
		if !o.commitBatch(batch) {
			return
		}
		o.sendCommands()
		more = batch.Full
	}
	o.rewriteMachineRecords()
	o.writeSummary()
	o.sendCommands()
}

// commitBatch sends a batch; false: wait before the next one.
func (o *ownedPartition) commitBatch(batch *scheduler.Batch) bool {
	revision, err := o.controller.store.Commit(o.ctx, batch.Txn)
	if err == nil {
		o.mu.Lock()
		o.partition.ConfirmBatch(batch, revision)
		o.mu.Unlock()
		return true
	}
	switch {
	case errors.Is(err, kvstore.ErrRefused):
		transport.Pause(o.ctx, 100*time.Millisecond)
		return false
	case errors.Is(err, kvstore.ErrInvalid):
		// Not carried out, and never will be as it is: the next one has to be smaller.
		slog.Error("commit over the state service's limits", "part", o.index, "changes", len(batch.Txn.Writes), "err", err)
		if err := o.controller.refreshFeatureLevel(o.ctx); err != nil {
			slog.Debug("feature level not read", "err", err)
		}
		o.mu.Lock()
		o.partition.ReduceLimits()
		o.mu.Unlock()
		transport.Pause(o.ctx, 100*time.Millisecond)
		return false
	}
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		slog.Debug("commit conflict", "part", o.index, "keys", conflict.Keys)
	} else {
		slog.Debug("commit unanswered", "part", o.index, "err", err)
	}
	// Whatever happened to it, the keys tell; the next commit rewrites them
	// under the stamps read here, after which this one can no longer apply.
	for _, cond := range batch.Txn.Compares {
		if !o.refreshKey(batch, cond.Key) {
			return false
		}
	}
	return false
}

func (o *ownedPartition) refreshKey(batch *scheduler.Batch, key string) bool {
	for o.ctx.Err() == nil {
		item, err := o.controller.store.Get(o.ctx, key)
		if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
			transport.Pause(o.ctx, 300*time.Millisecond)
			continue
		}
		if key == records.PartitionKey(o.index) {
			if item.Revision != o.revision {
				o.controller.releasePartition(o, "its key has another stamp")
				return false
			}
			return true
		}
		var rec *records.JobRecord
		if len(item.Value) > 0 && key[:2] == "j/" {
			rec = &records.JobRecord{}
			if uerr := wire.Unmarshal(item.Value, rec); uerr != nil {
				rec = nil
			}
		}
		o.mu.Lock()
		o.partition.RefreshKey(batch, key, item.Revision, rec, time.Now())
		o.mu.Unlock()
		return true
	}
	return false
}

// rewriteMachineRecords lets go of machines that the leader wants back and that are empty,
// and raises the tokens of those where an order's outcome is unknown.
func (o *ownedPartition) rewriteMachineRecords() {
	o.mu.Lock()
	changes := map[string]*records.MachineRecord{}
	for id, record := range o.partition.ReleasableMachines() {
		changes[id] = &record
	}
	for _, id := range o.partition.MachinesToRefence() {
		if entry, ok := o.controller.cluster.machine(id); ok && entry.record.Partition == o.index && changes[id] == nil {
			changes[id] = &entry.record
		}
	}
	o.mu.Unlock()
	// The token is above all that was committed before, and no higher than the
	// revision of the commit that writes it, so that any later claim is above it.
	for id, record := range changes {
		entry, _ := o.controller.cluster.machine(id)
		record.FencingToken = max(o.controller.store.Revision(), o.revision, entry.revision) + 1
	}
	if err := o.controller.rewriteMachines(o.ctx, wire.Compare{Key: records.PartitionKey(o.index), Revision: o.revision}, changes); err != nil {
		slog.Debug("machines' records not rewritten", "part", o.index, "err", err)
	}
}

// rewriteMachines changes machines' records under the fence of the part's owner or the
// leader; nil removes one.
func (c *Controller) rewriteMachines(ctx context.Context, fence wire.Compare, changes map[string]*records.MachineRecord) error {
	limit := c.groupLimit()
	most := min(c.limits.TxnOps, max(1, tuning.TxnBytes/limit))
	var next groupChange
	for _, change := range c.cluster.groupChanges(changes, limit) {
		if len(next.writes) > 0 && len(next.writes)+len(change.writes) > most {
			if err := c.commitGroups(ctx, fence, next); err != nil {
				return err
			}
			next = groupChange{}
		}
		next.compares = append(next.compares, change.compares...)
		next.writes = append(next.writes, change.writes...)
	}
	return c.commitGroups(ctx, fence, next)
}

// commitGroups commits changes of groups, and takes them into the copy in their order.
func (c *Controller) commitGroups(ctx context.Context, fence wire.Compare, change groupChange) error {
	if len(change.writes) == 0 {
		return nil
	}
	revision, err := c.store.Commit(ctx, wire.Txn{Compares: append([]wire.Compare{fence}, change.compares...), Writes: change.writes})
	if err != nil {
		return err
	}
	for _, w := range change.writes {
		if w.Put != "" {
			c.cluster.apply(w.Put, must(wire.Marshal(w.Value)), revision, false)
		} else {
			c.cluster.apply(w.Delete, nil, revision, true)
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

// writeSummary writes those of the summary's records that have changed.
func (o *ownedPartition) writeSummary() {
	if time.Since(o.lastSummary) < o.summaryGap {
		return
	}
	o.mu.Lock()
	summary := o.partition.Summary(time.Now())
	o.mu.Unlock()
	values := map[string]any{}
	notes := summary.SplitMachineDigests(o.controller.limits.ValueKB)
	for i, n := range notes {
		values[records.MachineDigestsKey(o.index, i)] = n
	}
	summary.DigestRecords = len(notes)
	more := summary.SplitWaiting(o.controller.limits.ValueKB)
	for i, demands := range more {
		values[records.WaitingKey(o.index, i)] = demands
	}
	summary.OverflowRecords = len(more)
	values[records.SummaryKey(o.index)] = summary
	// The condition on the part's key alone fences it: only owners write here.
	txn := wire.Txn{Compares: []wire.Compare{{Key: records.PartitionKey(o.index), Revision: o.revision}}}
	changed := map[string][]byte{}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		b, err := wire.Marshal(values[key])
		if err != nil || bytes.Equal(b, o.writtenSummary[key]) || len(txn.Writes) == o.controller.limits.TxnOps {
			continue
		}
		changed[key] = b
		txn.Writes = append(txn.Writes, wire.Write{Put: key, Value: wire.Raw(b)})
	}
	if len(changed) == 0 {
		return
	}
	o.lastSummary = time.Now()
	o.summaryGap = o.controller.summaryGap(len(txn.Writes))
	if _, err := o.controller.store.Commit(o.ctx, txn); err != nil {
		slog.Debug("summary not written", "part", o.index, "err", err)
		return
	}
	maps.Copy(o.writtenSummary, changed)
}
