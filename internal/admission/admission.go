// Package admission checks whether submitted jobs can ever run, and determines each job's
// primary machine type.
package admission

import (
	"errors"
	"slices"

	"ambersill/internal/config"
	"ambersill/internal/quota"
	"ambersill/internal/resource"
	"ambersill/internal/wire"
)

// Reasons why a job can never run. Their texts are sent to users in the response to the
// submission.
var (
	ErrUnknownTeam        = errors.New("unknown team")
	ErrNoMachineTypeFits  = errors.New("a task fits no allowed machine type")
	ErrTeamLimitExceeded  = errors.New("more than the team's limit")
	ErrGangCannotBeSpread = errors.New("the gang can't be spread")
)

// minSpreadZones is the minimum number of zones over which a gang can be spread.
const minSpreadZones = 2

// PrimaryMachineType returns the index in types, which is in the order of the catalog, of the
// first type that fits a job, or 0 if none does. For a job without GPUs, types with GPUs are
// skipped if an allowed type without GPUs fits.
func PrimaryMachineType(job *wire.Job, types []wire.MachineType) int {
	request := resource.TaskRequest(job)
	cpuOnlyTypeFits := resource.CPUOnlyTypeFits(request, job.MachineTypes, slices.Values(types))
	for i, machineType := range types {
		if !typeFits(job, machineType) {
			continue
		}
		if job.GPUs == 0 && machineType.GPUs > 0 && cpuOnlyTypeFits {
			continue
		}
		return i
	}
	return 0
}

// Check returns the reason why a job can never run, or nil if it can run.
func Check(job *wire.Job, settings *config.Settings, types []wire.MachineType) error {
	team, ok := settings.Team(job.Team)
	if !ok {
		return ErrUnknownTeam
	}
	zones := feasibleZones(job, types)
	if len(zones) == 0 {
		return ErrNoMachineTypeFits
	}
	emptyTeam := &quota.Team{Team: team}
	if !emptyTeam.WithinLimit(concurrentRequest(job)) {
		return ErrTeamLimitExceeded
	}
	if mustSpread(job) && (job.SingleZone || len(zones) < minSpreadZones) {
		return ErrGangCannotBeSpread
	}
	return nil
}

// typeFits reports whether a job allows a machine type and one machine of it has the capacity
// for a task.
func typeFits(job *wire.Job, machineType wire.MachineType) bool {
	return resource.TypeAllowed(job.MachineTypes, machineType.Name) &&
		resource.MachineCapacity(machineType).Contains(resource.TaskRequest(job))
}

// feasibleZones returns those of the zones allowed by a job in which the cloud offers a machine
// type that fits the job's tasks.
func feasibleZones(job *wire.Job, types []wire.MachineType) map[string]bool {
	zones := map[string]bool{}
	for _, machineType := range types {
		if !typeFits(job, machineType) {
			continue
		}
		for _, zone := range machineType.Zones {
			if job.Zone == "" || job.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return zones
}

// concurrentRequest returns the resources that a job needs at the same time in order to run:
// those of all tasks for a gang or a service, and of one task for an array, whose tasks can
// run one after another.
func concurrentRequest(job *wire.Job) resource.Vector {
	request := resource.TaskRequest(job)
	if job.IsGang() || job.IsService() {
		return request.Scale(job.TaskCount)
	}
	return request
}

// mustSpread reports whether the job's tasks must run in different zones at the same time.
func mustSpread(job *wire.Job) bool {
	return job.SpreadZones && job.IsGang() && job.TaskCount > 1
}
