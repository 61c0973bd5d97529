package wire

import (
	"strconv"
	"strings"
)

// TaskState is a worker's word on a task.
type TaskState string

// The states of a task on its machine.
const (
	Fetching    TaskState = "fetching"
	WaitingGang TaskState = "gathering"
	RunningTask TaskState = "running"
	Saving      TaskState = "saving"
	Exited      TaskState = "ended"
)

// Cause tells why a task exited.
type Cause string

// The causes of an exit that decide what happens next.
const (
	CauseDone       Cause = "done"
	CauseStopped    Cause = "halted"
	CausePeers      Cause = "mates_gone"
	CauseIncomplete Cause = "incomplete"
	CauseError      Cause = "error"
	CauseNoRoom     Cause = "full"
	CauseBusy       Cause = "busy"
	CauseUnknown    Cause = "unknown"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string    `cbor:"piece"`
	Attempt uint64    `cbor:"try"`
	State   TaskState `cbor:"phase"`
	Cause   Cause     `cbor:"cause,omitempty"`
	Saved   bool      `cbor:"stored,omitempty"`
}

// Report is what a worker says of its machine.
type Report struct {
	Machine string       `cbor:"hearth"`
	Addr    string       `cbor:"address"`
	Type    string       `cbor:"breed"`
	Zone    string       `cbor:"field"`
	Spot    bool         `cbor:"windfall"`
	Session uint64       `cbor:"tenure"`
	Seq     uint64       `cbor:"tally"`
	Token   uint64       `cbor:"mandate"`
	Notice  *float64     `cbor:"warningS"`
	Tasks   []TaskReport `cbor:"pieces"`
}

// Op is what a command asks for.
type Op string

// The commands.
const (
	Start  Op = "start"
	Stop   Op = "kill"
	Forget Op = "clear"
)

// Command is one order to a worker.
type Command struct {
	Op      Op      `cbor:"verb"`
	Task    string  `cbor:"piece"`
	Attempt uint64  `cbor:"try"`
	Grace   float64 `cbor:"mercyS"`
}

// ReportReply answers a report.
type ReportReply struct {
	Token    uint64    `cbor:"mandate"`
	Commands []Command `cbor:"bids"`
}

// Orders are commands sent straight to a worker.
type Orders struct {
	Token    uint64    `cbor:"mandate"`
	Session  uint64    `cbor:"tenure"`
	Commands []Command `cbor:"bids"`
}

// Redirect names the node that a worker should report to.
type Redirect struct {
	Node string `cbor:"answerTo,omitempty"`
}

// TaskName is the protocol's name of a task of a job.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTask takes a task's name apart; ok is false if it is none.
func SplitTask(name string) (job string, index int, ok bool) {
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
