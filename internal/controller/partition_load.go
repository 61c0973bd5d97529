package controller

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/scheduler"
	"ambersill/internal/wire"
)

// partitionRecords are all records that a partition is restored from, as they were listed.
type partitionRecords struct {
	machines []wire.KeyValue
	chunks   []wire.KeyValue
	journal  []wire.KeyValue
	// cancellations are the keys of cancelled jobs.
	cancellations []wire.KeyValue
	// revision is one from which a watch misses no job that the listings lack.
	revision uint64
	// cancellationsReadAt is when the listing of the cancellations was requested.
	cancellationsReadAt time.Time
}

// load restores the partition from its records, and returns the revision to watch jobs
// from. It runs after the claim, whose revision fences the former owner: that owner can no
// longer commit anything, so that what is read here is complete.
func (o *ownedPartition) load(ctx context.Context) (uint64, error) {
	if err := o.controller.refreshFeatureLevel(ctx); err != nil {
		return 0, fmt.Errorf("read feature level: %w", err)
	}
	listed, err := o.listRecords(ctx)
	if err != nil {
		return 0, fmt.Errorf("list records of partition %d: %w", o.index, err)
	}
	now := time.Now()
	partition := scheduler.NewPartition(o.index, o.revision, o.controller.settings, &o.controller.tuning)
	partition.SetMachineTypes(o.controller.catalog())
	partition.SetLevel(o.controller.cluster.featureLevel())
	if err := loadMachines(partition, listed.machines, now); err != nil {
		return 0, err
	}
	partition.Restore(decodeChunks(listed.chunks), decodeJournal(listed.journal))
	partition.SetCancelledJobs(o.cancelledJobs(listed.cancellations), now)
	o.publish(partition, listed.cancellationsReadAt)
	slog.Info("partition loaded",
		"partition", o.index, "jobs", partition.JobCount(), "machines", partition.MachineCount())
	o.requestCycle()
	return listed.revision, nil
}

// listRecords lists the partition's records in an order in which none is missed.
func (o *ownedPartition) listRecords(ctx context.Context) (*partitionRecords, error) {
	store := o.controller.store
	listed := &partitionRecords{}
	var err error
	if listed.machines, _, err = store.List(ctx, records.MachinePrefix); err != nil {
		return nil, err
	}
	// The watch starts before the jobs are read, so that none falls in between.
	if _, listed.revision, err = store.List(ctx, records.PartitionKey(o.index)); err != nil {
		return nil, err
	}
	if listed.chunks, _, err = store.List(ctx, records.ChunkPrefix(o.index)); err != nil {
		return nil, err
	}
	if listed.journal, _, err = store.List(ctx, records.JournalPrefix(o.index)); err != nil {
		return nil, err
	}
	listed.cancellationsReadAt = time.Now()
	if listed.cancellations, _, err = store.List(ctx, records.CancellationPrefix(o.index)); err != nil {
		return nil, err
	}
	return listed, nil
}

// loadMachines adds the machines of all groups; SetMachine ignores those of other partitions.
func loadMachines(partition *scheduler.Partition, groups []wire.KeyValue, now time.Time) error {
	for _, item := range groups {
		group, err := records.DecodeMachineGroup(item.Key[len(records.MachinePrefix):], item.Value, item.Revision)
		if err != nil {
			return fmt.Errorf("decode %s: %w", item.Key, err)
		}
		for id, record := range group.Machines {
			partition.SetMachine(id, record, item.Revision, now)
		}
	}
	return nil
}

// decodeChunks decodes the chunks of jobs; records that cannot be decoded are left out.
func decodeChunks(items []wire.KeyValue) []records.LoadedChunk {
	var chunks []records.LoadedChunk
	for _, item := range items {
		jobID, name, ok := records.ParseChunkKey(item.Key)
		var record records.ChunkRecord
		if err := wire.Unmarshal(item.Value, &record); err != nil || !ok {
			slog.Error("record not understood", "key", item.Key, "err", err)
			continue
		}
		chunks = append(chunks, records.LoadedChunk{
			JobID:    jobID,
			Name:     name,
			Revision: item.Revision,
			Record:   record,
		})
	}
	return chunks
}

// decodeJournal decodes the journal; records that cannot be decoded are left out.
func decodeJournal(items []wire.KeyValue) []records.LoadedJournalRecord {
	var journal []records.LoadedJournalRecord
	for _, item := range items {
		var record records.JournalRecord
		if err := wire.Unmarshal(item.Value, &record); err != nil {
			slog.Error("record not understood", "key", item.Key, "err", err)
			continue
		}
		journal = append(journal, records.LoadedJournalRecord{Revision: item.Revision, Record: record})
	}
	return journal
}

// publish applies the changes of machines that arrived while the records were read, and lets
// the loaded partition answer heartbeats.
func (o *ownedPartition) publish(partition *scheduler.Partition, cancellationsReadAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.partition = partition
	o.cancellationsReadAt = cancellationsReadAt
	// It may have been raised since the partition was created, and is announced only
	// to partitions that are published.
	o.partition.SetLevel(o.controller.cluster.featureLevel())
	for _, id := range slices.Sorted(maps.Keys(o.pendingChanges)) {
		o.applyMachine(o.pendingChanges[id])
	}
	o.pendingChanges = nil
}
