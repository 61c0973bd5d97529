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

// rentalRetry is how long an unanswered rental waits before the cloud is asked again.
const rentalRetry = 2 * time.Second

// rentalProgress is what this term's leader knows of a recorded rental.
type rentalProgress struct {
	lastAttempt      time.Time // of calling the cloud; zero if this leader has not called
	recordedThisTerm bool
}

// recordedRental is a rental whose record exists, since the cloud has not answered it.
type recordedRental struct {
	name string
	rentalEntry
}

func (r recordedRental) key() string { return records.RentalPrefix + r.name }

func (r recordedRental) offering() autoscaler.Offering { return offeringOfRental(r.record) }

// compare orders rentals by when they were recorded, which is the order of need. The names of
// one term differ in a number, so that shorter ones come first.
func (r recordedRental) compare(other recordedRental) int {
	return cmp.Or(
		cmp.Compare(r.record.RecordedAtMS, other.record.RecordedAtMS),
		cmp.Compare(len(r.name), len(other.name)),
		cmp.Compare(r.name, other.name),
	)
}

// maxRentalCount returns how many machines one rental may have: their groups are recorded
// in one transaction, which deletes the rental's record as well.
func (l *leader) maxRentalCount(offering autoscaler.Offering) int {
	limits := l.controller.limits
	groups := min(limits.TxnOps-1, groupsPerTxn(records.MaxValueBytes(limits.ValueKB)))
	return min(tuning.MaxMachinesPerRental, groups*l.machinesPerGroup(offering))
}

// recordRentals records rentals, divided into as many as the cloud and the key-value store
// allow for.
func (l *leader) recordRentals(ctx context.Context, rentals []autoscaler.Rental) {
	for _, rental := range rentals {
		most := l.maxRentalCount(rental.Offering)
		for remaining := rental.Count; remaining > 0; remaining -= most {
			l.recordRental(ctx, rental, min(remaining, most))
		}
	}
}

// recordRental records a rental before the cloud is called, so that a later leader can
// repeat the call under the same name.
func (l *leader) recordRental(ctx context.Context, rental autoscaler.Rental, count int) {
	// The term's revision makes the name unique, whichever node leads and however late
	// the commit is executed.
	name := fmt.Sprintf("r-%d-%d", l.revision, l.nextRental)
	l.nextRental++
	l.rentals[name] = rentalProgress{recordedThisTerm: true}
	record := records.RentalRecord{
		MachineType:  rental.Offering.MachineType,
		Zone:         rental.Offering.Zone,
		Spot:         rental.Offering.Spot,
		Count:        count,
		Partition:    rental.Partition,
		RecordedAtMS: time.Now().UnixMilli(),
	}
	key := records.RentalPrefix + name
	compares := []wire.Compare{{Key: key, Revision: 0}}
	writes := []wire.Write{{Put: key, Value: record}}
	if err := l.commit(ctx, compares, writes); err != nil {
		slog.Debug("rental not recorded", "request", name, "err", err)
	}
}

// finishRentals calls the cloud for each recorded rental, also for those of earlier leaders,
// and again under the same name until there is an answer.
func (l *leader) finishRentals(ctx context.Context) {
	for _, rental := range l.controller.cluster.recordedRentals() {
		last := l.rentals[rental.name].lastAttempt
		if !last.IsZero() && time.Since(last) < rentalRetry {
			continue
		}
		if l.isObsolete(rental) {
			l.dropRental(ctx, rental)
			continue
		}
		if !l.mayCallCloud() {
			return
		}
		l.finishRental(ctx, rental)
	}
}

// isObsolete reports whether the cloud has refused a rental's offering since it was recorded,
// and has certainly not received the rental: only this leader could have sent it.
func (l *leader) isObsolete(rental recordedRental) bool {
	progress := l.rentals[rental.name]
	called := !progress.lastAttempt.IsZero()
	return !called && progress.recordedThisTerm && l.backoffs[rental.offering()].active(time.Now())
}

// dropRental deletes the record of a rental for which the cloud was never called.
func (l *leader) dropRental(ctx context.Context, rental recordedRental) {
	compares := []wire.Compare{{Key: rental.key(), Revision: rental.revision}}
	writes := []wire.Write{{Delete: rental.key()}}
	if err := l.commit(ctx, compares, writes); err != nil {
		slog.Debug("obsolete rental not deleted", "request", rental.name, "err", err)
		return
	}
	delete(l.rentals, rental.name)
}

// finishRental calls the cloud once, and records the machines in place of the rental.
func (l *leader) finishRental(ctx context.Context, rental recordedRental) {
	progress := l.rentals[rental.name]
	progress.lastAttempt = time.Now()
	l.rentals[rental.name] = progress

	offering := rental.offering()
	ids, err := l.controller.cloud.Rent(ctx, wire.RentRequest{
		RequestID:   rental.name,
		MachineType: offering.MachineType,
		Zone:        offering.Zone,
		Spot:        offering.Spot,
		Count:       rental.record.Count,
	})
	if l.handleRentResponse(rental, ids, err) {
		l.replaceRental(ctx, rental, ids)
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
		slog.Debug("rental unanswered", "request", rental.name, "err", err)
		return false
	default:
		slog.Info("rented", "request", rental.name, "type", offering.MachineType, "zone", offering.Zone,
			"spot", offering.Spot, "asked", rental.record.Count, "got", len(ids))
		if len(ids) < rental.record.Count {
			l.backOffOffering(offering)
		} else {
			delete(l.backoffs, offering)
		}
	}
	return true
}

// replaceRental deletes a rental's record, and writes those of its machines that are not
// known yet.
func (l *leader) replaceRental(ctx context.Context, rental recordedRental, ids []string) {
	compares := []wire.Compare{{Key: rental.key(), Revision: rental.revision}}
	writes := []wire.Write{{Delete: rental.key()}}
	machines := map[string]records.MachineRecord{}
	for _, id := range ids {
		if _, known := l.controller.cluster.machine(id); !known {
			machines[id] = newMachineRecord(rental.record)
		}
	}
	ids = slices.Sorted(maps.Keys(machines))
	for _, group := range l.divideIntoGroups(rental.offering(), ids, machines) {
		compare, write := newGroup(group)
		compares = append(compares, compare)
		writes = append(writes, write)
	}
	if err := l.commit(ctx, compares, writes); err != nil {
		slog.Debug("rented machines not recorded", "request", rental.name, "err", err)
		return
	}
	delete(l.rentals, rental.name)
}

// newMachineRecord returns the record of a machine that a rental has brought.
func newMachineRecord(rental records.RentalRecord) records.MachineRecord {
	return records.MachineRecord{
		MachineType: rental.MachineType,
		Zone:        rental.Zone,
		Spot:        rental.Spot,
		Partition:   rental.Partition,
		CreatedAtMS: time.Now().UnixMilli(),
	}
}
