package controller

import (
	"fmt"
	"testing"

	"ambersill/internal/records"
)

// The addresses of all existing machines are known, even if there are far more than 4,000. No
// address is kept of a machine whose record was deleted, even if the cloud's listing still
// shows the machine for a while.
func TestAddressesKeptOnlyForExistingMachines(t *testing.T) {
	c := newIsolatedController()
	const generations, machines = 4, 6000
	const address = "10.1.0.1:1"
	for generation := range generations {
		revision := uint64(10 + generation)
		var ids []string
		for i := range machines {
			id := fmt.Sprintf("m-%d-%d", generation, i)
			ids = append(ids, id)
			group := records.MachineGroupRecord{Machines: map[string]records.MachineRecord{id: {MachineType: "small", Zone: "a", CreatedAtMS: 1}}}
			c.cluster.applyChange(putChange(records.MachinePrefix+id, group, revision))
			c.recordAddress(id, address)
			if c.address(id) == "" {
				t.Fatalf("address of recorded machine %d is empty, want the stored one", i)
			}
		}
		for _, id := range ids {
			c.cluster.applyChange(deletionOf(records.MachinePrefix+id, revision))
			c.recordAddress(id, address) // from an outdated listing
		}
	}
	if n := len(c.addresses); n > 0 {
		t.Errorf("%d addresses kept after all machines were removed, want 0", n)
	}
}
