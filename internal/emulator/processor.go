package emulator

import (
	"context"
	"time"
)

// Each host has one processor, which handles one sent or received message at a time. A host with
// a slow processor falls behind, and a frozen one sends and receives nothing. Computation between
// messages is not slowed down.

// SetMessageCost sets the processor time that each message sent or received by the named host
// takes. It stays in force when the host is restarted. 0 means no processor time.
func (n *Network) SetMessageCost(name string, cost time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messageCost[name] = cost
}

// Freeze occupies the named host's processor, so that the host sends and receives nothing, and
// returns after the given duration or when the context ends. A host of the same name that is
// started in the meantime is not frozen.
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

// useProcessor waits until the processor is free, and occupies it for the cost of one message.
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
