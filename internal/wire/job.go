package wire

import "regexp"

// JobShape says how the tasks of a job relate to each other.
type JobShape string

const (
	// ArrayJob is a job array: independent tasks.
	ArrayJob JobShape = "array"
	// GangJob is scheduled as a gang: its tasks run at the same time or not at all.
	GangJob JobShape = "ensemble"
	// ServiceJob has independent tasks, its replicas, which run until the job is cancelled.
	ServiceJob JobShape = "service"
)

// Priority is the priority of a job.
type Priority string

// The priorities, highest first.
const (
	PriorityProduction Priority = "production"
	PriorityUrgent     Priority = "urgent"
	PriorityStandard   Priority = "standard"
	PriorityIdle       Priority = "idle"
)

// unknownPriority is the value of a priority that the protocol does not define.
const unknownPriority = -1

// Value orders priorities: the higher, the more urgent. It is negative for an unknown one.
func (p Priority) Value() int {
	switch p {
	case PriorityProduction:
		return 3
	case PriorityUrgent:
		return 2
	case PriorityStandard:
		return 1
	case PriorityIdle:
		return 0
	}
	return unknownPriority
}

// JobPhase is the phase of a job as users see it.
type JobPhase string

// The phases of a job.
const (
	JobQueued    JobPhase = "queued"
	JobRunning   JobPhase = "running"
	JobDone      JobPhase = "done"
	JobCancelled JobPhase = "aborted"
)

// IsFinal reports whether a job in this phase can never change again.
func (p JobPhase) IsFinal() bool { return p == JobDone || p == JobCancelled }

// Job is the specification of a job as its user submits it. Resources are per task.
type Job struct {
	ID                  string   `cbor:"uid"`
	Class               string   `cbor:"lane"` // kind of work, such as training
	Team                string   `cbor:"crew"` // whose quota the job counts against
	Shape               JobShape `cbor:"shape"`
	Priority            Priority `cbor:"rank"`
	Tasks               int      `cbor:"pieces"`           // number of tasks
	CPUs                float64  `cbor:"cores"`            // cores of a task
	GPUs                float64  `cbor:"gpus"`             // GPUs of a task
	MemoryGB            float64  `cbor:"ramGb"`            // memory of a task, in GB
	Image               string   `cbor:"pattern"`          // container image
	ImageGB             float64  `cbor:"imageGb"`          // size of the image, in GB
	MachineTypes        []string `cbor:"breeds,omitempty"` // machine types allowed; empty: all
	Zone                string   `cbor:"field,omitempty"`  // zone required; empty: any
	SingleZone          bool     `cbor:"samePlace"`        // all tasks in one zone
	SpreadZones         bool     `cbor:"spread"`           // tasks spread over zones
	AllowSpot           bool     `cbor:"windfall"`         // spot instances are allowed
	EstimatedRunS       float64  `cbor:"guessS"`           // run time of a task, in seconds; 0 for services
	CheckpointIntervalS float64  `cbor:"stitchS"`          // seconds between checkpoints
	CheckpointSaveS     float64  `cbor:"bankS"`            // seconds that saving a checkpoint takes
	DeadlineS           float64  `cbor:"dueS,omitempty"`   // seconds after submission; 0: none
}

// IsGang reports whether all tasks of the job run at the same time.
func (j *Job) IsGang() bool { return j.Shape == GangJob }

// IsService reports whether the job's tasks run until it is cancelled.
func (j *Job) IsService() bool { return j.Shape == ServiceJob }

var jobIDPattern = regexp.MustCompile(`^req-[0-9]{1,18}$`)

// ValidJobID reports whether id has the form of a job ID.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// JobStatus answers a submission, a query or a cancellation.
type JobStatus struct {
	ID      string   `cbor:"uid"`
	Phase   JobPhase `cbor:"phase"`
	Done    int      `cbor:"done"`    // tasks done
	Running int      `cbor:"running"` // tasks running
}
