package scheduler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Scheduling decisions depend on the order of the machines, so that order must not depend on the
// order in which the machines were added.
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
			t.Errorf("get(%q) does not return the machine that all lists", machine.ID)
		}
	}
	if set.get("m-3") != nil || set.len() != 3 {
		t.Errorf("after removing m-3: got %d machines, want 3; m-3 still found: %v, want false", set.len(), set.get("m-3") != nil)
	}
}
