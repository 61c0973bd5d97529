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

// offeringBackoff is until when a kind of machine is not asked for, and how long that was for.
type offeringBackoff struct {
	until time.Time
	wait  float64
}

// finishRentals calls the cloud for each recorded rental, and again under the same name
// until there is an answer, also for those of earlier leaders.
func (l *leader) finishRentals(ctx context.Context) {
	for _, rental := range l.recordedRentals() {
		if at, ok := l.lastAttempt[rental.name]; ok && time.Since(at) < rentalRetry {
			continue
		}
		if l.abandoned(rental) {
			l.dropRental(ctx, rental)
			continue
		}
		if !l.mayCallCloud() {
			return
		}
		l.finishRental(ctx, rental)
	}
}

// rentalRetry is how long an unanswered rental waits before it is asked for again.
const rentalRetry = 2 * time.Second

// recordedRental is a rental whose record still stands.
type recordedRental struct {
	name string
	rentalEntry
}

func (r recordedRental) key() string { return records.RentalPrefix + r.name }

func (r recordedRental) kind() autoscaler.Offering {
	return autoscaler.Offering{MachineType: r.record.MachineType, Zone: r.record.Zone, Spot: r.record.Spot}
}

// recordedRentals lists them in the order of their recording, which is that of need.
func (l *leader) recordedRentals() []recordedRental {
	copied := l.controller.cluster
	copied.mu.Lock()
	defer copied.mu.Unlock()
	all := make([]recordedRental, 0, len(copied.rentals))
	for name, entry := range copied.rentals {
		all = append(all, recordedRental{name, entry})
	}
	slices.SortFunc(all, func(a, b recordedRental) int {
		return cmp.Or(cmp.Compare(a.record.RecordedAtMS, b.record.RecordedAtMS), cmp.Compare(len(a.name), len(b.name)), cmp.Compare(a.name, b.name))
	})
	return all
}

// abandoned tells whether the cloud has refused a rental's kind since it was recorded,
// and has certainly not heard of the rental: nobody but this leader could have called it.
func (l *leader) abandoned(rental recordedRental) bool {
	_, called := l.lastAttempt[rental.name]
	return !called && l.recordedThisTerm[rental.name] && time.Now().Before(l.refused[rental.kind()].until)
}

// dropRental deletes the record of a rental that nobody has called the cloud for.
func (l *leader) dropRental(ctx context.Context, rental recordedRental) {
	revision, err := l.commit(ctx, []wire.Compare{{Key: rental.key(), Revision: rental.revision}}, []wire.Write{{Delete: rental.key()}})
	if err != nil {
		return
	}
	l.controller.cluster.apply(rental.key(), nil, revision, true)
	delete(l.recordedThisTerm, rental.name)
}

// finishRental calls the cloud once, and records the machines in the rental's place.
func (l *leader) finishRental(ctx context.Context, rental recordedRental) {
	kind := rental.kind()
	l.lastAttempt[rental.name] = time.Now()
	ids, err := l.controller.cloud.Rent(ctx, wire.RentRequest{RequestID: rental.name, MachineType: kind.MachineType, Zone: kind.Zone, Spot: kind.Spot, Count: rental.record.Count})
	switch {
	case err == nil:
		slog.Info("rented", "request", rental.name, "type", kind.MachineType, "zone", kind.Zone, "spot", kind.Spot, "asked", rental.record.Count, "got", len(ids))
		if len(ids) < rental.record.Count {
			l.backOffOffering(kind)
		} else {
			delete(l.refused, kind)
		}
	case errors.Is(err, cloud.ErrNoCapacity):
		l.backOffOffering(kind)
		slog.Info("rental refused", "type", kind.MachineType, "zone", kind.Zone, "spot", kind.Spot)
	default:
		slog.Debug("rental unanswered", "request", rental.name, "err", err)
		return
	}
	l.replaceRental(ctx, rental, ids)
}

// replaceRental deletes a rental's record, and writes those of its machines that are not
// known yet.
func (l *leader) replaceRental(ctx context.Context, rental recordedRental, ids []string) {
	conds := []wire.Compare{{Key: rental.key(), Revision: rental.revision}}
	then := []wire.Write{{Delete: rental.key()}}
	recs := map[string]records.MachineRecord{}
	for _, id := range ids {
		if _, known := l.controller.cluster.machine(id); !known {
			recs[id] = records.MachineRecord{MachineType: rental.record.MachineType, Zone: rental.record.Zone, Spot: rental.record.Spot, Partition: rental.record.Partition, CreatedAtMS: time.Now().UnixMilli()}
		}
	}
	per := records.MachinesPerGroup(l.controller.limits.ValueKB, rental.record.MachineType, rental.record.Zone)
	for ids := range slices.Chunk(slices.Sorted(maps.Keys(recs)), per) {
		cond, put := newGroup(groupOf(ids, recs))
		conds, then = append(conds, cond), append(then, put)
	}
	revision, err := l.commit(ctx, conds, then)
	if err != nil {
		slog.Debug("rental not recorded", "request", rental.name, "err", err)
		return
	}
	l.controller.cluster.apply(rental.key(), nil, revision, true)
	delete(l.recordedThisTerm, rental.name)
	delete(l.lastAttempt, rental.name)
	for _, w := range then[1:] {
		l.controller.cluster.apply(w.Put, must(wire.Marshal(w.Value)), revision, false)
	}
}

// backOffOffering notes that the cloud has no more of a kind, which is asked for again later.
func (l *leader) backOffOffering(offering autoscaler.Offering) {
	backoff := l.refused[offering]
	if backoff.wait == 0 {
		backoff.wait = l.controller.tuning.RefusalS
	} else {
		backoff.wait = min(2*backoff.wait, l.controller.tuning.RefusalMaxS)
	}
	backoff.until = time.Now().Add(tuning.Seconds(backoff.wait))
	l.refused[offering] = backoff
	// What was refused is asked of the next best kind at once.
	l.resize = true
}

// recordRental writes a rental down; finishRentals calls the cloud for it.
func (l *leader) recordRental(ctx context.Context, rental autoscaler.Rental, n int) {
	// The term's stamp makes the name unique, whoever leads and whatever is
	// carried out late.
	name := fmt.Sprintf("r-%d-%d", l.revision, l.nextRental)
	l.nextRental++
	l.recordedThisTerm[name] = true
	record := records.RentalRecord{MachineType: rental.Offering.MachineType, Zone: rental.Offering.Zone, Spot: rental.Offering.Spot, Count: n, Partition: rental.Partition, RecordedAtMS: time.Now().UnixMilli()}
	key := records.RentalPrefix + name
	revision, err := l.commit(ctx, []wire.Compare{{Key: key, Revision: 0}}, []wire.Write{{Put: key, Value: record}})
	if err != nil {
		slog.Debug("rental not recorded", "err", err)
		return
	}
	l.controller.cluster.apply(key, must(wire.Marshal(record)), revision, false)
}
