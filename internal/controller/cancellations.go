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

// An owner must not start tasks, or keep tasks alive by answering heartbeats, if it may have
// missed the cancellation of their jobs. It therefore polls the cancellations, and decides by
// the age of the latest successful listing what it may do.

// failedPollDivisor is the number by which the interval between two polls of the cancellations
// is divided to give the wait after a failed poll. The wait is short so that a single error
// does not stop the owner from starting tasks.
const failedPollDivisor = 4

// ownerPermissions is what an owner may do, depending on the age of its listing of cancellations.
type ownerPermissions struct {
	mayStart  bool
	mayAnswer bool
}

// permissionsAt returns what an owner may do if its listing of cancellations has the given age.
func (c *Controller) permissionsAt(age time.Duration) ownerPermissions {
	return ownerPermissions{
		mayStart:  age < tuning.Seconds(c.tuning.FreshS),
		mayAnswer: age <= c.maxAgeToAnswerHeartbeats(),
	}
}

// maxAgeToAnswerHeartbeats returns the age of the listing of cancellations up to which an owner
// answers heartbeats. If a job is cancelled just after the listing, its tasks run for as long
// as heartbeats are answered, and then until the end of the lease that the last answered
// heartbeat has renewed, counted from when that heartbeat was sent. The worker's clock may run
// slower than this one by the fraction Drift, which lengthens the lease. The sum, plus the interval
// HeartbeatIntervalS and the margin MarginS, must not exceed the time CancelDeadlineS within which
// a cancellation has to take effect.
func (c *Controller) maxAgeToAnswerHeartbeats() time.Duration {
	workers := c.settings.Cluster.WorkerTiming
	leaseS := workers.LeaseDurationS * (1 + c.tuning.Drift)
	return tuning.Seconds(workers.CancelDeadlineS - leaseS - workers.HeartbeatIntervalS - c.tuning.MarginS)
}

// cancellationListingAge returns the time since the latest successful listing of cancellations
// was requested. The owner knows every cancellation that any node confirmed before that. The
// time since the last contact with the store cannot be used instead. Contact can be recent
// although the listing is old: after an outage, or while watches stay open without delivering
// events. When the time since the last contact was used, an owner that was the only node whose
// requests the store refused answered heartbeats without knowing the cancellations that other
// nodes had confirmed.
func (o *ownedPartition) cancellationListingAge() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(o.cancellationsReadAt)
}

// mayStartTasks reports whether the listing of cancellations is recent enough to start tasks.
func (o *ownedPartition) mayStartTasks() bool {
	return o.controller.permissionsAt(o.cancellationListingAge()).mayStart
}

// logPermissionChange logs when the listing of cancellations becomes too old, or recent enough
// again, to start tasks or to answer heartbeats.
func (o *ownedPartition) logPermissionChange() {
	age := o.cancellationListingAge()
	permissions := o.controller.permissionsAt(age)
	if permissions == o.loggedPermissions {
		return
	}
	o.loggedPermissions = permissions
	slog.Info("owner permissions changed with the age of the cancellation listing",
		"partition", o.index, "starts_tasks", permissions.mayStart,
		"answers_heartbeats", permissions.mayAnswer, "age_s", age.Seconds())
}

// pollCancellations polls the keys of cancelled jobs until the context ends. A job's key is
// written in the commit that cancels the job, and deleted only when nothing of the job is
// left, so a poll returns every cancellation that was committed before the poll was requested
// and that is still needed.
func (o *ownedPartition) pollCancellations(ctx context.Context) {
	interval := tuning.Seconds(o.controller.tuning.NewsS)
	for ctx.Err() == nil {
		o.logPermissionChange()
		requestedAt := time.Now()
		items, _, err := o.controller.store.ListUnthrottled(ctx, records.CancellationPrefix(o.index))
		if err != nil {
			slog.Debug("polling cancellations failed", "partition", o.index, "err", err)
			transport.Pause(ctx, interval/failedPollDivisor)
			continue
		}
		o.setCancellations(items, requestedAt)
		transport.Pause(ctx, interval-time.Since(requestedAt))
	}
}

// setCancellations applies the cancellations that a listing, requested at requestedAt, has returned.
func (o *ownedPartition) setCancellations(items []wire.KeyValue, requestedAt time.Time) {
	o.mu.Lock()
	anyNew := o.applyCancellations(items, requestedAt)
	o.mu.Unlock()
	if anyNew {
		o.requestCycle()
	}
}

// applyCancellations is setCancellations for callers that hold o.mu. It reports whether any job of
// the partition is cancelled that was not before. It ignores a listing that was requested before the
// one that was applied last, because it may lack the cancellation of a job that is added later.
func (o *ownedPartition) applyCancellations(items []wire.KeyValue, requestedAt time.Time) (anyNew bool) {
	if requestedAt.Before(o.cancellationsReadAt) {
		return false
	}
	o.cancellationsReadAt = requestedAt
	return o.partition.SetCancelledJobs(o.cancelledJobs(items), time.Now())
}

// cancelledJobs returns the IDs of the jobs in a listing of cancellation keys.
func (o *ownedPartition) cancelledJobs(items []wire.KeyValue) []string {
	prefix := records.CancellationPrefix(o.index)
	ids := make([]string, len(items))
	for i, item := range items {
		ids[i] = item.Key[len(prefix):]
	}
	return ids
}

// cancelJob cancels a job whose cancellation is already committed. It does nothing while the
// partition is being loaded, because the listing of cancellations contains the job or the watch
// of jobs delivers its cancellation.
func (o *ownedPartition) cancelJob(id string) {
	loaded := o.withLoadedPartition(func(partition *scheduler.Partition) {
		partition.CancelJob(id, time.Now())
	})
	if loaded {
		o.requestCycle()
	}
}
