package controller

import (
	"fmt"
	"testing"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// However many machines come and go, the addresses of those that are there are known, also
// of far more than 4,000 at a time, and of those that are gone none is kept, though the
// cloud's list goes on to show them for a while.
func TestAddressesOfMachinesThatComeAndGo(t *testing.T) {
	c := aloneController(t)
	const generations, machines = 4, 6000
	for generation := range generations {
		var keys []string
		for i := range machines {
			id := fmt.Sprintf("m-%d-%d", generation, i)
			group := records.MachineGroupRecord{Machines: map[string]records.MachineRecord{id: {MachineType: "small", Zone: "a"}}}
			keys = append(keys, records.MachinePrefix+id)
			c.cluster.apply(records.MachinePrefix+id, must(wire.Marshal(group)), uint64(10+generation), false)
			c.recordAddress(id, "10.1.0.1:1")
			if c.address(id) == "" {
				t.Fatalf("the address of machine %d is not known", i)
			}
		}
		for _, key := range keys {
			c.cluster.apply(key, nil, uint64(10+generation), true)
			c.recordAddress(key[len(records.MachinePrefix):], "10.1.0.1:1") // as a list shows it that lags
		}
	}
	if n := len(c.addresses); n > 0 {
		t.Errorf("%d addresses of machines that are gone", n)
	}
}
