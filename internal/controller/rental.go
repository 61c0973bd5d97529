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

// refusal is until when a kind of machine is not asked for, and how long that was for.
type refusal struct {
	until time.Time
	wait  float64
}

// finishRentals calls the cloud for each recorded rental, and again under the same name
// until there is an answer, also for those of earlier leaders.
func (l *leader) finishRentals(ctx context.Context) {
	for _, r := range l.recordedRentals() {
		if at, ok := l.tried[r.name]; ok && time.Since(at) < rentalRetry {
			continue
		}
		if l.uncallable(r) {
			l.dropRental(ctx, r)
			continue
		}
		if !l.holdsLease() {
			return
		}
		l.finishRental(ctx, r)
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
	return autoscaler.Offering{MachineType: r.rec.MachineType, Zone: r.rec.Zone, Spot: r.rec.Spot}
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
		return cmp.Or(cmp.Compare(a.rec.RecordedAtMS, b.rec.RecordedAtMS), cmp.Compare(len(a.name), len(b.name)), cmp.Compare(a.name, b.name))
	})
	return all
}

// uncallable tells whether the cloud has refused a rental's kind since it was recorded,
// and has certainly not heard of the rental: nobody but this leader could have called it.
func (l *leader) uncallable(r recordedRental) bool {
	_, called := l.tried[r.name]
	return !called && l.own[r.name] && time.Now().Before(l.refused[r.kind()].until)
}

// dropRental deletes the record of a rental that nobody has called the cloud for.
func (l *leader) dropRental(ctx context.Context, r recordedRental) {
	rev, err := l.commit(ctx, []wire.Compare{{Key: r.key(), Revision: r.stamp}}, []wire.Write{{Delete: r.key()}})
	if err != nil {
		return
	}
	l.controller.cluster.apply(r.key(), nil, rev, true)
	delete(l.own, r.name)
}

// finishRental calls the cloud once, and records the machines in the rental's place.
func (l *leader) finishRental(ctx context.Context, r recordedRental) {
	kind := r.kind()
	l.tried[r.name] = time.Now()
	ids, err := l.controller.cloud.Rent(ctx, wire.RentRequest{RequestID: r.name, MachineType: kind.MachineType, Zone: kind.Zone, Spot: kind.Spot, Count: r.rec.Count})
	switch {
	case err == nil:
		slog.Info("rented", "request", r.name, "type", kind.MachineType, "zone", kind.Zone, "spot", kind.Spot, "asked", r.rec.Count, "got", len(ids))
		if len(ids) < r.rec.Count {
			l.refuse(kind)
		} else {
			delete(l.refused, kind)
		}
	case errors.Is(err, cloud.ErrNoCapacity):
		l.refuse(kind)
		slog.Info("rental refused", "type", kind.MachineType, "zone", kind.Zone, "spot", kind.Spot)
	default:
		slog.Debug("rental unanswered", "request", r.name, "err", err)
		return
	}
	l.replaceRental(ctx, r, ids)
}

// replaceRental deletes a rental's record, and writes those of its machines that are not
// known yet.
func (l *leader) replaceRental(ctx context.Context, r recordedRental, ids []string) {
	conds := []wire.Compare{{Key: r.key(), Revision: r.stamp}}
	then := []wire.Write{{Delete: r.key()}}
	recs := map[string]records.MachineRecord{}
	for _, id := range ids {
		if _, known := l.controller.cluster.machine(id); !known {
			recs[id] = records.MachineRecord{MachineType: r.rec.MachineType, Zone: r.rec.Zone, Spot: r.rec.Spot, Partition: r.rec.Partition, CreatedAtMS: time.Now().UnixMilli()}
		}
	}
	per := records.MachinesPerGroup(l.controller.limits.ValueKB, r.rec.MachineType, r.rec.Zone)
	for ids := range slices.Chunk(slices.Sorted(maps.Keys(recs)), per) {
		cond, put := newGroup(groupOf(ids, recs))
		conds, then = append(conds, cond), append(then, put)
	}
	rev, err := l.commit(ctx, conds, then)
	if err != nil {
		slog.Debug("rental not recorded", "request", r.name, "err", err)
		return
	}
	l.controller.cluster.apply(r.key(), nil, rev, true)
	delete(l.own, r.name)
	delete(l.tried, r.name)
	for _, w := range then[1:] {
		l.controller.cluster.apply(w.Put, must(wire.Marshal(w.Value)), rev, false)
	}
}

// refuse notes that the cloud has no more of a kind, which is asked for again later.
func (l *leader) refuse(k autoscaler.Offering) {
	r := l.refused[k]
	if r.wait == 0 {
		r.wait = l.controller.tuning.RefusalS
	} else {
		r.wait = min(2*r.wait, l.controller.tuning.RefusalMaxS)
	}
	r.until = time.Now().Add(tuning.Seconds(r.wait))
	l.refused[k] = r
	// What was refused is asked of the next best kind at once.
	l.again = true
}

// record writes a rental down; finishRentals calls the cloud for it.
func (l *leader) record(ctx context.Context, r autoscaler.Rental, n int) {
	// The term's stamp makes the name unique, whoever leads and whatever is
	// carried out late.
	name := fmt.Sprintf("r-%d-%d", l.revision, l.next)
	l.next++
	l.own[name] = true
	rec := records.RentalRecord{MachineType: r.Offering.MachineType, Zone: r.Offering.Zone, Spot: r.Offering.Spot, Count: n, Partition: r.Partition, RecordedAtMS: time.Now().UnixMilli()}
	key := records.RentalPrefix + name
	rev, err := l.commit(ctx, []wire.Compare{{Key: key, Revision: 0}}, []wire.Write{{Put: key, Value: rec}})
	if err != nil {
		slog.Debug("rental not recorded", "err", err)
		return
	}
	l.controller.cluster.apply(key, must(wire.Marshal(rec)), rev, false)
}
