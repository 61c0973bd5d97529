package controller

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"

	"ambersill/internal/kvstore"
	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// groupEntry is the cached record of a machine group.
type groupEntry struct {
	record   records.MachineGroupRecord
	revision uint64
}

// groupDiff contains the machines whose records change, or that are removed, when the record
// of their group is replaced.
type groupDiff struct {
	changed map[string]machineEntry
	removed []string
}

// machineChange is a change of a machine's record.
type machineChange struct {
	machineID string
	entry     machineEntry // empty if deleted
	deleted   bool
}

// applyGroup applies a change of a machine group; c.mu must be held. It returns a function
// that calls onMachineChange for each changed machine, or nil if the change is ignored or the
// callback is not set.
func (c *clusterCache) applyGroup(name string, change keyChange) (notify func()) {
	old := c.groups[name]
	if change.revision < old.revision {
		return nil
	}
	var group records.MachineGroupRecord
	if !change.deleted {
		var err error
		if group, err = records.DecodeMachineGroup(name, change.value, change.revision); err != nil {
			slog.Error("decoding record failed", "key", change.key, "err", err)
			return nil
		}
	}
	diff := c.replaceGroupMachines(name, old.record, group, change.revision)
	if change.deleted {
		delete(c.groups, name)
	} else {
		c.groups[name] = groupEntry{record: group, revision: change.revision}
	}
	if c.onMachineChange == nil {
		return nil
	}
	return func() { diff.notify(c.onMachineChange) }
}

// replaceGroupMachines replaces the cached machines of a group; c.mu must be held. A machine
// that another group contains by now is kept, since it was moved there by a split.
func (c *clusterCache) replaceGroupMachines(
	name string, old, group records.MachineGroupRecord, revision uint64,
) groupDiff {
	diff := groupDiff{changed: map[string]machineEntry{}}
	for id, record := range group.Machines {
		entry := machineEntry{record: record, group: name, revision: revision}
		if c.machines[id].record != record {
			diff.changed[id] = entry
		}
		c.machines[id] = entry
	}
	for id := range old.Machines {
		if _, ok := group.Machines[id]; !ok && c.machines[id].group == name {
			delete(c.machines, id)
			diff.removed = append(diff.removed, id)
		}
	}
	return diff
}

func (d groupDiff) notify(onMachineChange func(change machineChange)) {
	for id, entry := range d.changed {
		onMachineChange(machineChange{machineID: id, entry: entry})
	}
	for _, id := range d.removed {
		onMachineChange(machineChange{machineID: id, deleted: true})
	}
}

// refreshMachineGroup reads the record of a machine group into the cluster cache.
func (c *Controller) refreshMachineGroup(ctx context.Context, name string) error {
	key := records.MachinePrefix + name
	item, err := c.store.Get(ctx, key)
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	c.cluster.applyChange(keyChange{key: key, value: item.Value, revision: item.Revision})
	return nil
}

// groupChange is the part of a transaction that changes one or more machine groups. The
// change of a group must be committed as a whole, because it may split the group into several
// records.
type groupChange struct {
	compares []wire.Compare
	writes   []wire.Write
}

// groupChanges returns, for each group concerned, the writes that change the given records of
// machines; a nil record removes the machine. Machines that are no longer in the cache are
// ignored. No group that is written is larger than maxBytes.
func (c *clusterCache) groupChanges(machines map[string]*records.MachineRecord, maxBytes int) []groupChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	groups := map[string]records.MachineGroupRecord{}
	var groupNames []string
	for _, id := range slices.Sorted(maps.Keys(machines)) {
		entry, ok := c.machines[id]
		if !ok {
			continue
		}
		group, ok := groups[entry.group]
		if !ok {
			group.Machines = maps.Clone(c.groups[entry.group].record.Machines)
			groups[entry.group] = group
			groupNames = append(groupNames, entry.group)
		}
		if record := machines[id]; record != nil {
			group.Machines[id] = *record
		} else {
			delete(group.Machines, id)
		}
	}
	changes := make([]groupChange, 0, len(groupNames))
	for _, name := range groupNames {
		changes = append(changes, newGroupChange(name, c.groups[name].revision, groups[name], maxBytes))
	}
	return changes
}

// newGroupChange returns the writes that replace the record of one group. They delete the
// record if the group is empty, and split the group if it is larger than maxBytes.
func newGroupChange(name string, revision uint64, group records.MachineGroupRecord, maxBytes int) groupChange {
	key := records.MachinePrefix + name
	change := groupChange{compares: []wire.Compare{{Key: key, Revision: revision}}}
	if len(group.Machines) == 0 {
		change.writes = []wire.Write{{Delete: key}}
		return change
	}
	pieces := group.SplitBySize(maxBytes)
	for _, piece := range pieces[1:] {
		compare, write := newGroupWrite(piece)
		change.compares = append(change.compares, compare)
		change.writes = append(change.writes, write)
	}
	change.writes = append(change.writes, wire.Write{Put: key, Value: pieces[0]})
	return change
}

// maxGroupBytes returns the maximum size of a group's record, in bytes. Programs that
// support only records.FeatureInitialFormat may conclude that a machine was removed while its
// group is being split. Until the cluster's feature level is higher, the limit is therefore the
// key-value store's present one, and groups are not split to keep to a lower limit that is
// announced for the future.
func (c *Controller) maxGroupBytes() int {
	if c.cluster.featureLevel() < records.FeatureExplicitChunks {
		return records.MaxValueBytes(c.settings.Cluster.Store.MaxValueKiB)
	}
	return records.MaxValueBytes(c.limits.MaxValueKiB)
}

// valuesPerTxn returns the number of values, each of up to the given number of bytes, that may
// be written in one transaction without exceeding tuning.MaxTxnBytes. It is at least 1.
func valuesPerTxn(valueBytes int) int { return max(1, tuning.MaxTxnBytes/valueBytes) }

// sortEvents returns the events in the order in which they can be applied one by one: by
// ascending revision, then by descending key. When a group is split, the new groups have
// higher names than the rest of it, which keeps its name. If the rest were applied first, the
// machines of the new groups would be missing in between and count as removed.
func sortEvents(events []wire.Event) []wire.Event {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b wire.Event) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(b.Put+b.Delete, a.Put+a.Delete))
	})
	return sorted
}

// newGroupWrite returns the write that creates a group, named after its lowest machine ID, and
// the compare that no group of that name exists.
func newGroupWrite(group records.MachineGroupRecord) (wire.Compare, wire.Write) {
	key := records.MachinePrefix + lowestMachineID(group)
	return wire.Compare{Key: key, Revision: 0}, wire.Write{Put: key, Value: group}
}

// lowestMachineID returns the lowest ID of the machines in a group, which must not be empty.
func lowestMachineID(group records.MachineGroupRecord) string {
	return slices.Min(slices.Collect(maps.Keys(group.Machines)))
}

// machinesOfOversizedGroups returns the lowest machine ID of each group whose size may exceed
// maxBytes, in the order of the groups' names.
func (c *clusterCache) machinesOfOversizedGroups(maxBytes int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var machines []string
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		if group := c.groups[name].record; group.SizeBound() > maxBytes {
			machines = append(machines, lowestMachineID(group))
		}
	}
	return machines
}
