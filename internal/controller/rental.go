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

// rentalRetryDelay is the minimum time between two calls of the cloud for the same rental.
const rentalRetryDelay = 2 * time.Second

// rentalProgress is the state of a rental that this term's leader keeps in memory.
type rentalProgress struct {
	lastCall         time.Time // latest call of the cloud; zero if this leader has made none
	recordedThisTerm bool
	// superseded is whether the fleet was sized while the record was missing, because its commit
	// had no response. If the commit is executed late, the rental is one too many.
	superseded bool
}

// recordedRental is a rental that is recorded in the key-value store. The record exists until
// the cloud has answered the request and the rented machines are recorded.
type recordedRental struct {
	id string
	rentalEntry
}

func (r recordedRental) key() string { return records.RentalPrefix + r.id }

func (r recordedRental) offering() autoscaler.Offering { return offeringOfRental(r.record) }

// compare orders rentals by the time at which they were recorded, which is the order in which
// they are needed. IDs of one term differ in their sequence number only, so a shorter ID has
// the lower number and comes first.
func (r recordedRental) compare(other recordedRental) int {
	return cmp.Or(
		cmp.Compare(r.record.RecordedAtMS, other.record.RecordedAtMS),
		cmp.Compare(len(r.id), len(other.id)),
		cmp.Compare(r.id, other.id),
	)
}

// maxMachinesPerRental returns the maximum number of machines of an offering in one rental. It
// is limited by the cloud to tuning.MaxMachinesPerRental, and by the key-value store: the
// machines' groups must fit into one transaction that also deletes the rental's record.
func (l *leader) maxMachinesPerRental(offering autoscaler.Offering) int {
	limits := l.controller.limits
	groups := min(limits.MaxTxnWrites-1, valuesPerTxn(records.MaxValueBytes(limits.MaxValueKiB)))
	return min(tuning.MaxMachinesPerRental, groups*l.machinesPerGroup(offering))
}

// recordRentals records rentals. It splits those that have more machines than
// maxMachinesPerRental allows.
func (l *leader) recordRentals(ctx context.Context, rentals []autoscaler.Rental) {
	for _, rental := range rentals {
		maxCount := l.maxMachinesPerRental(rental.Offering)
		for remaining := rental.Count; remaining > 0; remaining -= maxCount {
			l.recordRental(ctx, rental, min(remaining, maxCount))
		}
	}
}

// recordRental records a rental before the cloud is called, so that a later leader can
// repeat the call with the same request ID.
func (l *leader) recordRental(ctx context.Context, rental autoscaler.Rental, count int) {
	// The revision of the term makes the ID unique across leaders, even if this commit is
	// executed after another leader has taken over.
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
	err := l.commit(ctx, compares, writes)
	if err == nil {
		return
	}
	slog.Debug("recording rental failed", "request", id, "err", err)
	if classifyCommitError(err) != commitUnknown {
		delete(l.rentals, id)
	}
}

// supersedeMissingRentals marks the rentals without a record that the cloud was never called for.
// It is called before the fleet is sized, which plans for their machines again. The others have
// been replaced with records of their machines, and are forgotten.
func (l *leader) supersedeMissingRentals() {
	for id, progress := range l.rentals {
		switch {
		case l.controller.cluster.hasRental(id):
		case progress.lastCall.IsZero():
			progress.superseded = true
			l.rentals[id] = progress
		default:
			delete(l.rentals, id)
		}
	}
}

// executeRentals calls the cloud for each recorded rental, including those of earlier
// leaders. Calls are repeated with the same request ID until the cloud answers.
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

// isObsolete reports whether a rental need not be requested any more. The cloud cannot have received
// it: it was recorded in this term, and this leader has not called the cloud for it. Either other
// machines were planned in its place, or the cloud has run out of its offering since it was
// recorded, so that the offering is in back-off.
func (l *leader) isObsolete(rental recordedRental) bool {
	progress := l.rentals[rental.id]
	called := !progress.lastCall.IsZero()
	if called || !progress.recordedThisTerm {
		return false
	}
	return progress.superseded || l.backoffs[rental.offering()].active(time.Now())
}

// deleteObsoleteRental deletes the record of a rental for which the cloud was never called.
func (l *leader) deleteObsoleteRental(ctx context.Context, rental recordedRental) {
	compares := []wire.Compare{{Key: rental.key(), Revision: rental.revision}}
	writes := []wire.Write{{Delete: rental.key()}}
	if err := l.commit(ctx, compares, writes); err != nil {
		slog.Debug("deleting record of obsolete rental failed", "request", rental.id, "err", err)
		return
	}
	delete(l.rentals, rental.id)
}

// executeRental calls the cloud once for a rental. If the cloud answers, it replaces the
// rental's record with those of the machines.
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
// cloud has answered. If it has rented out fewer machines than requested, the capacity of the
// offering is exhausted.
func (l *leader) handleRentResponse(rental recordedRental, ids []string, err error) (answered bool) {
	offering := rental.offering()
	switch {
	case errors.Is(err, cloud.ErrNoCapacity):
		l.backOffOffering(offering)
		slog.Info("rental refused: cloud has no capacity", "type", offering.MachineType, "zone", offering.Zone, "spot", offering.Spot)
	case err != nil:
		slog.Debug("renting machines failed, retrying", "request", rental.id, "err", err)
		return false
	default:
		slog.Info("machines rented", "request", rental.id, "type", offering.MachineType, "zone", offering.Zone,
			"spot", offering.Spot, "asked", rental.record.Count, "got", len(ids))
		if len(ids) < rental.record.Count {
			l.backOffOffering(offering)
		} else {
			delete(l.backoffs, offering)
		}
	}
	return true
}

// replaceRentalWithMachines deletes a rental's record and, in the same transaction, writes
// records of the rented machines that have none yet.
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
	for _, group := range l.splitIntoGroups(rental.offering(), machineIDs, machines) {
		compare, write := newGroupWrite(group)
		compares = append(compares, compare)
		writes = append(writes, write)
	}
	if err := l.commit(ctx, compares, writes); err != nil {
		slog.Debug("recording rented machines failed", "request", rental.id, "err", err)
		return
	}
	delete(l.rentals, rental.id)
}

// rentedMachineRecord returns the record of a machine that was rented just now.
func rentedMachineRecord(rental records.RentalRecord) records.MachineRecord {
	return records.MachineRecord{
		MachineType: rental.MachineType,
		Zone:        rental.Zone,
		Spot:        rental.Spot,
		Partition:   rental.Partition,
		CreatedAtMS: time.Now().UnixMilli(),
	}
}
