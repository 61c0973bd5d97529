package resource

import (
	"ambersill/internal/wire"
	"iter"
)

func TypeAllowed(types []string, name string) bool {
	if len(types) == 0 {
		return true
	}
	for _, t := range types {
		if t == name {
			return true
		}
	}
	return false
}

// CPUOnlyTypeFits tells whether a machine type without GPUs, among those allowed, has room
// for a request.
func CPUOnlyTypeFits(request Vector, allowed []string, types iter.Seq[wire.MachineType]) bool {
	for machineType := range types {
		if machineType.GPUs == 0 && TypeAllowed(allowed, machineType.Name) && OfMachineType(machineType).Contains(request) {
			return true
		}
	}
	return false
}
