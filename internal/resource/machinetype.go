package resource

import (
	"iter"
	"slices"

	"ambersill/internal/wire"
)

// TypeAllowed reports whether a job that names the machine types in allowed, or none for
// any, may run on the type called name.
func TypeAllowed(allowed []string, name string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, name)
}

// CPUOnlyTypeFits reports whether request fits a machine type without GPUs among those
// allowed.
func CPUOnlyTypeFits(request Vector, allowed []string, types iter.Seq[wire.MachineType]) bool {
	for machineType := range types {
		if machineType.GPUs == 0 && TypeAllowed(allowed, machineType.Name) && MachineCapacity(machineType).Contains(request) {
			return true
		}
	}
	return false
}
