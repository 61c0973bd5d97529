package controller

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"ambersill/internal/autoscaler"
	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// readListing compares the cloud's list with the records.
func (l *leader) readListing(ctx context.Context) {
	list, err := l.controller.cloud.List(ctx)
	if err != nil {
		slog.Debug("machines not listed", "err", err)
		return
	}
	l.recordListing(list, time.Now())
	if l.hasPendingRentals() {
		// Machines that nobody expected may be theirs.
		return
	}
	_, machines := l.machines()
	if !l.adoptMachines(ctx, list, machines) {
		return
	}
	for _, machine := range list {
		if _, ok := machines[machine.ID]; !ok && machine.State == wire.MachineFailed {
			l.returnToCloud(ctx, []string{machine.ID}, map[string][]string{"failed": {machine.ID}})
		}
	}
}

// recordListing notes which machines the cloud lists, and counts those that are missing.
func (l *leader) recordListing(list []wire.CloudMachine, now time.Time) {
	l.listed = map[string]wire.CloudMachine{}
	for _, machine := range list {
		l.listed[machine.ID] = machine
		l.everListed[machine.ID] = true
		l.controller.recordAddress(machine.ID, machine.Address)
	}
	ids, _ := l.machines()
	for _, id := range ids {
		if _, ok := l.listed[id]; ok || !l.everListed[id] {
			l.missedListings[id] = 0
			continue
		}
		l.missedListings[id]++
	}
	for id, at := range l.returnedAt {
		if now.Sub(at) > returnedListed {
			delete(l.returnedAt, id)
		}
	}
}

// returnedListed is how long the list may go on to show a machine that was returned.
const returnedListed = 2 * time.Minute

// hasPendingRentals tells whether there are rentals without an answer.
func (l *leader) hasPendingRentals() bool {
	l.controller.cluster.mu.Lock()
	defer l.controller.cluster.mu.Unlock()
	return len(l.controller.cluster.rentals) > 0
}

// adoptMachines records machines that nobody expected: rented late, by a lost request, or there
// from the start. Sizing gives them back if they are too many. They are added to recs; the
// result is false if some could not be recorded.
func (l *leader) adoptMachines(ctx context.Context, list []wire.CloudMachine, machines map[string]machineEntry) bool {
	now := time.Now()
	groups := map[autoscaler.Offering][]string{}
	taken := map[string]records.MachineRecord{}
	for _, machine := range list {
		_, known := machines[machine.ID]
		_, returned := l.returnedAt[machine.ID]
		if known || returned || machine.State == wire.MachineFailed {
			continue
		}
		record := records.MachineRecord{MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot, Partition: l.smallestPartition(machines),
			CreatedAtMS: now.UnixMilli() - int64(machine.AgeS*1000)}
		machines[machine.ID] = machineEntry{record: record}
		taken[machine.ID] = record
		offering := autoscaler.Offering{MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot}
		groups[offering] = append(groups[offering], machine.ID)
	}
	for offering, ids := range groups {
		for part := range slices.Chunk(ids, records.MachinesPerGroup(l.controller.limits.ValueKB, offering.MachineType, offering.Zone)) {
			cond, put := newGroup(groupOf(part, taken))
			revision, err := l.commit(ctx, []wire.Compare{cond}, []wire.Write{put})
			if err != nil {
				slog.Debug("machines not taken in", "err", err)
				return false
			}
			l.controller.cluster.apply(put.Put, must(wire.Marshal(put.Value)), revision, false)
			slog.Info("machines taken in", "count", len(part))
		}
	}
	return true
}

// groupOf joins the records of some machines.
func groupOf(ids []string, recs map[string]records.MachineRecord) records.MachineGroupRecord {
	group := records.MachineGroupRecord{Machines: map[string]records.MachineRecord{}}
	for _, id := range ids {
		group.Machines[id] = recs[id]
	}
	return group
}

// smallestPartition spreads machines taken in over the parts.
func (l *leader) smallestPartition(machines map[string]machineEntry) int {
	count := make([]int, l.controller.partitions)
	for _, entry := range machines {
		if entry.record.Partition < len(count) {
			count[entry.record.Partition]++
		}
	}
	best := 0
	for i, n := range count {
		if n < count[best] {
			best = i
		}
	}
	return best
}

// returnMachines returns machines that their owners have let go, that are lost, or
// that never came up.
func (l *leader) returnMachines(ctx context.Context) {
	ids, machines := l.machines()
	now := time.Now()
	notes := l.machineDigests()
	boot := map[string]float64{}
	for _, machineType := range l.controller.catalog() {
		boot[machineType.Name] = machineType.BootS
	}
	// A list may be older than the one before by as much as it lags, so a machine
	// can be missing from some although it is there.
	gone := 3 + int(l.controller.settings.Cluster.Cloud.ListLagS/l.controller.tuning.ListS)
	var back []string
	why := map[string][]string{}
	for _, id := range ids {
		entry := machines[id]
		machine, listed := l.listed[id]
		late := now.Sub(time.UnixMilli(entry.record.CreatedAtMS)) > tuning.Seconds(l.controller.tuning.BootPatience*boot[entry.record.MachineType]+l.controller.settings.Cluster.Cloud.ListLagS)
		reason := ""
		switch {
		case entry.record.Desired == records.DesiredReturned && entry.record.Released:
			reason = "let go"
		case listed && machine.State == wire.MachineFailed:
			reason = "failed"
		case l.missedListings[id] >= gone:
			reason = "no longer listed"
		case notes[id]&records.DigestUnhealthy != 0:
			reason = "faulty or silent"
		case late && notes[id]&records.DigestReporting == 0 && !(listed && machine.State == wire.MachineRunning):
			reason = "did not come up"
		}
		if reason != "" && len(back) < tuning.MaxReturn {
			back = append(back, id)
			why[reason] = append(why[reason], id)
		}
	}
	if len(back) > 0 {
		l.returnToCloud(ctx, back, why)
	}
}

// returnToCloud returns machines; once that is answered, they and all on them are
// gone, and only then do their records go.
func (l *leader) returnToCloud(ctx context.Context, ids []string, why map[string][]string) {
	if !l.mayCallCloud() {
		return
	}
	if err := l.controller.cloud.Return(ctx, ids); err != nil {
		slog.Debug("machines not returned", "ids", ids, "err", err)
		return
	}
	for _, reason := range slices.Sorted(maps.Keys(why)) {
		slog.Info("returned", "machines", why[reason], "why", reason)
	}
	changes := map[string]*records.MachineRecord{}
	for _, id := range ids {
		l.returnedAt[id] = time.Now()
		if entry, ok := l.controller.cluster.machine(id); ok {
			// There is room again for its like.
			delete(l.refused, autoscaler.Offering{MachineType: entry.record.MachineType, Zone: entry.record.Zone, Spot: entry.record.Spot})
			changes[id] = nil
		}
	}
	if err := l.controller.rewriteMachines(ctx, l.fence(), changes); err != nil {
		slog.Debug("records of returned machines still stand", "err", err)
	}
}
