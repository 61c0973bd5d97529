package scheduler

import (
	"time"

	"ambersill/internal/wire"
)

// messageOrder identifies the newest messages received from a worker. It is used to detect messages
// that the network delayed and that arrive after newer ones.
type messageOrder struct {
	incarnation uint64
	sequence    uint64 // of the newest message, a heartbeat or a response to a command request
	// heartbeatSequence is the sequence number of the newest heartbeat that was not overtaken.
	heartbeatSequence uint64
	// overtakenSequence is the sequence number of the newest heartbeat that arrived after a
	// response to a command request that the worker sent later.
	overtakenSequence uint64
}

// isStale reports whether the message is older than the newest message, or a copy of it.
func (o *messageOrder) isStale(message *wire.Heartbeat) bool {
	if message.Incarnation != o.incarnation {
		return message.Incarnation < o.incarnation
	}
	return message.Sequence <= o.sequence
}

// isOvertaken reports whether a stale heartbeat is stale only because a response to a command
// request overtook it. This is the case if it is newer than all heartbeats received before.
func (o *messageOrder) isOvertaken(heartbeat *wire.Heartbeat) bool {
	newest := max(o.heartbeatSequence, o.overtakenSequence)
	return heartbeat.Incarnation == o.incarnation && heartbeat.Sequence > newest
}

// recordHeartbeat records a heartbeat as the newest message.
func (o *messageOrder) recordHeartbeat(heartbeat *wire.Heartbeat) {
	if heartbeat.Incarnation > o.incarnation {
		o.overtakenSequence = 0
	}
	o.incarnation = heartbeat.Incarnation
	o.sequence = heartbeat.Sequence
	o.heartbeatSequence = heartbeat.Sequence
}

// recordResponse records a response to a command request as the newest message.
func (o *messageOrder) recordResponse(response *wire.Heartbeat) {
	o.incarnation = response.Incarnation
	o.sequence = response.Sequence
}

// tokenState is a machine's fencing token and its acknowledgement by the worker. A worker refuses
// commands whose token is lower than the highest token it has seen.
type tokenState struct {
	current uint64 // the token of all messages to the worker
	// required is the lowest token that a message of the worker must carry to show that commands
	// of earlier owners, and those of requests that were not answered, can no longer take effect.
	required uint64
	// acknowledged is set once a message that carries at least the required token has arrived.
	// Commands of earlier owners have then either taken effect or never will.
	acknowledged bool
	// everAcknowledged is set once any token of this owner has been acknowledged.
	everAcknowledged bool
	// unacknowledgedSince is the time since which all heartbeats of the worker have lacked the
	// token that this owner is waiting for. It is zero if the owner is not waiting for a token.
	unacknowledgedSince time.Time
}

// raise sets the token if it is higher than the current one. The worker must then acknowledge it.
func (t *tokenState) raise(token uint64) {
	if token > t.current {
		t.current, t.required = token, token
		t.acknowledged = false
	}
}

// supersede sets the token if it is higher than the current one, for requests of this owner that were
// answered and must not be executed again. The worker need not acknowledge it: whichever message
// shows it first, those requests are refused from then on.
func (t *tokenState) supersede(token uint64) { t.current = max(t.current, token) }

// isShownBy reports whether the message carries the required token or a higher one.
func (t *tokenState) isShownBy(message *wire.Heartbeat) bool {
	return message.FencingToken >= t.required
}

// trackAcknowledgement updates unacknowledgedSince after a heartbeat. awaiting reports whether the
// owner still waits for the worker to acknowledge a token.
func (t *tokenState) trackAcknowledgement(awaiting bool, now time.Time) {
	switch {
	case !awaiting:
		t.unacknowledgedSince = time.Time{}
	case t.unacknowledgedSince.IsZero():
		t.unacknowledgedSince = now
	}
}

// leaseState is what this owner knows of the lease under which a worker runs its tasks. Each
// answered heartbeat renews the lease. When it expires, the worker kills its tasks.
type leaseState struct {
	lastAnsweredAt time.Time // when a heartbeat was last answered
	// answeredSince is the start of the period in which answers were never further apart than a
	// lease duration.
	answeredSince time.Time
	// expired is set if the lease has expired even if the worker's clock is slow by the tolerated
	// drift.
	expired   bool
	expiredAt time.Time // when the expiry was detected
}

// commandState is the state of the commands that were sent to a machine in a direct request instead
// of the response to a heartbeat.
type commandState struct {
	// requestInFlight is set while a request is in transit or being executed, startsInFlight while
	// a request with start commands is.
	requestInFlight bool
	startsInFlight  bool
	// lastStartToken is the token of the newest request with start commands.
	lastStartToken uint64
	// unconfirmed is set if the answer to a request did not arrive, or if the worker receives no
	// responses. Commands sent under unconfirmedToken may be executed until the worker has seen a
	// higher token.
	unconfirmed      bool
	unconfirmedToken uint64
}

// markUnconfirmed records that commands sent under the token may still be executed at any time.
func (c *commandState) markUnconfirmed(token uint64) {
	c.unconfirmed = true
	c.unconfirmedToken = token
}

// pending reports whether the worker may still execute start commands of a direct request for the
// first time.
func (c *commandState) pending() bool { return c.startsInFlight || c.unconfirmed }

// isResolvedBy reports whether there are unconfirmed commands that a worker can no longer execute
// once it has seen the token.
func (c *commandState) isResolvedBy(token uint64) bool {
	return c.unconfirmed && token > c.unconfirmedToken
}

// needsHigherToken reports whether the machine's record must be rewritten to raise its token. The
// outcome of unconfirmed commands cannot be determined otherwise.
func (c *commandState) needsHigherToken(token uint64) bool {
	return c.unconfirmed && token == c.unconfirmedToken
}
