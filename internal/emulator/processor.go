package emulator

import (
	"context"
	"time"
)

// A host has one processor. Each message sent or received occupies it in turn, so that a host
// with a slow processor falls behind, and a frozen one sends and receives nothing. What its
// process computes between two messages is not slowed.

// SetMessageCost has every message that the named host sends or receives take the given time,
// one after the other, also when the host is started anew; 0 ends it.
func (n *Network) SetMessageCost(name string, cost time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messageCost[name] = cost
}

// Freeze has the named host send and receive nothing for a while, or until the context ends.
// A host that is started anew meanwhile is not affected.
func (n *Network) Freeze(ctx context.Context, name string, duration time.Duration) {
	n.mu.Lock()
	host := n.hosts[name]
	n.mu.Unlock()
	if host == nil {
		return
	}
	host.acquireProcessor()
	defer host.releaseProcessor()
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// useProcessor occupies the processor for one message.
func (h *Host) useProcessor() {
	h.network.mu.Lock()
	cost := h.network.messageCost[h.name]
	h.network.mu.Unlock()
	h.acquireProcessor()
	defer h.releaseProcessor()
	if cost > 0 {
		time.Sleep(cost)
	}
}

func (h *Host) acquireProcessor() { h.processor <- struct{}{} }

func (h *Host) releaseProcessor() { <-h.processor }
