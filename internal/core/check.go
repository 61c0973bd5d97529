package core

import (
	"ambersill/internal/config"
	"ambersill/internal/wire"
)

// Competes numbers the machine types that a job is meant for by the first of them
// in the catalog's order. Types with GPUs are not meant for work without, if there
// are others.
func Competes(j *wire.Job, types []wire.MachineType) int {
	plain := hasPlain(Demand{Types: j.Types, CPUs: j.CPUs, GPUs: j.GPUs, RAM: j.RAM}, types)
	for i, t := range types {
		if typeAllowed(j.Types, t.Name) && size(t).holds(need(j)) && (j.GPUs > 0 || t.GPUs == 0 || !plain) {
			return i
		}
	}
	return 0
}

// Impossible says why a job can never run; "" if it can.
func Impossible(j *wire.Job, s *config.Settings, types []wire.MachineType) string {
	c, ok := s.Team(j.Team)
	if !ok {
		return "unknown team"
	}
	r := need(j)
	fits := 0
	zones := map[string]bool{}
	for _, t := range types {
		if !typeAllowed(j.Types, t.Name) || !size(t).holds(r) {
			continue
		}
		for _, z := range t.Zones {
			if j.Zone == "" || j.Zone == z {
				fits++
				zones[z] = true
			}
		}
	}
	if fits == 0 {
		return "a task fits no allowed machine type"
	}
	all := r
	if j.Shape == wire.Gang || isService(j) {
		all = r.times(j.Tasks)
	}
	if t := (&team{Team: c}); !t.within(all) {
		return "more than the team's limit"
	}
	// All tasks of a gang run at the same time, so they can't be spread over one zone.
	if j.Spread && j.Shape == wire.Gang && j.Tasks > 1 && (j.OneZone || len(zones) < 2) {
		return "the gang can't be spread"
	}
	return ""
}
