package scheduler

import "ambersill/internal/wire"

// Counters counts events of a partition since this node became its owner.
type Counters struct {
	Placed           int // placements made
	Finished         int // tasks that completed successfully
	Requeued         int // placements that ended before their task was done
	Preempted        int // placements stopped in favor of other jobs
	Moved            int // placements stopped in order to empty their machine
	JournalRecords   int // journal records written
	Compactions      int // chunk records written
	GangReservations int // times that machines were reserved for a starved gang
	GangTimeouts     int // gang tasks that timed out waiting for the other tasks of their gang

	StartsSent  int // start commands, with those that were repeated
	StopsSent   int // stop commands, likewise
	ForgetsSent int // commands to forget an exited task, likewise
	// DirectRequests is the number of answered or unanswered direct requests; RequestsRefused and
	// RequestsUnknown those that were not executed, and those that may have been.
	DirectRequests  int
	RequestsRefused int
	RequestsUnknown int
	// TokensRaised is the number of times that a machine's token was raised to have late copies of
	// direct requests refused.
	TokensRaised int
}

// countCommand counts a command that is sent.
func (c *Counters) countCommand(op wire.Op) {
	switch op {
	case wire.StartTask:
		c.StartsSent++
	case wire.StopTask:
		c.StopsSent++
	case wire.ForgetTask:
		c.ForgetsSent++
	}
}

// countOutcome counts the outcome of a direct request.
func (c *Counters) countOutcome(outcome CommandOutcome) {
	c.DirectRequests++
	switch outcome {
	case CommandsExecuted:
	case CommandsNotExecuted:
		c.RequestsRefused++
	case CommandsUnknown:
		c.RequestsUnknown++
	}
}
