package controller

import (
	"log/slog"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// cancelledJobs names the jobs of a listing of marks.
func (o *ownedPartition) cancelledJobs(items []wire.KeyValue) []string {
	ids := make([]string, len(items))
	for i, item := range items {
		ids[i] = item.Key[len(records.CancellationPrefix(o.index)):]
	}
	return ids
}

// staleness is how old this node's knowledge of cancellations is: all that were confirmed
// longer ago are known, whoever confirmed them. Contact would not do: with it back after
// an outage, or watches open but stuck, a leader that had been refused alone answered its
// workers' reports without knowing what others had told users meanwhile.
func (o *ownedPartition) staleness() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(o.cancellationsReadAt)
}

// fresh tells whether the news are new enough to start tasks.
func (o *ownedPartition) fresh() bool {
	return o.staleness() < tuning.Seconds(o.controller.tuning.FreshS)
}

// logStaleness logs when an owner's news become too old to start tasks, or to answer reports.
func (o *ownedPartition) logStaleness() {
	age := o.staleness()
	late, answered := age > tuning.Seconds(o.controller.tuning.FreshS), age <= o.controller.stalenessLimit()
	if state := [2]bool{late, answered}; state != o.loggedStaleness {
		o.loggedStaleness = state
		slog.Info("knowledge of cancellations", "part", o.index, "late", late, "answered", answered, "age_s", age.Seconds())
	}
}

// pollCancellations reads the marks of cancelled jobs again and again. A mark is committed with
// the cancellation and goes when all of the job is gone, so that a reading shows
// every cancellation up to when it was asked for.
func (o *ownedPartition) pollCancellations() {
	gap := tuning.Seconds(o.controller.tuning.NewsS)
	for o.ctx.Err() == nil {
		o.logStaleness()
		asked := time.Now()
		items, _, err := o.controller.store.ListUnthrottled(o.ctx, records.CancellationPrefix(o.index))
		if err != nil {
			slog.Debug("cancellations not read", "part", o.index, "err", err)
			transport.Pause(o.ctx, gap/4)
			continue
		}
		o.mu.Lock()
		some := o.partition.SetCancelledJobs(o.cancelledJobs(items), time.Now())
		o.cancellationsReadAt = asked
		o.mu.Unlock()
		if some {
			o.wakeUp()
		}
		transport.Pause(o.ctx, gap-time.Since(asked))
	}
}

// cancelled takes in that a job's cancellation is committed, by word of mouth.
func (o *ownedPartition) cancelled(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.partition != nil {
		o.partition.Cancel(id, time.Now())
		o.wakeUp()
	}
}
