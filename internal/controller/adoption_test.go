package controller

import (
	"slices"
	"strings"
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// Guards against a leader that records adopted machines in another order on every run, so that a
// leader that ends meanwhile leaves other machines without records, and no run can be repeated.
func TestMachinesAreAdoptedInOrder(t *testing.T) {
	simulate(t, 1, func(t *testing.T, cluster *simulatedCluster) {
		var written []string
		checkChange := cluster.store.OnPut
		cluster.store.OnPut = func(key string, before, after wire.Raw) {
			checkChange(key, before, after)
			if strings.HasPrefix(key, records.MachinePrefix) && len(before) == 0 {
				written = append(written, key)
			}
		}
		offerings := 0
		for _, machineType := range testMachineTypes {
			for _, zone := range machineType.Zones {
				for _, spot := range []bool{true, false} {
					cluster.cloud.AddMachine(machineType.Name, zone, spot)
					offerings++
				}
			}
		}
		cluster.startNodes()
		time.Sleep(time.Minute)
		if len(written) < offerings || !slices.IsSorted(written[:offerings]) {
			t.Errorf("keys of the %d adopted groups, in the order of their writes: got %q, want that of the machines' IDs", offerings, written)
		}
	})
}
