package emulator

import (
	"context"
	"time"
)

// A host has one processor. Whatever is sent or received takes a turn of it, so that a
// host that computes slowly falls behind, and one that stands still sends and receives
// nothing. What its process computes between two messages is not slowed.

// SlowDown has every message that the named host sends or receives take the given time,
// one after the other, also when the host is started anew; 0 ends it.
func (f *Network) SlowDown(name string, cost time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.messageCost[name] = cost
}

// Freeze has the named host send and receive nothing for a while, or until the context
// ends. One that is started anew meanwhile is not concerned.
func (f *Network) Freeze(ctx context.Context, name string, d time.Duration) {
	f.mu.Lock()
	h := f.hosts[name]
	f.mu.Unlock()
	if h == nil {
		return
	}
	h.processor <- struct{}{}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
	<-h.processor
}

// useProcessor takes the processor for one message.
func (h *Host) useProcessor() {
	h.network.mu.Lock()
	cost := h.network.messageCost[h.name]
	h.network.mu.Unlock()
	h.processor <- struct{}{}
	if cost > 0 {
		time.Sleep(cost)
	}
	<-h.processor
}
