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
	kick       chan struct{}

	mu        sync.Mutex
	partition *scheduler.Partition // nil until its records are read
	// early are changes of machines that came while the records were read.
	early      map[string]earlyChange
	knownUntil time.Time         // every cancellation confirmed before then is known to p
	last       map[string][]byte // summary's records as last written
	summarised time.Time
	summaryGap time.Duration // until the next one
	// noted is what was last logged of the news: late, and reports still answered.
	loggedStaleness [2]bool
}

type earlyChange struct {
	e    machineEntry
	gone bool
}

// machineChanged takes in a change of a machine's record. One that comes while the part is
// being read waits: the listing may be older, and the copy tells of it only once.
func (o *ownedPartition) machineChanged(id string, e machineEntry, gone bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.partition == nil {
		o.early[id] = earlyChange{e, gone}
		return
	}
	o.apply(id, e, gone)
}

// apply hands a change on to the part; o.mu must be held.
func (o *ownedPartition) apply(id string, e machineEntry, gone bool) {
	if gone {
		o.partition.RemoveMachine(id, time.Now())
	} else {
		o.partition.SetMachine(id, e.rec, e.stamp, time.Now())
	}
}

func (c *Controller) newOwned(ctx context.Context, index int, stamp uint64) *ownedPartition {
	ctx, cancel := context.WithCancel(ctx)
	return &ownedPartition{controller: c, index: index, revision: stamp, ctx: ctx, cancel: cancel, kick: make(chan struct{}, 1), early: map[string]earlyChange{}, loggedStaleness: [2]bool{false, true}, last: map[string][]byte{}}
}

func (o *ownedPartition) poke() {
	select {
	case o.kick <- struct{}{}:
	default:
	}
}

// run reads the part's records, and then schedules until the part is lost.
func (o *ownedPartition) run() {
	var rev uint64
	for o.ctx.Err() == nil {
		r, err := o.load()
		if err == nil {
			rev = r
			break
		}
		slog.Info("part not read yet", "part", o.index, "err", err)
		transport.Pause(o.ctx, 300*time.Millisecond)
	}
	if o.ctx.Err() != nil {
		return
	}
	go o.followJobs(rev)
	go o.followCancellations()
	go o.takeOverMachines()
	gap := tuning.Seconds(o.controller.tuning.PassGapS)
	tick := time.NewTicker(tuning.Seconds(o.controller.tuning.TickS))
	defer tick.Stop()
	for o.ctx.Err() == nil {
		select {
		case <-o.ctx.Done():
			return
		case <-o.kick:
		case <-tick.C:
		}
		began := time.Now()
		o.pass()
		if d := time.Since(began); d > time.Second {
			slog.Debug("slow pass", "part", o.index, "seconds", d.Seconds())
		}
		transport.Pause(o.ctx, gap)
	}
}
