package controller

import (
	"fmt"
	"time"

	"ambersill/internal/peerrpc"
	"ambersill/internal/tuning"
)

const (
	// healthyContactFactor is the multiple of FreshS up to which a node stays healthy
	// without contact to the key-value store: half as long again as it accepts requests, so
	// that one slow response changes nothing.
	healthyContactFactor = 1.5
	// peerContactTimeout bounds the call that asks a peer for its contact, within a health
	// check whose sender does not wait for long.
	peerContactTimeout = 400 * time.Millisecond
)

// Healthy reports whether this node can take requests. In an outage that all nodes share
// it stays healthy, since no other node would do better.
func (c *Controller) Healthy() bool {
	if len(c.catalog()) == 0 {
		return false
	}
	if c.store.SinceContact() < tuning.Seconds(healthyContactFactor*c.tuning.FreshS) {
		return true
	}
	return c.noPeerInContact()
}

// peerContact is what a peer answers about its contact to the key-value store.
type peerContact struct {
	reachable bool
	fresh     bool // the key-value store has served the peer within FreshS
}

// noPeerInContact reports whether no other node has contact to the key-value store either. It
// is false if no peer can be reached: then this node itself is probably partitioned away. It
// is true for a node without peers, which cannot tell an outage from a network partition.
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

// SinceContact returns the time since the key-value store last served this node.
func (c *Controller) SinceContact() time.Duration { return c.store.SinceContact() }

// NoContactError reports that the key-value store does not serve this node at present.
type NoContactError struct {
	// Elapsed is the time since it last did.
	Elapsed time.Duration
}

func (e *NoContactError) Error() string {
	return fmt.Sprintf("no contact to the key-value store for %.0f s", e.Elapsed.Seconds())
}

// checkContact returns a *NoContactError if the key-value store has not served this node for
// longer than FreshS. Requests that need that service are refused at once then, rather
// than after a wait.
func (c *Controller) checkContact() error {
	since := c.store.SinceContact()
	if since > tuning.Seconds(c.tuning.FreshS) {
		return &NoContactError{Elapsed: since}
	}
	return nil
}
