package records

import (
	"ambersill/internal/wire"
	"maps"
	"slices"
)

// MachineRecord assigns a machine to a part.
type MachineRecord struct {
	MachineType string `cbor:"type"`
	Zone        string `cbor:"zone"`
	Spot        bool   `cbor:"spot"`
	Partition   int    `cbor:"part"`
	Desired     string `cbor:"wish,omitempty"`
	MoveTo      int    `cbor:"to,omitempty"`
	// Released: the owner has let go; nothing that its part placed can be live.
	Released    bool  `cbor:"free,omitempty"`
	CreatedAtMS int64 `cbor:"born"` // milliseconds of the time of day
	// FencingToken that the machine's commands carry at least; raised above all that came
	// before when the machine moves, or when an order's outcome is not known.
	FencingToken uint64 `cbor:"tok,omitempty"`
}

// MachineGroupRecord holds machines that were rented or taken in together: a fleet that
// starts or ends at once costs a change of the state service for dozens of them,
// not for each.
type MachineGroupRecord struct {
	Machines map[string]MachineRecord `cbor:"ms"`
}

// DecodeMachineGroup decodes a group. Versions before groups kept a record for each machine,
// whose stamp was its token; such a record is read as a group of one.
func DecodeMachineGroup(id string, value wire.Raw, revision uint64) (MachineGroupRecord, error) {
	var group MachineGroupRecord
	if err := wire.Unmarshal(value, &group); err != nil || group.Machines != nil {
		return group, err
	}
	var m MachineRecord
	if err := wire.Unmarshal(value, &m); err != nil {
		return group, err
	}
	m.FencingToken = revision
	group.Machines = map[string]MachineRecord{id: m}
	return group, nil
}

// Sizes of a group's record in the protocol's measure, in bytes.
const (
	groupOverheadBytes = 64  // without its machines
	machineRecordBytes = 150 // of a machine without its names, whatever is written of it later
)

// MachinesPerGroup is how many machines of a type and zone a record of the given size holds.
func MachinesPerGroup(valueKB float64, typ, zone string) int {
	return max(1, int(valueKB*1024-groupOverheadBytes)/(machineRecordBytes+len(typ)+len(zone)))
}

// SizeBound bounds a machine's size in a group from above.
func (r *MachineRecord) SizeBound() int { return machineRecordBytes + len(r.MachineType) + len(r.Zone) }

// SizeBound bounds the size of a group's record from above.
func (g *MachineGroupRecord) SizeBound() int {
	n := groupOverheadBytes
	for _, record := range g.Machines {
		n += record.SizeBound()
	}
	return n
}

// Split divides a group into pieces that are no larger than the limit, in the order of
// the machines' names.
func (g *MachineGroupRecord) Split(limit int) []MachineGroupRecord {
	var out []MachineGroupRecord
	size := limit
	for _, id := range slices.Sorted(maps.Keys(g.Machines)) {
		record := g.Machines[id]
		if size+record.SizeBound() > limit {
			out = append(out, MachineGroupRecord{Machines: map[string]MachineRecord{}})
			size = groupOverheadBytes
		}
		out[len(out)-1].Machines[id] = record
		size += record.SizeBound()
	}
	return out
}

// RentalRecord is written before the cloud is called, so that a rental whose
// answer is lost can be repeated under the same name by any leader.
type RentalRecord struct {
	MachineType  string `cbor:"type"`
	Zone         string `cbor:"zone"`
	Spot         bool   `cbor:"spot"`
	Count        int    `cbor:"n"`
	Partition    int    `cbor:"part"`
	RecordedAtMS int64  `cbor:"at"`
}
