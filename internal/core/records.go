// Package core decides: which task runs where, what a worker is told, how large
// the fleet should be. It does no input or output and reads no clock; time is
// passed in.
package core

import (
	"sort"

	"ambersill/internal/wire"
)

// JobRecord is a job as users see it, kept for ever.
type JobRecord struct {
	Job           *wire.Job     `cbor:"job"`
	Phase         wire.JobPhase `cbor:"ph"`
	Partition     int           `cbor:"p"`
	SubmittedAtMS int64         `cbor:"at"` // submission, milliseconds of the time of day
}

// ChunkRecord is the state of some of a job's tasks. The first chunk also holds
// the description, so that a new owner needs nothing else.
type ChunkRecord struct {
	Job           *wire.Job `cbor:"job,omitempty"`
	SubmittedAtMS int64     `cbor:"at,omitempty"`
	// JobRevision is the revision of the job's record; left out until the first
	// rewrite, for both are created at the same revision.
	JobRevision    uint64            `cbor:"js,omitempty"`
	HighestAttempt uint64            `cbor:"try"`            // highest attempt given out
	DoneRanges     []int             `cbor:"done,omitempty"` // ranges [from, to) of task numbers, flattened
	Placements     []PlacementRecord `cbor:"live,omitempty"`
	// JournalSequence is the newest journal record whose changes are all in here.
	JournalSequence uint64 `cbor:"q,omitempty"`
	// From and To are the tasks that the record holds, [From, To). Records of the first
	// format lack them: those hold ChunkTasks tasks each, in the order of their numbers.
	From int `cbor:"from,omitempty"`
	To   int `cbor:"to,omitempty"`
}

// PlacementRecord is a placement that may be in effect.
type PlacementRecord struct {
	_           struct{} `cbor:",toarray"`
	Task        int
	Attempt     uint64
	Machine     string
	Incarnation uint64
}

// Wishes that the leader writes into a machine's record.
const (
	DesiredInService = ""
	DesiredReturned  = "return" // to the cloud
	DesiredMoved     = "move"   // to another part
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
func DecodeMachineGroup(id string, value wire.Raw, stamp uint64) (MachineGroupRecord, error) {
	var group MachineGroupRecord
	if err := wire.Unmarshal(value, &group); err != nil || group.Machines != nil {
		return group, err
	}
	var m MachineRecord
	if err := wire.Unmarshal(value, &m); err != nil {
		return group, err
	}
	m.FencingToken = stamp
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
	for _, id := range sortedKeys(g.Machines) {
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

// OwnerRecord names the node that holds a part or leads.
type OwnerRecord struct {
	Node string `cbor:"node"`
}

// PartitionSummary is what a part tells the leader each round.
type PartitionSummary struct {
	// BookedMachines room per type, in machines.
	BookedMachines map[string]float64 `cbor:"booked"`
	// BookedOnDemand is the booked room of jobs that may not use spot machines.
	BookedOnDemand map[string]float64 `cbor:"firm"`
	// Waiting tasks that fit no free room.
	Waiting []Demand `cbor:"waiting"`
	// MachineDigests that have something to tell of. In the state service they stand in
	// records of their own, since their number has no bound.
	MachineDigests map[string]MachineDigest `cbor:"-"`
	// DigestRecords is how many such records there are.
	DigestRecords int `cbor:"notes"`
	// OverflowRecords is how many further records hold waiting tasks. Programs of the first format
	// size for what this record holds.
	OverflowRecords int `cbor:"more,omitempty"`
}

// MachineDigest is what a part's owner tells of a machine.
type MachineDigest uint8

// What there is to tell, in any combination.
const (
	DigestReporting  MachineDigest = 1 << iota // has reported to this owner
	DigestEmpty                                // may be moved or given back
	DigestNeverHeard                           // has been there for long, and was never heard
	DigestUnhealthy                            // is to go back: faulty, deaf, or silent beyond its lease
)

// Demand is a number of like tasks that wait unplaced.
type Demand struct {
	MachineTypes  []string `cbor:"t,omitempty"`
	Zone          string   `cbor:"z,omitempty"`
	AllowSpot     bool     `cbor:"s"`
	SingleZone    bool     `cbor:"o"`
	MaxPerZone    int      `cbor:"zm,omitempty"` // most tasks in one zone; 0: any
	Gang          bool     `cbor:"g"`
	CPUs          float64  `cbor:"c"`
	GPUs          float64  `cbor:"gp"`
	MemoryGB      float64  `cbor:"r"`
	Tasks         int      `cbor:"n"`
	EstimatedRunS float64  `cbor:"e"` // estimated run time of one
	Priority      int      `cbor:"l"`
}

// EncodeRanges packs the set of finished tasks of [from, to) for a record.
func EncodeRanges(from, to int, done func(int) bool) []int {
	var out []int
	for i := from; i < to; i++ {
		if !done(i) {
			continue
		}
		if n := len(out); n > 0 && out[n-1] == i {
			out[n-1] = i + 1
		} else {
			out = append(out, i, i+1)
		}
	}
	return out
}

// sortedKeys makes iteration over maps repeatable.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
