package records

import (
	"maps"
	"math"
	"slices"

	"ambersill/internal/resource"
)

// PartitionSummary is the state of a partition from which the leader sizes the fleet. The
// partition's owner writes it.
type PartitionSummary struct {
	// BookedMachines is the booked capacity by machine type, in machines.
	BookedMachines map[string]float64 `cbor:"booked"`
	// BookedOnDemand is the capacity in it of jobs that may not use spot instances.
	BookedOnDemand map[string]float64 `cbor:"firm"`
	// Waiting is the demand of tasks for which there is no capacity.
	Waiting []Demand `cbor:"waiting"`
	// MachineDigests are those of the machines with anything to report. They are stored in
	// records of their own, since their number has no bound.
	MachineDigests map[string]MachineDigest `cbor:"-"`
	// DigestRecordCount is the number of these records.
	DigestRecordCount int `cbor:"notes"`
	// OverflowRecordCount is the number of further records of waiting demand. Programs of the
	// initial format size the fleet for what the summary's own record contains.
	OverflowRecordCount int `cbor:"more,omitempty"`
}

// MachineDigest is the state of a machine as reported by its partition's owner, a set of flags.
type MachineDigest uint8

// The flags of a MachineDigest.
const (
	// DigestReporting is set if the machine has reported to this owner.
	DigestReporting MachineDigest = 1 << iota
	// DigestEmpty is set if the machine may be moved or returned.
	DigestEmpty
	// DigestNeverReported is set if the machine was assigned long ago and has never reported.
	DigestNeverReported
	// DigestUnhealthy is set if the machine is to be returned: it is faulty, unresponsive, or
	// silent beyond its lease.
	DigestUnhealthy
)

// Demand is a number of waiting tasks with the same requirements.
type Demand struct {
	MachineTypes  []string `cbor:"t,omitempty"`
	Zone          string   `cbor:"z,omitempty"`
	AllowSpot     bool     `cbor:"s"`
	SingleZone    bool     `cbor:"o"`
	MaxPerZone    int      `cbor:"zm,omitempty"` // limit of tasks in one zone; 0: none
	Gang          bool     `cbor:"g"`
	CPUs          float64  `cbor:"c"`
	GPUs          float64  `cbor:"gp"`
	MemoryGB      float64  `cbor:"r"`
	Tasks         int      `cbor:"n"`
	EstimatedRunS float64  `cbor:"e"` // estimated run time of one task in seconds
	Priority      int      `cbor:"l"`
}

// Sizes in bytes, as the key-value store counts them.
const (
	// demandOverheadBytes bounds a demand without its names.
	demandOverheadBytes = 130
	// summaryOverheadBytes is set aside for what a summary's record contains beside the
	// waiting demand.
	summaryOverheadBytes = 1024
	// digestOverheadBytes bounds a machine's digest without its name.
	digestOverheadBytes = 6
)

// runTimeStepsPerSecond is the number of steps in a second to which merged run times are rounded,
// so that their length in a record is bounded.
const runTimeStepsPerSecond = 10

// Merge adds the tasks of another demand with the same requirements.
func (d *Demand) Merge(other *Demand) {
	tasks, otherTasks := float64(d.Tasks), float64(other.Tasks)
	mean := (d.EstimatedRunS*tasks + other.EstimatedRunS*otherTasks) / (tasks + otherTasks)
	d.EstimatedRunS = math.Round(mean*runTimeStepsPerSecond) / runTimeStepsPerSecond
	d.Tasks += other.Tasks
}

// Request returns the resources that one task of the demand takes.
func (d *Demand) Request() resource.Vector {
	return resource.Vector{CPUs: d.CPUs, GPUs: d.GPUs, MemoryGB: d.MemoryGB}
}

// SizeBound returns an upper bound of the demand's size in bytes.
func (d *Demand) SizeBound() int {
	return demandOverheadBytes + len(d.Zone) + nameListBytes(d.MachineTypes)
}

// SplitOverflowDemand keeps those demands in the summary that fit its record, and returns the rest,
// divided into further records. valueKB is the size of a value in KiB.
func (s *PartitionSummary) SplitOverflowDemand(valueKB float64) [][]Demand {
	limit := MaxValueBytes(valueKB)
	all := s.Waiting
	s.Waiting = nil
	var overflow [][]Demand
	bytesLeft := limit - summaryOverheadBytes
	for _, demand := range all {
		size := demand.SizeBound()
		if size > bytesLeft {
			overflow = append(overflow, nil)
			bytesLeft = limit - collectionOverheadBytes
		}
		bytesLeft -= size
		if len(overflow) == 0 {
			s.Waiting = append(s.Waiting, demand)
			continue
		}
		last := len(overflow) - 1
		overflow[last] = append(overflow[last], demand)
	}
	return overflow
}

// SplitMachineDigests divides the digests into records that fit a value, in the order of the
// machines' names. valueKB is the size of a value in KiB.
func (s *PartitionSummary) SplitMachineDigests(valueKB float64) []map[string]MachineDigest {
	ids := slices.Sorted(maps.Keys(s.MachineDigests))
	longestID := 0
	for _, id := range ids {
		longestID = max(longestID, len(id))
	}
	perRecord := max(1, int(valueKB*bytesPerKiB-collectionOverheadBytes)/(longestID+digestOverheadBytes))
	var digestRecords []map[string]MachineDigest
	for group := range slices.Chunk(ids, perRecord) {
		digests := make(map[string]MachineDigest, len(group))
		for _, id := range group {
			digests[id] = s.MachineDigests[id]
		}
		digestRecords = append(digestRecords, digests)
	}
	return digestRecords
}
