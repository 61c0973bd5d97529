package scheduler

import (
	"slices"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/resource"
	"ambersill/internal/wire"
)

// Machine is a machine of the partition, together with the last reported state of its worker.
type Machine struct {
	ID          string
	Record      records.MachineRecord
	revision    uint64 // revision of the machine's record
	machineType wire.MachineType
	capacity    resource.Vector
	allocated   resource.Vector
	assignedAt  time.Time // when this node, as the owner, first read the machine's record

	newestMessage messageOrder
	token         tokenState
	lease         leaseState
	command       commandState

	terminationNotice bool // the cloud has announced that it will terminate the machine
	// quarantined is set if SickErrors different jobs have failed on the machine since the last
	// success.
	quarantined bool

	placements     map[taskAttempt]*Placement
	pendingForgets map[taskAttempt]pendingForget
	taskListCount  uint64 // number of task lists of the worker reconciled so far
	// cachedImages contains the images assumed to be in the worker's cache, with the time of their
	// last use.
	cachedImages map[string]time.Time
	// failedJobs contains the IDs of the jobs that have failed on the machine since the last
	// success.
	failedJobs map[string]bool

	// reservedFor is the ID of the job that the machine is reserved for, reservedForDrain, or
	// empty.
	reservedFor   string
	reservedUntil time.Time
}

func newMachine(id string, now time.Time) *Machine {
	return &Machine{
		ID:             id,
		assignedAt:     now,
		placements:     map[taskAttempt]*Placement{},
		pendingForgets: map[taskAttempt]pendingForget{},
		cachedImages:   map[string]time.Time{},
		failedJobs:     map[string]bool{},
	}
}

// freeCapacity returns the capacity that is not allocated to placements.
func (m *Machine) freeCapacity() resource.Vector { return m.capacity.Sub(m.allocated) }

// usable reports whether tasks may be placed on the machine.
func (m *Machine) usable() bool {
	if !m.acceptsStarts() || m.command.unconfirmed || m.lease.expired || m.quarantined {
		return false
	}
	return m.Record.Desired == records.DesiredInService && !m.Record.Released
}

// selectPlacements returns the keys of the matching placements in order. It sorts the keys only
// if a placement matches, since most calls find none.
func (m *Machine) selectPlacements(match func(*Placement) bool) []taskAttempt {
	matching := false
	for _, placement := range m.placements {
		if match(placement) {
			matching = true
			break
		}
	}
	if !matching {
		return nil
	}
	return slices.DeleteFunc(sortedTaskAttempts(m.placements), func(key taskAttempt) bool {
		return !match(m.placements[key])
	})
}

// needsImage reports whether a task placed on the machine uses the image.
func (m *Machine) needsImage(image string) bool {
	for _, placement := range m.placements {
		if placement.job.Image == image {
			return true
		}
	}
	return false
}

// SetMachine applies a new or changed machine record. It removes the machine if the record
// assigns it to another partition.
func (p *Partition) SetMachine(id string, record records.MachineRecord, revision uint64, now time.Time) {
	if record.Partition != p.Index {
		p.RemoveMachine(id, now)
		return
	}
	machine := p.machines.get(id)
	if machine == nil {
		machine = newMachine(id, now)
		p.machines.add(machine)
	} else if revision < machine.revision {
		return // listings and watch events may overlap, so an older record can arrive late
	}
	machine.Record = record
	machine.revision = revision
	machine.machineType = p.machineTypes[record.MachineType]
	machine.capacity = resource.MachineCapacity(machine.machineType)
	// Each owner has a higher revision than its predecessors, so workers that know this
	// token reject commands of earlier owners.
	machine.token.raise(max(p.Revision, record.FencingToken))
	p.capacityVersion++
}

// RemoveMachine removes a machine that was moved to another partition or whose record was
// deleted, and requeues its tasks. A record is deleted only after the cloud has confirmed that
// the machine is gone, so its tasks no longer run.
func (p *Partition) RemoveMachine(id string, now time.Time) {
	machine := p.machines.get(id)
	if machine == nil {
		return
	}
	p.requeueMachine(machine, now)
	for _, job := range p.jobs {
		job.failures.forgetMachine(id)
	}
	p.machines.remove(id)
	p.capacityVersion++
}

// ReleasableMachines returns the records to write, by machine ID, for the machines that the
// leader wants moved or returned and on which no task of this partition can be running.
func (p *Partition) ReleasableMachines() map[string]records.MachineRecord {
	releasable := map[string]records.MachineRecord{}
	for _, machine := range p.machines.all() {
		if machine.canBeReleased() {
			releasable[machine.ID] = releasedRecord(machine.Record)
		}
	}
	return releasable
}

// canBeReleased reports whether the leader wants the machine released and no task remains on it.
func (m *Machine) canBeReleased() bool {
	if m.Record.Desired == records.DesiredInService || m.Record.Released {
		return false
	}
	return len(m.placements) == 0 && len(m.pendingForgets) == 0
}

// releasedRecord returns the record that moves a machine to its new partition, or that allows
// the leader to return the machine to the cloud.
func releasedRecord(record records.MachineRecord) records.MachineRecord {
	if record.Desired == records.DesiredMoved {
		record.Partition = record.MoveTo
		record.Desired = records.DesiredInService
		record.MoveTo = 0
	} else {
		record.Released = true
	}
	return record
}
