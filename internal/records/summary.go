package records

import (
	"maps"
	"math"
	"slices"

	"ambersill/internal/resource"
)

// PartitionSummary is the state of a partition that the leader needs to size the fleet. It is
// written by the partition's owner.
type PartitionSummary struct {
	// AllocatedMachines is the allocated capacity by machine type, in machines.
	AllocatedMachines map[string]float64 `cbor:"booked"`
	// AllocatedOnDemand is the part of AllocatedMachines that is allocated to jobs that do not
	// allow spot instances.
	AllocatedOnDemand map[string]float64 `cbor:"firm"`
	// Waiting is the demand of tasks for which there is no capacity.
	Waiting []Demand `cbor:"waiting"`
	// OmittedTasks is the number of waiting tasks whose demand does not fit into the summary. It is
	// only logged.
	OmittedTasks int `cbor:"-"`
	// MachineDigests contains the digests with at least one flag set, by machine ID. They are
	// stored in separate records, since their number is not bounded.
	MachineDigests map[string]MachineDigest `cbor:"-"`
	// DigestRecordCount is the number of records that contain MachineDigests.
	DigestRecordCount int `cbor:"notes"`
	// OverflowRecordCount is the number of records with waiting demand that does not fit into
	// the summary's own record. Programs of the initial format ignore these records and size
	// the fleet for the demand in the summary's own record.
	OverflowRecordCount int `cbor:"more,omitempty"`
}

// WaitingTasks returns the number of tasks in Waiting.
func (s *PartitionSummary) WaitingTasks() int {
	tasks := 0
	for i := range s.Waiting {
		tasks += s.Waiting[i].Tasks
	}
	return tasks
}

// MachineDigest is a set of flags that describe the state of a machine to the leader.
type MachineDigest uint8

// The flags of a MachineDigest.
const (
	// DigestReporting is set if the worker has sent the partition's current owner a message that
	// carries the current fencing token.
	DigestReporting MachineDigest = 1 << iota
	// DigestEmpty is set if the machine is usable, not reserved and without tasks, so that
	// it may be moved or returned.
	DigestEmpty
	// DigestNeverReported is set if the worker has never sent the partition's current owner a
	// message that carries its fencing token, although the owner has had the machine for longer
	// than a worker's lease and a tolerance for lost heartbeats.
	DigestNeverReported
	// DigestUnhealthy is set if the machine must be returned for one of these reasons: it is
	// faulty; it has tasks but has not sent the current owner a heartbeat in time; it does not
	// receive the owner's messages; or its worker's lease expired longer ago than its type
	// takes to boot.
	DigestUnhealthy
)

// Demand is the demand of a number of waiting tasks with the same requirements.
type Demand struct {
	MachineTypes  []string `cbor:"t,omitempty"`
	Zone          string   `cbor:"z,omitempty"`
	AllowSpot     bool     `cbor:"s"`
	SingleZone    bool     `cbor:"o"`
	MaxPerZone    int      `cbor:"zm,omitempty"` // maximum tasks per zone; 0 means no limit
	Gang          bool     `cbor:"g"`
	CPUs          float64  `cbor:"c"`
	GPUs          float64  `cbor:"gp"`
	MemoryGB      float64  `cbor:"r"`
	Tasks         int      `cbor:"n"`
	EstimatedRunS float64  `cbor:"e"` // estimated run time of one task in seconds
	Priority      int      `cbor:"l"`
}

// Sizes in bytes. The key-value store measures a value by its length as JSON.
const (
	// demandOverheadBytes bounds a Demand without the names of its zone and machine types.
	demandOverheadBytes = 130
	// summaryOverheadBytes is the size reserved for all fields of a summary's record except
	// the waiting demand.
	summaryOverheadBytes = 1024
	// digestOverheadBytes bounds a machine's digest without the machine's ID.
	digestOverheadBytes = 6
)

// runTimeStepsPerSecond sets the precision to which merged run times are rounded, a tenth of a
// second, so that their encoded length is bounded.
const runTimeStepsPerSecond = 10

// Merge adds the tasks of another demand with the same requirements. The estimated run time becomes
// the mean over all tasks.
func (d *Demand) Merge(other *Demand) {
	tasks, otherTasks := float64(d.Tasks), float64(other.Tasks)
	mean := (d.EstimatedRunS*tasks + other.EstimatedRunS*otherTasks) / (tasks + otherTasks)
	d.EstimatedRunS = math.Round(mean*runTimeStepsPerSecond) / runTimeStepsPerSecond
	d.Tasks += other.Tasks
}

// Request returns the resources that one task of the demand requests.
func (d *Demand) Request() resource.Vector {
	return resource.Vector{CPUs: d.CPUs, GPUs: d.GPUs, MemoryGB: d.MemoryGB}
}

// SizeBound returns an upper bound of the demand's size in bytes.
func (d *Demand) SizeBound() int {
	return demandOverheadBytes + len(d.Zone) + nameListBytes(d.MachineTypes)
}

// SplitOverflowDemand keeps the first demands in Waiting, as many as fit into the summary's record,
// and returns the others, divided into overflow records. maxValueKiB is the maximum size of a value
// in KiB.
func (s *PartitionSummary) SplitOverflowDemand(maxValueKiB float64) [][]Demand {
	limit := MaxValueBytes(maxValueKiB)
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

// SplitMachineDigests divides the digests into records that fit into a value, in the order of the
// machine IDs. maxValueKiB is the maximum size of a value in KiB.
func (s *PartitionSummary) SplitMachineDigests(maxValueKiB float64) []map[string]MachineDigest {
	ids := slices.Sorted(maps.Keys(s.MachineDigests))
	longestID := 0
	for _, id := range ids {
		longestID = max(longestID, len(id))
	}
	perRecord := max(1, int(maxValueKiB*bytesPerKiB-collectionOverheadBytes)/(longestID+digestOverheadBytes))
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
