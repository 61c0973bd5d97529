package controller

import (
	"context"
	"log/slog"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/scheduler"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// An owner must not start tasks, or keep tasks alive by answering heartbeats, if jobs may
// have been cancelled without its knowledge. So it reads the cancellations again and again,
// and goes by the age of the newest reading.

// failedPollFraction is the part of the usual gap between two readings of the cancellations
// that is waited after one that failed, so that a single error does not stop the starts.
const failedPollFraction = 4

// cancellationKnowledge says what an owner may do with what it knows of cancellations.
type cancellationKnowledge struct {
	startsTasks       bool
	answersHeartbeats bool
}

// cancellationKnowledgeAt returns what knowledge of the given age is good for.
func (c *Controller) cancellationKnowledgeAt(age time.Duration) cancellationKnowledge {
	return cancellationKnowledge{
		startsTasks:       age < tuning.Seconds(c.tuning.FreshS),
		answersHeartbeats: age <= c.heartbeatAnswerLimit(),
	}
}

// heartbeatAnswerLimit returns the age of the knowledge of cancellations up to which an
// owner answers heartbeats. The tasks of a job that was cancelled just after the reading run
// for as long as heartbeats are answered, and then for the lease that the last answered
// heartbeat has renewed from the moment it was sent; all of it must fit into the time in
// which a cancellation has to take effect.
func (c *Controller) heartbeatAnswerLimit() time.Duration {
	workers := c.settings.Cluster.Workers
	return tuning.Seconds(workers.CancelS - workers.LeaseS*(1+c.tuning.Drift) - workers.ReportS - c.tuning.MarginS)
}

// cancellationAge returns the age of the owner's knowledge of cancellations: all that were
// confirmed longer ago are known, whichever node confirmed them. The time since the last
// contact with the store would not do: with contact back after an outage, or watches open
// but stuck, an owner whose requests alone had been refused answered its workers'
// heartbeats without knowing what other nodes had confirmed meanwhile.
func (o *ownedPartition) cancellationAge() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(o.cancellationsReadAt)
}

// mayStartTasks reports whether the knowledge of cancellations is new enough to start tasks.
func (o *ownedPartition) mayStartTasks() bool {
	return o.controller.cancellationKnowledgeAt(o.cancellationAge()).startsTasks
}

// logKnowledge logs when the knowledge of cancellations becomes too old, or new enough
// again, to start tasks or to answer heartbeats.
func (o *ownedPartition) logKnowledge() {
	age := o.cancellationAge()
	knowledge := o.controller.cancellationKnowledgeAt(age)
	if knowledge == o.loggedKnowledge {
		return
	}
	o.loggedKnowledge = knowledge
	slog.Info("knowledge of cancellations", "partition", o.index, "starts_tasks", knowledge.startsTasks,
		"answers_heartbeats", knowledge.answersHeartbeats, "age_s", age.Seconds())
}

// pollCancellations reads the keys of cancelled jobs until the context ends. A key is
// committed with the cancellation and deleted when nothing of the job is left, so that a
// reading shows every cancellation up to when it was asked for.
func (o *ownedPartition) pollCancellations(ctx context.Context) {
	gap := tuning.Seconds(o.controller.tuning.NewsS)
	for ctx.Err() == nil {
		o.logKnowledge()
		asked := time.Now()
		items, _, err := o.controller.store.ListUnthrottled(ctx, records.CancellationPrefix(o.index))
		if err != nil {
			slog.Debug("cancellations not read", "partition", o.index, "err", err)
			transport.Pause(ctx, gap/failedPollFraction)
			continue
		}
		o.setCancellations(items, asked)
		transport.Pause(ctx, gap-time.Since(asked))
	}
}

// setCancellations applies a reading of the cancellations that was asked for at a time.
func (o *ownedPartition) setCancellations(items []wire.KeyValue, asked time.Time) {
	o.mu.Lock()
	anyNew := o.partition.SetCancelledJobs(o.cancelledJobs(items), time.Now())
	o.cancellationsReadAt = asked
	o.mu.Unlock()
	if anyNew {
		o.wakeUp()
	}
}

// cancelledJobs returns the jobs that a listing of the cancellations names.
func (o *ownedPartition) cancelledJobs(items []wire.KeyValue) []string {
	prefix := records.CancellationPrefix(o.index)
	ids := make([]string, len(items))
	for i, item := range items {
		ids[i] = item.Key[len(prefix):]
	}
	return ids
}

// jobCancelled cancels a job on the hint of the node that has committed its cancellation.
func (o *ownedPartition) jobCancelled(id string) {
	loaded := o.whenLoaded(func(partition *scheduler.Partition) {
		partition.Cancel(id, time.Now())
	})
	if loaded {
		o.wakeUp()
	}
}
