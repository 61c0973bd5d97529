package wire

import (
	"strconv"
	"strings"
)

// TaskState is the state of a task that its worker reports.
type TaskState string

// States of a task on its machine.
const (
	TaskFetching       TaskState = "fetching"  // the machine fetches the container image
	TaskWaitingForGang TaskState = "gathering" // the task waits for the other tasks of its gang
	TaskRunning        TaskState = "running"
	TaskSaving         TaskState = "saving" // the task saves a checkpoint before it stops
	TaskExited         TaskState = "ended"
)

// ExitCause is the reason why a task exited.
type ExitCause string

// Exit causes that the scheduler distinguishes.
const (
	ExitDone                  ExitCause = "done"
	ExitStopped               ExitCause = "halted"     // stopped by a command
	ExitGangMemberLost        ExitCause = "mates_gone" // another task of the gang was lost
	ExitGangIncomplete        ExitCause = "incomplete" // the gang was incomplete at the timeout
	ExitError                 ExitCause = "error"
	ExitInsufficientResources ExitCause = "full"    // the machine had too little free capacity
	ExitTaskPresent           ExitCause = "busy"    // the machine has another attempt of the task
	ExitTaskUnknown           ExitCause = "unknown" // the worker does not have the task
)

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Task            string    `cbor:"piece"` // name of the task, as returned by TaskName
	Attempt         uint64    `cbor:"try"`   // number of the attempt to run the task
	State           TaskState `cbor:"phase"`
	ExitCause       ExitCause `cbor:"cause,omitempty"`
	CheckpointSaved bool      `cbor:"stored,omitempty"`
}

// Heartbeat is the message in which a worker reports the state of its machine and tasks. A task
// ends with the incarnation of the worker that started it. TerminationNoticeS is the time in
// seconds until the spot instance is terminated.
type Heartbeat struct {
	Machine            string       `cbor:"hearth"`
	Address            string       `cbor:"address"`
	MachineType        string       `cbor:"breed"`
	Zone               string       `cbor:"field"`
	Spot               bool         `cbor:"windfall"`
	Incarnation        uint64       `cbor:"tenure"`   // incarnation of the worker
	Sequence           uint64       `cbor:"tally"`    // rises by one with each heartbeat
	FencingToken       uint64       `cbor:"mandate"`  // highest token that the worker has seen
	TerminationNoticeS *float64     `cbor:"warningS"` // nil without notice
	Tasks              []TaskStatus `cbor:"pieces"`
}

// Op is the operation that a command requests.
type Op string

// Operations of a command.
const (
	StartTask  Op = "start"
	StopTask   Op = "kill"
	ForgetTask Op = "clear" // removes a task that has exited
)

// Command instructs a worker to perform an operation on one attempt of a task.
type Command struct {
	Op           Op      `cbor:"verb"`
	Task         string  `cbor:"piece"`
	Attempt      uint64  `cbor:"try"`
	GracePeriodS float64 `cbor:"mercyS"` // seconds that the task has to stop
}

// HeartbeatResponse is the response to an accepted heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"mandate"`
	Commands     []Command `cbor:"bids"`
}

// CommandRequest sends commands to a worker outside heartbeat responses.
type CommandRequest struct {
	FencingToken uint64    `cbor:"mandate"` // rejected if lower than one that the worker has seen
	Incarnation  uint64    `cbor:"tenure"`  // the worker rejects any incarnation but its own
	Commands     []Command `cbor:"bids"`
}

// Redirect names the node to which a worker should send its next heartbeats.
type Redirect struct {
	Node string `cbor:"answerTo,omitempty"`
}

// taskNameSeparator separates the job ID and the task index in a task name.
const taskNameSeparator = "/"

// TaskName returns the name of a task in the protocol, in the form JOB/INDEX.
func TaskName(job string, index int) string { return job + taskNameSeparator + strconv.Itoa(index) }

// ParseTaskName splits a task name into job ID and task index. ok reports whether name has the
// form JOB/INDEX with an index in the valid range.
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
