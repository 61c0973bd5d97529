package wire

import "regexp"

// JobShape is the kind of a job: an array, a gang or a service.
type JobShape string

const (
	// ArrayJob is an array of independent tasks.
	ArrayJob JobShape = "array"
	// GangJob is scheduled as a gang. Its tasks run at the same time or not at all.
	GangJob JobShape = "ensemble"
	// ServiceJob has independent replicas as its tasks. They run until the job is cancelled.
	ServiceJob JobShape = "service"
)

// Priority is the priority class of a job.
type Priority string

// Priorities, from highest to lowest.
const (
	PriorityProduction Priority = "production"
	PriorityUrgent     Priority = "urgent"
	PriorityStandard   Priority = "standard"
	PriorityIdle       Priority = "idle"
)

// unknownPriority is the result of Priority.Value for a priority that the protocol does not define.
const unknownPriority = -1

// Value returns a number that orders priorities; a higher number is more urgent. It returns a
// negative number for an unknown priority.
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

// JobPhase is the phase of a job that is reported to users.
type JobPhase string

// Phases of a job.
const (
	JobQueued    JobPhase = "queued"
	JobRunning   JobPhase = "running"
	JobDone      JobPhase = "done"
	JobCancelled JobPhase = "aborted"
)

// IsFinal reports whether the phase of a job can no longer change.
func (p JobPhase) IsFinal() bool { return p == JobDone || p == JobCancelled }

// Job is the specification of a job as submitted by its user. CPUs, GPUs, memory and run time
// are per task.
type Job struct {
	ID                  string   `cbor:"uid"`
	Class               string   `cbor:"lane"` // workload class, such as "train"
	Team                string   `cbor:"crew"` // team whose quota the job uses
	Shape               JobShape `cbor:"shape"`
	Priority            Priority `cbor:"rank"`
	TaskCount           int      `cbor:"pieces"`           // number of tasks
	CPUs                float64  `cbor:"cores"`            // CPU cores per task
	GPUs                float64  `cbor:"gpus"`             // GPUs per task
	MemoryGB            float64  `cbor:"ramGb"`            // memory per task, in GB
	Image               string   `cbor:"pattern"`          // name of the container image
	ImageGB             float64  `cbor:"imageGb"`          // size of the image, in GB
	MachineTypes        []string `cbor:"breeds,omitempty"` // allowed machine types; all if empty
	Zone                string   `cbor:"field,omitempty"`  // required zone; any if empty
	SingleZone          bool     `cbor:"samePlace"`        // all tasks must run in one zone
	SpreadZones         bool     `cbor:"spread"`           // tasks are spread over zones
	AllowSpot           bool     `cbor:"windfall"`         // tasks may run on spot instances
	EstimatedRunS       float64  `cbor:"guessS"`           // run time in seconds; 0 for services
	CheckpointIntervalS float64  `cbor:"stitchS"`          // seconds between checkpoints
	CheckpointSaveS     float64  `cbor:"bankS"`            // seconds to save a checkpoint
	DeadlineS           float64  `cbor:"dueS,omitempty"`   // seconds after submission; none if 0
}

// IsGang reports whether the tasks of the job must run at the same time.
func (j *Job) IsGang() bool { return j.Shape == GangJob }

// IsService reports whether the tasks of the job run until the job is cancelled.
func (j *Job) IsService() bool { return j.Shape == ServiceJob }

var jobIDPattern = regexp.MustCompile(`^req-[0-9]{1,18}$`)

// ValidJobID reports whether id has the form of a job ID.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// JobStatus is the response to a submission, a query or a cancellation of a job.
type JobStatus struct {
	ID      string   `cbor:"uid"`
	Phase   JobPhase `cbor:"phase"`
	Done    int      `cbor:"done"`    // number of done tasks
	Running int      `cbor:"running"` // number of running tasks
}

// CheckStored returns a *ValidationError if a stored job lacks a field without which it would be another
// job. A job whose number of tasks is missing, for example, must not count as done.
func (j *Job) CheckStored() error {
	return CheckRequired(
		RequiredField{Name: "uid", Present: j.ID != ""},
		RequiredField{Name: "crew", Present: j.Team != ""},
		RequiredField{Name: "shape", Present: j.Shape != ""},
		RequiredField{Name: "pieces", Present: j.TaskCount != 0},
	)
}
