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

// keepLead claims the lead when it is free, and leads while it is this node's.
func (c *Controller) keepLead(ctx context.Context) error {
	for ctx.Err() == nil {
		c.cluster.mu.Lock()
		lead, loaded := c.cluster.lead, c.cluster.loaded
		c.cluster.mu.Unlock()
		hold := c.currentLease()
		if loaded && hold != 0 && (lead.node == "" || lead.node == c.settings.Node) {
			stamp := uint64(0)
			if lead.node != "" {
				stamp = lead.stamp // an earlier process of this node, surely gone
			}
			if rev, err := c.claimKey(ctx, records.LeaderKey, stamp, hold); err == nil {
				c.cluster.apply(records.LeaderKey, must(wire.Marshal(records.OwnerRecord{Node: c.settings.Node})), rev, false)
				c.setLeading(true)
				newLeader(c, rev, hold).run(ctx)
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
	c.share()
}

// claimKey writes this node's name under its lease if the key has the stamp.
func (c *Controller) claimKey(ctx context.Context, key string, stamp, hold uint64) (uint64, error) {
	rev, err := c.store.Commit(ctx, wire.Txn{
		Compares: []wire.Compare{{Key: key, Revision: stamp}},
		Writes:   []wire.Write{{Put: key, Value: records.OwnerRecord{Node: c.settings.Node}, LeaseID: hold}},
	})
	if !errors.Is(err, kvstore.ErrUnknown) {
		return rev, err
	}
	// It may have been carried out: the key tells.
	it, gerr := c.store.Get(ctx, key)
	if gerr != nil || it.LeaseID != hold {
		return 0, err
	}
	return it.Revision, nil
}

// leader sizes the fleet while this node leads.
type leader struct {
	controller *Controller
	revision   uint64
	lease      uint64 // that the lead was claimed under
	fleet      *autoscaler.Autoscaler
	next       int // number of the next rental of this term

	listed    map[string]wire.CloudMachine
	absent    map[string]int       // lists in a row that lack a machine once listed
	seen      map[string]bool      // machines once listed
	gone      map[string]time.Time // machines returned, which the list may still show
	refused   map[autoscaler.Offering]refusal
	summaries map[int]records.PartitionSummary
	round     time.Time
	tried     map[string]time.Time // last call for a recorded rental
	own       map[string]bool      // rentals recorded in this term
	again     bool                 // size again at once
}

func newLeader(c *Controller, stamp, hold uint64) *leader {
	return &leader{controller: c, revision: stamp, lease: hold, fleet: autoscaler.New(&c.tuning), listed: map[string]wire.CloudMachine{}, absent: map[string]int{},
		seen: map[string]bool{}, gone: map[string]time.Time{}, refused: map[autoscaler.Offering]refusal{}, summaries: map[int]records.PartitionSummary{}, tried: map[string]time.Time{}, own: map[string]bool{}}
}

// maxRent is how many machines one rental may bring: their groups are recorded in one
// transaction, which deletes the rental's record as well.
func (l *leader) maxRent(k autoscaler.Offering) int {
	limits := l.controller.limits
	groups := min(limits.TxnOps-1, max(1, tuning.TxnBytes/int(limits.ValueKB*1024)))
	return min(tuning.MaxRent, groups*records.MachinesPerGroup(limits.ValueKB, k.MachineType, k.Zone))
}

// leads tells whether the lead's key still shows this term.
func (l *leader) leads() bool {
	l.controller.cluster.mu.Lock()
	defer l.controller.cluster.mu.Unlock()
	return l.controller.cluster.lead.stamp == l.revision && l.controller.currentLease() == l.lease
}

// holdsLease tells whether nobody else can lead by now. Calls to the cloud have no fence: a
// leader that was cut off, and whose copy has not caught up yet, would give back what
// its successor has rented meanwhile.
func (l *leader) holdsLease() bool { return l.leads() && l.controller.holdsLease(l.lease) }

// caughtUp tells whether the copy holds all that was written before this term.
func (l *leader) caughtUp() bool {
	l.controller.cluster.mu.Lock()
	defer l.controller.cluster.mu.Unlock()
	return l.controller.cluster.seen >= l.revision
}

func (l *leader) run(ctx context.Context) {
	slog.Info("leading", "stamp", l.revision)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// What an earlier leader has written must be in the copy first, or its machines
	// would be taken in once more.
	for ctx.Err() == nil && l.leads() && !l.caughtUp() {
		transport.Pause(ctx, 50*time.Millisecond)
	}
	var lastList, lastSum time.Time
	for ctx.Err() == nil && l.leads() {
		if l.controller.inTouch() != nil || !l.holdsLease() {
			// Another may lead by now: calls to the cloud would take its share of them,
			// and give machines back that it counts on.
			transport.Pause(ctx, 250*time.Millisecond)
			continue
		}
		now := time.Now()
		if now.Sub(lastList) >= tuning.Seconds(l.controller.tuning.ListS) {
			lastList = now
			l.readList(ctx)
		}
		l.finishRentals(ctx)
		if now.Sub(lastSum) >= tuning.Seconds(l.controller.tuning.SummaryS) {
			lastSum = now
			l.readSummaries(ctx)
			l.giveBack(ctx) // it goes by summaries and list, and looks at every machine
			l.raiseLevel(ctx)
			l.divideGroups(ctx)
		}
		if urgent := l.urgent(); now.Sub(l.round) >= tuning.Seconds(l.controller.tuning.RoundS) || urgent || l.again {
			l.round, l.again = now, false
			l.size(ctx)
		}
		transport.Pause(ctx, 250*time.Millisecond)
	}
	slog.Info("no longer leading", "stamp", l.revision)
}

// urgent: work waits and there is no machine at all, nor one to come.
func (l *leader) urgent() bool {
	l.controller.cluster.mu.Lock()
	n := len(l.controller.cluster.machines) + len(l.controller.cluster.rentals)
	l.controller.cluster.mu.Unlock()
	if n > 0 {
		return false
	}
	for _, s := range l.summaries {
		if len(s.Waiting) > 0 {
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
	for id, e := range l.controller.cluster.machines {
		all[id] = e
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
	for _, it := range items {
		values[it.Key] = it.Value
	}
	for part := range l.controller.partitions {
		var s records.PartitionSummary
		v, ok := values[records.SummaryKey(part)]
		if !ok || wire.Unmarshal(v, &s) != nil {
			continue
		}
		s.MachineDigests = map[string]records.MachineDigest{}
		for i := range s.DigestRecords {
			// Into the same map: the records have no name in common.
			if err := wire.Unmarshal(values[records.MachineDigestsKey(part, i)], &s.MachineDigests); err != nil {
				slog.Debug("notes on machines not read", "part", part, "err", err)
			}
		}
		for i := range s.OverflowRecords {
			var more []records.Demand
			if err := wire.Unmarshal(values[records.WaitingKey(part, i)], &more); err != nil {
				slog.Debug("demands not read", "part", part, "err", err)
			}
			s.Waiting = append(s.Waiting, more...)
		}
		l.summaries[part] = s
	}
}

// notes joins what the parts' owners tell of their machines.
func (l *leader) notes() map[string]records.MachineDigest {
	out := map[string]records.MachineDigest{}
	for _, s := range l.summaries {
		for id, n := range s.MachineDigests {
			out[id] |= n
		}
	}
	return out
}

// size is a sizing round.
func (l *leader) size(ctx context.Context) {
	types := l.controller.catalog()
	if len(types) == 0 {
		return
	}
	now := time.Now()
	notes := l.notes()
	ids, recs := l.machines()
	in := autoscaler.Input{MachineTypes: types, Summaries: l.summaries, Unavailable: map[autoscaler.Offering]bool{}}
	for _, id := range ids {
		r := recs[id].rec
		// One that is up, but was never heard since its part's owner changed, is cut off or
		// hangs: as a machine that is still to come it would keep others from being rented.
		unheard := notes[id]&records.DigestNeverHeard != 0 && l.listed[id].State == wire.MachineRunning
		in.Machines = append(in.Machines, autoscaler.Machine{ID: id, Offering: autoscaler.Offering{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot},
			Partition: r.Partition, Desired: r.Desired, Empty: notes[id]&records.DigestEmpty != 0, Running: notes[id]&records.DigestReporting != 0 || unheard})
	}
	l.controller.cluster.mu.Lock()
	for _, h := range l.controller.cluster.rentals {
		for range h.rec.Count {
			in.PendingRentals = append(in.PendingRentals, autoscaler.Machine{Offering: autoscaler.Offering{MachineType: h.rec.MachineType, Zone: h.rec.Zone, Spot: h.rec.Spot}, Partition: h.rec.Partition})
		}
	}
	l.controller.cluster.mu.Unlock()
	for k, r := range l.refused {
		if now.Before(r.until) {
			in.Unavailable[k] = true
		}
	}
	plan := l.fleet.Plan(in, now)
	slog.Debug("sizing", "target", plan.TargetMachines, "booked", plan.BookedMachines, "rentals", plan.Rentals, "moves", plan.Reassignments, "returns", plan.Returns, "machines", len(ids))
	for _, r := range plan.Rentals {
		most := l.maxRent(r.Offering)
		for n := r.Count; n > 0; n -= most {
			l.record(ctx, r, min(n, most))
		}
	}
	wishes := map[string]*records.MachineRecord{}
	for _, m := range plan.Reassignments {
		r := recs[m.MachineID].rec
		r.Desired, r.MoveTo = records.DesiredMoved, m.ToPartition
		wishes[m.MachineID] = &r
	}
	for _, id := range plan.Returns {
		r := recs[id].rec
		r.Desired = records.DesiredReturned
		wishes[id] = &r
	}
	if err := l.controller.rewrite(ctx, l.fence(), wishes); err != nil {
		slog.Debug("wishes not written", "err", err)
	}
}
