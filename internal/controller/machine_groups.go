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
	record   records.MachineGroupRecord
	revision uint64
}

// applyGroup takes in a group of machines, and returns what is to be told of them.
func (c *clusterCache) applyGroup(name string, value wire.Raw, revision uint64, gone bool) func() {
	old := c.groups[name]
	if revision < old.revision {
		return nil
	}
	var group records.MachineGroupRecord
	if !gone {
		var err error
		if group, err = records.DecodeMachineGroup(name, value, revision); err != nil {
			slog.Error("record not understood", "key", records.MachinePrefix+name, "err", err)
			return nil
		}
	}
	changed, lost := map[string]machineEntry{}, []string{}
	for id, record := range group.Machines {
		entry := machineEntry{record: record, group: name, revision: revision}
		if c.machines[id].record != record {
			changed[id] = entry
		}
		c.machines[id] = entry
	}
	for id := range old.record.Machines {
		if _, ok := group.Machines[id]; !ok && c.machines[id].group == name {
			delete(c.machines, id)
			lost = append(lost, id)
		}
	}
	if gone {
		delete(c.groups, name)
	} else {
		c.groups[name] = groupEntry{group, revision}
	}
	if c.onMachine == nil {
		return nil
	}
	return func() {
		for id, entry := range changed {
			c.onMachine(id, entry, false)
		}
		for _, id := range lost {
			c.onMachine(id, machineEntry{}, true)
		}
	}
}

// groupChange is a change of a group's record, to be committed as a whole: one that
// outgrows a value is divided into several.
type groupChange struct {
	compares []wire.Compare
	writes   []wire.Write
}

// groupChanges builds the writes that change machines' records; nil removes one. Groups
// that are not in the copy any more are left out. No group is larger than the limit.
func (c *clusterCache) groupChanges(changes map[string]*records.MachineRecord, limit int) []groupChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[string]records.MachineGroupRecord{}
	var order []string
	for _, id := range slices.Sorted(maps.Keys(changes)) {
		entry, ok := c.machines[id]
		if !ok {
			continue
		}
		group, ok := next[entry.group]
		if !ok {
			group.Machines = maps.Clone(c.groups[entry.group].record.Machines)
			next[entry.group] = group
			order = append(order, entry.group)
		}
		if record := changes[id]; record != nil {
			group.Machines[id] = *record
		} else {
			delete(group.Machines, id)
		}
	}
	var out []groupChange
	for _, name := range order {
		out = append(out, changeGroup(name, c.groups[name].revision, next[name], limit))
	}
	return out
}

// changeGroup builds the writes of one group.
func changeGroup(name string, revision uint64, group records.MachineGroupRecord, limit int) groupChange {
	key := records.MachinePrefix + name
	change := groupChange{compares: []wire.Compare{{Key: key, Revision: revision}}}
	if len(group.Machines) == 0 {
		change.writes = []wire.Write{{Delete: key}}
		return change
	}
	pieces := group.Split(limit)
	for _, piece := range pieces[1:] {
		cond, put := newGroup(piece)
		change.compares, change.writes = append(change.compares, cond), append(change.writes, put)
	}
	change.writes = append(change.writes, wire.Write{Put: key, Value: pieces[0]})
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

// sortEvents sorts changes so that they can be taken in one after the other: by revision, and
// the pieces of a divided group, whose names are higher, before the rest of it. Else the
// machines of the pieces would be missing in between, and be taken for gone.
func sortEvents(events []wire.Event) []wire.Event {
	out := slices.Clone(events)
	slices.SortStableFunc(out, func(a, b wire.Event) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(b.Put+b.Delete, a.Put+a.Delete))
	})
	return out
}

// newGroup is the write of a new group, named after its first machine.
func newGroup(group records.MachineGroupRecord) (wire.Compare, wire.Write) {
	key := records.MachinePrefix + slices.Min(slices.Sorted(maps.Keys(group.Machines)))
	return wire.Compare{Key: key, Revision: 0}, wire.Write{Put: key, Value: group}
}

// oversized names a machine of each group that outgrows the limit.
func (c *clusterCache) oversized(limit int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		if group := c.groups[name].record; group.SizeBound() > limit {
			out = append(out, slices.Min(slices.Sorted(maps.Keys(group.Machines))))
		}
	}
	return out
}
