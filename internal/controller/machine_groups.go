package controller

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// groupEntry is the cached record of a group of machines.
type groupEntry struct {
	record   records.MachineGroupRecord
	revision uint64
}

// groupDifference is the changes of machines that follow from a new state of their group.
type groupDifference struct {
	changed map[string]machineEntry
	removed []string
}

// machineChange is a change of a machine's record.
type machineChange struct {
	machine string
	entry   machineEntry // empty if the machine is gone
	gone    bool
}

// applyGroup applies a change of a group of machines, and returns what notifies the
// listener; nil if there is nothing to do.
func (c *clusterCache) applyGroup(name string, change keyChange) (notify func()) {
	old := c.groups[name]
	if change.revision < old.revision {
		return nil
	}
	var group records.MachineGroupRecord
	if !change.deleted {
		var err error
		if group, err = records.DecodeMachineGroup(name, change.value, change.revision); err != nil {
			slog.Error("record not understood", "key", change.key, "err", err)
			return nil
		}
	}
	difference := c.replaceGroupMachines(name, old.record, group, change.revision)
	if change.deleted {
		delete(c.groups, name)
	} else {
		c.groups[name] = groupEntry{record: group, revision: change.revision}
	}
	if c.onMachine == nil {
		return nil
	}
	return func() { difference.notify(c.onMachine) }
}

// replaceGroupMachines replaces the machines of a group. A machine that is in another group
// by now is not removed: its former group was divided.
func (c *clusterCache) replaceGroupMachines(
	name string, old, group records.MachineGroupRecord, revision uint64,
) groupDifference {
	difference := groupDifference{changed: map[string]machineEntry{}}
	for id, record := range group.Machines {
		entry := machineEntry{record: record, group: name, revision: revision}
		if c.machines[id].record != record {
			difference.changed[id] = entry
		}
		c.machines[id] = entry
	}
	for id := range old.Machines {
		if _, ok := group.Machines[id]; !ok && c.machines[id].group == name {
			delete(c.machines, id)
			difference.removed = append(difference.removed, id)
		}
	}
	return difference
}

func (d groupDifference) notify(onMachine func(change machineChange)) {
	for id, entry := range d.changed {
		onMachine(machineChange{machine: id, entry: entry})
	}
	for _, id := range d.removed {
		onMachine(machineChange{machine: id, gone: true})
	}
}

// groupChange is a change of a group's record, to be committed as a whole: a group that
// exceeds the size limit is divided into several.
type groupChange struct {
	compares []wire.Compare
	writes   []wire.Write
}

// groupChanges returns the writes that change machines' records; nil removes one. Groups
// that are no longer in the cache are left out. No group is larger than the limit.
func (c *clusterCache) groupChanges(machines map[string]*records.MachineRecord, limit int) []groupChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	groups := map[string]records.MachineGroupRecord{}
	var order []string
	for _, id := range slices.Sorted(maps.Keys(machines)) {
		entry, ok := c.machines[id]
		if !ok {
			continue
		}
		group, ok := groups[entry.group]
		if !ok {
			group.Machines = maps.Clone(c.groups[entry.group].record.Machines)
			groups[entry.group] = group
			order = append(order, entry.group)
		}
		if record := machines[id]; record != nil {
			group.Machines[id] = *record
		} else {
			delete(group.Machines, id)
		}
	}
	changes := make([]groupChange, 0, len(order))
	for _, name := range order {
		changes = append(changes, changeGroup(name, c.groups[name].revision, groups[name], limit))
	}
	return changes
}

// changeGroup returns the writes that replace one group.
func changeGroup(name string, revision uint64, group records.MachineGroupRecord, limit int) groupChange {
	key := records.MachinePrefix + name
	change := groupChange{compares: []wire.Compare{{Key: key, Revision: revision}}}
	if len(group.Machines) == 0 {
		change.writes = []wire.Write{{Delete: key}}
		return change
	}
	pieces := group.SplitBySize(limit)
	for _, piece := range pieces[1:] {
		compare, write := newGroup(piece)
		change.compares = append(change.compares, compare)
		change.writes = append(change.writes, write)
	}
	change.writes = append(change.writes, wire.Write{Put: key, Value: pieces[0]})
	return change
}

// groupLimit returns the size of the largest group that may be written, in bytes. Programs of
// the first feature level could take a machine for removed while its group is divided, so
// that none is divided for being large as long as there may be such programs.
func (c *Controller) groupLimit() int {
	if c.cluster.featureLevel() < records.FeatureExplicitChunks {
		return records.MaxValueBytes(c.settings.Cluster.State.ValueKB)
	}
	return records.MaxValueBytes(c.limits.ValueKB)
}

// groupsPerTxn returns how many groups of up to the given number of bytes may be written in
// one transaction without making it too large; one may always be written.
func groupsPerTxn(groupBytes int) int { return max(1, tuning.MaxTxnBytes/groupBytes) }

// sortEvents sorts events so that they can be applied one after the other: by revision, and
// the pieces of a divided group, whose names are higher, before the rest of it. Otherwise
// the machines of the pieces would be missing in between, and be taken for removed.
func sortEvents(events []wire.Event) []wire.Event {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b wire.Event) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(b.Put+b.Delete, a.Put+a.Delete))
	})
	return sorted
}

// newGroup returns the write of a new group, which is named after its first machine, and the
// compare that no group has that name.
func newGroup(group records.MachineGroupRecord) (wire.Compare, wire.Write) {
	key := records.MachinePrefix + firstMachine(group)
	return wire.Compare{Key: key, Revision: 0}, wire.Write{Put: key, Value: group}
}

// firstMachine returns the lowest ID of a group's machines.
func firstMachine(group records.MachineGroupRecord) string {
	return slices.Min(slices.Collect(maps.Keys(group.Machines)))
}

// machinesOfOversizedGroups returns the first machine of each group that exceeds the limit.
func (c *clusterCache) machinesOfOversizedGroups(limit int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var machines []string
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		if group := c.groups[name].record; group.SizeBound() > limit {
			machines = append(machines, firstMachine(group))
		}
	}
	return machines
}
