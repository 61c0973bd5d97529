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
	// loadRetryDelay is the wait before a partition's records are read again after an error.
	// It is short compared with the seconds that a failover may last, and long enough that
	// the attempts do not overload a busy key-value store.
	loadRetryDelay = 300 * time.Millisecond
	// slowCycleThreshold is the duration above which a scheduling cycle is logged as slow.
	slowCycleThreshold = time.Second
)

// ownedPartition is a partition that this node owns, from its claim to its release. If the node
// loses a partition and claims it again, it creates a new ownedPartition.
//
// Controller.startOwning starts run in a goroutine. Once the partition is loaded, run starts
// watchJobs, pollCancellations and fenceMachines, and runs the scheduling cycles itself.
// Cycles and fenceMachines start one short-lived goroutine for each request to a worker.
// All these goroutines use the context that startOwning creates for the partition, and end
// when cancel is called: when ownership is lost, and when the controller stops.
type ownedPartition struct {
	controller *Controller
	index      int
	// revision is the revision of the partition's key after this node's claim. Every commit
	// of the owner has the condition that the key still has this revision, so that an
	// earlier owner cannot commit.
	revision uint64
	cancel   context.CancelFunc
	// cycleRequests holds a value from a call of requestCycle until the next cycle begins.
	cycleRequests chan struct{}

	// summary is accessed only by the goroutine of run.
	summary summaryWriter
	// loggedPermissions are the permissions that were last logged. They are accessed only by
	// the goroutine of pollCancellations.
	loggedPermissions ownerPermissions

	// mu guards the fields below and everything that partition refers to. It is not held
	// during requests to the key-value store or to a worker.
	mu sync.Mutex
	// partition is nil until the partition's records are read.
	partition *scheduler.Partition
	// pendingMachineChanges holds the newest change of each machine that arrived while the records
	// were read, by machine ID. It is nil once the partition is loaded.
	pendingMachineChanges map[string]machineChange
	// cancellationsReadAt is when the latest successful listing of the cancellations was
	// requested. Every cancellation that was confirmed earlier is known to partition.
	cancellationsReadAt time.Time
}

// newOwnedPartition returns a partition that was claimed at the given revision of its key. The
// function cancel must end the context that is passed to run.
func (c *Controller) newOwnedPartition(
	index int, revision uint64, cancel context.CancelFunc,
) *ownedPartition {
	return &ownedPartition{
		controller:            c,
		index:                 index,
		revision:              revision,
		cancel:                cancel,
		cycleRequests:         make(chan struct{}, 1),
		summary:               newSummaryWriter(),
		loggedPermissions:     ownerPermissions{mayStart: true, mayAnswer: true},
		pendingMachineChanges: map[string]machineChange{},
	}
}

// machineChanged applies a change of a machine's record. If the partition is still being
// loaded, the change is stored until publish applies it, because the listing may be older than
// the change and the cluster cache reports each change only once.
func (o *ownedPartition) machineChanged(change machineChange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.partition == nil {
		o.pendingMachineChanges[change.machineID] = change
		return
	}
	o.applyMachine(change)
}

// applyMachine applies a change of a machine's record to the partition. The caller must hold
// o.mu.
func (o *ownedPartition) applyMachine(change machineChange) {
	if change.deleted {
		o.partition.RemoveMachine(change.machineID, time.Now())
		return
	}
	o.partition.SetMachine(change.machineID, change.entry.record, change.entry.revision, time.Now())
}

// withLoadedPartition calls a function with the partition while holding o.mu. It returns false
// without calling the function if the partition's records are still being read.
func (o *ownedPartition) withLoadedPartition(use func(partition *scheduler.Partition)) (loaded bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.partition == nil {
		return false
	}
	use(o.partition)
	return true
}

// requestCycle requests a scheduling cycle before the next tick. Requests that are made before
// the cycle begins result in a single cycle.
func (o *ownedPartition) requestCycle() {
	select {
	case o.cycleRequests <- struct{}{}:
	default:
	}
}

// run loads the partition and then runs scheduling cycles until the context ends.
func (o *ownedPartition) run(ctx context.Context) {
	revision, loaded := o.loadWithRetries(ctx)
	if !loaded {
		return
	}
	go o.watchJobs(ctx, revision)
	go o.pollCancellations(ctx)
	go o.fenceMachines(ctx)
	o.runCycles(ctx)
}

// loadWithRetries loads the partition, and tries again after errors. It returns the revision to
// watch jobs from, and false if the context has ended.
func (o *ownedPartition) loadWithRetries(ctx context.Context) (revision uint64, loaded bool) {
	for ctx.Err() == nil {
		revision, err := o.load(ctx)
		if err == nil {
			return revision, ctx.Err() == nil
		}
		slog.Info("loading partition failed, retrying", "partition", o.index, "err", err)
		transport.Pause(ctx, loadRetryDelay)
	}
	return 0, false
}

// runCycles runs a scheduling cycle at each tick and whenever a cycle is requested, with a
// pause of at least PassGapS after each cycle.
func (o *ownedPartition) runCycles(ctx context.Context) {
	minPause := tuning.Seconds(o.controller.tuning.PassGapS)
	ticker := time.NewTicker(tuning.Seconds(o.controller.tuning.TickS))
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-o.cycleRequests:
		case <-ticker.C:
		}
		began := time.Now()
		o.runCycle(ctx)
		if took := time.Since(began); took > slowCycleThreshold {
			slog.Debug("slow scheduling cycle", "partition", o.index, "seconds", took.Seconds())
		}
		transport.Pause(ctx, minPause)
	}
}
