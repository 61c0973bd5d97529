package controller

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/scheduler"
	"ambersill/internal/wire"
)

// partitionRecords are all records of a partition, as they were listed.
type partitionRecords struct {
	machines, chunks, journal, cancellations []wire.KeyValue
	// revision is one from which a watch misses no job that the listings lack.
	revision uint64
	// askedAt is when the cancellations were asked for.
	askedAt time.Time
}

// load reads the partition. It runs after the claim, whose revision fences the last
// owner: nothing of it can be committed any more, so what is read here is whole.
func (o *ownedPartition) load() (uint64, error) {
	if err := o.controller.refreshFeatureLevel(o.ctx); err != nil {
		return 0, err
	}
	records, err := o.listRecords()
	if err != nil {
		return 0, err
	}
	now := time.Now()
	partition := scheduler.NewPartition(o.index, o.revision, o.controller.settings, &o.controller.tuning)
	partition.SetMachineTypes(o.controller.catalog())
	partition.SetLevel(o.controller.cluster.featureLevel())
	if err := loadMachines(partition, records.machines, now); err != nil {
		return 0, err
	}
	partition.Restore(decodeChunks(records.chunks), decodeJournal(records.journal))
	partition.SetCancelledJobs(o.cancelledJobs(records.cancellations), now)
	o.publish(partition, records.askedAt)
	slog.Info("part read", "part", o.index, "jobs", partition.JobCount(), "machines", len(partition.MachineIDs()))
	o.wakeUp()
	return records.revision, nil
}

// listRecords lists the partition's records in an order in which none is missed.
func (o *ownedPartition) listRecords() (r partitionRecords, err error) {
	list := func(prefix string, into *[]wire.KeyValue) (revision uint64) {
		if err == nil {
			*into, revision, err = o.controller.store.List(o.ctx, prefix)
		}
		return revision
	}
	var key []wire.KeyValue
	list(records.MachinePrefix, &r.machines)
	// The watch starts before the jobs are read, so that none falls between.
	r.revision = list(records.PartitionKey(o.index), &key)
	list(records.ChunkPrefix(o.index), &r.chunks)
	list(records.JournalPrefix(o.index), &r.journal)
	r.askedAt = time.Now()
	list(records.CancellationPrefix(o.index), &r.cancellations)
	return r, err
}

// loadMachines gives the partition its machines.
func loadMachines(partition *scheduler.Partition, groups []wire.KeyValue, now time.Time) error {
	for _, item := range groups {
		group, err := records.DecodeMachineGroup(item.Key[len(records.MachinePrefix):], item.Value, item.Revision)
		if err != nil {
			return err
		}
		for id, record := range group.Machines {
			partition.SetMachine(id, record, item.Revision, now)
		}
	}
	return nil
}

// decodeChunks decodes the chunks of jobs' tasks; what is not understood is left out.
func decodeChunks(items []wire.KeyValue) []records.LoadedChunk {
	var all []records.LoadedChunk
	for _, item := range items {
		id, name, ok := records.ParseChunkKey(item.Key)
		var r records.ChunkRecord
		if err := wire.Unmarshal(item.Value, &r); err != nil || !ok {
			slog.Error("record not understood", "key", item.Key, "err", err)
			continue
		}
		all = append(all, records.LoadedChunk{JobID: id, Name: name, Revision: item.Revision, Record: r})
	}
	return all
}

// decodeJournal decodes the journal; what is not understood is left out.
func decodeJournal(items []wire.KeyValue) []records.LoadedJournalRecord {
	var all []records.LoadedJournalRecord
	for _, item := range items {
		var r records.JournalRecord
		if err := wire.Unmarshal(item.Value, &r); err != nil {
			slog.Error("record not understood", "key", item.Key, "err", err)
			continue
		}
		all = append(all, records.LoadedJournalRecord{Revision: item.Revision, Record: r})
	}
	return all
}

// publish has the partition answer reports from now on, with the changes of machines that
// came while it was read.
func (o *ownedPartition) publish(partition *scheduler.Partition, knownUntil time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.partition, o.cancellationsReadAt = partition, knownUntil
	o.partition.SetLevel(o.controller.cluster.featureLevel()) // also if it was raised meanwhile
	for _, id := range slices.Sorted(maps.Keys(o.pendingChanges)) {
		o.applyMachine(id, o.pendingChanges[id].entry, o.pendingChanges[id].gone)
	}
	o.pendingChanges = nil
}
