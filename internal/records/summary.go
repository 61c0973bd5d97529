package records

import (
	"ambersill/internal/resource"
	"maps"
	"math"
	"slices"
)

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

// demandBytes is what a demand takes of a summary's record, names apart, in the
// protocol's measure.
const demandBytes = 130

// Merge adds the tasks of a demand that is alike.
func (d *Demand) Merge(other *Demand) {
	tasks, more := float64(d.Tasks), float64(other.Tasks)
	d.EstimatedRunS = math.Round((d.EstimatedRunS*tasks+other.EstimatedRunS*more)/(tasks+more)*10) / 10
	d.Tasks += other.Tasks
}

// summaryOverheadBytes is set aside for what a summary's record holds beside the waiting tasks.
const summaryOverheadBytes = 1024

// Request is what one task of the demand takes of its machine.
func (d *Demand) Request() resource.Vector {
	return resource.Vector{CPUs: d.CPUs, GPUs: d.GPUs, MemoryGB: d.MemoryGB}
}

// SizeBound bounds a demand's size in the protocol's measure from above.
func (d *Demand) SizeBound() int {
	size := demandBytes + len(d.Zone)
	for _, t := range d.MachineTypes {
		size += len(t) + 3
	}
	return size
}

// SplitWaiting leaves those demands in the summary that fit its record, and returns the
// rest, split into records.
func (s *PartitionSummary) SplitWaiting(valueKB float64) [][]Demand {
	limit := int(valueKB * 1024)
	all := s.Waiting
	s.Waiting = nil
	var more [][]Demand
	left := limit - summaryOverheadBytes
	for _, demand := range all {
		size := demand.SizeBound()
		if size > left {
			more = append(more, nil)
			left = limit - groupOverheadBytes
		}
		left -= size
		if len(more) == 0 {
			s.Waiting = append(s.Waiting, demand)
		} else {
			more[len(more)-1] = append(more[len(more)-1], demand)
		}
	}
	return more
}

// SplitMachineDigests splits the notes into records that fit a value, in the order of names.
func (s *PartitionSummary) SplitMachineDigests(valueKB float64) []map[string]MachineDigest {
	ids := slices.Sorted(maps.Keys(s.MachineDigests))
	longest := 0
	for _, id := range ids {
		longest = max(longest, len(id))
	}
	var out []map[string]MachineDigest
	for part := range slices.Chunk(ids, max(1, int(valueKB*1024-64)/(longest+6))) {
		m := make(map[string]MachineDigest, len(part))
		for _, id := range part {
			m[id] = s.MachineDigests[id]
		}
		out = append(out, m)
	}
	return out
}
