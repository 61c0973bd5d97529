package controller

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"ambersill/internal/autoscaler"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// readoptionDelay is the time after a machine's return during which it is not adopted, since
// the cloud's listing may still show it.
const readoptionDelay = 2 * time.Minute

const millisecondsPerSecond = 1000

// machineListing is what the leader knows about a machine from the cloud's listings.
type machineListing struct {
	listed         bool      // in the latest listing
	state          string    // in the latest listing; empty if the machine is not in it
	everListed     bool      // in any listing of this term
	missedListings int       // consecutive listings without the machine; 0 if it was never listed
	returnedAt     time.Time // zero unless it was returned less than readoptionDelay ago
}

// reconcileListing lists the cloud's machines and compares them with the records: it adopts
// machines without a record, and returns those that have failed.
func (l *leader) reconcileListing(ctx context.Context) {
	cloudMachines, err := l.controller.cloud.List(ctx)
	if err != nil {
		slog.Debug("listing the cloud's machines failed", "err", err)
		return
	}
	l.updateListings(cloudMachines, time.Now())
	if l.controller.cluster.hasRentals() {
		// Machines without a record may belong to these rentals.
		return
	}
	if !l.repeatUnconfirmedAdoption(ctx) {
		return
	}
	_, machines := l.controller.cluster.recordedMachines()
	if l.adoptMachines(ctx, cloudMachines, machines) {
		l.returnFailedUnrecorded(ctx, cloudMachines, machines)
	}
}

// returnFailedUnrecorded returns to the cloud the listed machines that have failed and have no
// record.
func (l *leader) returnFailedUnrecorded(
	ctx context.Context, cloudMachines []wire.CloudMachine, machines map[string]machineEntry,
) {
	for _, machine := range cloudMachines {
		if _, known := machines[machine.ID]; !known && machine.State == wire.MachineFailed {
			l.returnToCloud(ctx, []machineReturn{{id: machine.ID, reason: returnFailed}})
		}
	}
}

// updateListings updates the listing state and the address of each listed machine, and counts
// the consecutive listings from which the other machines are missing.
func (l *leader) updateListings(cloudMachines []wire.CloudMachine, now time.Time) {
	l.resetListed(now)
	for _, machine := range cloudMachines {
		listing := l.listings[machine.ID]
		listing.listed, listing.everListed = true, true
		listing.state = machine.State
		l.listings[machine.ID] = listing
		l.controller.recordAddress(machine.ID, machine.Address)
	}
	l.countMissedListings()
}

// resetListed resets the fields that describe the latest listing, and times of return that
// are older than readoptionDelay.
func (l *leader) resetListed(now time.Time) {
	for id, listing := range l.listings {
		listing.listed, listing.state = false, ""
		if now.Sub(listing.returnedAt) > readoptionDelay {
			listing.returnedAt = time.Time{}
		}
		l.listings[id] = listing
	}
}

// countMissedListings updates, for each recorded machine, the number of consecutive listings
// that lack it.
func (l *leader) countMissedListings() {
	ids, _ := l.controller.cluster.recordedMachines()
	for _, id := range ids {
		listing := l.listings[id]
		if listing.listed || !listing.everListed {
			listing.missedListings = 0
		} else {
			listing.missedListings++
		}
		l.listings[id] = listing
	}
}

// adoptMachines records listed machines that have no record. Such machines were rented by a
// request whose answer was lost or late, or existed before the cluster started. sizeFleet
// returns those that are not needed. adoptMachines adds the machines to the given map, and
// returns false if some could not be recorded.
func (l *leader) adoptMachines(
	ctx context.Context, cloudMachines []wire.CloudMachine, machines map[string]machineEntry,
) bool {
	now := time.Now()
	adopted := map[string]records.MachineRecord{}
	byOffering := map[autoscaler.Offering][]string{}
	var offerings []autoscaler.Offering // in the order of their first machines
	for _, machine := range cloudMachines {
		if _, known := machines[machine.ID]; known || !l.isAdoptable(machine) {
			continue
		}
		record := adoptedMachineRecord(machine, smallestPartition(machines, l.controller.partitionCount), now)
		machines[machine.ID] = machineEntry{record: record}
		adopted[machine.ID] = record
		offering := offeringOfListedMachine(machine)
		if byOffering[offering] == nil {
			offerings = append(offerings, offering)
		}
		byOffering[offering] = append(byOffering[offering], machine.ID)
	}
	for _, offering := range offerings {
		for _, group := range l.splitIntoGroups(offering, byOffering[offering], adopted) {
			if l.commitAdoptedGroup(ctx, group) != commitApplied {
				return false
			}
		}
	}
	return true
}

// commitAdoptedGroup records a group of adopted machines. If the outcome is unknown, the group is
// kept for repeatUnconfirmedAdoption.
func (l *leader) commitAdoptedGroup(ctx context.Context, group records.MachineGroupRecord) commitOutcome {
	compare, write := newGroupWrite(group)
	err := l.commit(ctx, []wire.Compare{compare}, []wire.Write{write})
	outcome := classifyCommitError(err)
	switch outcome {
	case commitApplied:
		slog.Info("machines adopted", "count", len(group.Machines))
	case commitUnknown:
		l.unconfirmedAdoption = &group
	case commitConflict, commitRefused, commitInvalid:
		// Not executed. The machines are adopted after a later listing.
	}
	if err != nil {
		slog.Debug("recording adopted machines failed", "err", err)
	}
	return outcome
}

// repeatUnconfirmedAdoption repeats the last adoption if its outcome is unknown, and reports whether
// it is known now. The group must be the same: if a later listing made another group of some of its
// machines, and the commit was executed late, these machines would be in two groups.
func (l *leader) repeatUnconfirmedAdoption(ctx context.Context) bool {
	if l.unconfirmedAdoption == nil {
		return true
	}
	group := *l.unconfirmedAdoption
	switch l.commitAdoptedGroup(ctx, group) {
	case commitApplied:
	case commitConflict:
		// The group's key exists. The watch may not have delivered it yet.
		if err := l.controller.refreshMachineGroup(ctx, lowestMachineID(group)); err != nil {
			slog.Debug("reading adopted machines failed", "err", err)
			return false
		}
	case commitUnknown, commitRefused, commitInvalid:
		return false
	}
	l.unconfirmedAdoption = nil
	return true
}

// isAdoptable reports whether a listed machine without a record may be adopted: it has not
// failed and was not returned recently.
func (l *leader) isAdoptable(machine wire.CloudMachine) bool {
	returned := !l.listings[machine.ID].returnedAt.IsZero()
	return !returned && machine.State != wire.MachineFailed
}

// adoptedMachineRecord returns the record of a machine that was found in the cloud's listing.
func adoptedMachineRecord(machine wire.CloudMachine, partition int, now time.Time) records.MachineRecord {
	return records.MachineRecord{
		MachineType: machine.MachineType,
		Zone:        machine.Zone,
		Spot:        machine.Spot,
		Partition:   partition,
		CreatedAtMS: now.UnixMilli() - int64(machine.AgeS*millisecondsPerSecond),
	}
}

// machinesPerGroup returns the number of machines of an offering that fit into the record of
// one group.
func (l *leader) machinesPerGroup(offering autoscaler.Offering) int {
	return records.MachinesPerGroup(l.controller.limits.MaxValueKiB, offering.MachineType, offering.Zone)
}

// splitIntoGroups divides new machines of one offering into groups. The record of each group
// fits into one value of the key-value store.
func (l *leader) splitIntoGroups(
	offering autoscaler.Offering, ids []string, machines map[string]records.MachineRecord,
) []records.MachineGroupRecord {
	var groups []records.MachineGroupRecord
	for chunk := range slices.Chunk(ids, l.machinesPerGroup(offering)) {
		group := records.MachineGroupRecord{Machines: map[string]records.MachineRecord{}}
		for _, id := range chunk {
			group.Machines[id] = machines[id]
		}
		groups = append(groups, group)
	}
	return groups
}

// smallestPartition returns the partition with the fewest machines. Adopted machines are
// assigned to it, which spreads them evenly.
func smallestPartition(machines map[string]machineEntry, partitionCount int) int {
	counts := make([]int, partitionCount)
	for _, entry := range machines {
		if entry.record.Partition < partitionCount {
			counts[entry.record.Partition]++
		}
	}
	smallest := 0
	for partition, count := range counts {
		if count < counts[smallest] {
			smallest = partition
		}
	}
	return smallest
}
