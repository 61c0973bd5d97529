package records

import (
	"fmt"
	"maps"
	"slices"

	"ambersill/internal/wire"
)

// MachineRecord is the state of a rented machine, including the partition that it is assigned to.
type MachineRecord struct {
	MachineType string `cbor:"type"`
	Zone        string `cbor:"zone"`
	Spot        bool   `cbor:"spot"`
	Partition   int    `cbor:"part"`
	// Desired is the state that the leader wants the machine to reach.
	Desired DesiredState `cbor:"wish,omitempty"`
	// MoveTo is the partition to which the machine is to move if Desired is DesiredMoved.
	MoveTo int `cbor:"to,omitempty"`
	// Released is set by the partition's owner once none of its placements on the machine
	// can still be in effect. The leader may then return or move the machine.
	Released    bool  `cbor:"free,omitempty"`
	CreatedAtMS int64 `cbor:"born"` // Unix time in milliseconds
	// FencingToken is the lowest fencing token of commands to the machine. It is raised above
	// all earlier tokens when the machine moves or the outcome of a command is unknown.
	FencingToken uint64 `cbor:"tok,omitempty"`
}

// DesiredState is the state that the leader wants a machine to reach.
type DesiredState string

// The states that the leader writes.
const (
	// DesiredInService keeps the machine in its partition.
	DesiredInService DesiredState = ""
	// DesiredReturned asks the partition's owner to release the machine so that it can be
	// returned to the cloud.
	DesiredReturned DesiredState = "return"
	// DesiredMoved asks the partition's owner to release the machine so that it can be moved
	// to the partition MoveTo.
	DesiredMoved DesiredState = "move"
)

// MachineGroupRecord contains the machines that were rented or adopted together, by machine ID.
// Grouping reduces the number of writes when many machines start or end at the same time: one put
// covers dozens of machines.
type MachineGroupRecord struct {
	Machines map[string]MachineRecord `cbor:"ms"`
}

// DecodeMachineGroup decodes a MachineGroupRecord. Versions of the program without groups stored
// one MachineRecord per machine and used its revision as the fencing token; such a record is
// decoded as a group of one machine. id is the last component of the key, which is the machine's
// ID in that case.
func DecodeMachineGroup(id string, value wire.Raw, revision uint64) (MachineGroupRecord, error) {
	var group MachineGroupRecord
	if err := wire.Unmarshal(value, &group); err != nil {
		return group, fmt.Errorf("decoding machine group %s: %w", id, err)
	}
	if group.Machines != nil {
		return group, nil
	}
	var machine MachineRecord
	if err := wire.Unmarshal(value, &machine); err != nil {
		return group, fmt.Errorf("decoding machine %s: %w", id, err)
	}
	machine.FencingToken = revision
	group.Machines = map[string]MachineRecord{id: machine}
	return group, nil
}

// machineOverheadBytes is an upper bound of the size of a machine in its group, without the names
// of its type and zone. It includes all fields that are empty at first and may be set later.
const machineOverheadBytes = 150

// MachinesPerGroup returns how many machines of a type and zone fit into a group's record of at
// most maxValueKiB KiB. The result is at least 1.
func MachinesPerGroup(maxValueKiB float64, machineType, zone string) int {
	record := MachineRecord{MachineType: machineType, Zone: zone}
	return max(1, int(maxValueKiB*bytesPerKiB-collectionOverheadBytes)/record.SizeBound())
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

// SplitBySize divides a group into pieces of at most limit bytes each, in the order of the machine
// IDs. A piece contains at least one machine, even if that exceeds the limit.
func (g *MachineGroupRecord) SplitBySize(limit int) []MachineGroupRecord {
	var pieces []MachineGroupRecord
	size := limit // makes the first machine begin a piece
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

// RentalRecord describes a rental request. It is written before the request is sent to the cloud,
// so that any leader can repeat the request if the response is lost. The name in the record's key
// is the request ID, which makes the request idempotent.
type RentalRecord struct {
	MachineType  string `cbor:"type"`
	Zone         string `cbor:"zone"`
	Spot         bool   `cbor:"spot"`
	Count        int    `cbor:"n"`
	Partition    int    `cbor:"part"`
	RecordedAtMS int64  `cbor:"at"` // Unix time in milliseconds
}
