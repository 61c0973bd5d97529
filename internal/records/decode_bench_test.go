package records

import (
	"fmt"
	"testing"

	"ambersill/internal/wire"
)

// benchmarkMachines is the number of machines in the group that is decoded; a group of 16 KiB has
// about as many.
const benchmarkMachines = 90

func BenchmarkDecodeMachineGroup(b *testing.B) {
	group := MachineGroupRecord{Machines: map[string]MachineRecord{}}
	for i := range benchmarkMachines {
		group.Machines[fmt.Sprintf("m-%06d", i)] = MachineRecord{
			MachineType:  "bison",
			Zone:         "regina-east",
			CreatedAtMS:  1_790_000_000_000,
			FencingToken: 7,
		}
	}
	encoded, err := wire.Marshal(group)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeMachineGroup("r-1", encoded, 7); err != nil {
			b.Fatal(err)
		}
	}
}
