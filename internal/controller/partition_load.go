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

// partitionRecords holds the listed records from which a partition is restored.
type partitionRecords struct {
	machines []wire.KeyValue
	chunks   []wire.KeyValue
	journal  []wire.KeyValue
	// cancellations has one key for each cancelled job.
	cancellations []wire.KeyValue
	// revision is the revision to watch jobs from. It is older than the listing of the
	// chunks, so that the watch delivers every job that is missing from the listing.
	revision uint64
	// cancellationsReadAt is when the listing of the cancellations was requested.
	cancellationsReadAt time.Time
}

// load restores the partition from its records, and returns the revision to watch jobs
// from. It runs after the claim. The claim has changed the revision of the partition's key,
// so the earlier owner can no longer commit and the records read here are complete.
func (o *ownedPartition) load(ctx context.Context) (uint64, error) {
	if err := o.controller.refreshFeatureLevel(ctx); err != nil {
		return 0, fmt.Errorf("reading feature level: %w", err)
	}
	listed, err := o.listRecords(ctx)
	if err != nil {
		return 0, fmt.Errorf("listing records of partition %d: %w", o.index, err)
	}
	now := time.Now()
	partition := scheduler.NewPartition(o.index, o.revision, o.controller.settings, &o.controller.tuning)
	partition.SetMachineTypes(o.controller.catalog())
	partition.RaiseLevel(o.controller.cluster.featureLevel())
	if err := loadMachines(partition, listed.machines, now); err != nil {
		return 0, err
	}
	partition.Restore(decodeChunks(listed.chunks), decodeJournal(listed.journal))
	partition.SetCancelledJobs(o.cancelledJobs(listed.cancellations), now)
	o.publish(partition, listed.cancellationsReadAt)
	slog.Info("partition loaded",
		"partition", o.index, "jobs", partition.JobCount(), "machines", partition.MachineCount(),
		"claim", o.revision, "revision", listed.revision)
	o.requestCycle()
	return listed.revision, nil
}

// listRecords lists the partition's records in an order that misses no record that is written
// meanwhile.
func (o *ownedPartition) listRecords(ctx context.Context) (*partitionRecords, error) {
	store := o.controller.store
	listed := &partitionRecords{}
	var err error
	if listed.machines, _, err = store.List(ctx, records.MachinePrefix); err != nil {
		return nil, err
	}
	// The revision to watch from is read before the jobs are listed, so that the watch
	// delivers every job that is submitted too late for the listing.
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

// loadMachines adds the machines of all groups to the partition. SetMachine ignores machines
// of other partitions.
func loadMachines(partition *scheduler.Partition, groups []wire.KeyValue, now time.Time) error {
	for _, item := range groups {
		group, err := records.DecodeMachineGroup(item.Key[len(records.MachinePrefix):], item.Value, item.Revision)
		if err != nil {
			return fmt.Errorf("decoding %s: %w", item.Key, err)
		}
		for id, record := range group.Machines {
			partition.SetMachine(id, record, item.Revision, now)
		}
	}
	return nil
}

// decodeChunks decodes the chunks of jobs. It logs and skips records that cannot be decoded.
func decodeChunks(items []wire.KeyValue) []records.LoadedChunk {
	var chunks []records.LoadedChunk
	for _, item := range items {
		jobID, name, ok := records.ParseChunkKey(item.Key)
		var record records.ChunkRecord
		if err := wire.Unmarshal(item.Value, &record); err != nil || !ok {
			slog.Error("decoding job chunk failed", "key", item.Key, "err", err)
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

// decodeJournal decodes the journal. It logs and skips records that cannot be decoded.
func decodeJournal(items []wire.KeyValue) []records.LoadedJournalRecord {
	var journal []records.LoadedJournalRecord
	for _, item := range items {
		var record records.JournalRecord
		if err := wire.Unmarshal(item.Value, &record); err != nil {
			slog.Error("decoding journal record failed", "key", item.Key, "err", err)
			continue
		}
		journal = append(journal, records.LoadedJournalRecord{Revision: item.Revision, Record: record})
	}
	return journal
}

// publish makes the loaded partition visible to heartbeats and scheduling, and applies the
// machine changes that arrived while its records were read.
func (o *ownedPartition) publish(partition *scheduler.Partition, cancellationsReadAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.partition = partition
	o.cancellationsReadAt = cancellationsReadAt
	// The feature level may have been raised since the partition was created. featureLevelRaised
	// passes it on only to partitions that are published.
	o.partition.RaiseLevel(o.controller.cluster.featureLevel())
	for _, id := range slices.Sorted(maps.Keys(o.pendingMachineChanges)) {
		o.applyMachine(o.pendingMachineChanges[id])
	}
	o.pendingMachineChanges = nil
}
