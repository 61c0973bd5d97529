package scheduler

import (
	"time"

	"ambersill/internal/wire"
)

// messageOrder is the position of the newest message of a worker. The network may delay
// messages, so that an older one arrives after a newer one.
type messageOrder struct {
	incarnation uint64
	sequence    uint64 // of the newest message, heartbeat or response to commands
	// heartbeatSequence is the sequence number of the newest message that was a heartbeat.
	heartbeatSequence uint64
	// overtakenSequence is that of the newest heartbeat that arrived after a response to
	// commands which the worker sent later.
	overtakenSequence uint64
}

// isStale reports whether the message is older than the newest one, or a copy of it.
func (o *messageOrder) isStale(message *wire.Heartbeat) bool {
	if message.Incarnation != o.incarnation {
		return message.Incarnation < o.incarnation
	}
	return message.Sequence <= o.sequence
}

// isOvertaken reports whether a stale heartbeat is stale only because the response to a
// command request overtook it: it is the first copy of a heartbeat newer than all others.
func (o *messageOrder) isOvertaken(heartbeat *wire.Heartbeat) bool {
	newest := max(o.heartbeatSequence, o.overtakenSequence)
	return heartbeat.Incarnation == o.incarnation && heartbeat.Sequence > newest
}

// recordHeartbeat makes a heartbeat the newest message.
func (o *messageOrder) recordHeartbeat(heartbeat *wire.Heartbeat) {
	if heartbeat.Incarnation > o.incarnation {
		o.overtakenSequence = 0
	}
	o.incarnation = heartbeat.Incarnation
	o.sequence = heartbeat.Sequence
	o.heartbeatSequence = heartbeat.Sequence
}

// recordResponse makes a response to commands the newest message.
func (o *messageOrder) recordResponse(response *wire.Heartbeat) {
	o.incarnation = response.Incarnation
	o.sequence = response.Sequence
}

// tokenState is a machine's fencing token and whether its worker has acknowledged it. A worker
// refuses commands whose token is lower than the highest it has seen.
type tokenState struct {
	current uint64
	// acknowledged: a message that carries the current token has arrived, so that whatever
	// an earlier owner commanded has taken effect or never will.
	acknowledged bool
	// everAcknowledged: a token of this owner was acknowledged at least once.
	everAcknowledged bool
	// unacknowledgedSince is when the worker's heartbeats began to lack the token that this
	// owner waits for; zero if they do not lack it.
	unacknowledgedSince time.Time
}

// raise sets a higher token, which the worker has to acknowledge anew.
func (t *tokenState) raise(token uint64) {
	if token > t.current {
		t.current = token
		t.acknowledged = false
	}
}

// isCarriedBy reports whether the message carries the current token.
func (t *tokenState) isCarriedBy(message *wire.Heartbeat) bool {
	return message.FencingToken == t.current
}

// trackAcknowledgement records since when the worker's heartbeats lack the awaited token.
func (t *tokenState) trackAcknowledgement(awaiting bool, now time.Time) {
	switch {
	case !awaiting:
		t.unacknowledgedSince = time.Time{}
	case t.unacknowledgedSince.IsZero():
		t.unacknowledgedSince = now
	}
}

// leaseState is the state, as known to this owner, of the lease under which a worker runs its
// tasks.
// Each answered heartbeat renews it; the worker kills its tasks when it expires.
type leaseState struct {
	lastAnsweredAt time.Time // when a heartbeat was last answered
	answeredSince  time.Time // since when heartbeats have been answered without a gap
	expired        bool      // it has expired by any clock within the tolerated drift
	expiredAt      time.Time // when that was found
}

// commandState is the state of the commands that were sent straight to a machine rather
// than in the response to a heartbeat.
type commandState struct {
	// inFlight: a request with starts is under way.
	inFlight bool
	// unconfirmed: a request was not answered, or its answer did not arrive. It may be
	// executed until the worker has seen a token above unconfirmedToken.
	unconfirmed      bool
	unconfirmedToken uint64
}

// markUnconfirmed records that commands sent under the token may be executed at any time.
func (c *commandState) markUnconfirmed(token uint64) {
	c.unconfirmed = true
	c.unconfirmedToken = token
}

// pending reports whether commands may still be executed by the worker.
func (c *commandState) pending() bool { return c.inFlight || c.unconfirmed }

// isResolvedBy reports whether a worker that has seen the token can no longer execute the
// unconfirmed commands.
func (c *commandState) isResolvedBy(token uint64) bool {
	return c.unconfirmed && token > c.unconfirmedToken
}

// needsHigherToken reports whether the machine's record must be rewritten to raise its
// token, which is the only way to learn the outcome of the commands.
func (c *commandState) needsHigherToken(token uint64) bool {
	return c.unconfirmed && token == c.unconfirmedToken
}
