package controller

import (
	"context"
	"log/slog"
	"time"

	"ambersill/internal/autoscaler"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

func offeringOfMachine(record records.MachineRecord) autoscaler.Offering {
	return autoscaler.Offering{MachineType: record.MachineType, Zone: record.Zone, Spot: record.Spot}
}

func offeringOfRental(record records.RentalRecord) autoscaler.Offering {
	return autoscaler.Offering{MachineType: record.MachineType, Zone: record.Zone, Spot: record.Spot}
}

func offeringOfListedMachine(machine wire.CloudMachine) autoscaler.Offering {
	return autoscaler.Offering{MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot}
}

// needsFirstMachine reports whether tasks wait although there is neither a machine nor a
// rental. The fleet is then sized at once, rather than after RoundS.
func (l *leader) needsFirstMachine() bool {
	if l.controller.cluster.hasMachinesOrRentals() {
		return false
	}
	for _, summary := range l.summaries {
		if len(summary.Waiting) > 0 {
			return true
		}
	}
	return false
}

// sizeFleet plans the size of the fleet and records the plan: rentals, which executeRentals
// requests from the cloud, and desired states of machines, which the owners of their
// partitions act on.
func (l *leader) sizeFleet(ctx context.Context) {
	types := l.controller.catalog()
	if len(types) == 0 {
		return
	}
	now := time.Now()
	l.supersedeMissingRentals()
	ids, machines := l.controller.cluster.recordedMachines()
	plan := l.autoscaler.Plan(autoscaler.Input{
		MachineTypes:   types,
		Machines:       l.autoscalerMachines(ids, machines),
		PendingRentals: l.pendingRentals(),
		Summaries:      l.summaries,
		Unavailable:    l.unavailableOfferings(now),
	}, now)
	slog.Debug("fleet size planned", "target", plan.TargetMachines, "booked", plan.AllocatedMachines,
		"rentals", plan.Rentals, "reassignments", plan.Reassignments, "returns", plan.Returns,
		"machines", len(ids))
	l.recordRentals(ctx, plan.Rentals)
	changes := desiredStateChanges(plan, machines)
	if err := l.controller.commitMachineRecords(ctx, l.fence(), changes); err != nil {
		slog.Debug("recording desired states of machines failed", "err", err)
	}
}

// autoscalerMachines returns the recorded machines in the form that the autoscaler takes.
func (l *leader) autoscalerMachines(ids []string, machines map[string]machineEntry) []autoscaler.Machine {
	digests := l.machineDigests()
	result := make([]autoscaler.Machine, 0, len(ids))
	for _, id := range ids {
		record, digest := machines[id].record, digests[id]
		// A machine that the cloud lists as running, but that has sent no heartbeat since
		// its partition's owner changed, is unreachable or hangs. If it counted as booting,
		// no replacement would be rented.
		upWithoutHeartbeat := digest&records.DigestNeverReported != 0 && l.listings[id].state == wire.MachineRunning
		result = append(result, autoscaler.Machine{
			ID:        id,
			Offering:  offeringOfMachine(record),
			Partition: record.Partition,
			Desired:   record.Desired,
			Empty:     digest&records.DigestEmpty != 0,
			Booted:    digest&records.DigestReporting != 0 || upWithoutHeartbeat,
		})
	}
	return result
}

// pendingRentals returns one entry for each machine of the recorded rentals.
func (l *leader) pendingRentals() []autoscaler.Machine {
	var pending []autoscaler.Machine
	for _, rental := range l.controller.cluster.recordedRentals() {
		machine := autoscaler.Machine{Offering: rental.offering(), Partition: rental.record.Partition}
		for range rental.record.Count {
			pending = append(pending, machine)
		}
	}
	return pending
}

// desiredStateChanges returns the new records of the machines that a plan moves or returns,
// by machine ID.
func desiredStateChanges(
	plan autoscaler.Plan, machines map[string]machineEntry,
) map[string]*records.MachineRecord {
	changes := map[string]*records.MachineRecord{}
	for _, move := range plan.Reassignments {
		record := machines[move.MachineID].record
		record.Desired = records.DesiredMoved
		record.MoveTo = move.ToPartition
		changes[move.MachineID] = &record
	}
	for _, id := range plan.Returns {
		record := machines[id].record
		record.Desired = records.DesiredReturned
		changes[id] = &record
	}
	return changes
}
