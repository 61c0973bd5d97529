package records

import (
	"fmt"
	"maps"
	"slices"

	"ambersill/internal/wire"
)

// MachineRecord assigns a machine to a partition.
type MachineRecord struct {
	MachineType string `cbor:"type"`
	Zone        string `cbor:"zone"`
	Spot        bool   `cbor:"spot"`
	Partition   int    `cbor:"part"`
	// Desired is the state that the leader wants the machine to reach.
	Desired DesiredState `cbor:"wish,omitempty"`
	// MoveTo is the partition that the machine moves to, for DesiredMoved.
	MoveTo int `cbor:"to,omitempty"`
	// Released is set by the owner of the partition once nothing that it placed on the
	// machine can be in effect any more; the leader may then return or move the machine.
	Released    bool  `cbor:"free,omitempty"`
	CreatedAtMS int64 `cbor:"born"` // Unix time in milliseconds
	// FencingToken is the lowest that commands to the machine carry. It is raised above all
	// earlier ones when the machine moves, or when the outcome of a command is unknown.
	FencingToken uint64 `cbor:"tok,omitempty"`
}

// DesiredState is the state that the leader wants a machine to reach.
type DesiredState string

// The states that the leader writes.
const (
	// DesiredInService leaves the machine in its partition.
	DesiredInService DesiredState = ""
	// DesiredReturned asks the owner to release the machine for its return to the cloud.
	DesiredReturned DesiredState = "return"
	// DesiredMoved asks the owner to release the machine for another partition.
	DesiredMoved DesiredState = "move"
)

// MachineGroupRecord contains machines that were rented or adopted together, so that a fleet
// that starts or ends at once costs one put for dozens of them, not one for each.
type MachineGroupRecord struct {
	Machines map[string]MachineRecord `cbor:"ms"`
}

// DecodeMachineGroup decodes the record of a group. Versions before groups kept a record for
// each machine, whose revision was its fencing token; it is read as a group of one.
func DecodeMachineGroup(id string, value wire.Raw, revision uint64) (MachineGroupRecord, error) {
	var group MachineGroupRecord
	if err := wire.Unmarshal(value, &group); err != nil {
		return group, fmt.Errorf("decode machine group %s: %w", id, err)
	}
	if group.Machines != nil {
		return group, nil
	}
	var machine MachineRecord
	if err := wire.Unmarshal(value, &machine); err != nil {
		return group, fmt.Errorf("decode machine %s: %w", id, err)
	}
	machine.FencingToken = revision
	group.Machines = map[string]MachineRecord{id: machine}
	return group, nil
}

// machineOverheadBytes bounds a machine's size in its group without its names, with all fields
// that may be written later.
const machineOverheadBytes = 150

// MachinesPerGroup returns how many machines of a type and zone a record of the given size in
// KiB can contain, one at least.
func MachinesPerGroup(valueKB float64, machineType, zone string) int {
	record := MachineRecord{MachineType: machineType, Zone: zone}
	return max(1, int(valueKB*bytesPerKiB-collectionOverheadBytes)/record.SizeBound())
}

// SizeBound returns an upper bound of the machine's size in its group, in bytes.
func (r *MachineRecord) SizeBound() int {
	return machineOverheadBytes + len(r.MachineType) + len(r.Zone)
}

// SizeBound returns an upper bound of the record's size in bytes.
func (g *MachineGroupRecord) SizeBound() int {
	size := collectionOverheadBytes
	for _, machine := range g.Machines {
		size += machine.SizeBound()
	}
	return size
}

// SplitBySize divides a group into pieces whose sizes are within a limit in bytes, in the order of
// the machines' names. A piece contains one machine at least.
func (g *MachineGroupRecord) SplitBySize(limit int) []MachineGroupRecord {
	var pieces []MachineGroupRecord
	size := limit // so that the first machine begins a piece
	for _, id := range slices.Sorted(maps.Keys(g.Machines)) {
		machine := g.Machines[id]
		if size+machine.SizeBound() > limit {
			pieces = append(pieces, MachineGroupRecord{Machines: map[string]MachineRecord{}})
			size = collectionOverheadBytes
		}
		pieces[len(pieces)-1].Machines[id] = machine
		size += machine.SizeBound()
	}
	return pieces
}

// RentalRecord is written before the cloud is called, so that a rental whose answer is lost can
// be repeated by any leader as an idempotent request, under the name in the record's key.
type RentalRecord struct {
	MachineType  string `cbor:"type"`
	Zone         string `cbor:"zone"`
	Spot         bool   `cbor:"spot"`
	Count        int    `cbor:"n"`
	Partition    int    `cbor:"part"`
	RecordedAtMS int64  `cbor:"at"` // Unix time in milliseconds
}
