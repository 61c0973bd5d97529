package controller

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"ambersill/internal/autoscaler"
	"ambersill/internal/cloud"
	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// rentalRetryDelay is how long an unanswered rental waits before the cloud is asked again.
const rentalRetryDelay = 2 * time.Second

// rentalProgress is what this term's leader knows of a recorded rental.
type rentalProgress struct {
	lastCall         time.Time // of calling the cloud; zero if this leader has not called
	recordedThisTerm bool
}

// recordedRental is a rental whose record exists, since the cloud has not answered it.
type recordedRental struct {
	id string
	rentalEntry
}

func (r recordedRental) key() string { return records.RentalPrefix + r.id }

func (r recordedRental) offering() autoscaler.Offering { return offeringOfRental(r.record) }

// compare orders rentals by when they were recorded, which is the order of need. The names of
// one term differ in a number, so that shorter ones come first.
func (r recordedRental) compare(other recordedRental) int {
	return cmp.Or(
		cmp.Compare(r.record.RecordedAtMS, other.record.RecordedAtMS),
		cmp.Compare(len(r.id), len(other.id)),
		cmp.Compare(r.id, other.id),
	)
}

// maxMachinesPerRental returns how many machines one rental may have: their groups are recorded
// in one transaction, which deletes the rental's record as well.
func (l *leader) maxMachinesPerRental(offering autoscaler.Offering) int {
	limits := l.controller.limits
	groups := min(limits.TxnOps-1, groupsPerTxn(records.ValueBytes(limits.ValueKB)))
	return min(tuning.MaxRent, groups*l.machinesPerGroup(offering))
}

// recordRentals records rentals, divided into as many as the cloud and the key-value store
// allow for.
func (l *leader) recordRentals(ctx context.Context, rentals []autoscaler.Rental) {
	for _, rental := range rentals {
		maxCount := l.maxMachinesPerRental(rental.Offering)
		for remaining := rental.Count; remaining > 0; remaining -= maxCount {
			l.recordRental(ctx, rental, min(remaining, maxCount))
		}
	}
}

// recordRental records a rental before the cloud is called, so that a later leader can
// repeat the call under the same name.
func (l *leader) recordRental(ctx context.Context, rental autoscaler.Rental, count int) {
	// The term's revision makes the id unique, whichever node leads and however late
	// the commit is executed.
	id := fmt.Sprintf("r-%d-%d", l.revision, l.nextRentalNumber)
	l.nextRentalNumber++
	l.rentals[id] = rentalProgress{recordedThisTerm: true}
	record := records.RentalRecord{
		MachineType:  rental.Offering.MachineType,
		Zone:         rental.Offering.Zone,
		Spot:         rental.Offering.Spot,
		Count:        count,
		Partition:    rental.Partition,
		RecordedAtMS: time.Now().UnixMilli(),
	}
	key := records.RentalPrefix + id
	compares := []wire.Compare{{Key: key, Revision: 0}}
	writes := []wire.Write{{Put: key, Value: record}}
	if err := l.commit(ctx, compares, writes); err != nil {
		slog.Debug("rental not recorded", "request", id, "err", err)
	}
}

// executeRentals calls the cloud for each recorded rental, also for those of earlier leaders,
// and again under the same name until there is an answer.
func (l *leader) executeRentals(ctx context.Context) {
	for _, rental := range l.controller.cluster.recordedRentals() {
		last := l.rentals[rental.id].lastCall
		if !last.IsZero() && time.Since(last) < rentalRetryDelay {
			continue
		}
		if l.isObsolete(rental) {
			l.deleteObsoleteRental(ctx, rental)
			continue
		}
		if !l.mayCallCloud() {
			return
		}
		l.executeRental(ctx, rental)
	}
}

// isObsolete reports whether the cloud has refused a rental's offering since it was recorded,
// and has certainly not received the rental: only this leader could have sent it.
func (l *leader) isObsolete(rental recordedRental) bool {
	progress := l.rentals[rental.id]
	called := !progress.lastCall.IsZero()
	return !called && progress.recordedThisTerm && l.backoffs[rental.offering()].active(time.Now())
}

// deleteObsoleteRental deletes the record of a rental for which the cloud was never called.
func (l *leader) deleteObsoleteRental(ctx context.Context, rental recordedRental) {
	compares := []wire.Compare{{Key: rental.key(), Revision: rental.revision}}
	writes := []wire.Write{{Delete: rental.key()}}
	if err := l.commit(ctx, compares, writes); err != nil {
		slog.Debug("obsolete rental not deleted", "request", rental.id, "err", err)
		return
	}
	delete(l.rentals, rental.id)
}

// executeRental calls the cloud once, and records the machines in place of the rental.
func (l *leader) executeRental(ctx context.Context, rental recordedRental) {
	progress := l.rentals[rental.id]
	progress.lastCall = time.Now()
	l.rentals[rental.id] = progress

	offering := rental.offering()
	ids, err := l.controller.cloud.Rent(ctx, wire.RentRequest{
		RequestID:   rental.id,
		MachineType: offering.MachineType,
		Zone:        offering.Zone,
		Spot:        offering.Spot,
		Count:       rental.record.Count,
	})
	if l.handleRentResponse(rental, ids, err) {
		l.replaceRentalWithMachines(ctx, rental, ids)
	}
}

// handleRentResponse updates the back-off of a rental's offering, and reports whether the
// cloud has answered. Fewer machines than requested mean that its capacity is exhausted.
func (l *leader) handleRentResponse(rental recordedRental, ids []string, err error) (answered bool) {
	offering := rental.offering()
	switch {
	case errors.Is(err, cloud.ErrNoCapacity):
		l.backOffOffering(offering)
		slog.Info("rental refused", "type", offering.MachineType, "zone", offering.Zone, "spot", offering.Spot)
	case err != nil:
		slog.Debug("rental unanswered", "request", rental.id, "err", err)
		return false
	default:
		slog.Info("rented", "request", rental.id, "type", offering.MachineType, "zone", offering.Zone,
			"spot", offering.Spot, "asked", rental.record.Count, "got", len(ids))
		if len(ids) < rental.record.Count {
			l.backOffOffering(offering)
		} else {
			delete(l.backoffs, offering)
		}
	}
	return true
}

// replaceRentalWithMachines deletes a rental's record, and writes those of its machines that are not
// known yet.
func (l *leader) replaceRentalWithMachines(ctx context.Context, rental recordedRental, machineIDs []string) {
	compares := []wire.Compare{{Key: rental.key(), Revision: rental.revision}}
	writes := []wire.Write{{Delete: rental.key()}}
	machines := map[string]records.MachineRecord{}
	for _, machineID := range machineIDs {
		if _, known := l.controller.cluster.machine(machineID); !known {
			machines[machineID] = rentedMachineRecord(rental.record)
		}
	}
	machineIDs = slices.Sorted(maps.Keys(machines))
	for _, group := range l.divideIntoGroups(rental.offering(), machineIDs, machines) {
		compare, write := newGroupWrite(group)
		compares = append(compares, compare)
		writes = append(writes, write)
	}
	if err := l.commit(ctx, compares, writes); err != nil {
		slog.Debug("rented machines not recorded", "request", rental.id, "err", err)
		return
	}
	delete(l.rentals, rental.id)
}

// rentedMachineRecord returns the record of a machine that a rental has brought.
func rentedMachineRecord(rental records.RentalRecord) records.MachineRecord {
	return records.MachineRecord{
		MachineType: rental.MachineType,
		Zone:        rental.Zone,
		Spot:        rental.Spot,
		Partition:   rental.Partition,
		CreatedAtMS: time.Now().UnixMilli(),
	}
}
