package controller

import (
	"fmt"
	"time"

	"ambersill/internal/peerrpc"
	"ambersill/internal/tuning"
)

const (
	// healthyContactFactor is the multiple of FreshS for which a node without contact with
	// the key-value store stays healthy. The node accepts requests for FreshS; it stays
	// healthy for half as long again, so that one slow response does not make it unhealthy.
	healthyContactFactor = 1.5
	// peerContactTimeout bounds the call that asks a peer for the age of its last contact with
	// the key-value store. It is short because the sender of a health check does not wait long.
	peerContactTimeout = 400 * time.Millisecond
)

// Healthy reports whether this node can take requests. During an outage of the key-value store
// that affects all nodes it stays healthy, because no other node could serve the requests.
func (c *Controller) Healthy() bool {
	if len(c.catalog()) == 0 {
		return false
	}
	if c.store.SinceContact() < tuning.Seconds(healthyContactFactor*c.tuning.FreshS) {
		return true
	}
	return c.noPeerInContact()
}

// peerContact is the state of a peer's contact with the key-value store.
type peerContact struct {
	reachable bool // the peer has answered
	fresh     bool // the key-value store has served the peer within FreshS
}

// noPeerInContact reports whether all peers that answer are without contact with the key-value
// store. It returns false if no peer can be reached, because then a network partition probably
// separates this node from all others. It returns true for a node without peers, which cannot
// tell an outage from a network partition.
func (c *Controller) noPeerInContact() bool {
	contacts := make(chan peerContact, len(c.peers))
	for _, peer := range c.peers {
		go func() { contacts <- c.queryPeerContact(peer) }()
	}
	anyReachable := len(c.peers) == 0
	for range c.peers {
		contact := <-contacts
		if contact.fresh {
			return false
		}
		anyReachable = anyReachable || contact.reachable
	}
	return anyReachable
}

func (c *Controller) queryPeerContact(peer *peerrpc.Peer) peerContact {
	age, err := peer.SinceContact(peerContactTimeout)
	if err != nil {
		return peerContact{}
	}
	return peerContact{reachable: true, fresh: age < tuning.Seconds(c.tuning.FreshS)}
}

// SinceContact returns the time since the newest request that the key-value store has served was
// sent.
func (c *Controller) SinceContact() time.Duration { return c.store.SinceContact() }

// NoContactError is returned for a request that is refused because the key-value store does not
// serve this node at present.
type NoContactError struct {
	// Elapsed is the time since the store last served this node.
	Elapsed time.Duration
}

func (e *NoContactError) Error() string {
	return fmt.Sprintf("no contact with the key-value store for %.0f s", e.Elapsed.Seconds())
}

// checkContact returns a *NoContactError if the key-value store has not served this node for
// longer than FreshS, so that requests that need the store are refused at once rather than
// after a timeout.
func (c *Controller) checkContact() error {
	since := c.store.SinceContact()
	if since > tuning.Seconds(c.tuning.FreshS) {
		return &NoContactError{Elapsed: since}
	}
	return nil
}
