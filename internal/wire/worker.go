package wire

import (
	"strconv"
	"strings"
)

// TaskState is a worker's word on a task.
type TaskState string

// The states of a task on its machine.
const (
	TaskFetching       TaskState = "fetching"
	TaskWaitingForGang TaskState = "gathering"
	TaskRunning        TaskState = "running"
	TaskSaving         TaskState = "saving"
	TaskExited         TaskState = "ended"
)

// ExitCause tells why a task exited.
type ExitCause string

// The causes of an exit that decide what happens next.
const (
	ExitDone                  ExitCause = "done"
	ExitStopped               ExitCause = "halted"
	ExitGangMemberLost        ExitCause = "mates_gone"
	ExitGangIncomplete        ExitCause = "incomplete"
	ExitError                 ExitCause = "error"
	ExitInsufficientResources ExitCause = "full"
	ExitTaskPresent           ExitCause = "busy"
	ExitTaskUnknown           ExitCause = "unknown"
)

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task            string    `cbor:"piece"`
	Attempt         uint64    `cbor:"try"`
	State           TaskState `cbor:"phase"`
	ExitCause       ExitCause `cbor:"cause,omitempty"`
	CheckpointSaved bool      `cbor:"stored,omitempty"`
}

// Heartbeat is what a worker says of its machine.
type Heartbeat struct {
	Machine            string       `cbor:"hearth"`
	Address            string       `cbor:"address"`
	MachineType        string       `cbor:"breed"`
	Zone               string       `cbor:"field"`
	Spot               bool         `cbor:"windfall"`
	Incarnation        uint64       `cbor:"tenure"`
	Sequence           uint64       `cbor:"tally"`
	FencingToken       uint64       `cbor:"mandate"`
	TerminationNoticeS *float64     `cbor:"warningS"`
	Tasks              []TaskStatus `cbor:"pieces"`
}

// Op is what a command asks for.
type Op string

// The commands.
const (
	StartTask  Op = "start"
	StopTask   Op = "kill"
	ForgetTask Op = "clear"
)

// Command is one order to a worker.
type Command struct {
	Op           Op      `cbor:"verb"`
	Task         string  `cbor:"piece"`
	Attempt      uint64  `cbor:"try"`
	GracePeriodS float64 `cbor:"mercyS"`
}

// HeartbeatResponse answers a report.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"mandate"`
	Commands     []Command `cbor:"bids"`
}

// CommandRequest are commands sent straight to a worker.
type CommandRequest struct {
	FencingToken uint64    `cbor:"mandate"`
	Incarnation  uint64    `cbor:"tenure"`
	Commands     []Command `cbor:"bids"`
}

// Redirect names the node that a worker should report to.
type Redirect struct {
	Node string `cbor:"answerTo,omitempty"`
}

// TaskName is the protocol's name of a task of a job.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName takes a task's name apart; ok is false if it is none.
func ParseTaskName(name string) (job string, index int, ok bool) {
	job, n, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	i, err := strconv.Atoi(n)
	if err != nil || i < 0 || i >= maxTasks {
		return "", 0, false
	}
	return job, i, true
}
