package controller

import (
	"context"
	"log/slog"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// rewriteMachineRecords releases the empty machines that the leader wants back or moved, and
// raises the fencing tokens of machines with a command of unknown outcome, after which that
// command can no longer be executed.
func (o *ownedPartition) rewriteMachineRecords(ctx context.Context) {
	changes := o.machineRecordChanges()
	for id, record := range changes {
		record.FencingToken = o.nextFencingToken(id)
	}
	if err := o.controller.rewriteMachines(ctx, o.fence(), changes); err != nil {
		slog.Debug("machines' records not rewritten", "partition", o.index, "err", err)
	}
}

// fence returns the condition that this node still owns the partition.
func (o *ownedPartition) fence() wire.Compare {
	return wire.Compare{Key: records.PartitionKey(o.index), Revision: o.revision}
}

// machineRecordChanges returns the machines' records to be rewritten, by machine.
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

// nextFencingToken returns a token for a machine that is above all that was committed
// before, and no higher than the revision of the commit that writes it, so that any later
// claim of the partition is above it.
func (o *ownedPartition) nextFencingToken(machine string) uint64 {
	entry, _ := o.controller.cluster.machine(machine)
	return max(o.controller.store.Revision(), o.revision, entry.revision) + 1
}

// rewriteMachines changes machines' records, in as many transactions as necessary, under the
// fence of the partition's owner or of the leader; a nil record removes the machine.
func (c *Controller) rewriteMachines(
	ctx context.Context, fence wire.Compare, changes map[string]*records.MachineRecord,
) error {
	limit := c.groupLimit()
	maxWrites := min(c.limits.TxnOps, groupsPerTxn(limit))
	var next groupChange
	for _, change := range c.cluster.groupChanges(changes, limit) {
		if len(next.writes) > 0 && len(next.writes)+len(change.writes) > maxWrites {
			if err := c.commitGroups(ctx, fence, next); err != nil {
				return err
			}
			next = groupChange{}
		}
		next.compares = append(next.compares, change.compares...)
		next.writes = append(next.writes, change.writes...)
	}
	return c.commitGroups(ctx, fence, next)
}

// commitGroups commits a change of groups of machines, if there is any.
func (c *Controller) commitGroups(ctx context.Context, fence wire.Compare, change groupChange) error {
	if len(change.writes) == 0 {
		return nil
	}
	return c.commitFenced(ctx, fence, change.compares, change.writes)
}
