package controller

import (
	"fmt"
	"testing"

	"ambersill/internal/records"
)

// However many machines come and go, the addresses of those that exist are known, also of
// far more than 4,000 at a time, and none is kept of those that are gone, though the
// cloud's listing still shows them for a while.
func TestAddressesKeptOnlyForExistingMachines(t *testing.T) {
	c := isolatedController()
	const generations, machines = 4, 6000
	const address = "10.1.0.1:1"
	for generation := range generations {
		revision := uint64(10 + generation)
		var ids []string
		for i := range machines {
			id := fmt.Sprintf("m-%d-%d", generation, i)
			ids = append(ids, id)
			group := records.MachineGroupRecord{Machines: map[string]records.MachineRecord{id: {MachineType: "small", Zone: "a"}}}
			c.cluster.applyChange(putChange(records.MachinePrefix+id, group, revision))
			c.recordAddress(id, address)
			if c.address(id) == "" {
				t.Fatalf("the address of machine %d is not known", i)
			}
		}
		for _, id := range ids {
			c.cluster.applyChange(deletionOf(records.MachinePrefix+id, revision))
			c.recordAddress(id, address) // from a listing that lags
		}
	}
	if n := len(c.addresses); n > 0 {
		t.Errorf("%d addresses of machines that are gone", n)
	}
}
