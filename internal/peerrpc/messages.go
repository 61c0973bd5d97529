package peerrpc

import (
	"ambersill/internal/wire"
)

// The messages in this file are encoded as gob, which matches struct fields by name and ignores
// fields that the receiver does not have. Controllers of different versions call each other
// during an upgrade, so the names of the methods and of every field below are part of the
// protocol and must not change. TestProductionMessages checks them against the version in
// production.

// Names under which net/rpc registers the service and finds its methods.
const (
	serviceName     = "Mesh"
	methodClaimed   = serviceName + ".Claimed"
	methodCancelled = serviceName + ".Cancelled"
	methodView      = serviceName + ".View"
	methodReports   = serviceName + ".Reports"
)

// Claim is the argument of Claimed, and encodes an OwnershipClaim. Stamp is its revision.
type Claim struct {
	Part  int
	Stamp uint64
	Node  string
}

// Cancellation is the argument of Cancelled, and encodes a JobCancellation.
type Cancellation struct {
	Part int
	Job  string
}

// Query is the argument of View. If Job is empty, it asks for Contact only.
type Query struct{ Job string }

// Answer is the reply of View.
type Answer struct {
	Known         bool
	Done, Running int
	// Contact is the time in seconds since the node sent the last request that the key-value
	// store served.
	Contact float64
}

// ReportBatch is the argument of Reports.
type ReportBatch struct{ Reports []WorkerReport }

// WorkerReport is one heartbeat in a batch.
type WorkerReport struct {
	Report Report
	// Notice is true if the heartbeat contains a spot termination notice. The notice counts
	// down to zero, and gob omits a pointer to zero, so that Report.Notice alone would be lost.
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

// TaskReport is the status of one task in a heartbeat.
type TaskReport struct {
	Task    string
	Attempt uint64
	State   string
	Cause   string
	Saved   bool
}

// BatchReply is the reply of Reports, with the answers in the order of the batch's heartbeats.
type BatchReply struct{ Replies []WorkerReply }

// WorkerReply is the answer to one heartbeat of a batch.
type WorkerReply struct {
	Accepted bool
	Reply    ReportReply
}

// ReportReply is the owner's response to a heartbeat.
type ReportReply struct {
	Token    uint64
	Commands []Command
}

// Command is one command in the response to a heartbeat.
type Command struct {
	Op      string
	Task    string
	Attempt uint64
	Grace   float64
}

// encodeHeartbeat returns the message that contains a heartbeat.
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

// decodeHeartbeat returns the heartbeat in the message, and restores a notice of zero seconds,
// which gob omits.
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

// encodeResponse returns the message that contains a heartbeat's response.
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

// decodeResponse returns the heartbeat's response in the message.
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
