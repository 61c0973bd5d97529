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

// ownedPartition is a part while this node owns it.
type ownedPartition struct {
	controller *Controller
	index      int
	revision   uint64
	ctx        context.Context
	cancel     context.CancelFunc
	wake       chan struct{}

	mu        sync.Mutex
	partition *scheduler.Partition // nil until its records are read
	// pendingChanges are changes of machines that came while the records were read.
	pendingChanges      map[string]pendingMachineChange
	cancellationsReadAt time.Time         // every cancellation confirmed before then is known to p
	writtenSummary      map[string][]byte // summary's records as last written
	lastSummary         time.Time
	summaryGap          time.Duration // until the next one
	// noted is what was last logged of the news: late, and reports still answered.
	loggedStaleness [2]bool
}

type pendingMachineChange struct {
	entry machineEntry
	gone  bool
}

// machineChanged takes in a change of a machine's record. One that comes while the part is
// being read waits: the listing may be older, and the copy tells of it only once.
func (o *ownedPartition) machineChanged(id string, entry machineEntry, gone bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.partition == nil {
		o.pendingChanges[id] = pendingMachineChange{entry, gone}
		return
	}
	o.applyMachine(id, entry, gone)
}

// applyMachine hands a change on to the part; o.mu must be held.
func (o *ownedPartition) applyMachine(id string, entry machineEntry, gone bool) {
	if gone {
		o.partition.RemoveMachine(id, time.Now())
	} else {
		o.partition.SetMachine(id, entry.record, entry.revision, time.Now())
	}
}

func (c *Controller) newOwnedPartition(ctx context.Context, index int, revision uint64) *ownedPartition {
	ctx, cancel := context.WithCancel(ctx)
	return &ownedPartition{controller: c, index: index, revision: revision, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), pendingChanges: map[string]pendingMachineChange{}, loggedStaleness: [2]bool{false, true}, writtenSummary: map[string][]byte{}}
}

func (o *ownedPartition) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run reads the part's records, and then schedules until the part is lost.
func (o *ownedPartition) run() {
	var revision uint64
	for o.ctx.Err() == nil {
		r, err := o.load()
		if err == nil {
			revision = r
			break
		}
		slog.Info("part not read yet", "part", o.index, "err", err)
		transport.Pause(o.ctx, 300*time.Millisecond)
	}
	if o.ctx.Err() != nil {
		return
	}
	go o.watchJobs(revision)
	go o.pollCancellations()
	go o.fenceMachines()
	gap := tuning.Seconds(o.controller.tuning.PassGapS)
	tick := time.NewTicker(tuning.Seconds(o.controller.tuning.TickS))
	defer tick.Stop()
	for o.ctx.Err() == nil {
		select {
		case <-o.ctx.Done():
			return
		case <-o.wake:
		case <-tick.C:
		}
		began := time.Now()
		o.runCycle()
		if d := time.Since(began); d > time.Second {
			slog.Debug("slow pass", "part", o.index, "seconds", d.Seconds())
		}
		transport.Pause(o.ctx, gap)
	}
}
