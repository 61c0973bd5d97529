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

const (
	// bookedStepsPerMachine is the number of steps in a booked machine to which a summary rounds,
	// which keeps the record small and equal sums equal.
	bookedStepsPerMachine = 1000
	// maxDemandBytes bounds the waiting tasks in a summary, since the leader reads it every
	// second. Those that are placed first are included.
	maxDemandBytes = 12 << 10
)

// Summary returns the state of the partition from which the leader sizes the fleet.
func (p *Partition) Summary(now time.Time) records.PartitionSummary {
	summary := records.PartitionSummary{
		BookedMachines: map[string]float64{},
		BookedOnDemand: map[string]float64{},
		MachineDigests: map[string]records.MachineDigest{},
	}
	for _, machine := range p.machines.all() {
		p.addMachineToSummary(&summary, machine, now)
	}
	roundBooked(summary.BookedMachines)
	roundBooked(summary.BookedOnDemand)
	summary.Waiting = p.unplacedDemand(now)
	return summary
}

// roundBooked rounds booked machines to the precision of summaries.
func roundBooked(booked map[string]float64) {
	for name, machines := range booked {
		booked[name] = math.Round(machines*bookedStepsPerMachine) / bookedStepsPerMachine
	}
}

// addMachineToSummary adds a machine's allocated capacity and its digest.
func (p *Partition) addMachineToSummary(summary *records.PartitionSummary, machine *Machine, now time.Time) {
	machineType := machine.Record.MachineType
	summary.BookedOnDemand[machineType] += machine.capacity.DominantShare(machine.allocatedOnDemand())
	if len(machine.placements) > 0 {
		summary.BookedMachines[machineType] += machine.allocatedShare()
	}
	if digest := p.digest(machine, now); digest != 0 {
		summary.MachineDigests[machine.ID] = digest
	}
}

// allocatedOnDemand returns what is allocated to jobs that may not use spot instances.
func (m *Machine) allocatedOnDemand() resource.Vector {
	var allocated resource.Vector
	for _, placement := range m.placements {
		if !placement.job.AllowSpot {
			allocated = allocated.Add(resource.TaskRequest(placement.job.Job))
		}
	}
	return allocated
}

// digest returns the state of a machine that the leader needs to size the fleet.
func (p *Partition) digest(machine *Machine, now time.Time) records.MachineDigest {
	digest := p.contactFaultDigest(machine, now)
	if machine.token.acknowledged {
		digest |= records.DigestReporting
	}
	if len(machine.placements) == 0 && machine.usable() && !machine.isReserved(now) {
		digest |= records.DigestEmpty
	}
	if machine.quarantined || machine.silentLongerThanBoot(now) {
		digest |= records.DigestUnhealthy
	}
	return digest
}

// silentLongerThanBoot reports whether the machine has been silent for so long that another could
// have booted in its place. Until then it may only hang or be partitioned, and recover sooner,
// with its images cached; if it is gone, the cloud's list shows it.
func (m *Machine) silentLongerThanBoot(now time.Time) bool {
	return m.lease.expired && now.Sub(m.lease.expiredAt) > tuning.Seconds(m.machineType.BootS)
}

// contactFaultDigest returns the flag for a fault in the contact to a machine, 0 if there is none.
func (p *Partition) contactFaultDigest(machine *Machine, now time.Time) records.MachineDigest {
	contactTimeout := tuning.Seconds(p.settings.Cluster.Workers.LeaseS + p.heartbeatToleranceS())
	assignedBeforeTimeout := now.Sub(machine.assignedAt) > contactTimeout
	token := &machine.token
	switch {
	case !token.acknowledged && len(machine.placements) > 0 && assignedBeforeTimeout:
		// No heartbeat since the takeover: only its return to the cloud frees its tasks.
		return records.DigestUnhealthy
	case !token.everAcknowledged && assignedBeforeTimeout:
		// Still booting, or partitioned: the cloud's list shows which.
		return records.DigestNeverReported
	case !token.unacknowledgedSince.IsZero() && now.Sub(token.unacknowledgedSince) > contactTimeout:
		// It sends heartbeats, but neither responses nor commands arrive there.
		return records.DigestUnhealthy
	}
	return 0
}

// demandKey identifies demands that are merged: arrays that request the same, and services.
type demandKey struct {
	service       bool
	machineTypes  string
	zone          string
	allowSpot     bool
	taskResources resource.Vector
	priority      int
}

// newDemandKey returns the key of a job's demand; false if it is never merged, since all its
// tasks have to be placed together.
func newDemandKey(job *Job, demand *records.Demand) (demandKey, bool) {
	if demand.Gang || demand.MaxPerZone != 0 || demand.SingleZone {
		return demandKey{}, false
	}
	key := demandKey{
		service:       job.IsService(),
		machineTypes:  fmt.Sprint(demand.MachineTypes),
		zone:          demand.Zone,
		allowSpot:     demand.AllowSpot,
		taskResources: resource.TaskRequest(job.Job),
		priority:      demand.Priority,
	}
	return key, true
}

// demandList collects demands up to maxWaitingBytes, and merges those with the same key.
type demandList struct {
	demands        []records.Demand
	remainingBytes int
	indexByKey     map[demandKey]int
}

// add merges a job's demand into an earlier one with the same key, or appends it if there
// is space left.
func (l *demandList) add(job *Job, demand records.Demand) {
	key, mergeable := newDemandKey(job, &demand)
	if i, found := l.indexByKey[key]; mergeable && found {
		l.demands[i].Merge(&demand)
		return
	}
	size := demand.SizeBound()
	if size > l.remainingBytes {
		return
	}
	l.remainingBytes -= size
	if mergeable {
		l.indexByKey[key] = len(l.demands)
	}
	l.demands = append(l.demands, demand)
}

// unplacedDemand returns the demand of the tasks that are not placed, by precedence, as far as it
// fits a summary.
func (p *Partition) unplacedDemand(now time.Time) []records.Demand {
	list := demandList{remainingBytes: maxDemandBytes, indexByKey: map[demandKey]int{}}
	for _, queue := range p.buildQueues(now) {
		for _, job := range queue.jobs {
			if count := p.unplacedTaskCount(job, queue.team, now); count > 0 {
				list.add(job, newDemand(job, count))
			}
		}
	}
	return list.demands
}

// unplacedTaskCount returns how many of a job's waiting tasks are a demand for machines.
func (p *Partition) unplacedTaskCount(job *Job, team *quota.Team, now time.Time) int {
	if job.preemption.awaiting && now.Sub(job.preemption.lastPreempted).Seconds() < p.tuning.PreemptGapS {
		return 0 // the preempted work is about to free the capacity
	}
	count := min(job.startableCount(now), team.RemainingTasks(resource.TaskRequest(job.Job)))
	if job.IsGang() && count < job.Tasks {
		return 0
	}
	return count
}

// newDemand returns the demand of count tasks of a job.
func newDemand(job *Job, count int) records.Demand {
	demand := records.Demand{
		MachineTypes:  job.MachineTypes,
		Zone:          job.Zone,
		AllowSpot:     job.AllowSpot,
		SingleZone:    job.SingleZone,
		Gang:          job.IsGang(),
		CPUs:          job.CPUs,
		GPUs:          job.GPUs,
		MemoryGB:      job.MemoryGB,
		Tasks:         count,
		EstimatedRunS: runSeconds(job.Job),
		Priority:      job.Priority.Value(),
	}
	if job.SpreadZones {
		demand.MaxPerZone = job.maxTasksPerZone()
	}
	if job.SingleZone {
		// The remaining tasks have to run in the zone of the others.
		for zone := range job.tasksByZone() {
			demand.Zone = zone
		}
	}
	return demand
}
