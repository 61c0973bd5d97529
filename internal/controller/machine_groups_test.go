package controller

import (
	"fmt"
	"testing"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// groupEvents returns the events of one commit that writes the given machine groups, in their
// order.
func groupEvents(groups []records.MachineGroupRecord, revision uint64) []wire.Event {
	var events []wire.Event
	for _, group := range groups {
		_, write := newGroupWrite(group)
		events = append(events, wire.Event{Put: write.Put, Value: must(wire.Marshal(write.Value)), Revision: revision})
	}
	return events
}

// While the split of a group is applied to the cache, none of its machines may be missing,
// not even for a moment: a machine without a record counts as returned, and its tasks would be
// started elsewhere while they still run. A watch or a listing may deliver the rest of the
// split group before the new groups.
func TestSplittingGroupRemovesNoMachine(t *testing.T) {
	whole := records.MachineGroupRecord{Machines: map[string]records.MachineRecord{}}
	for i := range 40 {
		whole.Machines[fmt.Sprintf("m-%06d", i)] = records.MachineRecord{MachineType: "small", Zone: "a", CreatedAtMS: 1}
	}
	const maxBytes = 2 << 10
	pieces := whole.SplitBySize(maxBytes)
	if len(pieces) < 3 {
		t.Fatalf("group split into %d pieces, want at least 3", len(pieces))
	}
	for i, piece := range pieces {
		if piece.SizeBound() > maxBytes {
			t.Errorf("piece %d has up to %d bytes, want at most the limit of 2 KiB", i, piece.SizeBound())
		}
	}
	splitEvents := groupEvents(pieces, 8)
	for name, applyPieces := range map[string]func(c *clusterCache){
		"watched": func(c *clusterCache) {
			for _, event := range sortEvents(splitEvents) {
				c.applyEvent(event)
			}
		},
		"listed": func(c *clusterCache) {
			var items []wire.KeyValue
			for _, event := range splitEvents {
				items = append(items, wire.KeyValue{Key: event.Put, Value: event.Value, Revision: event.Revision})
			}
			c.replaceAll(items, 8)
		},
	} {
		c := newClusterCache()
		for _, event := range groupEvents([]records.MachineGroupRecord{whole}, 7) {
			c.applyEvent(event)
		}
		c.onMachineChange = func(change machineChange) {
			if change.deleted {
				t.Errorf("%s: machine %s was removed while its group was split, want it kept", name, change.machineID)
			}
		}
		applyPieces(c)
		if len(c.machines) != len(whole.Machines) {
			t.Errorf("%s: cache has %d machines after the split, want all 40", name, len(c.machines))
		}
	}
}
