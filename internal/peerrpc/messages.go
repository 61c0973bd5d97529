package peerrpc

import (
	"ambersill/internal/wire"
)

// The messages in this file travel as gob, which matches struct fields by name and drops
// those that the other side does not know. Controllers of different versions run beside
// each other during an upgrade, so the names of the methods and of every field below are
// a format: they stay as they are. TestProductionMessages compares them with the version
// in production.

// The methods of the service.
const (
	serviceName     = "Mesh"
	methodClaimed   = serviceName + ".Claimed"
	methodCancelled = serviceName + ".Cancelled"
	methodView      = serviceName + ".View"
	methodReports   = serviceName + ".Reports"
)

// Claim is the argument of Claimed.
type Claim struct {
	Part  int
	Stamp uint64
	Node  string
}

// Cancellation is the argument of Cancelled.
type Cancellation struct {
	Part int
	Job  string
}

// Query is the argument of View; without a job it asks for Contact only.
type Query struct{ Job string }

// Answer is the reply of View.
type Answer struct {
	Known         bool
	Done, Running int
	// Contact: seconds since the key-value store last served the node.
	Contact float64
}

// ReportBatch is the argument of Reports.
type ReportBatch struct{ Reports []WorkerReport }

// WorkerReport is one heartbeat of a batch.
type WorkerReport struct {
	Report Report
	// Notice repeats that the heartbeat carries a spot notice: gob drops a pointer to
	// zero, which is what a notice counts down to.
	Notice bool
}

// Report is a worker's heartbeat.
type Report struct {
	Machine string
	Addr    string
	Type    string
	Zone    string
	Spot    bool
	Session uint64
	Seq     uint64
	Token   uint64
	Notice  *float64
	Tasks   []TaskReport
}

// TaskReport is the status of one task of a heartbeat.
type TaskReport struct {
	Task    string
	Attempt uint64
	State   string
	Cause   string
	Saved   bool
}

// BatchReply is the reply of Reports, in the order of the batch.
type BatchReply struct{ Replies []WorkerReply }

// WorkerReply answers one heartbeat of a batch.
type WorkerReply struct {
	Accepted bool
	Reply    ReportReply
}

// ReportReply is the owner's response to a heartbeat.
type ReportReply struct {
	Token    uint64
	Commands []Command
}

// Command is one command of a response.
type Command struct {
	Op      string
	Task    string
	Attempt uint64
	Grace   float64
}

// encodeHeartbeat encodes a heartbeat.
func encodeHeartbeat(heartbeat *wire.Heartbeat) WorkerReport {
	message := Report{
		Machine: heartbeat.Machine,
		Addr:    heartbeat.Address,
		Type:    heartbeat.MachineType,
		Zone:    heartbeat.Zone,
		Spot:    heartbeat.Spot,
		Session: heartbeat.Incarnation,
		Seq:     heartbeat.Sequence,
		Token:   heartbeat.FencingToken,
		Notice:  heartbeat.TerminationNoticeS,
	}
	if heartbeat.Tasks != nil {
		message.Tasks = make([]TaskReport, len(heartbeat.Tasks))
	}
	for i, t := range heartbeat.Tasks {
		message.Tasks[i] = TaskReport{
			Task:    t.Task,
			Attempt: t.Attempt,
			State:   string(t.State),
			Cause:   string(t.ExitCause),
			Saved:   t.CheckpointSaved,
		}
	}
	return WorkerReport{Report: message, Notice: heartbeat.TerminationNoticeS != nil}
}

// decodeHeartbeat decodes a decodeHeartbeat, and restores what the encoding loses.
func (w *WorkerReport) decodeHeartbeat() *wire.Heartbeat {
	message := &w.Report
	heartbeat := &wire.Heartbeat{
		Machine:            message.Machine,
		Address:            message.Addr,
		MachineType:        message.Type,
		Zone:               message.Zone,
		Spot:               message.Spot,
		Incarnation:        message.Session,
		Sequence:           message.Seq,
		FencingToken:       message.Token,
		TerminationNoticeS: message.Notice,
	}
	if w.Notice && heartbeat.TerminationNoticeS == nil {
		heartbeat.TerminationNoticeS = new(float64)
	}
	if message.Tasks != nil {
		heartbeat.Tasks = make([]wire.TaskStatus, len(message.Tasks))
	}
	for i, t := range message.Tasks {
		heartbeat.Tasks[i] = wire.TaskStatus{
			Task:            t.Task,
			Attempt:         t.Attempt,
			State:           wire.TaskState(t.State),
			ExitCause:       wire.ExitCause(t.Cause),
			CheckpointSaved: t.Saved,
		}
	}
	return heartbeat
}

// encodeResponse encodes a response.
func encodeResponse(response wire.HeartbeatResponse) ReportReply {
	message := ReportReply{Token: response.FencingToken}
	if response.Commands != nil {
		message.Commands = make([]Command, len(response.Commands))
	}
	for i, c := range response.Commands {
		message.Commands[i] = Command{Op: string(c.Op), Task: c.Task, Attempt: c.Attempt, Grace: c.GracePeriodS}
	}
	return message
}

// decodeResponse decodes a decodeResponse.
func (r *ReportReply) decodeResponse() wire.HeartbeatResponse {
	response := wire.HeartbeatResponse{FencingToken: r.Token}
	if r.Commands != nil {
		response.Commands = make([]wire.Command, len(r.Commands))
	}
	for i, c := range r.Commands {
		response.Commands[i] = wire.Command{Op: wire.Op(c.Op), Task: c.Task, Attempt: c.Attempt, GracePeriodS: c.Grace}
	}
	return response
}
