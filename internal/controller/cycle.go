package controller

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"ambersill/internal/kvstore"
	"ambersill/internal/records"
	"ambersill/internal/scheduler"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

const (
	// commitRetryDelay is the wait after a commit that the store has refused: the time in
	// which its rate limits let the next few requests through.
	commitRetryDelay = 100 * time.Millisecond
	// refreshRetryDelay is the wait before a key is read again after an error. Nothing can
	// be committed until it is read, and a failing store must not be overloaded.
	refreshRetryDelay = 300 * time.Millisecond
)

// commitOutcome is the outcome of a commit, as far as its response shows it.
type commitOutcome int

const (
	// commitApplied: the batch is stored.
	commitApplied commitOutcome = iota
	// commitRefused: not executed, and may be sent again as it is.
	commitRefused
	// commitInvalid: not executed, and never will be as it is, since it exceeds a limit.
	commitInvalid
	// commitConflict: not executed, since a key has another revision than expected.
	commitConflict
	// commitUnknown: no answer; it may have been executed, or may still be.
	commitUnknown
)

// outcomeOf classifies the error of a commit.
func outcomeOf(err error) commitOutcome {
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
		return commitApplied
	case errors.Is(err, kvstore.ErrRefused):
		return commitRefused
	case errors.Is(err, kvstore.ErrInvalid):
		return commitInvalid
	case errors.As(err, &conflict):
		return commitConflict
	default:
		return commitUnknown
	}
}

// runCycle runs one scheduling cycle: it places tasks, commits what has changed, and sends
// the commands that follow from it.
func (o *ownedPartition) runCycle(ctx context.Context) {
	if o.mayStartTasks() {
		o.mu.Lock()
		o.partition.Schedule(time.Now())
		o.mu.Unlock()
	}
	if !o.commitChanges(ctx) {
		return
	}
	o.rewriteMachineRecords(ctx)
	o.writeSummary(ctx)
	o.sendCommands(ctx)
}

// commitChanges commits the partition's changes in batches, and reports whether every batch
// was applied. It ends with the first batch that is not full rather than when nothing is left
// to commit: in a busy partition there always is something new, and meanwhile nothing would
// be placed.
func (o *ownedPartition) commitChanges(ctx context.Context) bool {
	for ctx.Err() == nil {
		o.mu.Lock()
		batch := o.partition.PrepareBatch()
		o.mu.Unlock()
		if batch.Empty() {
			break
		}
		if o.commitBatch(ctx, batch) != commitApplied {
			return false
		}
		o.sendCommands(ctx)
		if !batch.Full {
			break
		}
	}
	return true
}

// commitBatch commits a batch and applies the outcome to the partition. Unless the batch is
// applied, it returns only when the next one may be committed.
func (o *ownedPartition) commitBatch(ctx context.Context, batch *scheduler.Batch) commitOutcome {
	revision, err := o.controller.store.Commit(ctx, batch.Txn)
	outcome := outcomeOf(err)
	switch outcome {
	case commitApplied:
		o.mu.Lock()
		o.partition.ConfirmBatch(batch, revision)
		o.mu.Unlock()
	case commitRefused:
		transport.Pause(ctx, commitRetryDelay)
	case commitInvalid:
		slog.Error("commit over the key-value store's limits",
			"partition", o.index, "changes", len(batch.Txn.Writes), "err", err)
		o.reduceLimits(ctx)
		transport.Pause(ctx, commitRetryDelay)
	case commitConflict, commitUnknown:
		slog.Debug("commit not confirmed", "partition", o.index, "err", err)
		o.refreshKeys(ctx, batch)
	}
	return outcome
}

// reduceLimits makes the next batches smaller. The feature level is read first: another one
// may be why the formats in use are too large.
func (o *ownedPartition) reduceLimits(ctx context.Context) {
	if err := o.controller.refreshFeatureLevel(ctx); err != nil {
		slog.Debug("feature level not read", "err", err)
	}
	o.mu.Lock()
	o.partition.ReduceWriteLimits()
	o.mu.Unlock()
}

// refreshKeys reads the keys of a batch that was not confirmed. The next commit writes
// them under the revisions read here, after which this one can no longer be applied.
func (o *ownedPartition) refreshKeys(ctx context.Context, batch *scheduler.Batch) {
	for _, compare := range batch.Txn.Compares {
		item, ok := o.readKey(ctx, compare.Key)
		if !ok {
			return
		}
		if compare.Key != records.PartitionKey(o.index) {
			o.refreshKey(batch, compare.Key, item)
			continue
		}
		if item.Revision != o.revision {
			o.controller.releasePartition(o, releasedKeyChanged)
			return
		}
	}
}

// readKey reads a key, with retries; a key that does not exist has revision 0. ok is false
// if the context has ended.
func (o *ownedPartition) readKey(ctx context.Context, key string) (item wire.KeyValue, ok bool) {
	for ctx.Err() == nil {
		item, err := o.controller.store.Get(ctx, key)
		if err == nil || errors.Is(err, kvstore.ErrNotFound) {
			return item, true
		}
		transport.Pause(ctx, refreshRetryDelay)
	}
	return wire.KeyValue{}, false
}

// refreshKey applies what was read of a batch's key to the partition.
func (o *ownedPartition) refreshKey(batch *scheduler.Batch, key string, item wire.KeyValue) {
	record := decodeJob(key, item.Value)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.partition.RefreshKey(batch, key, item.Revision, record, time.Now())
}

// decodeJob decodes a job's record; it returns nil for other keys, and if there is none.
func decodeJob(key string, value wire.Raw) *records.JobRecord {
	if len(value) == 0 || !strings.HasPrefix(key, jobPrefix) {
		return nil
	}
	var record records.JobRecord
	if err := wire.Unmarshal(value, &record); err != nil {
		return nil
	}
	return &record
}
