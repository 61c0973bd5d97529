package scheduler

import (
	"fmt"
	"math"
	"time"

	"ambersill/internal/quota"
	"ambersill/internal/records"
	"ambersill/internal/resource"
	"ambersill/internal/tuning"
)

// Summary sums up the part for the leader.
func (p *Partition) Summary(now time.Time) records.PartitionSummary {
	summary := records.PartitionSummary{BookedMachines: map[string]float64{}, BookedOnDemand: map[string]float64{}, MachineDigests: map[string]records.MachineDigest{}}
	for _, id := range p.machineIDs {
		p.addToSummary(&summary, p.machines[id], now)
	}
	for _, b := range []map[string]float64{summary.BookedMachines, summary.BookedOnDemand} {
		for k, v := range b {
			b[k] = math.Round(v*1000) / 1000
		}
	}
	summary.Waiting = p.unplacedDemand(now)
	return summary
}

// addToSummary adds a machine's booked room and the note on it.
func (p *Partition) addToSummary(summary *records.PartitionSummary, machine *Machine, now time.Time) {
	var firm resource.Vector
	for _, placement := range machine.placements {
		if !placement.job.AllowSpot {
			firm = firm.Add(resource.OfJob(placement.job.Job))
		}
	}
	summary.BookedOnDemand[machine.Record.MachineType] += machine.capacity.DominantShare(firm)
	if len(machine.placements) > 0 {
		summary.BookedMachines[machine.Record.MachineType] += machine.capacity.DominantShare(machine.allocated)
	}
	if note := p.digest(machine, now); note != 0 {
		summary.MachineDigests[machine.ID] = note
	}
}

// digest is what there is to tell of a machine.
func (p *Partition) digest(machine *Machine, now time.Time) records.MachineDigest {
	var note records.MachineDigest
	if machine.token.acknowledged {
		note |= records.DigestReporting
	}
	if len(machine.placements) == 0 && machine.usable() && !(machine.reservedFor != "" && now.Before(machine.reservedUntil)) {
		note |= records.DigestEmpty
	}
	// A silent machine may hang or be cut off, and be back with its images sooner than
	// another could boot in its place; if it is gone, the cloud's list tells.
	if machine.quarantined || (machine.lease.expired && now.Sub(machine.lease.expiredAt) > tuning.Seconds(machine.machineType.BootS)) {
		note |= records.DigestUnhealthy
	}
	w := p.settings.Cluster.Workers
	patience := tuning.Seconds(w.LeaseS + 3*w.ReportS)
	switch {
	case !machine.token.acknowledged && len(machine.placements) > 0 && now.Sub(machine.assignedAt) > patience:
		// Never heard since the takeover: only its return frees its tasks.
		note |= records.DigestUnhealthy
	case !machine.token.everAcknowledged && now.Sub(machine.assignedAt) > patience:
		// Booting still, or cut off: the cloud's list tells.
		note |= records.DigestNeverReported
	case !machine.token.unacknowledgedSince.IsZero() && now.Sub(machine.token.unacknowledgedSince) > patience:
		// It reports, but neither answers nor orders arrive there.
		note |= records.DigestUnhealthy
	}
	return note
}

// unplacedDemand lists the tasks that wait unplaced, the first in turn as far as they fit.
func (p *Partition) unplacedDemand(now time.Time) []records.Demand {
	var out []records.Demand
	left := maxWaitingBytes
	like := map[string]int{} // demands of arrays and services, by what they ask for
	for _, queue := range p.buildQueues(now) {
		for _, job := range queue.jobs {
			n := p.unplacedTasks(job, queue.team, now)
			if n == 0 {
				continue
			}
			demand := newDemand(job, n)
			key := demandKey(job, &demand)
			if i, ok := like[key]; ok && key != "" {
				out[i].Merge(&demand)
				continue
			}
			size := demand.SizeBound()
			if size > left {
				continue
			}
			left -= size
			like[key] = len(out)
			out = append(out, demand)
		}
	}
	return out
}

// unplacedTasks is how many of a job's waiting tasks are a demand for machines.
func (p *Partition) unplacedTasks(job *Job, team *quota.Team, now time.Time) int {
	if job.awaitingPreemption && now.Sub(job.lastPreemption).Seconds() < p.tuning.PreemptGapS {
		return 0 // room is being made for it
	}
	n := min(job.startableCount(now), team.RemainingTasks(resource.OfJob(job.Job)))
	if job.IsGang() && n < job.Tasks {
		return 0
	}
	return n
}

// demandKey tells alike demands: arrays that ask for the same are one, and so are services.
// "" is like no other.
func demandKey(job *Job, demand *records.Demand) string {
	if demand.Gang || demand.MaxPerZone != 0 || demand.SingleZone {
		return ""
	}
	return fmt.Sprint(job.IsService(), demand.MachineTypes, demand.Zone, demand.AllowSpot, demand.CPUs, demand.GPUs, demand.MemoryGB, demand.Priority)
}

// maxWaitingBytes bounds what a summary tells of waiting tasks, those first in turn: the
// leader has to read it every second.
const maxWaitingBytes = 12 << 10

func newDemand(job *Job, n int) records.Demand {
	demand := records.Demand{MachineTypes: job.MachineTypes, Zone: job.Zone, AllowSpot: job.AllowSpot, SingleZone: job.SingleZone, Gang: job.IsGang(),
		CPUs: job.CPUs, GPUs: job.GPUs, MemoryGB: job.MemoryGB, Tasks: n, EstimatedRunS: runSeconds(job.Job), Priority: job.Priority.Value()}
	if job.SpreadZones {
		demand.MaxPerZone = (job.Tasks + 1) / 2
	}
	if job.SingleZone {
		// Where its other tasks are, the rest has to go.
		for z := range zoneCount(job) {
			demand.Zone = z
		}
	}
	return demand
}
