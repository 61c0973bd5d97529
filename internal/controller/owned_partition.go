package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"ambersill/internal/scheduler"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
)

const (
	// loadRetryDelay is the wait before a partition's records are read again after an error:
	// short compared with the seconds that a failover may last, and long enough that the
	// attempts do not overload a busy key-value store.
	loadRetryDelay = 300 * time.Millisecond
	// slowCycle is the duration from which a scheduling cycle is logged as slow.
	slowCycle = time.Second
)

// ownedPartition is a partition for as long as this node owns it. A node that loses a
// partition and claims it again has a new one.
//
// Controller.startOwning starts run in a goroutine. Once the partition is loaded, run starts
// watchJobs, pollCancellations and fenceMachines, and runs the scheduling cycles itself.
// Cycles and fenceMachines start one short-lived goroutine for each request to a worker.
// All of them use the context that startOwning has made for the partition and end with it,
// which cancel does: when ownership is lost, and when the controller stops.
type ownedPartition struct {
	controller *Controller
	index      int
	// revision is that of the partition's key when this node claimed it. Every write of the
	// owner has the condition that the key still has it, which fences former owners.
	revision uint64
	cancel   context.CancelFunc
	// wake requests a scheduling cycle before the next tick.
	wake chan struct{}

	// summary is used by the goroutine of run alone.
	summary summaryWriter
	// loggedKnowledge is what was last logged; used by pollCancellations alone.
	loggedKnowledge cancellationKnowledge

	// mu guards the fields below and all that partition refers to. It is not held during
	// requests to the key-value store or to a worker.
	mu sync.Mutex
	// partition is nil until the partition's records are read.
	partition *scheduler.Partition
	// pendingChanges are the newest changes of machines that came while the records were
	// read, by machine; nil after that.
	pendingChanges map[string]machineChange
	// cancellationsReadAt is when the latest poll of the cancellations was requested:
	// every cancellation that was confirmed before then is known to partition.
	cancellationsReadAt time.Time
}

// newOwnedPartition returns a partition that was claimed at a revision of its key; cancel
// ends the context that is passed to run.
func (c *Controller) newOwnedPartition(
	index int, revision uint64, cancel context.CancelFunc,
) *ownedPartition {
	return &ownedPartition{
		controller:      c,
		index:           index,
		revision:        revision,
		cancel:          cancel,
		wake:            make(chan struct{}, 1),
		summary:         newSummaryWriter(),
		loggedKnowledge: cancellationKnowledge{startsTasks: true, answersHeartbeats: true},
		pendingChanges:  map[string]machineChange{},
	}
}

// machineChanged applies a change of a machine's record. While the partition is loaded the
// change is kept for later: the listing may be older, and the cluster cache reports each
// change only once.
func (o *ownedPartition) machineChanged(change machineChange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.partition == nil {
		o.pendingChanges[change.machineID] = change
		return
	}
	o.applyMachine(change)
}

// applyMachine applies a change of a machine's record to the partition; o.mu must be held.
func (o *ownedPartition) applyMachine(change machineChange) {
	if change.deleted {
		o.partition.RemoveMachine(change.machineID, time.Now())
		return
	}
	o.partition.SetMachine(change.machineID, change.entry.record, change.entry.revision, time.Now())
}

// whenLoaded calls a function with the partition while o.mu is held, and reports whether it
// did: it does nothing while the partition's records are still being read.
func (o *ownedPartition) whenLoaded(use func(partition *scheduler.Partition)) (loaded bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.partition == nil {
		return false
	}
	use(o.partition)
	return true
}

// wakeUp requests a scheduling cycle; several requests before it begins count as one.
func (o *ownedPartition) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run loads the partition, and then schedules until the context ends.
func (o *ownedPartition) run(ctx context.Context) {
	revision, loaded := o.loadUntilDone(ctx)
	if !loaded {
		return
	}
	go o.watchJobs(ctx, revision)
	go o.pollCancellations(ctx)
	go o.fenceMachines(ctx)
	o.runCycles(ctx)
}

// loadUntilDone loads the partition, with retries. It returns the revision to watch jobs
// from, and false if the context has ended.
func (o *ownedPartition) loadUntilDone(ctx context.Context) (revision uint64, loaded bool) {
	for ctx.Err() == nil {
		revision, err := o.load(ctx)
		if err == nil {
			return revision, ctx.Err() == nil
		}
		slog.Info("partition not loaded yet", "partition", o.index, "err", err)
		transport.Pause(ctx, loadRetryDelay)
	}
	return 0, false
}

// runCycles runs a scheduling cycle at each tick and whenever one is requested, with a
// minimum gap between two.
func (o *ownedPartition) runCycles(ctx context.Context) {
	gap := tuning.Seconds(o.controller.tuning.PassGapS)
	ticker := time.NewTicker(tuning.Seconds(o.controller.tuning.TickS))
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		case <-ticker.C:
		}
		began := time.Now()
		o.runCycle(ctx)
		if took := time.Since(began); took > slowCycle {
			slog.Debug("slow scheduling cycle", "partition", o.index, "seconds", took.Seconds())
		}
		transport.Pause(ctx, gap)
	}
}
