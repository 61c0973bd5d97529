package scheduler

import (
	"sort"
	"time"

	"ambersill/internal/resource"
	"ambersill/internal/tuning"
)

// reservedForDrain is put as the holder of the room of a machine that is being emptied;
// no job has such an id.
const reservedForDrain = "draining"

func (m *Machine) price() float64 {
	if m.Record.Spot {
		return m.machineType.HourlySpotPrice
	}
	return m.machineType.HourlyPrice
}

// consolidate empties a machine whose work fits into the room of others that are
// in use, so that it can go back: sizing counts booked room, but only an empty
// machine can be returned. Only work that can save is moved.
func (p *Partition) consolidate(now time.Time) {
	if now.Sub(p.lastConsolidation) < tuning.Seconds(p.tuning.ConsolidateS) {
		return
	}
	p.lastConsolidation = now
	wanted := map[string]bool{}
	for _, job := range p.jobs {
		if job.Cancelled || job.waitingTasks == 0 {
			continue
		}
		for name := range p.machineTypes {
			if resource.TypeAllowed(job.MachineTypes, name) {
				wanted[name] = true
			}
		}
	}
	var cands []*Machine
	for _, id := range p.machineIDs {
		if machine := p.machines[id]; machine.usable() && !wanted[machine.Record.MachineType] && machine.reservedFor == "" && len(machine.placements) > 0 && machine.capacity.DominantShare(machine.allocated) <= 0.5 {
			cands = append(cands, machine)
		}
	}
	sort.SliceStable(cands, func(a, b int) bool {
		if x, y := cands[a].price(), cands[b].price(); x != y {
			return x > y
		}
		return cands[a].capacity.DominantShare(cands[a].allocated) < cands[b].capacity.DominantShare(cands[b].allocated)
	})
	for _, machine := range cands {
		if p.canEvacuate(machine, now) {
			for _, key := range sortedTaskAttempts(machine.placements) {
				if placement := machine.placements[key]; placement != nil {
					p.Counters.Moved++
					p.stopGracefully(placement, now)
				}
			}
			machine.reservedFor, machine.reservedUntil = reservedForDrain, now.Add(tuning.Seconds(3*p.tuning.ConsolidateS))
			return
		}
	}
}

// canEvacuate tells whether all work of a machine can be moved, and is worth moving.
func (p *Partition) canEvacuate(machine *Machine, now time.Time) bool {
	left := map[string]resource.Vector{}
	for _, key := range sortedTaskAttempts(machine.placements) {
		placement := machine.placements[key]
		job := placement.job
		if placement.stopRequest != nil || placement.gangDone || job.CheckpointIntervalS == 0 || (job.IsGang() && job.Tasks > 1) || !p.settled(placement, now) || job.SingleZone || job.SpreadZones {
			return false
		}
		rest := job.EstimatedRunS - now.Sub(placement.runningSince).Seconds()
		found := false
		for _, id := range p.machineIDs {
			other := p.machines[id]
			if other == machine || !other.usable() || len(other.placements) == 0 || other.reservedFor != "" || other.Record.MachineType != machine.Record.MachineType || !machineAllowed(job.Job, other) || other.price() > machine.price() {
				continue
			}
			if other.price() == machine.price() && other.capacity.DominantShare(other.allocated) < machine.capacity.DominantShare(machine.allocated) {
				continue
			}
			if rest < 2*(p.imageFetchSeconds(job, other)+job.CheckpointSaveS) {
				continue
			}
			request, ok := left[id]
			if !ok {
				request = other.free()
			}
			if !request.Contains(resource.OfJob(job.Job)) {
				continue
			}
			left[id] = request.Sub(resource.OfJob(job.Job))
			found = true
			break
		}
		if !found {
			return false
		}
	}
	return true
}
