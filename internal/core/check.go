package core

import (
	"ambersill/internal/config"
	"ambersill/internal/wire"
)

// PrimaryMachineType numbers the machine types that a job is meant for by the first of them
// in the catalog's order. Types with GPUs are not meant for work without, if there
// are others.
func PrimaryMachineType(job *wire.Job, types []wire.MachineType) int {
	plain := CPUOnlyTypeFits(Demand{MachineTypes: job.MachineTypes, CPUs: job.CPUs, GPUs: job.GPUs, MemoryGB: job.MemoryGB}, types)
	for i, machineType := range types {
		if TypeAllowed(job.MachineTypes, machineType.Name) && OfMachineType(machineType).Contains(OfJob(job)) && (job.GPUs > 0 || machineType.GPUs == 0 || !plain) {
			return i
		}
	}
	return 0
}

// InfeasibleReason says why a job can never run; "" if it can.
func InfeasibleReason(job *wire.Job, settings *config.Settings, types []wire.MachineType) string {
	c, ok := settings.Team(job.Team)
	if !ok {
		return "unknown team"
	}
	request := OfJob(job)
	fits := 0
	zones := map[string]bool{}
	for _, machineType := range types {
		if !TypeAllowed(job.MachineTypes, machineType.Name) || !OfMachineType(machineType).Contains(request) {
			continue
		}
		for _, z := range machineType.Zones {
			if job.Zone == "" || job.Zone == z {
				fits++
				zones[z] = true
			}
		}
	}
	if fits == 0 {
		return "a task fits no allowed machine type"
	}
	all := request
	if job.Shape == wire.GangJob || isService(job) {
		all = request.Scale(job.Tasks)
	}
	if team := (&Team{Team: c}); !team.WithinLimit(all) {
		return "more than the team's limit"
	}
	// All tasks of a gang run at the same time, so they can't be spread over one zone.
	if job.SpreadZones && job.Shape == wire.GangJob && job.Tasks > 1 && (job.SingleZone || len(zones) < 2) {
		return "the gang can't be spread"
	}
	return ""
}
