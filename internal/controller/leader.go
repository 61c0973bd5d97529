package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sort"
	"time"

	"ambersill/internal/cloud"
	"ambersill/internal/core"
	"ambersill/internal/store"
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
		hold := c.currentHold()
		if loaded && hold != 0 && (lead.node == "" || lead.node == c.s.Node) {
			stamp := uint64(0)
			if lead.node != "" {
				stamp = lead.stamp // an earlier process of this node, surely gone
			}
			if rev, err := c.claimKey(ctx, leadKey, stamp, hold); err == nil {
				c.cluster.apply(leadKey, must(wire.Marshal(core.OwnerRecord{Node: c.s.Node})), rev, false)
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

// claimKey writes this node's name under its hold if the key has the stamp.
func (c *Controller) claimKey(ctx context.Context, key string, stamp, hold uint64) (uint64, error) {
	rev, err := c.store.Commit(ctx, wire.Txn{
		If:   []wire.Cond{{Key: key, Stamp: stamp}},
		Then: []wire.Write{{Put: key, Value: core.OwnerRecord{Node: c.s.Node}, Hold: hold}},
	})
	if !errors.Is(err, store.ErrUnknown) {
		return rev, err
	}
	// It may have been carried out: the key tells.
	it, gerr := c.store.Get(ctx, key)
	if gerr != nil || it.Hold != hold {
		return 0, err
	}
	return it.Stamp, nil
}

// leader sizes the fleet while this node leads.
type leader struct {
	c     *Controller
	stamp uint64
	hold  uint64 // that the lead was claimed under
	fleet *core.Fleet
	next  int // number of the next rental of this term

	listed  map[string]wire.CloudMachine
	absent  map[string]int       // lists in a row that lack a machine once listed
	seen    map[string]bool      // machines once listed
	gone    map[string]time.Time // machines returned, which the list may still show
	refused map[core.Kind]refusal
	sums    map[int]core.Summary
	round   time.Time
	tried   map[string]time.Time // last call for a recorded rental
	own     map[string]bool      // rentals recorded in this term
	again   bool                 // size again at once
}

type refusal struct {
	until time.Time
	wait  float64
}

func newLeader(c *Controller, stamp, hold uint64) *leader {
	return &leader{c: c, stamp: stamp, hold: hold, fleet: core.NewFleet(&c.t), listed: map[string]wire.CloudMachine{}, absent: map[string]int{},
		seen: map[string]bool{}, gone: map[string]time.Time{}, refused: map[core.Kind]refusal{}, sums: map[int]core.Summary{}, tried: map[string]time.Time{}, own: map[string]bool{}}
}

// leads tells whether the lead's key still shows this term.
func (l *leader) leads() bool {
	l.c.cluster.mu.Lock()
	defer l.c.cluster.mu.Unlock()
	return l.c.cluster.lead.stamp == l.stamp && l.c.currentHold() == l.hold
}

// sure tells whether nobody else can lead by now. Calls to the cloud have no fence: a
// leader that was cut off, and whose copy has not caught up yet, would give back what
// its successor has rented meanwhile.
func (l *leader) sure() bool { return l.leads() && l.c.holds(l.hold) }

// caughtUp tells whether the copy holds all that was written before this term.
func (l *leader) caughtUp() bool {
	l.c.cluster.mu.Lock()
	defer l.c.cluster.mu.Unlock()
	return l.c.cluster.seen >= l.stamp
}

func (l *leader) run(ctx context.Context) {
	slog.Info("leading", "stamp", l.stamp)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// What an earlier leader has written must be in the copy first, or its machines
	// would be taken in once more.
	for ctx.Err() == nil && l.leads() && !l.caughtUp() {
		transport.Pause(ctx, 50*time.Millisecond)
	}
	var lastList, lastSum time.Time
	for ctx.Err() == nil && l.leads() {
		if l.c.inTouch() != nil || !l.sure() {
			// Another may lead by now: calls to the cloud would take its share of them,
			// and give machines back that it counts on.
			transport.Pause(ctx, 250*time.Millisecond)
			continue
		}
		now := time.Now()
		if now.Sub(lastList) >= tuning.Seconds(l.c.t.ListS) {
			lastList = now
			l.readList(ctx)
		}
		l.finishHires(ctx)
		if now.Sub(lastSum) >= tuning.Seconds(l.c.t.SummaryS) {
			lastSum = now
			l.readSummaries(ctx)
			l.giveBack(ctx) // it goes by summaries and list, and looks at every machine
		}
		if urgent := l.urgent(); now.Sub(l.round) >= tuning.Seconds(l.c.t.RoundS) || urgent || l.again {
			l.round, l.again = now, false
			l.size(ctx)
		}
		transport.Pause(ctx, 250*time.Millisecond)
	}
	slog.Info("no longer leading", "stamp", l.stamp)
}

// urgent: work waits and there is no machine at all, nor one to come.
func (l *leader) urgent() bool {
	l.c.cluster.mu.Lock()
	n := len(l.c.cluster.machines) + len(l.c.cluster.hires)
	l.c.cluster.mu.Unlock()
	if n > 0 {
		return false
	}
	for _, s := range l.sums {
		if len(s.Waiting) > 0 {
			return true
		}
	}
	return false
}

func (l *leader) fence() wire.Cond { return wire.Cond{Key: leadKey, Stamp: l.stamp} }

// commit runs a transaction of the leader's, fenced by the lead's stamp.
func (l *leader) commit(ctx context.Context, conds []wire.Cond, then []wire.Write) (uint64, error) {
	return l.c.store.Commit(ctx, wire.Txn{If: append([]wire.Cond{l.fence()}, conds...), Then: then})
}

func (l *leader) machines() (ids []string, all map[string]machineEntry) {
	l.c.cluster.mu.Lock()
	defer l.c.cluster.mu.Unlock()
	all = make(map[string]machineEntry, len(l.c.cluster.machines))
	for id, e := range l.c.cluster.machines {
		all[id] = e
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids, all
}

// readList compares the cloud's list with the records.
func (l *leader) readList(ctx context.Context) {
	list, err := l.c.cloud.List(ctx)
	if err != nil {
		slog.Debug("machines not listed", "err", err)
		return
	}
	now := time.Now()
	l.listed = map[string]wire.CloudMachine{}
	for _, m := range list {
		l.listed[m.ID] = m
		l.seen[m.ID] = true
		l.c.learn(m.ID, m.Addr)
	}
	ids, recs := l.machines()
	for _, id := range ids {
		if _, ok := l.listed[id]; ok || !l.seen[id] {
			l.absent[id] = 0
			continue
		}
		l.absent[id]++
	}
	for id, at := range l.gone {
		if now.Sub(at) > 2*time.Minute {
			delete(l.gone, id)
		}
	}
	// Machines nobody expected: rented late, by a lost request, or there from
	// the start. They are taken in; sizing gives them back if they are too many.
	// Rentals without an answer yet may be theirs, so those come first.
	l.c.cluster.mu.Lock()
	open := len(l.c.cluster.hires)
	l.c.cluster.mu.Unlock()
	if open > 0 {
		return
	}
	groups := map[core.Kind][]string{}
	taken := map[string]core.MachineRecord{}
	for _, m := range list {
		if _, ok := recs[m.ID]; ok || m.State == wire.Failed {
			continue
		}
		if _, ok := l.gone[m.ID]; ok {
			continue
		}
		rec := core.MachineRecord{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Part: l.partFor(recs),
			Born: now.UnixMilli() - int64(m.Age*1000)}
		recs[m.ID] = machineEntry{rec: rec}
		taken[m.ID] = rec
		k := core.Kind{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		groups[k] = append(groups[k], m.ID)
	}
	for k, ids := range groups {
		for part := range slices.Chunk(ids, core.PerGroup(l.c.s.Cluster.State.ValueKB, k.Type, k.Zone)) {
			cond, put := group(part, taken)
			rev, err := l.commit(ctx, []wire.Cond{cond}, []wire.Write{put})
			if err != nil {
				slog.Debug("machines not taken in", "err", err)
				return
			}
			l.c.cluster.apply(put.Put, must(wire.Marshal(put.Value)), rev, false)
			slog.Info("machines taken in", "count", len(part))
		}
	}
	for _, m := range list {
		if _, ok := recs[m.ID]; !ok && m.State == wire.Failed {
			l.giveUp(ctx, []string{m.ID}, map[string][]string{"failed": {m.ID}})
		}
	}
}

// group is the write of a new group, named after its first machine.
func group(ids []string, recs map[string]core.MachineRecord) (wire.Cond, wire.Write) {
	g := core.GroupRecord{Machines: map[string]core.MachineRecord{}}
	for _, id := range ids {
		g.Machines[id] = recs[id]
	}
	key := machinePrefix + slices.Min(ids)
	return wire.Cond{Key: key, Stamp: 0}, wire.Write{Put: key, Value: g}
}

// partFor spreads machines taken in over the parts.
func (l *leader) partFor(recs map[string]machineEntry) int {
	count := make([]int, l.c.parts)
	for _, e := range recs {
		if e.rec.Part < len(count) {
			count[e.rec.Part]++
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

func (l *leader) readSummaries(ctx context.Context) {
	items, _, err := l.c.store.List(ctx, summaryPrefix)
	if err != nil {
		slog.Debug("summaries not read", "err", err)
		return
	}
	values := map[string]wire.Raw{}
	for _, it := range items {
		values[it.Key] = it.Value
	}
	for part := range l.c.parts {
		var s core.Summary
		v, ok := values[summaryKey(part)]
		if !ok || wire.Unmarshal(v, &s) != nil {
			continue
		}
		s.Machines = map[string]core.MachineNote{}
		for i := range s.Notes {
			// Into the same map: the records have no name in common.
			if err := wire.Unmarshal(values[notesKey(part, i)], &s.Machines); err != nil {
				slog.Debug("notes on machines not read", "part", part, "err", err)
			}
		}
		l.sums[part] = s
	}
}

// notes joins what the parts' owners tell of their machines.
func (l *leader) notes() map[string]core.MachineNote {
	out := map[string]core.MachineNote{}
	for _, s := range l.sums {
		for id, n := range s.Machines {
			out[id] |= n
		}
	}
	return out
}

// finishHires calls the cloud for each recorded rental, and again under the same
// name until there is an answer, also for those of earlier leaders.
func (l *leader) finishHires(ctx context.Context) {
	l.c.cluster.mu.Lock()
	hires := make(map[string]hireEntry, len(l.c.cluster.hires))
	names := make([]string, 0, len(l.c.cluster.hires))
	for n, h := range l.c.cluster.hires {
		hires[n] = h
		names = append(names, n)
	}
	l.c.cluster.mu.Unlock()
	// In the order of their recording, which is that of need.
	sort.Slice(names, func(a, b int) bool {
		x, y := names[a], names[b]
		if i, j := hires[x].rec.At, hires[y].rec.At; i != j {
			return i < j
		}
		return len(x) < len(y) || (len(x) == len(y) && x < y)
	})
	for _, name := range names {
		h := hires[name]
		if at, ok := l.tried[name]; ok && time.Since(at) < 2*time.Second {
			continue
		}
		kind := core.Kind{Type: h.rec.Type, Zone: h.rec.Zone, Spot: h.rec.Spot}
		key := hirePrefix + name
		if _, called := l.tried[name]; !called && l.own[name] && time.Now().Before(l.refused[kind].until) {
			// The cloud has refused this kind since, and has not heard of this
			// rental: nobody but this leader could have called it.
			if rev, err := l.commit(ctx, []wire.Cond{{Key: key, Stamp: h.stamp}}, []wire.Write{{Delete: key}}); err == nil {
				l.c.cluster.apply(key, nil, rev, true)
				delete(l.own, name)
			}
			continue
		}
		if !l.sure() {
			return
		}
		l.tried[name] = time.Now()
		ids, err := l.c.cloud.Rent(ctx, wire.RentRequest{Request: name, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, Count: h.rec.Count})
		conds := []wire.Cond{{Key: key, Stamp: h.stamp}}
		then := []wire.Write{{Delete: key}}
		switch {
		case err == nil:
			recs := map[string]core.MachineRecord{}
			for _, id := range ids {
				if _, known := l.c.cluster.machine(id); !known {
					recs[id] = core.MachineRecord{Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, Part: h.rec.Part, Born: time.Now().UnixMilli()}
				}
			}
			if len(recs) > 0 {
				cond, put := group(sortedIDs(recs), recs)
				conds, then = append(conds, cond), append(then, put)
			}
			slog.Info("rented", "request", name, "type", kind.Type, "zone", kind.Zone, "spot", kind.Spot, "asked", h.rec.Count, "got", len(ids))
			if len(ids) < h.rec.Count {
				l.refuse(kind)
			} else {
				delete(l.refused, kind)
			}
		case errors.Is(err, cloud.ErrNoCapacity):
			l.refuse(kind)
			slog.Info("rental refused", "type", kind.Type, "zone", kind.Zone, "spot", kind.Spot)
		default:
			slog.Debug("rental unanswered", "request", name, "err", err)
			continue
		}
		rev, err := l.commit(ctx, conds, then)
		if err != nil {
			slog.Debug("rental not recorded", "request", name, "err", err)
			continue
		}
		l.c.cluster.apply(key, nil, rev, true)
		delete(l.own, name)
		delete(l.tried, name)
		for _, w := range then[1:] {
			l.c.cluster.apply(w.Put, must(wire.Marshal(w.Value)), rev, false)
		}
	}
}

func (l *leader) refuse(k core.Kind) {
	r := l.refused[k]
	if r.wait == 0 {
		r.wait = l.c.t.RefusalS
	} else {
		r.wait = min(2*r.wait, l.c.t.RefusalMaxS)
	}
	r.until = time.Now().Add(tuning.Seconds(r.wait))
	l.refused[k] = r
	// What was refused is asked of the next best kind at once.
	l.again = true
}

// giveBack returns machines that their owners have let go, that are lost, or
// that never came up.
func (l *leader) giveBack(ctx context.Context) {
	ids, recs := l.machines()
	now := time.Now()
	notes := l.notes()
	boot := map[string]float64{}
	for _, t := range l.c.catalog() {
		boot[t.Name] = t.BootS
	}
	// A list may be older than the one before by as much as it lags, so a machine
	// can be missing from some although it is there.
	gone := 3 + int(l.c.s.Cluster.Cloud.ListLagS/l.c.t.ListS)
	var back []string
	why := map[string][]string{}
	for _, id := range ids {
		e := recs[id]
		m, listed := l.listed[id]
		late := now.Sub(time.UnixMilli(e.rec.Born)) > tuning.Seconds(l.c.t.BootPatience*boot[e.rec.Type]+l.c.s.Cluster.Cloud.ListLagS)
		reason := ""
		switch {
		case e.rec.Wish == core.WishReturn && e.rec.Free:
			reason = "let go"
		case listed && m.State == wire.Failed:
			reason = "failed"
		case l.absent[id] >= gone:
			reason = "no longer listed"
		case notes[id]&core.NoteBad != 0:
			reason = "faulty or silent"
		case late && notes[id]&core.NoteUp == 0 && !(listed && m.State == wire.Up):
			reason = "did not come up"
		}
		if reason != "" && len(back) < tuning.MaxReturn {
			back = append(back, id)
			why[reason] = append(why[reason], id)
		}
	}
	if len(back) > 0 {
		l.giveUp(ctx, back, why)
	}
}

// giveUp returns machines; once that is answered, they and all on them are
// gone, and only then do their records go.
func (l *leader) giveUp(ctx context.Context, ids []string, why map[string][]string) {
	if !l.sure() {
		return
	}
	if err := l.c.cloud.Return(ctx, ids); err != nil {
		slog.Debug("machines not returned", "ids", ids, "err", err)
		return
	}
	for _, reason := range sortedIDs(why) {
		slog.Info("returned", "machines", why[reason], "why", reason)
	}
	changes := map[string]*core.MachineRecord{}
	for _, id := range ids {
		l.gone[id] = time.Now()
		if e, ok := l.c.cluster.machine(id); ok {
			// There is room again for its like.
			delete(l.refused, core.Kind{Type: e.rec.Type, Zone: e.rec.Zone, Spot: e.rec.Spot})
			changes[id] = nil
		}
	}
	if err := l.c.rewrite(ctx, l.fence(), changes); err != nil {
		slog.Debug("records of returned machines still stand", "err", err)
	}
}

// size is a sizing round.
func (l *leader) size(ctx context.Context) {
	types := l.c.catalog()
	if len(types) == 0 {
		return
	}
	now := time.Now()
	notes := l.notes()
	ids, recs := l.machines()
	in := core.FleetInput{Types: types, Summaries: l.sums, Refused: map[core.Kind]bool{}}
	for _, id := range ids {
		r := recs[id].rec
		// One that is up, but was never heard since its part's owner changed, is cut off or
		// hangs: as a machine that is still to come it would keep others from being rented.
		unheard := notes[id]&core.NoteUnheard != 0 && l.listed[id].State == wire.Up
		in.Machines = append(in.Machines, core.FleetMachine{ID: id, Kind: core.Kind{Type: r.Type, Zone: r.Zone, Spot: r.Spot},
			Part: r.Part, Wish: r.Wish, Empty: notes[id]&core.NoteEmpty != 0, Up: notes[id]&core.NoteUp != 0 || unheard})
	}
	l.c.cluster.mu.Lock()
	for _, h := range l.c.cluster.hires {
		for range h.rec.Count {
			in.Coming = append(in.Coming, core.FleetMachine{Kind: core.Kind{Type: h.rec.Type, Zone: h.rec.Zone, Spot: h.rec.Spot}, Part: h.rec.Part})
		}
	}
	l.c.cluster.mu.Unlock()
	for k, r := range l.refused {
		if now.Before(r.until) {
			in.Refused[k] = true
		}
	}
	plan := l.fleet.Plan(in, now)
	slog.Debug("sizing", "target", plan.Target, "booked", plan.Booked, "rentals", plan.Rentals, "moves", plan.Moves, "returns", plan.Returns, "machines", len(ids))
	for _, r := range plan.Rentals {
		most := min(tuning.MaxRent, core.PerGroup(l.c.s.Cluster.State.ValueKB, r.Kind.Type, r.Kind.Zone))
		for n := r.Count; n > 0; n -= most {
			l.record(ctx, r, min(n, most))
		}
	}
	wishes := map[string]*core.MachineRecord{}
	for _, m := range plan.Moves {
		r := recs[m.ID].rec
		r.Wish, r.To = core.WishMove, m.To
		wishes[m.ID] = &r
	}
	for _, id := range plan.Returns {
		r := recs[id].rec
		r.Wish = core.WishReturn
		wishes[id] = &r
	}
	if err := l.c.rewrite(ctx, l.fence(), wishes); err != nil {
		slog.Debug("wishes not written", "err", err)
	}
}

// record writes a rental down; finishHires calls the cloud for it.
func (l *leader) record(ctx context.Context, r core.Rental, n int) {
	// The term's stamp makes the name unique, whoever leads and whatever is
	// carried out late.
	name := fmt.Sprintf("r-%d-%d", l.stamp, l.next)
	l.next++
	l.own[name] = true
	rec := core.HireRecord{Type: r.Kind.Type, Zone: r.Kind.Zone, Spot: r.Kind.Spot, Count: n, Part: r.Part, At: time.Now().UnixMilli()}
	key := hirePrefix + name
	rev, err := l.commit(ctx, []wire.Cond{{Key: key, Stamp: 0}}, []wire.Write{{Put: key, Value: rec}})
	if err != nil {
		slog.Debug("rental not recorded", "err", err)
		return
	}
	l.c.cluster.apply(key, must(wire.Marshal(rec)), rev, false)
}
