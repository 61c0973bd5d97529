package controller

import (
	"context"
	"log/slog"
	"runtime"
	"time"

	"ambersill/internal/scheduler"
	"ambersill/internal/transport"
)

// countersInterval is the time between two log lines with counters.
const countersInterval = 30 * time.Second

// logCounters logs the node's counters every countersInterval until the context ends.
func (c *Controller) logCounters(ctx context.Context) error {
	for ctx.Err() == nil {
		transport.Pause(ctx, countersInterval)
		slog.Info("counters", c.counters().logArgs()...)
	}
	return nil
}

// nodeCounters holds the values that are logged for a node.
type nodeCounters struct {
	heapMiB         uint64
	systemMiB       uint64 // memory obtained from the operating system
	goroutines      int
	storeServed     int // requests to the key-value store by outcome: served, refused, unanswered
	storeRefused    int
	storeUnanswered int
	finalJobsCached int
	partitions      []partitionCounters
}

// partitionCounters holds the values that are logged for an owned partition.
type partitionCounters struct {
	partition  int
	jobs       int
	machines   int
	scheduling scheduler.Counters
}

// counters collects the values of the node and of all its partitions that are loaded.
func (c *Controller) counters() nodeCounters {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	served, refused, unanswered := c.store.RequestCounts()
	counters := nodeCounters{
		heapMiB:         memory.HeapAlloc >> 20,
		systemMiB:       memory.Sys >> 20,
		goroutines:      runtime.NumGoroutine(),
		storeServed:     served,
		storeRefused:    refused,
		storeUnanswered: unanswered,
		finalJobsCached: c.finalJobs.size(),
	}
	for _, owned := range c.ownedPartitions() {
		if partition, loaded := owned.counters(); loaded {
			counters.partitions = append(counters.partitions, partition)
		}
	}
	return counters
}

// counters collects the values of the partition. loaded is false, and the counters are empty,
// while the partition's records are being read.
func (o *ownedPartition) counters() (counters partitionCounters, loaded bool) {
	loaded = o.withLoadedPartition(func(partition *scheduler.Partition) {
		counters = partitionCounters{
			partition:  o.index,
			jobs:       partition.JobCount(),
			machines:   partition.MachineCount(),
			scheduling: partition.Counters,
		}
	})
	return counters, loaded
}

// logArgs returns keys and values for slog. The keys of each partition follow the key
// "partition", so the same keys occur once for each partition.
func (n nodeCounters) logArgs() []any {
	args := []any{
		"heap_mb", n.heapMiB,
		"sys_mb", n.systemMiB,
		"goroutines", n.goroutines,
		"state_ok", n.storeServed,
		"state_refused", n.storeRefused,
		"state_unknown", n.storeUnanswered,
		"final_jobs_cached", n.finalJobsCached,
	}
	for _, partition := range n.partitions {
		args = append(args, partition.logArgs()...)
	}
	return args
}

func (p partitionCounters) logArgs() []any {
	return []any{
		"partition", p.partition,
		"jobs", p.jobs,
		"machines", p.machines,
		"started", p.scheduling.Placed,
		"finished", p.scheduling.Finished,
		"requeued", p.scheduling.Requeued,
		"preempted", p.scheduling.Preempted,
		"moved", p.scheduling.Moved,
		"gang_reservations", p.scheduling.GangReservations,
		"gang_timeouts", p.scheduling.GangTimeouts,
		"journal_records", p.scheduling.JournalRecords,
		"compactions", p.scheduling.Compactions,
		"starts_sent", p.scheduling.StartsSent,
		"stops_sent", p.scheduling.StopsSent,
		"forgets_sent", p.scheduling.ForgetsSent,
		"direct_requests", p.scheduling.DirectRequests,
		"requests_refused", p.scheduling.RequestsRefused,
		"requests_unknown", p.scheduling.RequestsUnknown,
		"tokens_raised", p.scheduling.TokensRaised,
	}
}
