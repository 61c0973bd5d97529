package controller

import (
	"context"
	"log/slog"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// updateMachineRecords releases the empty machines that the leader wants returned or moved. It
// also raises the fencing tokens of machines with a command of unknown outcome, so that the
// command can no longer be executed.
func (o *ownedPartition) updateMachineRecords(ctx context.Context) {
	changes := o.machineRecordChanges()
	for id, record := range changes {
		record.FencingToken = o.nextFencingToken(id)
	}
	if err := o.controller.commitMachineRecords(ctx, o.fence(), changes); err != nil {
		slog.Debug("updating machine records failed", "partition", o.index, "err", err)
	}
}

// fence returns the condition that this node still owns the partition.
func (o *ownedPartition) fence() wire.Compare {
	return wire.Compare{Key: records.PartitionKey(o.index), Revision: o.revision}
}

// machineRecordChanges returns the records that updateMachineRecords has to write, by machine
// ID.
func (o *ownedPartition) machineRecordChanges() map[string]*records.MachineRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	changes := map[string]*records.MachineRecord{}
	for id, record := range o.partition.ReleasableMachines() {
		changes[id] = &record
	}
	for _, id := range o.partition.MachinesNeedingHigherToken() {
		entry, known := o.controller.cluster.machine(id)
		if known && entry.record.Partition == o.index && changes[id] == nil {
			changes[id] = &entry.record
		}
	}
	return changes
}

// nextFencingToken returns a fencing token for a machine. It is higher than all revisions that
// this node knows of, and no higher than the revision of the commit that writes it. A later
// claim of the partition therefore has a higher revision than the token.
func (o *ownedPartition) nextFencingToken(machine string) uint64 {
	entry, _ := o.controller.cluster.machine(machine)
	return max(o.controller.store.HighestRevision(), o.revision, entry.revision) + 1
}

// commitMachineRecords changes machines' records, in as many transactions as their limits
// require. Each is committed on the condition of the given fence, that of the leader or of a
// partition's owner. A nil record removes the machine.
func (c *Controller) commitMachineRecords(
	ctx context.Context, fence wire.Compare, changes map[string]*records.MachineRecord,
) error {
	maxBytes := c.maxGroupBytes()
	maxWrites := min(c.limits.MaxTxnWrites, valuesPerTxn(maxBytes))
	var batch groupChange
	for _, change := range c.cluster.groupChanges(changes, maxBytes) {
		if len(batch.writes) > 0 && len(batch.writes)+len(change.writes) > maxWrites {
			if err := c.commitGroupChange(ctx, fence, batch); err != nil {
				return err
			}
			batch = groupChange{}
		}
		batch.compares = append(batch.compares, change.compares...)
		batch.writes = append(batch.writes, change.writes...)
	}
	return c.commitGroupChange(ctx, fence, batch)
}

// commitGroupChange commits a change of machine groups unless it is empty.
func (c *Controller) commitGroupChange(ctx context.Context, fence wire.Compare, change groupChange) error {
	if len(change.writes) == 0 {
		return nil
	}
	return c.commitFenced(ctx, fence, change.compares, change.writes)
}
