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

// summaryWriter keeps track of the stored records of a partition's summary, so that only records
// that have changed are written again. Each write names the revision of the record that it
// replaces. A write without a response can then no longer be executed once the record was written
// again, and a record that it did replace is recognized by its revision.
type summaryWriter struct {
	// stored holds what is known of the stored records, by key. A key that is absent has no
	// record.
	stored map[string]storedSummaryRecord
	// revisionsKnown is false at first, and after a commit that was not confirmed. The revisions
	// in stored then have to be read before the next commit.
	revisionsKnown bool
	// lastAttempt is when records were last sent to the store.
	lastAttempt time.Time
	// minInterval is the minimum time between lastAttempt and the next attempt.
	minInterval time.Duration
}

// storedSummaryRecord is what the owner of a partition knows of one stored record of its summary.
type storedSummaryRecord struct {
	// revision is the revision of the record's key, as last read or written.
	revision uint64
	// value is the encoded record at that revision. It is nil if it is not known, or if a write
	// without a response may still replace it; the record is then written again in any case.
	value []byte
}

// encodedRecord is a key together with the encoded value that is written to the store.
type encodedRecord struct {
	key   string
	value []byte
}

func newSummaryWriter() summaryWriter {
	return summaryWriter{stored: map[string]storedSummaryRecord{}}
}

// changedRecords returns the encoded records that differ from those stored, in the order of their
// keys. It returns at most limit records.
func (w *summaryWriter) changedRecords(values map[string]any, limit int) []encodedRecord {
	var changed []encodedRecord
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if len(changed) == limit {
			break
		}
		value, err := wire.Marshal(values[key])
		if err != nil || bytes.Equal(value, w.stored[key].value) {
			continue
		}
		changed = append(changed, encodedRecord{key: key, value: value})
	}
	return changed
}

// markWritten notes the records that were committed at a revision.
func (w *summaryWriter) markWritten(written []encodedRecord, revision uint64) {
	for _, record := range written {
		w.stored[record.key] = storedSummaryRecord{revision: revision, value: record.value}
	}
}

// markUnconfirmed notes that the commit of records was not confirmed. All of them are written again
// even if they are the same as before, because the commit may be executed until then.
func (w *summaryWriter) markUnconfirmed(records []encodedRecord) {
	w.revisionsKnown = false
	for _, record := range records {
		w.stored[record.key] = storedSummaryRecord{revision: w.stored[record.key].revision}
	}
}

// setRevisions notes the revisions of all stored records, by key. The value of a record whose
// revision has changed is not known any more.
func (w *summaryWriter) setRevisions(revisions map[string]uint64) {
	stored := make(map[string]storedSummaryRecord, len(revisions))
	for key, revision := range revisions {
		record := w.stored[key]
		if record.revision != revision {
			record = storedSummaryRecord{revision: revision}
		}
		stored[key] = record
	}
	w.stored, w.revisionsKnown = stored, true
}

// txn returns the transaction that writes records of a partition's summary. Its conditions are the
// fence, a condition on the partition's key, and the revisions of the stored records.
func (w *summaryWriter) txn(fence wire.Compare, batch []encodedRecord) wire.Txn {
	txn := wire.Txn{Compares: []wire.Compare{fence}}
	for _, record := range batch {
		compare := wire.Compare{Key: record.key, Revision: w.stored[record.key].revision}
		txn.Compares = append(txn.Compares, compare)
		txn.Writes = append(txn.Writes, wire.Write{Put: record.key, Value: wire.Raw(record.value)})
	}
	return txn
}

// writeSummary writes the changed records of the partition's summary. The leader sizes the fleet
// from the summaries of all partitions.
func (o *ownedPartition) writeSummary(ctx context.Context) {
	if time.Since(o.summary.lastAttempt) < o.summary.minInterval {
		return
	}
	values := o.summaryRecords()
	if len(o.summary.changedRecords(values, 1)) == 0 {
		return
	}
	o.summary.lastAttempt = time.Now()
	if err := o.readSummaryRevisions(ctx); err != nil {
		slog.Debug("reading revisions of partition summary failed", "partition", o.index, "err", err)
		return
	}
	changed := o.summary.changedRecords(values, len(values))
	o.summary.minInterval = o.controller.summaryInterval(len(changed))
	for batch := range slices.Chunk(changed, o.controller.summaryRecordsPerTxn()) {
		if err := o.commitSummaryRecords(ctx, batch); err != nil {
			slog.Debug("writing partition summary failed", "partition", o.index, "err", err)
			return
		}
	}
}

// readSummaryRevisions reads the revisions of the stored records of the partition's summary unless
// they are known.
func (o *ownedPartition) readSummaryRevisions(ctx context.Context) error {
	if o.summary.revisionsKnown {
		return nil
	}
	items, _, err := o.controller.store.List(ctx, records.SummaryKey(o.index))
	if err != nil {
		return err
	}
	revisions := map[string]uint64{}
	for _, item := range items {
		if records.IsSummaryRecordKey(o.index, item.Key) {
			revisions[item.Key] = item.Revision
		}
	}
	o.summary.setRevisions(revisions)
	return nil
}

// commitSummaryRecords commits records of the partition's summary in one transaction.
func (o *ownedPartition) commitSummaryRecords(ctx context.Context, batch []encodedRecord) error {
	revision, err := o.controller.store.Commit(ctx, o.summary.txn(o.fence(), batch))
	switch classifyCommitError(err) {
	case commitApplied:
		o.summary.markWritten(batch, revision)
		slog.Debug("partition summary written", "partition", o.index, "revision", revision, "records", len(batch))
	case commitConflict, commitUnknown:
		o.summary.markUnconfirmed(batch)
	case commitRefused, commitInvalid:
		// Not executed; the records are sent again as they are by then.
	}
	return err
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
