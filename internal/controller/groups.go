package controller

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

type groupEntry struct {
	rec   records.MachineGroupRecord
	stamp uint64
}

// applyGroup takes in a group of machines, and returns what is to be told of them.
func (c *cluster) applyGroup(name string, value wire.Raw, stamp uint64, gone bool) func() {
	old := c.groups[name]
	if stamp < old.stamp {
		return nil
	}
	var g records.MachineGroupRecord
	if !gone {
		var err error
		if g, err = records.DecodeMachineGroup(name, value, stamp); err != nil {
			slog.Error("record not understood", "key", records.MachinePrefix+name, "err", err)
			return nil
		}
	}
	changed, lost := map[string]machineEntry{}, []string{}
	for id, r := range g.Machines {
		e := machineEntry{rec: r, group: name, stamp: stamp}
		if c.machines[id].rec != r {
			changed[id] = e
		}
		c.machines[id] = e
	}
	for id := range old.rec.Machines {
		if _, ok := g.Machines[id]; !ok && c.machines[id].group == name {
			delete(c.machines, id)
			lost = append(lost, id)
		}
	}
	if gone {
		delete(c.groups, name)
	} else {
		c.groups[name] = groupEntry{g, stamp}
	}
	if c.onChange == nil {
		return nil
	}
	return func() {
		for id, e := range changed {
			c.onChange(id, e, false)
		}
		for _, id := range lost {
			c.onChange(id, machineEntry{}, true)
		}
	}
}

// groupChange is a change of a group's record, to be committed as a whole: one that
// outgrows a value is divided into several.
type groupChange struct {
	conds []wire.Compare
	then  []wire.Write
}

// regroup builds the writes that change machines' records; nil removes one. Groups
// that are not in the copy any more are left out. No group is larger than the limit.
func (c *cluster) regroup(changes map[string]*records.MachineRecord, limit int) []groupChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[string]records.MachineGroupRecord{}
	var order []string
	for _, id := range slices.Sorted(maps.Keys(changes)) {
		e, ok := c.machines[id]
		if !ok {
			continue
		}
		g, ok := next[e.group]
		if !ok {
			g.Machines = maps.Clone(c.groups[e.group].rec.Machines)
			next[e.group] = g
			order = append(order, e.group)
		}
		if r := changes[id]; r != nil {
			g.Machines[id] = *r
		} else {
			delete(g.Machines, id)
		}
	}
	var out []groupChange
	for _, name := range order {
		out = append(out, changeGroup(name, c.groups[name].stamp, next[name], limit))
	}
	return out
}

// changeGroup builds the writes of one group.
func changeGroup(name string, stamp uint64, g records.MachineGroupRecord, limit int) groupChange {
	key := records.MachinePrefix + name
	change := groupChange{conds: []wire.Compare{{Key: key, Revision: stamp}}}
	if len(g.Machines) == 0 {
		change.then = []wire.Write{{Delete: key}}
		return change
	}
	pieces := g.Split(limit)
	for _, piece := range pieces[1:] {
		cond, put := newGroup(piece)
		change.conds, change.then = append(change.conds, cond), append(change.then, put)
	}
	change.then = append(change.then, wire.Write{Put: key, Value: pieces[0]})
	return change
}

// groupLimit is the size of the largest group that may be written, in bytes. Programs of
// the first format could take a machine for gone for a moment when its group is divided,
// so that none is as long as there may be any.
func (c *Controller) groupLimit() int {
	if c.cluster.featureLevel() < records.FeatureExplicitChunks {
		return int(c.settings.Cluster.State.ValueKB * 1024)
	}
	return int(c.limits.ValueKB * 1024)
}

// inOrder sorts changes so that they can be taken in one after the other: by revision, and
// the pieces of a divided group, whose names are higher, before the rest of it. Else the
// machines of the pieces would be missing in between, and be taken for gone.
func inOrder(events []wire.Event) []wire.Event {
	out := slices.Clone(events)
	slices.SortStableFunc(out, func(a, b wire.Event) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(b.Put+b.Delete, a.Put+a.Delete))
	})
	return out
}

// newGroup is the write of a new group, named after its first machine.
func newGroup(g records.MachineGroupRecord) (wire.Compare, wire.Write) {
	key := records.MachinePrefix + slices.Min(slices.Sorted(maps.Keys(g.Machines)))
	return wire.Compare{Key: key, Revision: 0}, wire.Write{Put: key, Value: g}
}

// oversized names a machine of each group that outgrows the limit.
func (c *cluster) oversized(limit int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		if g := c.groups[name].rec; g.SizeBound() > limit {
			out = append(out, slices.Min(slices.Sorted(maps.Keys(g.Machines))))
		}
	}
	return out
}
