package core

import (
	"fmt"
	"math"
	"slices"
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// demandBytes is what a demand takes of a summary's record, names apart, in the
// protocol's measure.
const demandBytes = 130

// Summary sums up the part for the leader.
func (p *Partition) Summary(now time.Time) PartitionSummary {
	summary := PartitionSummary{BookedMachines: map[string]float64{}, BookedOnDemand: map[string]float64{}, MachineDigests: map[string]MachineDigest{}}
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
func (p *Partition) addToSummary(summary *PartitionSummary, machine *Machine, now time.Time) {
	var firm Vector
	for _, placement := range machine.placements {
		if !placement.job.AllowSpot {
			firm = firm.Add(OfJob(placement.job.Job))
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
func (p *Partition) digest(machine *Machine, now time.Time) MachineDigest {
	var note MachineDigest
	if machine.tokenAcknowledged {
		note |= DigestReporting
	}
	if len(machine.placements) == 0 && machine.usable() && !(machine.reservedFor != "" && now.Before(machine.reservedUntil)) {
		note |= DigestEmpty
	}
	// A silent machine may hang or be cut off, and be back with its images sooner than
	// another could boot in its place; if it is gone, the cloud's list tells.
	if machine.quarantined || (machine.leaseExpired && now.Sub(machine.leaseExpiredAt) > tuning.Seconds(machine.machineType.BootS)) {
		note |= DigestUnhealthy
	}
	w := p.settings.Cluster.Workers
	patience := tuning.Seconds(w.LeaseS + 3*w.ReportS)
	switch {
	case !machine.tokenAcknowledged && len(machine.placements) > 0 && now.Sub(machine.assignedAt) > patience:
		// Never heard since the takeover: only its return frees its tasks.
		note |= DigestUnhealthy
	case !machine.everAcknowledged && now.Sub(machine.assignedAt) > patience:
		// Booting still, or cut off: the cloud's list tells.
		note |= DigestNeverHeard
	case !machine.unresponsiveSince.IsZero() && now.Sub(machine.unresponsiveSince) > patience:
		// It reports, but neither answers nor orders arrive there.
		note |= DigestUnhealthy
	}
	return note
}

// unplacedDemand lists the tasks that wait unplaced, the first in turn as far as they fit.
func (p *Partition) unplacedDemand(now time.Time) []Demand {
	var out []Demand
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
func (p *Partition) unplacedTasks(job *Job, team *Team, now time.Time) int {
	if job.awaitingPreemption && now.Sub(job.lastPreemption).Seconds() < p.tuning.PreemptGapS {
		return 0 // room is being made for it
	}
	n := min(job.startableCount(now), team.RemainingTasks(OfJob(job.Job)))
	if job.Shape == wire.GangJob && n < job.Tasks {
		return 0
	}
	return n
}

// demandKey tells alike demands: arrays that ask for the same are one, and so are services.
// "" is like no other.
func demandKey(job *Job, demand *Demand) string {
	if demand.Gang || demand.MaxPerZone != 0 || demand.SingleZone {
		return ""
	}
	return fmt.Sprint(isService(job.Job), demand.MachineTypes, demand.Zone, demand.AllowSpot, demand.CPUs, demand.GPUs, demand.MemoryGB, demand.Priority)
}

// Merge adds the tasks of a demand that is alike.
func (d *Demand) Merge(other *Demand) {
	tasks, more := float64(d.Tasks), float64(other.Tasks)
	d.EstimatedRunS = math.Round((d.EstimatedRunS*tasks+other.EstimatedRunS*more)/(tasks+more)*10) / 10
	d.Tasks += other.Tasks
}

// summaryOverheadBytes is set aside for what a summary's record holds beside the waiting tasks.
const summaryOverheadBytes = 1024

// maxWaitingBytes bounds what a summary tells of waiting tasks, those first in turn: the
// leader has to read it every second.
const maxWaitingBytes = 12 << 10

// SizeBound bounds a demand's size in the protocol's measure from above.
func (d *Demand) SizeBound() int {
	size := demandBytes + len(d.Zone)
	for _, t := range d.MachineTypes {
		size += len(t) + 3
	}
	return size
}

// SplitWaiting leaves those demands in the summary that fit its record, and returns the
// rest, split into records.
func (s *PartitionSummary) SplitWaiting(valueKB float64) [][]Demand {
	limit := int(valueKB * 1024)
	all := s.Waiting
	s.Waiting = nil
	var more [][]Demand
	left := limit - summaryOverheadBytes
	for _, demand := range all {
		size := demand.SizeBound()
		if size > left {
			more = append(more, nil)
			left = limit - groupOverheadBytes
		}
		left -= size
		if len(more) == 0 {
			s.Waiting = append(s.Waiting, demand)
		} else {
			more[len(more)-1] = append(more[len(more)-1], demand)
		}
	}
	return more
}

// SplitMachineDigests splits the notes into records that fit a value, in the order of names.
func (s *PartitionSummary) SplitMachineDigests(valueKB float64) []map[string]MachineDigest {
	ids := sortedKeys(s.MachineDigests)
	longest := 0
	for _, id := range ids {
		longest = max(longest, len(id))
	}
	var out []map[string]MachineDigest
	for part := range slices.Chunk(ids, max(1, int(valueKB*1024-64)/(longest+6))) {
		m := make(map[string]MachineDigest, len(part))
		for _, id := range part {
			m[id] = s.MachineDigests[id]
		}
		out = append(out, m)
	}
	return out
}

func newDemand(job *Job, n int) Demand {
	demand := Demand{MachineTypes: job.MachineTypes, Zone: job.Zone, AllowSpot: job.AllowSpot, SingleZone: job.SingleZone, Gang: job.Shape == wire.GangJob,
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
