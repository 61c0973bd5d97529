package scheduler

import (
	"slices"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/resource"
	"ambersill/internal/wire"
)

// Machine is a machine of this partition, with what its worker last reported.
type Machine struct {
	ID          string
	Record      records.MachineRecord
	revision    uint64 // of its record
	machineType wire.MachineType
	capacity    resource.Vector
	allocated   resource.Vector
	assignedAt  time.Time // when this owner first read its record

	latest  messageOrder
	token   tokenState
	lease   leaseState
	command commandState

	terminationNotice bool // the cloud has announced that it will reclaim the machine
	quarantined       bool // too many jobs failed here in a row

	placements     map[taskAttempt]*Placement
	pendingForgets map[taskAttempt]pendingForget
	statusLists    uint64               // counts the task lists that were reconciled
	cachedImages   map[string]time.Time // presumed contents of the worker's cache, with the last use
	failedJobs     map[string]bool      // jobs that failed here since the last success

	reservedFor   string // ID of the job that capacity is reserved for, or reservedForDrain
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

// free returns the capacity that no placement uses.
func (m *Machine) free() resource.Vector { return m.capacity.Sub(m.allocated) }

// usable reports whether tasks may be placed on the machine.
func (m *Machine) usable() bool {
	if !m.acceptsStarts() || m.command.unconfirmed || m.lease.expired || m.quarantined {
		return false
	}
	return m.Record.Desired == records.DesiredInService && !m.Record.Released
}

// selectPlacements returns the placements that match, sorted. It sorts only if there are any:
// the most frequent calls find none.
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

// wantsImage reports whether a task placed on the machine needs the image.
func (m *Machine) wantsImage(image string) bool {
	for _, placement := range m.placements {
		if placement.job.Image == image {
			return true
		}
	}
	return false
}

// SetMachine applies a machine's record, new or changed.
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
		return // a watch and a listing may overlap, so an older record may arrive later
	}
	machine.Record = record
	machine.revision = revision
	machine.machineType = p.machineTypes[record.MachineType]
	machine.capacity = resource.MachineCapacity(machine.machineType)
	// Each ownership has a higher revision than the ones before, so it fences them.
	machine.token.raise(max(p.Revision, record.FencingToken))
	p.capacityVersion++
}

// RemoveMachine drops a machine that was moved to another partition, or whose record was
// deleted. That happens only after the cloud has confirmed that the machine is gone, so all
// its tasks are gone too.
func (p *Partition) RemoveMachine(id string, now time.Time) {
	machine := p.machines.get(id)
	if machine == nil {
		return
	}
	p.requeueAll(machine, now)
	for _, job := range p.jobs {
		job.failures.forgetMachine(id)
	}
	p.machines.remove(id)
	p.capacityVersion++
}

// ReleasableMachines returns the machines that the leader wants moved or returned and on
// which no task of this partition can be in effect, with the records to write for them.
func (p *Partition) ReleasableMachines() map[string]records.MachineRecord {
	releasable := map[string]records.MachineRecord{}
	for _, machine := range p.machines.all() {
		if machine.mayBeReleased() {
			releasable[machine.ID] = releasedRecord(machine.Record)
		}
	}
	return releasable
}

// mayBeReleased reports whether the machine is to be released and is drained.
func (m *Machine) mayBeReleased() bool {
	if m.Record.Desired == records.DesiredInService || m.Record.Released {
		return false
	}
	return len(m.placements) == 0 && len(m.pendingForgets) == 0
}

// releasedRecord returns the record that moves a machine to its new partition, or that permits
// the leader to return it to the cloud.
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
