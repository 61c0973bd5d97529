package wire

import (
	"errors"
	"fmt"
	"math"
	"regexp"
)

// Shape tells how the tasks of a job belong together.
type Shape string

// The shapes of jobs.
const (
	Array Shape = "array"
	Gang  Shape = "ensemble"
	// Service: independent tasks, its replicas, that run until the job is cancelled.
	Service Shape = "service"
)

// Rank is a job's priority.
type Rank string

// Level orders ranks: the higher, the more urgent; -1 is no rank.
func (r Rank) Level() int {
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

// Phase is what users are told of a job.
type Phase string

// The phases of a job.
const (
	Queued    Phase = "queued"
	Running   Phase = "running"
	Done      Phase = "done"
	Cancelled Phase = "aborted"
)

// Final tells whether a job in this phase can never change again.
func (p Phase) Final() bool { return p == Done || p == Cancelled }

// Job is the description of a job as its user submits it.
type Job struct {
	ID         string   `cbor:"uid"`
	Class      string   `cbor:"lane"`
	Team       string   `cbor:"crew"`
	Shape      Shape    `cbor:"shape"`
	Rank       Rank     `cbor:"rank"`
	Tasks      int      `cbor:"pieces"`
	CPUs       float64  `cbor:"cores"`
	GPUs       float64  `cbor:"gpus"`
	RAM        float64  `cbor:"ramGb"`
	Image      string   `cbor:"pattern"`
	ImageGB    float64  `cbor:"imageGb"`
	Types      []string `cbor:"breeds,omitempty"`
	Zone       string   `cbor:"field,omitempty"`
	OneZone    bool     `cbor:"samePlace"`
	Spread     bool     `cbor:"spread"`
	Spot       bool     `cbor:"windfall"`
	Estimate   float64  `cbor:"guessS"`
	Checkpoint float64  `cbor:"stitchS"`
	Save       float64  `cbor:"bankS"`
	Deadline   float64  `cbor:"dueS,omitempty"`
}

// submission mirrors Job with pointers, so that a missing field shows.
type submission struct {
	ID         *string   `cbor:"uid"`
	Class      *string   `cbor:"lane"`
	Team       *string   `cbor:"crew"`
	Shape      *Shape    `cbor:"shape"`
	Rank       *Rank     `cbor:"rank"`
	Tasks      *int64    `cbor:"pieces"`
	CPUs       *float64  `cbor:"cores"`
	GPUs       *float64  `cbor:"gpus"`
	RAM        *float64  `cbor:"ramGb"`
	Image      *string   `cbor:"pattern"`
	ImageGB    *float64  `cbor:"imageGb"`
	Types      *[]string `cbor:"breeds"`
	Zone       *string   `cbor:"field"`
	OneZone    *bool     `cbor:"samePlace"`
	Spread     *bool     `cbor:"spread"`
	Spot       *bool     `cbor:"windfall"`
	Estimate   *float64  `cbor:"guessS"`
	Checkpoint *float64  `cbor:"stitchS"`
	Save       *float64  `cbor:"bankS"`
	Deadline   *float64  `cbor:"dueS"`
}

const (
	maxTasks = 100000 // tasks in a job, by the protocol
	maxName  = 200    // bytes in a name; larger ones could not be part of a record
	maxTypes = 64     // machine types a job may name
	// maxTypeBytes bounds their names together, which stand in a record.
	maxTypeBytes = 1024
	maxDur       = 1e9 // seconds; more is no time at all
)

var jobID = regexp.MustCompile(`^req-[0-9]{1,18}$`)

// ValidJobID tells whether id has the form of job ids.
func ValidJobID(id string) bool { return jobID.MatchString(id) }

var errMissing = errors.New("field missing")

// ParseJob decodes and checks a submission. Its errors are the submitter's.
func ParseJob(body []byte) (*Job, error) {
	var s submission
	if err := Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("not a job: %w", err)
	}
	for _, p := range []bool{s.ID == nil, s.Class == nil, s.Team == nil, s.Shape == nil, s.Rank == nil, s.Tasks == nil,
		s.CPUs == nil, s.GPUs == nil, s.RAM == nil, s.Image == nil, s.ImageGB == nil, s.OneZone == nil,
		s.Spread == nil, s.Spot == nil, s.Estimate == nil, s.Checkpoint == nil, s.Save == nil} {
		if p {
			return nil, errMissing
		}
	}
	j := &Job{ID: *s.ID, Class: *s.Class, Team: *s.Team, Shape: *s.Shape, Rank: *s.Rank, CPUs: *s.CPUs, GPUs: *s.GPUs,
		RAM: *s.RAM, Image: *s.Image, ImageGB: *s.ImageGB, OneZone: *s.OneZone, Spread: *s.Spread, Spot: *s.Spot,
		Estimate: *s.Estimate, Checkpoint: *s.Checkpoint, Save: *s.Save}
	if !ValidJobID(j.ID) {
		return nil, errors.New("bad job id")
	}
	if *s.Tasks < 1 || *s.Tasks > maxTasks {
		return nil, errors.New("bad number of tasks")
	}
	j.Tasks = int(*s.Tasks)
	if j.Shape != Array && j.Shape != Gang && j.Shape != Service {
		return nil, errors.New("unknown shape")
	}
	if j.Rank.Level() < 0 {
		return nil, errors.New("unknown rank")
	}
	for _, n := range []string{j.Class, j.Team, j.Image} {
		if n == "" || len(n) > maxName {
			return nil, errors.New("bad name")
		}
	}
	for _, v := range []float64{j.CPUs, j.GPUs, j.RAM, j.ImageGB, j.Estimate, j.Checkpoint, j.Save} {
		if math.IsNaN(v) || v < 0 || v > maxDur {
			return nil, errors.New("amount out of range")
		}
	}
	if j.Shape == Service && j.Estimate != 0 {
		return nil, errors.New("a service has no estimate of its run time")
	}
	if s.Types != nil {
		j.Types = *s.Types
		if len(j.Types) == 0 || len(j.Types) > maxTypes {
			return nil, errors.New("bad machine types")
		}
		sum := 0
		for _, t := range j.Types {
			sum += len(t)
			if t == "" || sum > maxTypeBytes {
				return nil, errors.New("bad machine type")
			}
		}
	}
	if s.Zone != nil {
		if *s.Zone == "" || len(*s.Zone) > maxName {
			return nil, errors.New("bad zone")
		}
		j.Zone = *s.Zone
	}
	if s.Deadline != nil {
		if !(*s.Deadline > 0 && *s.Deadline <= maxDur) {
			return nil, errors.New("bad deadline")
		}
		j.Deadline = *s.Deadline
	}
	return j, nil
}

// JobView is the answer to a submission, a query or a cancellation.
type JobView struct {
	ID      string `cbor:"uid"`
	Phase   Phase  `cbor:"phase"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}
