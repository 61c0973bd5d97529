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

// readList compares the cloud's list with the records.
func (l *leader) readList(ctx context.Context) {
	list, err := l.controller.cloud.List(ctx)
	if err != nil {
		slog.Debug("machines not listed", "err", err)
		return
	}
	l.noteListed(list, time.Now())
	if l.rentalsAreOpen() {
		// Machines that nobody expected may be theirs.
		return
	}
	_, recs := l.machines()
	if !l.takeIn(ctx, list, recs) {
		return
	}
	for _, m := range list {
		if _, ok := recs[m.ID]; !ok && m.State == wire.MachineFailed {
			l.giveUp(ctx, []string{m.ID}, map[string][]string{"failed": {m.ID}})
		}
	}
}

// noteListed notes which machines the cloud lists, and counts those that are missing.
func (l *leader) noteListed(list []wire.CloudMachine, now time.Time) {
	l.listed = map[string]wire.CloudMachine{}
	for _, m := range list {
		l.listed[m.ID] = m
		l.seen[m.ID] = true
		l.controller.learn(m.ID, m.Address)
	}
	ids, _ := l.machines()
	for _, id := range ids {
		if _, ok := l.listed[id]; ok || !l.seen[id] {
			l.absent[id] = 0
			continue
		}
		l.absent[id]++
	}
	for id, at := range l.gone {
		if now.Sub(at) > returnedListed {
			delete(l.gone, id)
		}
	}
}

// returnedListed is how long the list may go on to show a machine that was returned.
const returnedListed = 2 * time.Minute

// rentalsAreOpen tells whether there are rentals without an answer.
func (l *leader) rentalsAreOpen() bool {
	l.controller.cluster.mu.Lock()
	defer l.controller.cluster.mu.Unlock()
	return len(l.controller.cluster.rentals) > 0
}

// takeIn records machines that nobody expected: rented late, by a lost request, or there
// from the start. Sizing gives them back if they are too many. They are added to recs; the
// result is false if some could not be recorded.
func (l *leader) takeIn(ctx context.Context, list []wire.CloudMachine, recs map[string]machineEntry) bool {
	now := time.Now()
	groups := map[autoscaler.Offering][]string{}
	taken := map[string]records.MachineRecord{}
	for _, m := range list {
		_, known := recs[m.ID]
		_, returned := l.gone[m.ID]
		if known || returned || m.State == wire.MachineFailed {
			continue
		}
		rec := records.MachineRecord{MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot, Partition: l.partFor(recs),
			CreatedAtMS: now.UnixMilli() - int64(m.AgeS*1000)}
		recs[m.ID] = machineEntry{rec: rec}
		taken[m.ID] = rec
		k := autoscaler.Offering{MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot}
		groups[k] = append(groups[k], m.ID)
	}
	for k, ids := range groups {
		for part := range slices.Chunk(ids, records.MachinesPerGroup(l.controller.limits.ValueKB, k.MachineType, k.Zone)) {
			cond, put := newGroup(groupOf(part, taken))
			rev, err := l.commit(ctx, []wire.Compare{cond}, []wire.Write{put})
			if err != nil {
				slog.Debug("machines not taken in", "err", err)
				return false
			}
			l.controller.cluster.apply(put.Put, must(wire.Marshal(put.Value)), rev, false)
			slog.Info("machines taken in", "count", len(part))
		}
	}
	return true
}

// groupOf joins the records of some machines.
func groupOf(ids []string, recs map[string]records.MachineRecord) records.MachineGroupRecord {
	g := records.MachineGroupRecord{Machines: map[string]records.MachineRecord{}}
	for _, id := range ids {
		g.Machines[id] = recs[id]
	}
	return g
}

// partFor spreads machines taken in over the parts.
func (l *leader) partFor(recs map[string]machineEntry) int {
	count := make([]int, l.controller.partitions)
	for _, e := range recs {
		if e.rec.Partition < len(count) {
			count[e.rec.Partition]++
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

// giveBack returns machines that their owners have let go, that are lost, or
// that never came up.
func (l *leader) giveBack(ctx context.Context) {
	ids, recs := l.machines()
	now := time.Now()
	notes := l.notes()
	boot := map[string]float64{}
	for _, t := range l.controller.catalog() {
		boot[t.Name] = t.BootS
	}
	// A list may be older than the one before by as much as it lags, so a machine
	// can be missing from some although it is there.
	gone := 3 + int(l.controller.settings.Cluster.Cloud.ListLagS/l.controller.tuning.ListS)
	var back []string
	why := map[string][]string{}
	for _, id := range ids {
		e := recs[id]
		m, listed := l.listed[id]
		late := now.Sub(time.UnixMilli(e.rec.CreatedAtMS)) > tuning.Seconds(l.controller.tuning.BootPatience*boot[e.rec.MachineType]+l.controller.settings.Cluster.Cloud.ListLagS)
		reason := ""
		switch {
		case e.rec.Desired == records.DesiredReturned && e.rec.Released:
			reason = "let go"
		case listed && m.State == wire.MachineFailed:
			reason = "failed"
		case l.absent[id] >= gone:
			reason = "no longer listed"
		case notes[id]&records.DigestUnhealthy != 0:
			reason = "faulty or silent"
		case late && notes[id]&records.DigestReporting == 0 && !(listed && m.State == wire.MachineRunning):
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
	if !l.holdsLease() {
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
		l.gone[id] = time.Now()
		if e, ok := l.controller.cluster.machine(id); ok {
			// There is room again for its like.
			delete(l.refused, autoscaler.Offering{MachineType: e.rec.MachineType, Zone: e.rec.Zone, Spot: e.rec.Spot})
			changes[id] = nil
		}
	}
	if err := l.controller.rewrite(ctx, l.fence(), changes); err != nil {
		slog.Debug("records of returned machines still stand", "err", err)
	}
}
