package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Decisions depend on the order of the machines, so it must not depend on when they were added.
func TestMachineSetStaysSorted(t *testing.T) {
	set := newMachineSet()
	for _, id := range []string{"m-3", "m-1", "m-4", "m-2"} {
		set.add(newMachine(id, time.Time{}))
	}
	set.remove("m-3")
	set.remove("m-unknown")
	ids := set.selectIDs(func(*Machine) bool { return true })
	if diff := cmp.Diff([]string{"m-1", "m-2", "m-4"}, ids); diff != "" {
		t.Error(diff)
	}
	for _, machine := range set.all() {
		if set.get(machine.ID) != machine {
			t.Errorf("%s is not found by its ID", machine.ID)
		}
	}
	if set.get("m-3") != nil || set.len() != 3 {
		t.Errorf("%d machines, the removed one known: %v", set.len(), set.get("m-3") != nil)
	}
}
