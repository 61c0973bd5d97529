package wire

import (
	"strconv"
	"strings"
)

// TaskState is the state of a task as its worker reports it.
type TaskState string

// The states of a task on its machine.
const (
	TaskFetching       TaskState = "fetching"  // fetches its image
	TaskWaitingForGang TaskState = "gathering" // waits for the rest of its gang
	TaskRunning        TaskState = "running"
	TaskSaving         TaskState = "saving" // saves a checkpoint before it stops
	TaskExited         TaskState = "ended"
)

// ExitCause says why a task exited.
type ExitCause string

// The causes of an exit that decide what happens next.
const (
	ExitDone                  ExitCause = "done"
	ExitStopped               ExitCause = "halted"     // by a command
	ExitGangMemberLost        ExitCause = "mates_gone" // another task of the gang was lost
	ExitGangIncomplete        ExitCause = "incomplete" // the gang was not complete in time
	ExitError                 ExitCause = "error"
	ExitInsufficientResources ExitCause = "full"    // the machine had no capacity left
	ExitTaskPresent           ExitCause = "busy"    // another attempt of the task is there
	ExitTaskUnknown           ExitCause = "unknown" // the command named no known task
)

// TaskStatus is one task in a heartbeat.
type TaskStatus struct {
	Task            string    `cbor:"piece"` // see TaskName
	Attempt         uint64    `cbor:"try"`   // number of the attempt to run it
	State           TaskState `cbor:"phase"`
	ExitCause       ExitCause `cbor:"cause,omitempty"`
	CheckpointSaved bool      `cbor:"stored,omitempty"`
}

// Heartbeat is a worker's report on its machine.
type Heartbeat struct {
	Machine            string       `cbor:"hearth"`
	Address            string       `cbor:"address"`
	MachineType        string       `cbor:"breed"`
	Zone               string       `cbor:"field"`
	Spot               bool         `cbor:"windfall"`
	Incarnation        uint64       `cbor:"tenure"`   // epoch of the worker; its tasks end with it
	Sequence           uint64       `cbor:"tally"`    // number of the heartbeat; rises by one each
	FencingToken       uint64       `cbor:"mandate"`  // highest that the worker has seen
	TerminationNoticeS *float64     `cbor:"warningS"` // seconds until a spot instance is taken; nil: no notice
	Tasks              []TaskStatus `cbor:"pieces"`
}

// Op is the operation of a command.
type Op string

// The operations.
const (
	StartTask  Op = "start"
	StopTask   Op = "kill"
	ForgetTask Op = "clear" // drops a task that has exited
)

// Command tells a worker to do one operation on a task.
type Command struct {
	Op           Op      `cbor:"verb"`
	Task         string  `cbor:"piece"`
	Attempt      uint64  `cbor:"try"`
	GracePeriodS float64 `cbor:"mercyS"` // seconds that a task may take to stop
}

// HeartbeatResponse answers a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"mandate"`
	Commands     []Command `cbor:"bids"`
}

// CommandRequest carries commands that are sent directly to a worker.
type CommandRequest struct {
	FencingToken uint64    `cbor:"mandate"` // the worker refuses a lower one than it has seen
	Incarnation  uint64    `cbor:"tenure"`  // the worker refuses any but its own
	Commands     []Command `cbor:"bids"`
}

// Redirect names the node that a worker should send its heartbeats to.
type Redirect struct {
	Node string `cbor:"answerTo,omitempty"`
}

// taskNameSeparator is between the job's ID and the task's index.
const taskNameSeparator = "/"

// TaskName returns the protocol's name of a task of a job.
func TaskName(job string, index int) string { return job + taskNameSeparator + strconv.Itoa(index) }

// ParseTaskName splits a task's name into job ID and index. ok reports whether it is one.
func ParseTaskName(name string) (job string, index int, ok bool) {
	job, digits, found := strings.Cut(name, taskNameSeparator)
	if !found {
		return "", 0, false
	}
	index, err := strconv.Atoi(digits)
	if err != nil || index < 0 || index >= maxTasks {
		return "", 0, false
	}
	return job, index, true
}
