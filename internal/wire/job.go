package wire

import (
	"errors"
	"fmt"
	"math"
	"regexp"
)

// JobShape tells how the tasks of a job belong together.
type JobShape string

// The shapes of jobs.
const (
	ArrayJob JobShape = "array"
	GangJob  JobShape = "ensemble"
	// ServiceJob: independent tasks, its replicas, that run until the job is cancelled.
	ServiceJob JobShape = "service"
)

// Priority is a job's priority.
type Priority string

// Value orders ranks: the higher, the more urgent; -1 is no rank.
func (r Priority) Value() int {
	switch r {
	case "production":
		return 3
	case "urgent":
		return 2
	case "standard":
		return 1
	case "idle":
		return 0
	}
	return -1
}

// JobPhase is what users are told of a job.
type JobPhase string

// The phases of a job.
const (
	JobQueued    JobPhase = "queued"
	JobRunning   JobPhase = "running"
	JobDone      JobPhase = "done"
	JobCancelled JobPhase = "aborted"
)

// Final tells whether a job in this phase can never change again.
func (p JobPhase) Final() bool { return p == JobDone || p == JobCancelled }

// Job is the description of a job as its user submits it.
type Job struct {
	ID                  string   `cbor:"uid"`
	Class               string   `cbor:"lane"`
	Team                string   `cbor:"crew"`
	Shape               JobShape `cbor:"shape"`
	Priority            Priority `cbor:"rank"`
	Tasks               int      `cbor:"pieces"`
	CPUs                float64  `cbor:"cores"`
	GPUs                float64  `cbor:"gpus"`
	MemoryGB            float64  `cbor:"ramGb"`
	Image               string   `cbor:"pattern"`
	ImageGB             float64  `cbor:"imageGb"`
	MachineTypes        []string `cbor:"breeds,omitempty"`
	Zone                string   `cbor:"field,omitempty"`
	SingleZone          bool     `cbor:"samePlace"`
	SpreadZones         bool     `cbor:"spread"`
	AllowSpot           bool     `cbor:"windfall"`
	EstimatedRunS       float64  `cbor:"guessS"`
	CheckpointIntervalS float64  `cbor:"stitchS"`
	CheckpointSaveS     float64  `cbor:"bankS"`
	DeadlineS           float64  `cbor:"dueS,omitempty"`
}

// IsGang tells whether all tasks of the job run at the same time.
func (j *Job) IsGang() bool { return j.Shape == GangJob }

// IsService tells whether the job's tasks run until it is cancelled.
func (j *Job) IsService() bool { return j.Shape == ServiceJob }

// submission mirrors Job with pointers, so that a missing field shows.
type submission struct {
	ID                  *string   `cbor:"uid"`
	Class               *string   `cbor:"lane"`
	Team                *string   `cbor:"crew"`
	Shape               *JobShape `cbor:"shape"`
	Priority            *Priority `cbor:"rank"`
	Tasks               *int64    `cbor:"pieces"`
	CPUs                *float64  `cbor:"cores"`
	GPUs                *float64  `cbor:"gpus"`
	MemoryGB            *float64  `cbor:"ramGb"`
	Image               *string   `cbor:"pattern"`
	ImageGB             *float64  `cbor:"imageGb"`
	MachineTypes        *[]string `cbor:"breeds"`
	Zone                *string   `cbor:"field"`
	SingleZone          *bool     `cbor:"samePlace"`
	SpreadZones         *bool     `cbor:"spread"`
	AllowSpot           *bool     `cbor:"windfall"`
	EstimatedRunS       *float64  `cbor:"guessS"`
	CheckpointIntervalS *float64  `cbor:"stitchS"`
	CheckpointSaveS     *float64  `cbor:"bankS"`
	DeadlineS           *float64  `cbor:"dueS"`
}

const (
	maxTasks        = 100000 // tasks in a job, by the protocol
	maxNameBytes    = 200    // bytes in a name; larger ones could not be part of a record
	maxMachineTypes = 64     // machine types a job may name
	// maxMachineTypeBytes bounds their names together, which stand in a record.
	maxMachineTypeBytes = 1024
	maxDurationS        = 1e9 // seconds; more is no time at all
)

var jobID = regexp.MustCompile(`^req-[0-9]{1,18}$`)

// ValidJobID tells whether id has the form of job ids.
func ValidJobID(id string) bool { return jobID.MatchString(id) }

var errFieldMissing = errors.New("field missing")

// ParseJob decodes and checks a submission. Its errors are the submitter's.
func ParseJob(body []byte) (*Job, error) {
	var s submission
	if err := Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("not a job: %w", err)
	}
	for _, p := range []bool{s.ID == nil, s.Class == nil, s.Team == nil, s.Shape == nil, s.Priority == nil, s.Tasks == nil,
		s.CPUs == nil, s.GPUs == nil, s.MemoryGB == nil, s.Image == nil, s.ImageGB == nil, s.SingleZone == nil,
		s.SpreadZones == nil, s.AllowSpot == nil, s.EstimatedRunS == nil, s.CheckpointIntervalS == nil, s.CheckpointSaveS == nil} {
		if p {
			return nil, errFieldMissing
		}
	}
	j := &Job{ID: *s.ID, Class: *s.Class, Team: *s.Team, Shape: *s.Shape, Priority: *s.Priority, CPUs: *s.CPUs, GPUs: *s.GPUs,
		MemoryGB: *s.MemoryGB, Image: *s.Image, ImageGB: *s.ImageGB, SingleZone: *s.SingleZone, SpreadZones: *s.SpreadZones, AllowSpot: *s.AllowSpot,
		EstimatedRunS: *s.EstimatedRunS, CheckpointIntervalS: *s.CheckpointIntervalS, CheckpointSaveS: *s.CheckpointSaveS}
	if !ValidJobID(j.ID) {
		return nil, errors.New("bad job id")
	}
	if *s.Tasks < 1 || *s.Tasks > maxTasks {
		return nil, errors.New("bad number of tasks")
	}
	j.Tasks = int(*s.Tasks)
	if j.Shape != ArrayJob && j.Shape != GangJob && j.Shape != ServiceJob {
		return nil, errors.New("unknown shape")
	}
	if j.Priority.Value() < 0 {
		return nil, errors.New("unknown rank")
	}
	for _, n := range []string{j.Class, j.Team, j.Image} {
		if n == "" || len(n) > maxNameBytes {
			return nil, errors.New("bad name")
		}
	}
	for _, v := range []float64{j.CPUs, j.GPUs, j.MemoryGB, j.ImageGB, j.EstimatedRunS, j.CheckpointIntervalS, j.CheckpointSaveS} {
		if math.IsNaN(v) || v < 0 || v > maxDurationS {
			return nil, errors.New("amount out of range")
		}
	}
	if j.Shape == ServiceJob && j.EstimatedRunS != 0 {
		return nil, errors.New("a service has no estimate of its run time")
	}
	if s.MachineTypes != nil {
		j.MachineTypes = *s.MachineTypes
		if len(j.MachineTypes) == 0 || len(j.MachineTypes) > maxMachineTypes {
			return nil, errors.New("bad machine types")
		}
		sum := 0
		for _, t := range j.MachineTypes {
			sum += len(t)
			if t == "" || sum > maxMachineTypeBytes {
				return nil, errors.New("bad machine type")
			}
		}
	}
	if s.Zone != nil {
		if *s.Zone == "" || len(*s.Zone) > maxNameBytes {
			return nil, errors.New("bad zone")
		}
		j.Zone = *s.Zone
	}
	if s.DeadlineS != nil {
		if !(*s.DeadlineS > 0 && *s.DeadlineS <= maxDurationS) {
			return nil, errors.New("bad deadline")
		}
		j.DeadlineS = *s.DeadlineS
	}
	return j, nil
}

// JobStatus is the answer to a submission, a query or a cancellation.
type JobStatus struct {
	ID      string   `cbor:"uid"`
	Phase   JobPhase `cbor:"phase"`
	Done    int      `cbor:"done"`
	Running int      `cbor:"running"`
}
