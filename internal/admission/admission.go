// Package admission decides which jobs are accepted, and for which machine type each is
// meant.
package admission

import (
	"errors"
	"slices"

	"ambersill/internal/config"
	"ambersill/internal/quota"
	"ambersill/internal/resource"
	"ambersill/internal/wire"
)

// Reasons why a job can never run. Their texts are sent to users as the answer to the
// submission.
var (
	ErrUnknownTeam        = errors.New("unknown team")
	ErrNoMachineTypeFits  = errors.New("a task fits no allowed machine type")
	ErrTeamLimitExceeded  = errors.New("more than the team's limit")
	ErrGangCannotBeSpread = errors.New("the gang can't be spread")
)

// minSpreadZones is the number of zones that a gang needs at least to be spread.
const minSpreadZones = 2

// PrimaryMachineType returns the index, in the catalog's order, of the first machine type
// that a job is meant for, 0 if it fits none. Types with GPUs are not meant for work
// without, if a type without GPUs fits.
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

// Check returns the reason why a job can never run, nil if it can.
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

// typeFits reports whether a machine of a type may run a task of a job, and has the
// capacity for it.
func typeFits(job *wire.Job, machineType wire.MachineType) bool {
	return resource.TypeAllowed(job.MachineTypes, machineType.Name) &&
		resource.MachineCapacity(machineType).Contains(resource.TaskRequest(job))
}

// feasibleZones returns the zones in which machines that fit a job can be rented.
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

// concurrentRequest returns what a job must be able to allocate at once: all tasks of a
// gang and all replicas of a service run at the same time, an array's can take turns.
func concurrentRequest(job *wire.Job) resource.Vector {
	request := resource.TaskRequest(job)
	if job.IsGang() || job.IsService() {
		return request.Scale(job.Tasks)
	}
	return request
}

// mustSpread reports whether the job's tasks have to run in different zones at the same
// time.
func mustSpread(job *wire.Job) bool {
	return job.SpreadZones && job.IsGang() && job.Tasks > 1
}
