package controller

import (
	"context"
	"errors"
	"log/slog"
	"sort"
	"time"

	"ambersill/internal/autoscaler"
	"ambersill/internal/kvstore"
	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// runLeadership claims the lead when it is free, and leads while it is this node's.
func (c *Controller) runLeadership(ctx context.Context) error {
	for ctx.Err() == nil {
		c.cluster.mu.Lock()
		lead, loaded := c.cluster.leader, c.cluster.loaded
		c.cluster.mu.Unlock()
		leaseID := c.currentLease()
		if loaded && leaseID != 0 && (lead.node == "" || lead.node == c.settings.Node) {
			revision := uint64(0)
			if lead.node != "" {
				revision = lead.revision // an earlier process of this node, surely gone
			}
			if revision, err := c.claimKey(ctx, records.LeaderKey, revision, leaseID); err == nil {
				c.cluster.apply(records.LeaderKey, must(wire.Marshal(records.OwnerRecord{Node: c.settings.Node})), revision, false)
				c.setLeading(true)
				newLeader(c, revision, leaseID).run(ctx)
				c.setLeading(false)
			} else {
				slog.Debug("lead not claimed", "err", err)
			}
		}
		transport.Pause(ctx, 300*time.Millisecond)
	}
	return nil
}

func (c *Controller) setLeading(on bool) {
	c.mu.Lock()
	c.leading = on
	c.mu.Unlock()
	c.updateRateShare()
}

// claimKey writes this node's name under its lease if the key has the stamp.
func (c *Controller) claimKey(ctx context.Context, key string, revision, leaseID uint64) (uint64, error) {
	revision, err := c.store.Commit(ctx, wire.Txn{
		Compares: []wire.Compare{{Key: key, Revision: revision}},
		Writes:   []wire.Write{{Put: key, Value: records.OwnerRecord{Node: c.settings.Node}, LeaseID: leaseID}},
	})
	if !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return revision, err
	}
	// It may have been carried out: the key tells.
	item, gerr := c.store.Get(ctx, key)
	if gerr != nil || item.LeaseID != leaseID {
		return 0, err
	}
	return item.Revision, nil
}

// leader sizes the fleet while this node leads.
type leader struct {
	controller *Controller
	revision   uint64
	leaseID    uint64 // that the lead was claimed under
	autoscaler *autoscaler.Autoscaler
	nextRental int // number of the next rental of this term

	listed           map[string]wire.CloudMachine
	missedListings   map[string]int       // lists in a row that lack a machine once listed
	everListed       map[string]bool      // machines once listed
	returnedAt       map[string]time.Time // machines returned, which the list may still show
	refused          map[autoscaler.Offering]offeringBackoff
	summaries        map[int]records.PartitionSummary
	lastSizing       time.Time
	lastAttempt      map[string]time.Time // last call for a recorded rental
	recordedThisTerm map[string]bool      // rentals recorded in this term
	resize           bool                 // size again at once
}

func newLeader(c *Controller, revision, leaseID uint64) *leader {
	return &leader{controller: c, revision: revision, leaseID: leaseID, autoscaler: autoscaler.New(&c.tuning), listed: map[string]wire.CloudMachine{}, missedListings: map[string]int{},
		everListed: map[string]bool{}, returnedAt: map[string]time.Time{}, refused: map[autoscaler.Offering]offeringBackoff{}, summaries: map[int]records.PartitionSummary{}, lastAttempt: map[string]time.Time{}, recordedThisTerm: map[string]bool{}}
}

// maxRentalCount is how many machines one rental may bring: their groups are recorded in one
// transaction, which deletes the rental's record as well.
func (l *leader) maxRentalCount(offering autoscaler.Offering) int {
	limits := l.controller.limits
	groups := min(limits.TxnOps-1, max(1, tuning.TxnBytes/int(limits.ValueKB*1024)))
	return min(tuning.MaxRent, groups*records.MachinesPerGroup(limits.ValueKB, offering.MachineType, offering.Zone))
}

// isLeader tells whether the lead's key still shows this term.
func (l *leader) isLeader() bool {
	l.controller.cluster.mu.Lock()
	defer l.controller.cluster.mu.Unlock()
	return l.controller.cluster.leader.revision == l.revision && l.controller.currentLease() == l.leaseID
}

// mayCallCloud tells whether nobody else can lead by now. Calls to the cloud have no fence: a
// leader that was cut off, and whose copy has not caught up yet, would give back what
// its successor has rented meanwhile.
func (l *leader) mayCallCloud() bool { return l.isLeader() && l.controller.leaseHeld(l.leaseID) }

// cacheCaughtUp tells whether the copy holds all that was written before this term.
func (l *leader) cacheCaughtUp() bool {
	l.controller.cluster.mu.Lock()
	defer l.controller.cluster.mu.Unlock()
	return l.controller.cluster.revision >= l.revision
}

func (l *leader) run(ctx context.Context) {
	slog.Info("leading", "stamp", l.revision)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// What an earlier leader has written must be in the copy first, or its machines
	// would be taken in once more.
	for ctx.Err() == nil && l.isLeader() && !l.cacheCaughtUp() {
		transport.Pause(ctx, 50*time.Millisecond)
	}
	var lastList, lastSum time.Time
	for ctx.Err() == nil && l.isLeader() {
		if l.controller.checkContact() != nil || !l.mayCallCloud() {
			// Another may lead by now: calls to the cloud would take its share of them,
			// and give machines back that it counts on.
			transport.Pause(ctx, 250*time.Millisecond)
			continue
		}
		now := time.Now()
		if now.Sub(lastList) >= tuning.Seconds(l.controller.tuning.ListS) {
			lastList = now
			l.readListing(ctx)
		}
		l.finishRentals(ctx)
		if now.Sub(lastSum) >= tuning.Seconds(l.controller.tuning.SummaryS) {
			lastSum = now
			l.readSummaries(ctx)
			l.returnMachines(ctx) // it goes by summaries and list, and looks at every machine
			l.raiseLevel(ctx)
			l.divideGroups(ctx)
		}
		if urgent := l.needsFirstMachine(); now.Sub(l.lastSizing) >= tuning.Seconds(l.controller.tuning.RoundS) || urgent || l.resize {
			l.lastSizing, l.resize = now, false
			l.runSizing(ctx)
		}
		transport.Pause(ctx, 250*time.Millisecond)
	}
	slog.Info("no longer leading", "stamp", l.revision)
}

// needsFirstMachine: work waits and there is no machine at all, nor one to come.
func (l *leader) needsFirstMachine() bool {
	l.controller.cluster.mu.Lock()
	n := len(l.controller.cluster.machines) + len(l.controller.cluster.rentals)
	l.controller.cluster.mu.Unlock()
	if n > 0 {
		return false
	}
	for _, summary := range l.summaries {
		if len(summary.Waiting) > 0 {
			return true
		}
	}
	return false
}

func (l *leader) fence() wire.Compare {
	return wire.Compare{Key: records.LeaderKey, Revision: l.revision}
}

// commit runs a transaction of the leader's, fenced by the lead's stamp.
func (l *leader) commit(ctx context.Context, conds []wire.Compare, then []wire.Write) (uint64, error) {
	return l.controller.store.Commit(ctx, wire.Txn{Compares: append([]wire.Compare{l.fence()}, conds...), Writes: then})
}

func (l *leader) machines() (ids []string, all map[string]machineEntry) {
	l.controller.cluster.mu.Lock()
	defer l.controller.cluster.mu.Unlock()
	all = make(map[string]machineEntry, len(l.controller.cluster.machines))
	for id, entry := range l.controller.cluster.machines {
		all[id] = entry
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids, all
}

func (l *leader) readSummaries(ctx context.Context) {
	items, _, err := l.controller.store.List(ctx, records.SummaryPrefix)
	if err != nil {
		slog.Debug("summaries not read", "err", err)
		return
	}
	values := map[string]wire.Raw{}
	for _, item := range items {
		values[item.Key] = item.Value
	}
	for partition := range l.controller.partitions {
		var summary records.PartitionSummary
		v, ok := values[records.SummaryKey(partition)]
		if !ok || wire.Unmarshal(v, &summary) != nil {
			continue
		}
		summary.MachineDigests = map[string]records.MachineDigest{}
		for i := range summary.DigestRecords {
			// Into the same map: the records have no name in common.
			if err := wire.Unmarshal(values[records.MachineDigestsKey(partition, i)], &summary.MachineDigests); err != nil {
				slog.Debug("notes on machines not read", "part", partition, "err", err)
			}
		}
		for i := range summary.OverflowRecords {
			var more []records.Demand
			if err := wire.Unmarshal(values[records.WaitingKey(partition, i)], &more); err != nil {
				slog.Debug("demands not read", "part", partition, "err", err)
			}
			summary.Waiting = append(summary.Waiting, more...)
		}
		l.summaries[partition] = summary
	}
}

// machineDigests joins what the parts' owners tell of their machines.
func (l *leader) machineDigests() map[string]records.MachineDigest {
	out := map[string]records.MachineDigest{}
	for _, summary := range l.summaries {
		for id, n := range summary.MachineDigests {
			out[id] |= n
		}
	}
	return out
}

// runSizing is a sizing round.
func (l *leader) runSizing(ctx context.Context) {
	types := l.controller.catalog()
	if len(types) == 0 {
		return
	}
	now := time.Now()
	notes := l.machineDigests()
	ids, machines := l.machines()
	in := autoscaler.Input{MachineTypes: types, Summaries: l.summaries, Unavailable: map[autoscaler.Offering]bool{}}
	for _, id := range ids {
		record := machines[id].record
		// One that is up, but was never heard since its part's owner changed, is cut off or
		// hangs: as a machine that is still to come it would keep others from being rented.
		unheard := notes[id]&records.DigestNeverHeard != 0 && l.listed[id].State == wire.MachineRunning
		in.Machines = append(in.Machines, autoscaler.Machine{ID: id, Offering: autoscaler.Offering{MachineType: record.MachineType, Zone: record.Zone, Spot: record.Spot},
			Partition: record.Partition, Desired: record.Desired, Empty: notes[id]&records.DigestEmpty != 0, Running: notes[id]&records.DigestReporting != 0 || unheard})
	}
	l.controller.cluster.mu.Lock()
	for _, h := range l.controller.cluster.rentals {
		for range h.record.Count {
			in.PendingRentals = append(in.PendingRentals, autoscaler.Machine{Offering: autoscaler.Offering{MachineType: h.record.MachineType, Zone: h.record.Zone, Spot: h.record.Spot}, Partition: h.record.Partition})
		}
	}
	l.controller.cluster.mu.Unlock()
	for offering, backoff := range l.refused {
		if now.Before(backoff.until) {
			in.Unavailable[offering] = true
		}
	}
	plan := l.autoscaler.Plan(in, now)
	slog.Debug("sizing", "target", plan.TargetMachines, "booked", plan.BookedMachines, "rentals", plan.Rentals, "moves", plan.Reassignments, "returns", plan.Returns, "machines", len(ids))
	for _, rental := range plan.Rentals {
		most := l.maxRentalCount(rental.Offering)
		for n := rental.Count; n > 0; n -= most {
			l.recordRental(ctx, rental, min(n, most))
		}
	}
	wishes := map[string]*records.MachineRecord{}
	for _, m := range plan.Reassignments {
		record := machines[m.MachineID].record
		record.Desired, record.MoveTo = records.DesiredMoved, m.ToPartition
		wishes[m.MachineID] = &record
	}
	for _, id := range plan.Returns {
		record := machines[id].record
		record.Desired = records.DesiredReturned
		wishes[id] = &record
	}
	if err := l.controller.rewriteMachines(ctx, l.fence(), wishes); err != nil {
		slog.Debug("wishes not written", "err", err)
	}
}
