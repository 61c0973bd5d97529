package resource

import (
	"iter"
	"slices"

	"ambersill/internal/wire"
)

// TypeAllowed reports whether a job that allows the given machine types may run on the type
// called name. An empty list allows all types.
func TypeAllowed(allowed []string, name string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, name)
}

// CPUOnlyTypeFits reports whether request fits on a machine of an allowed type without GPUs.
func CPUOnlyTypeFits(request Vector, allowed []string, types iter.Seq[wire.MachineType]) bool {
	for machineType := range types {
		if machineType.GPUs == 0 && TypeAllowed(allowed, machineType.Name) && MachineCapacity(machineType).Contains(request) {
			return true
		}
	}
	return false
}
