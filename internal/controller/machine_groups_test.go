package controller

import (
	"fmt"
	"testing"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// groupEvents are the changes of one commit that divides a group of machines, in the order
// of their keys.
func groupEvents(pieces []records.MachineGroupRecord, revision uint64) []wire.Event {
	var out []wire.Event
	for _, group := range pieces {
		_, put := newGroup(group)
		out = append(out, wire.Event{Put: put.Put, Value: must(wire.Marshal(put.Value)), Revision: revision})
	}
	return out
}

// A group that is divided loses none of its machines, not for a moment either: what is
// gone counts as returned, and its tasks would start elsewhere while they run. Neither a
// watch nor a listing need tell of the pieces first.
func TestDividedGroupLosesNoMachine(t *testing.T) {
	whole := records.MachineGroupRecord{Machines: map[string]records.MachineRecord{}}
	for i := range 40 {
		whole.Machines[fmt.Sprintf("m-%06d", i)] = records.MachineRecord{MachineType: "small", Zone: "a"}
	}
	pieces := whole.Split(2 << 10)
	if len(pieces) < 3 {
		t.Fatalf("%d pieces", len(pieces))
	}
	for i, piece := range pieces {
		if piece.SizeBound() > 2<<10 {
			t.Errorf("piece %d has %d bytes", i, piece.SizeBound())
		}
	}
	divided := groupEvents(pieces, 8)
	for name, take := range map[string]func(c *clusterCache){
		"watched": func(c *clusterCache) {
			for _, event := range sortEvents(divided) {
				c.apply(event.Put, event.Value, event.Revision, false)
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
			c.apply(event.Put, event.Value, event.Revision, false)
		}
		c.onMachine = func(machine string, _ machineEntry, gone bool) {
			if gone {
				t.Errorf("%s: %s is gone", name, machine)
			}
		}
		take(c)
		if len(c.machines) != len(whole.Machines) {
			t.Errorf("%s: %d machines", name, len(c.machines))
		}
	}
}
