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

// selectPlacements returns the placements that match, in order. It sorts only if there are
// any.
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

// selectMachines returns the IDs of the machines that match, in order.
func (p *Partition) selectMachines(match func(*Machine) bool) []string {
	var ids []string
	for _, id := range p.machineIDs {
		if match(p.machines[id]) {
			ids = append(ids, id)
		}
	}
	return ids
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
		machine = newMachine(id, now)
		p.machines[id] = machine
		p.machineIDs = slices.Sorted(maps.Keys(p.machines))
	} else if revision < machine.revision {
		return
	}
	machine.Record, machine.revision = record, revision
	machine.machineType = p.machineTypes[record.MachineType]
	machine.capacity = resource.OfMachineType(machine.machineType)
	// An ownership has a higher revision than the ones before, so its token is higher too.
	machine.token.raise(max(p.Revision, record.FencingToken))
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
