package admission

import (
	"ambersill/internal/config"
	"ambersill/internal/quota"
	"ambersill/internal/resource"
	"ambersill/internal/wire"
	"slices"
)

// PrimaryMachineType numbers the machine types that a job is meant for by the first of them
// in the catalog's order. Types with GPUs are not meant for work without, if there
// are others.
func PrimaryMachineType(job *wire.Job, types []wire.MachineType) int {
	request := resource.OfJob(job)
	cpuOnly := resource.CPUOnlyTypeFits(request, job.MachineTypes, slices.Values(types))
	for i, machineType := range types {
		if resource.TypeAllowed(job.MachineTypes, machineType.Name) && resource.OfMachineType(machineType).Contains(request) && (job.GPUs > 0 || machineType.GPUs == 0 || !cpuOnly) {
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
	request := resource.OfJob(job)
	fits := 0
	zones := map[string]bool{}
	for _, machineType := range types {
		if !resource.TypeAllowed(job.MachineTypes, machineType.Name) || !resource.OfMachineType(machineType).Contains(request) {
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
	if job.IsGang() || job.IsService() {
		all = request.Scale(job.Tasks)
	}
	if team := (&quota.Team{Team: c}); !team.WithinLimit(all) {
		return "more than the team's limit"
	}
	// All tasks of a gang run at the same time, so they can't be spread over one zone.
	if job.SpreadZones && job.IsGang() && job.Tasks > 1 && (job.SingleZone || len(zones) < 2) {
		return "the gang can't be spread"
	}
	return ""
}
