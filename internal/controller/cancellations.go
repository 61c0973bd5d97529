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
// have been cancelled without its knowledge. So it polls the cancellations, and decides by
// the age of the latest poll that succeeded.

// failedPollDivisor divides the interval between two polls of the cancellations for the wait
// after one that failed, so that a single error does not stop the starts.
const failedPollDivisor = 4

// ownerPermissions is what an owner may do, given what it knows of cancellations.
type ownerPermissions struct {
	canStartTasks       bool
	canAnswerHeartbeats bool
}

// permissionsAt returns what an owner may do with knowledge of the given age.
func (c *Controller) permissionsAt(age time.Duration) ownerPermissions {
	return ownerPermissions{
		canStartTasks:       age < tuning.Seconds(c.tuning.FreshS),
		canAnswerHeartbeats: age <= c.maxAgeToAnswerHeartbeats(),
	}
}

// maxAgeToAnswerHeartbeats returns the age of the knowledge of cancellations up to which an
// owner answers heartbeats. The tasks of a job that was cancelled just after the reading run
// for as long as heartbeats are answered, and then for the lease that the last answered
// heartbeat has renewed from the moment it was sent; all of it must fit into the time in
// which a cancellation has to take effect.
func (c *Controller) maxAgeToAnswerHeartbeats() time.Duration {
	workers := c.settings.Cluster.Workers
	leaseS := workers.LeaseS * (1 + c.tuning.Drift)
	return tuning.Seconds(workers.CancelS - leaseS - workers.ReportS - c.tuning.MarginS)
}

// cancellationListingAge returns the age of the owner's knowledge of cancellations: all that were
// confirmed longer ago are known, whichever node confirmed them. The time since the last
// contact with the store is not enough: once contact was regained after an outage, or while
// watches were open but stuck, an owner that alone had its requests refused answered its
// workers' heartbeats without knowing what other nodes had confirmed meanwhile.
func (o *ownedPartition) cancellationListingAge() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(o.cancellationsReadAt)
}

// mayStartTasks reports whether the knowledge of cancellations is new enough to start tasks.
func (o *ownedPartition) mayStartTasks() bool {
	return o.controller.permissionsAt(o.cancellationListingAge()).canStartTasks
}

// logPermissionChange logs when the knowledge of cancellations becomes too old, or new enough
// again, to start tasks or to answer heartbeats.
func (o *ownedPartition) logPermissionChange() {
	age := o.cancellationListingAge()
	permissions := o.controller.permissionsAt(age)
	if permissions == o.loggedPermissions {
		return
	}
	o.loggedPermissions = permissions
	slog.Info("knowledge of cancellations", "partition", o.index, "starts_tasks", permissions.canStartTasks,
		"answers_heartbeats", permissions.canAnswerHeartbeats, "age_s", age.Seconds())
}

// pollCancellations polls the keys of cancelled jobs until the context ends. A key is
// committed with the cancellation and deleted when nothing of the job is left, so that a
// poll shows every cancellation that was committed before it was requested.
func (o *ownedPartition) pollCancellations(ctx context.Context) {
	interval := tuning.Seconds(o.controller.tuning.NewsS)
	for ctx.Err() == nil {
		o.logPermissionChange()
		requestedAt := time.Now()
		items, _, err := o.controller.store.ListUnthrottled(ctx, records.CancellationPrefix(o.index))
		if err != nil {
			slog.Debug("cancellations not read", "partition", o.index, "err", err)
			transport.Pause(ctx, interval/failedPollDivisor)
			continue
		}
		o.setCancellations(items, requestedAt)
		transport.Pause(ctx, interval-time.Since(requestedAt))
	}
}

// setCancellations applies the cancellations that a poll has listed.
func (o *ownedPartition) setCancellations(items []wire.KeyValue, requestedAt time.Time) {
	o.mu.Lock()
	anyNew := o.partition.SetCancelledJobs(o.cancelledJobs(items), time.Now())
	o.cancellationsReadAt = requestedAt
	o.mu.Unlock()
	if anyNew {
		o.requestCycle()
	}
}

// cancelledJobs returns the IDs of the jobs in a listing of the cancellations.
func (o *ownedPartition) cancelledJobs(items []wire.KeyValue) []string {
	prefix := records.CancellationPrefix(o.index)
	ids := make([]string, len(items))
	for i, item := range items {
		ids[i] = item.Key[len(prefix):]
	}
	return ids
}

// cancelJob cancels a job when the node that committed its cancellation announces it.
func (o *ownedPartition) cancelJob(id string) {
	loaded := o.withLoadedPartition(func(partition *scheduler.Partition) {
		partition.Cancel(id, time.Now())
	})
	if loaded {
		o.requestCycle()
	}
}
