package controller

import (
	"bytes"
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// summaryWriter keeps what was written of a partition's summary, of which only records that
// have changed are written again.
type summaryWriter struct {
	// written are the records as last written, encoded, by key.
	written map[string][]byte
	// lastAttempt is when records were last sent to the store.
	lastAttempt time.Time
	// gap is the least time from the last attempt to the next.
	gap time.Duration
}

// encodedRecord is a record as it is written to the store.
type encodedRecord struct {
	key   string
	value []byte
}

func newSummaryWriter() summaryWriter {
	return summaryWriter{written: map[string][]byte{}}
}

// changedRecords encodes those records that differ from what was written, in the order of
// their keys and at most as many as the limit.
func (w *summaryWriter) changedRecords(values map[string]any, limit int) []encodedRecord {
	var changed []encodedRecord
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if len(changed) == limit {
			break
		}
		value, err := wire.Marshal(values[key])
		if err != nil || bytes.Equal(value, w.written[key]) {
			continue
		}
		changed = append(changed, encodedRecord{key: key, value: value})
	}
	return changed
}

// confirm records what was written.
func (w *summaryWriter) confirm(written []encodedRecord) {
	for _, record := range written {
		w.written[record.key] = record.value
	}
}

// writeSummary writes those records of the partition's summary that have changed, for the
// leader to size the fleet by.
func (o *ownedPartition) writeSummary(ctx context.Context) {
	if time.Since(o.summary.lastAttempt) < o.summary.gap {
		return
	}
	changed := o.summary.changedRecords(o.summaryRecords(), o.controller.limits.TxnOps)
	if len(changed) == 0 {
		return
	}
	o.summary.lastAttempt = time.Now()
	o.summary.gap = o.controller.summaryGap(len(changed))
	// The condition on the partition's key alone is enough: only owners write here.
	txn := wire.Txn{Compares: []wire.Compare{o.fence()}}
	for _, record := range changed {
		txn.Writes = append(txn.Writes, wire.Write{Put: record.key, Value: wire.Raw(record.value)})
	}
	if _, err := o.controller.store.Commit(ctx, txn); err != nil {
		slog.Debug("summary not written", "partition", o.index, "err", err)
		return
	}
	o.summary.confirm(changed)
}

// summaryRecords returns the records that make up the partition's summary, by key: the
// summary itself, and those that hold what would make it larger than a value may be.
func (o *ownedPartition) summaryRecords() map[string]any {
	o.mu.Lock()
	summary := o.partition.Summary(time.Now())
	o.mu.Unlock()
	valueKB := o.controller.limits.ValueKB
	values := map[string]any{}
	digests := summary.SplitMachineDigests(valueKB)
	for i, digest := range digests {
		values[records.MachineDigestsKey(o.index, i)] = digest
	}
	summary.DigestRecordCount = len(digests)
	overflow := summary.SplitOverflowDemand(valueKB)
	for i, waiting := range overflow {
		values[records.OverflowDemandKey(o.index, i)] = waiting
	}
	summary.OverflowRecordCount = len(overflow)
	values[records.SummaryKey(o.index)] = summary
	return values
}

// summaryGap returns the wait after a summary of some changes: summaries may use only a
// fraction of the store's rate of changes, since all other writes are more urgent.
func (c *Controller) summaryGap(changes int) time.Duration {
	least := tuning.Seconds(c.tuning.SummaryS)
	return max(least, tuning.Seconds(float64(changes)/(tuning.SummaryWriteFraction*c.limits.WriteRPS)))
}
