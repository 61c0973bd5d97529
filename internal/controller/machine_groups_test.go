package controller

import (
	"fmt"
	"testing"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// groupEvents returns the events of one commit that divides a group of machines, in the
// order of their keys.
func groupEvents(pieces []records.MachineGroupRecord, revision uint64) []wire.Event {
	var events []wire.Event
	for _, group := range pieces {
		_, write := newGroup(group)
		events = append(events, wire.Event{Put: write.Put, Value: must(wire.Marshal(write.Value)), Revision: revision})
	}
	return events
}

// A group that is divided loses none of its machines, not for a moment either: a machine
// without a record counts as returned, and its tasks would be started elsewhere while they
// still run. Neither a watch nor a listing need deliver the pieces first.
func TestDividedGroupLosesNoMachine(t *testing.T) {
	whole := records.MachineGroupRecord{Machines: map[string]records.MachineRecord{}}
	for i := range 40 {
		whole.Machines[fmt.Sprintf("m-%06d", i)] = records.MachineRecord{MachineType: "small", Zone: "a"}
	}
	const limit = 2 << 10 // bytes
	pieces := whole.SplitBySize(limit)
	if len(pieces) < 3 {
		t.Fatalf("%d pieces", len(pieces))
	}
	for i, piece := range pieces {
		if piece.SizeBound() > limit {
			t.Errorf("piece %d has %d bytes", i, piece.SizeBound())
		}
	}
	divided := groupEvents(pieces, 8)
	for name, applyPieces := range map[string]func(c *clusterCache){
		"watched": func(c *clusterCache) {
			for _, event := range sortEvents(divided) {
				c.applyEvent(event)
			}
		},
		"listed": func(c *clusterCache) {
			var items []wire.KeyValue
			for _, event := range divided {
				items = append(items, wire.KeyValue{Key: event.Put, Value: event.Value, Revision: event.Revision})
			}
			c.replaceAll(items, 8)
		},
	} {
		c := newClusterCache()
		for _, event := range groupEvents([]records.MachineGroupRecord{whole}, 7) {
			c.applyEvent(event)
		}
		c.onMachine = func(change machineChange) {
			if change.gone {
				t.Errorf("%s: %s is gone", name, change.machine)
			}
		}
		applyPieces(c)
		if len(c.machines) != len(whole.Machines) {
			t.Errorf("%s: %d machines", name, len(c.machines))
		}
	}
}
