package scheduler

import (
	"math"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/resource"
	"ambersill/internal/tuning"
)

// allocatedStepsPerMachine is the number of steps per machine to which a summary rounds
// allocated capacity. Rounding keeps the record small and makes sums that differ only by
// rounding errors equal.
const allocatedStepsPerMachine = 1000

// Summary returns the partition's state from which the leader computes the fleet size.
func (p *Partition) Summary(now time.Time) records.PartitionSummary {
	summary := records.PartitionSummary{
		AllocatedMachines: map[string]float64{},
		AllocatedOnDemand: map[string]float64{},
		MachineDigests:    map[string]records.MachineDigest{},
	}
	for _, machine := range p.machines.all() {
		p.addMachineToSummary(&summary, machine, now)
	}
	roundAllocated(summary.AllocatedMachines)
	roundAllocated(summary.AllocatedOnDemand)
	waiting := p.unplacedDemand(now)
	summary.Waiting, summary.OmittedTasks = waiting.demands, waiting.omittedTasks
	return summary
}

// roundAllocated rounds amounts of allocated capacity, in machines, to a multiple of
// 1/allocatedStepsPerMachine.
func roundAllocated(allocated map[string]float64) {
	for name, machines := range allocated {
		allocated[name] = math.Round(machines*allocatedStepsPerMachine) / allocatedStepsPerMachine
	}
}

// addMachineToSummary adds a machine's allocated capacity and its digest to the summary.
func (p *Partition) addMachineToSummary(summary *records.PartitionSummary, machine *Machine, now time.Time) {
	machineType := machine.Record.MachineType
	summary.AllocatedOnDemand[machineType] += machine.capacity.DominantShare(machine.allocatedOnDemand())
	if len(machine.placements) > 0 {
		summary.AllocatedMachines[machineType] += machine.allocatedShare()
	}
	if digest := p.digest(machine, now); digest != 0 {
		summary.MachineDigests[machine.ID] = digest
	}
}

// allocatedOnDemand returns the capacity allocated to jobs that may not use spot instances.
func (m *Machine) allocatedOnDemand() resource.Vector {
	var allocated resource.Vector
	for _, placement := range m.placements {
		if !placement.job.AllowSpot {
			allocated = allocated.Add(resource.TaskRequest(placement.job.Job))
		}
	}
	return allocated
}

// digest returns the flags of a machine that the leader needs to compute the fleet size.
func (p *Partition) digest(machine *Machine, now time.Time) records.MachineDigest {
	digest := p.contactFaultDigest(machine, now)
	if machine.token.acknowledged {
		digest |= records.DigestReporting
	}
	if len(machine.placements) == 0 && machine.usable() && !machine.isReserved(now) {
		digest |= records.DigestEmpty
	}
	if machine.quarantined || machine.expiredLongerThanBoot(now) {
		digest |= records.DigestUnhealthy
	}
	return digest
}

// expiredLongerThanBoot reports whether the machine's lease expired longer ago than another machine
// takes to boot. Until then the machine may merely hang or be cut off by a network partition, and
// can recover sooner than a replacement boots, with its images cached. If it is gone, the cloud's
// listing shows it.
func (m *Machine) expiredLongerThanBoot(now time.Time) bool {
	return m.lease.expired && now.Sub(m.lease.expiredAt) > tuning.Seconds(m.machineType.BootS)
}

// contactFaultDigest returns the flag that describes a fault in the communication with a machine,
// or 0 if there is none.
func (p *Partition) contactFaultDigest(machine *Machine, now time.Time) records.MachineDigest {
	contactTimeout := tuning.Seconds(p.settings.Cluster.WorkerTiming.LeaseDurationS + p.heartbeatToleranceSeconds())
	assignedBeforeTimeout := now.Sub(machine.assignedAt) > contactTimeout
	token := &machine.token
	switch {
	case !token.acknowledged && len(machine.placements) > 0 && assignedBeforeTimeout:
		// No heartbeat has arrived since the takeover, so the machine's tasks are freed only
		// when it is returned to the cloud.
		return records.DigestUnhealthy
	case !token.everAcknowledged && assignedBeforeTimeout:
		// The machine is booting or cut off. The cloud's listing shows which.
		return records.DigestNeverReported
	case !token.unacknowledgedSince.IsZero() && now.Sub(token.unacknowledgedSince) > contactTimeout:
		// The worker sends heartbeats, but receives neither responses nor commands.
		return records.DigestUnhealthy
	}
	return 0
}
