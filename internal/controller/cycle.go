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
	// commitRetryDelay is the wait after a commit that the store has refused. By then the
	// store's rate limits allow a few more requests.
	commitRetryDelay = 100 * time.Millisecond
	// refreshRetryDelay is the wait before a key is read again after an error. The partition
	// cannot commit until the key is read, but a failing store must not be overloaded.
	refreshRetryDelay = 300 * time.Millisecond
)

// commitOutcome is the outcome of a commit as far as the response shows it.
type commitOutcome int

const (
	// commitApplied means that the store has executed the commit.
	commitApplied commitOutcome = iota
	// commitRefused means that the store has not executed the commit and that it may be sent
	// again unchanged.
	commitRefused
	// commitInvalid means that the store has not executed the commit, and will refuse it
	// again unless it is changed, because it exceeds a limit.
	commitInvalid
	// commitConflict means that the store has not executed the commit because a key has a
	// revision other than the expected one.
	commitConflict
	// commitUnknown means that no response arrived. The store may have executed the commit,
	// or may execute it later.
	commitUnknown
)

// classifyCommitError returns the outcome of a commit that returned err.
func classifyCommitError(err error) commitOutcome {
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

// runCycle runs one scheduling cycle: it places tasks, commits the changes, and sends the
// resulting commands to workers.
func (o *ownedPartition) runCycle(ctx context.Context) {
	if o.mayStartTasks() {
		o.mu.Lock()
		o.partition.Schedule(time.Now())
		o.mu.Unlock()
	}
	if !o.commitChanges(ctx) {
		return
	}
	o.updateMachineRecords(ctx)
	o.writeSummary(ctx)
	o.sendCommands(ctx)
}

// commitChanges commits the partition's changes in batches, and reports whether every batch
// was applied. It returns after the first batch that is not full rather than when there is
// nothing left to commit, because a busy partition always has new changes and no tasks are
// placed until this function returns.
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

// commitBatch commits a batch and applies the outcome to the partition. If the batch was not
// applied, commitBatch returns only when the next batch may be committed.
func (o *ownedPartition) commitBatch(ctx context.Context, batch *scheduler.Batch) commitOutcome {
	revision, err := o.controller.store.Commit(ctx, batch.Txn)
	outcome := classifyCommitError(err)
	switch outcome {
	case commitApplied:
		o.mu.Lock()
		o.partition.ConfirmBatch(batch, revision)
		completion := batch.Completion()
		o.mu.Unlock()
		o.logCompletion(completion)
	case commitRefused:
		transport.Pause(ctx, commitRetryDelay)
	case commitInvalid:
		slog.Error("commit exceeds a limit of the key-value store",
			"partition", o.index, "changes", len(batch.Txn.Writes), "err", err)
		o.reduceLimits(ctx)
		transport.Pause(ctx, commitRetryDelay)
	case commitConflict, commitUnknown:
		slog.Debug("commit of partition not confirmed", "partition", o.index, "err", err)
		o.refreshKeys(ctx, batch)
	}
	return outcome
}

// logCompletion logs the evidence on which a job was recorded as done, if any was.
func (o *ownedPartition) logCompletion(completion *scheduler.Completion) {
	if completion == nil {
		return
	}
	slog.Debug("job recorded as done",
		"partition", o.index, "job", completion.Job, "restored", completion.Restored,
		"task", completion.Task, "attempt", completion.Attempt, "machine", completion.Machine,
		"incarnation", completion.Incarnation, "sequence", completion.Sequence)
}

// reduceLimits makes the next batches smaller. It reads the feature level first, because this
// node may be using the larger formats of an outdated level.
func (o *ownedPartition) reduceLimits(ctx context.Context) {
	if err := o.controller.refreshFeatureLevel(ctx); err != nil {
		slog.Debug("reading feature level failed", "err", err)
	}
	o.mu.Lock()
	o.partition.ReduceWriteLimits()
	o.mu.Unlock()
}

// refreshKeys reads the keys of a batch whose commit was not confirmed. The next commit has the
// revisions read here as its conditions, and once it is applied the store can no longer
// execute the unconfirmed commit.
func (o *ownedPartition) refreshKeys(ctx context.Context, batch *scheduler.Batch) {
	for _, compare := range batch.Txn.Compares {
		item, ok := o.readKeyWithRetries(ctx, compare.Key)
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

// readKeyWithRetries reads a key, and tries again after errors. A key that does not exist has
// revision 0. ok is false if the context has ended.
func (o *ownedPartition) readKeyWithRetries(ctx context.Context, key string) (item wire.KeyValue, ok bool) {
	for ctx.Err() == nil {
		item, err := o.controller.store.Get(ctx, key)
		if err == nil || errors.Is(err, kvstore.ErrNotFound) {
			return item, true
		}
		transport.Pause(ctx, refreshRetryDelay)
	}
	return wire.KeyValue{}, false
}

// refreshKey applies the current value and revision of one of a batch's keys to the partition.
func (o *ownedPartition) refreshKey(batch *scheduler.Batch, key string, item wire.KeyValue) {
	record := decodeJobRecord(key, item.Value)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.partition.RefreshKey(batch, key, item.Revision, record, time.Now())
}

// decodeJobRecord decodes a job's record. It returns nil if the key is not that of a job, or if
// the value is missing or cannot be decoded.
func decodeJobRecord(key string, value wire.Raw) *records.JobRecord {
	if len(value) == 0 || !strings.HasPrefix(key, jobPrefix) {
		return nil
	}
	var record records.JobRecord
	if err := wire.Unmarshal(value, &record); err != nil {
		return nil
	}
	return &record
}
