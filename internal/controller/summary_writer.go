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

// summaryWriter remembers the records of a partition's summary as they were last written, so
// that only records that have changed are written again.
type summaryWriter struct {
	// written holds the encoded records as they were last written, by key.
	written map[string][]byte
	// lastAttempt is when records were last sent to the store.
	lastAttempt time.Time
	// minInterval is the minimum time between lastAttempt and the next attempt.
	minInterval time.Duration
}

// encodedRecord is a key together with the encoded value that is written to the store.
type encodedRecord struct {
	key   string
	value []byte
}

func newSummaryWriter() summaryWriter {
	return summaryWriter{written: map[string][]byte{}}
}

// changedRecords returns the encoded records that differ from those last written, in the order
// of their keys. It returns at most limit records.
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

// markWritten stores the records of a successful commit as last written.
func (w *summaryWriter) markWritten(written []encodedRecord) {
	for _, record := range written {
		w.written[record.key] = record.value
	}
}

// writeSummary writes the changed records of the partition's summary. The leader sizes the fleet
// from the summaries of all partitions.
func (o *ownedPartition) writeSummary(ctx context.Context) {
	if time.Since(o.summary.lastAttempt) < o.summary.minInterval {
		return
	}
	values := o.summaryRecords()
	changed := o.summary.changedRecords(values, len(values))
	if len(changed) == 0 {
		return
	}
	o.summary.lastAttempt = time.Now()
	o.summary.minInterval = o.controller.summaryInterval(len(changed))
	for batch := range slices.Chunk(changed, o.controller.summaryRecordsPerTxn()) {
		revision, err := o.controller.store.Commit(ctx, newSummaryTxn(o.fence(), batch))
		if err != nil {
			slog.Debug("writing partition summary failed", "partition", o.index, "err", err)
			return
		}
		o.summary.markWritten(batch)
		slog.Debug("partition summary written", "partition", o.index, "revision", revision, "records", len(batch))
	}
}

// newSummaryTxn returns the transaction that writes records of a partition's summary. The fence, a
// condition on the partition's key, is enough, because only the partition's owner writes them.
func newSummaryTxn(fence wire.Compare, batch []encodedRecord) wire.Txn {
	txn := wire.Txn{Compares: []wire.Compare{fence}}
	for _, record := range batch {
		txn.Writes = append(txn.Writes, wire.Write{Put: record.key, Value: wire.Raw(record.value)})
	}
	return txn
}

// summaryRecordsPerTxn returns how many records of a summary one transaction can write.
func (c *Controller) summaryRecordsPerTxn() int {
	return min(c.limits.MaxTxnWrites, valuesPerTxn(records.MaxValueBytes(c.limits.MaxValueKiB)))
}

// summaryRecords returns the records that make up the partition's summary, by key: the summary
// itself, and further records with the content that does not fit into one value.
func (o *ownedPartition) summaryRecords() map[string]any {
	o.mu.Lock()
	summary := o.partition.Summary(time.Now())
	o.mu.Unlock()
	if summary.OmittedTasks > 0 {
		slog.Debug("demand omitted from partition summary", "partition", o.index, "tasks", summary.OmittedTasks)
	}
	maxValueKiB := o.controller.limits.MaxValueKiB
	values := map[string]any{}
	digests := summary.SplitMachineDigests(maxValueKiB)
	for i, digest := range digests {
		values[records.MachineDigestsKey(o.index, i)] = digest
	}
	summary.DigestRecordCount = len(digests)
	overflow := summary.SplitOverflowDemand(maxValueKiB)
	for i, waiting := range overflow {
		values[records.OverflowDemandKey(o.index, i)] = waiting
	}
	summary.OverflowRecordCount = len(overflow)
	values[records.SummaryKey(o.index)] = summary
	return values
}

// summaryInterval returns the minimum time between a write of the given number of changed summary
// records and the next write. Summaries may use only the fraction SummaryWriteFraction of the
// store's write rate, because all other writes are more urgent.
func (c *Controller) summaryInterval(changes int) time.Duration {
	shortest := tuning.Seconds(c.tuning.SummaryS)
	return max(shortest, tuning.Seconds(float64(changes)/(tuning.SummaryWriteFraction*c.limits.WritesPerS)))
}
