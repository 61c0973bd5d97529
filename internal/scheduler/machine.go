package scheduler

import (
	"maps"
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

	terminationNotice bool // the cloud has announced that it takes the machine away
	quarantined       bool // too many jobs failed here in a row

	placements     map[taskAttempt]*Placement
	pendingForgets map[taskAttempt]pendingForget
	statusLists    uint64 // counts the task lists that were reconciled
	cachedImages   map[string]time.Time
	failedJobs     map[string]bool // jobs that failed here since the last success

	reservedFor   string // job that capacity is reserved for
	reservedUntil time.Time
}

func (m *Machine) free() resource.Vector { return m.capacity.Sub(m.allocated) }

// usable tells whether tasks may be placed here.
func (m *Machine) usable() bool {
	return m.token.acknowledged && !m.command.unconfirmed && !m.terminationNotice && !m.lease.expired && !m.quarantined && m.Record.Desired == records.DesiredInService && !m.Record.Released
}

// wantsImage tells whether some task placed here wants the image.
func (m *Machine) wantsImage(image string) bool {
	for _, placement := range m.placements {
		if placement.job.Image == image {
			return true
		}
	}
	return false
}

// SetMachine takes in a machine's record, new or changed.
func (p *Partition) SetMachine(id string, record records.MachineRecord, revision uint64, now time.Time) {
	if record.Partition != p.Index {
		if p.machines[id] != nil {
			p.dropMachine(id, now)
		}
		return
	}
	machine := p.machines[id]
	if machine == nil {
		machine = &Machine{ID: id, placements: map[taskAttempt]*Placement{}, pendingForgets: map[taskAttempt]pendingForget{},
			cachedImages: map[string]time.Time{}, failedJobs: map[string]bool{}, assignedAt: now}
		p.machines[id] = machine
		p.machineIDs = slices.Sorted(maps.Keys(p.machines))
	} else if revision < machine.revision {
		return
	}
	machine.Record, machine.revision = record, revision
	machine.machineType = p.machineTypes[record.MachineType]
	machine.capacity = resource.OfMachineType(machine.machineType)
	if tok := max(p.Revision, record.FencingToken); tok > machine.token.current {
		machine.token.current = tok
		machine.token.acknowledged = false
	}
	p.capacityVersion++
}

// RemoveMachine is told when a machine's record is gone, which it is only after
// the cloud has confirmed that the machine is: all on it is gone too.
func (p *Partition) RemoveMachine(id string, now time.Time) {
	if p.machines[id] != nil {
		p.dropMachine(id, now)
	}
}

func (p *Partition) dropMachine(id string, now time.Time) {
	machine := p.machines[id]
	for _, key := range sortedTaskAttempts(machine.placements) {
		if placement := machine.placements[key]; placement != nil {
			p.requeue(placement, now)
		}
	}
	for _, job := range p.jobs {
		delete(job.failedMachines, id)
	}
	delete(p.machines, id)
	p.machineIDs = slices.Sorted(maps.Keys(p.machines))
	p.capacityVersion++
}

// ReleasableMachines lists the machines on which nothing of this part can be live, so
// that they may be let go as the leader wishes, with the records to write.
func (p *Partition) ReleasableMachines() map[string]records.MachineRecord {
	out := map[string]records.MachineRecord{}
	for id, machine := range p.machines {
		if machine.Record.Desired == records.DesiredInService || machine.Record.Released || len(machine.placements) > 0 || len(machine.pendingForgets) > 0 {
			continue
		}
		record := machine.Record
		if record.Desired == records.DesiredMoved {
			record.Partition, record.Desired, record.MoveTo = record.MoveTo, records.DesiredInService, 0
		} else {
			record.Released = true
		}
		out[id] = record
	}
	return out
}
