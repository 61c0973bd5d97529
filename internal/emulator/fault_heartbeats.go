package emulator

import (
	"context"
	"time"

	"ambersill/internal/wire"
)

const (
	// minHeartbeatDelay is how late copies of heartbeats are at least.
	minHeartbeatDelay = 2 * time.Second
	// nextOwnerTimeout is how long another owner is waited for, and nextOwnerInterval how
	// often it is looked for.
	nextOwnerTimeout  = 2 * time.Minute
	nextOwnerInterval = 20 * time.Millisecond
	// Kept heartbeats are replayed several times, since the next owner accepts them only once
	// it has read its records.
	heartbeatReplays = 6
	replayInterval   = 100 * time.Millisecond
)

// copyHeartbeatsLate sends copies of heartbeats to random nodes, up to the fault's Wait later.
func (f *FaultInjector) copyHeartbeatsLate(ctx context.Context, fault Fault) {
	f.whileOnHeartbeat(ctx, fault, func(_ *wire.Heartbeat, send func(Node)) {
		if f.randomFloat() >= fault.Share {
			return
		}
		to := f.Nodes[int(f.randomFloat()*float64(len(f.Nodes)))]
		delay := minHeartbeatDelay + time.Duration(f.randomFloat()*float64(fault.Wait))
		time.AfterFunc(delay, func() {
			f.countInjected(fault.Kind, 1)
			send(to)
		})
	})
}

// replayToNextOwner keeps the first heartbeat of each machine during the fault, and sends them
// to every node when the partition has another owner.
func (f *FaultInjector) replayToNextOwner(ctx context.Context, fault Fault) {
	_, revision := f.Owner()
	kept := map[string]func(Node){} // by machine
	f.whileOnHeartbeat(ctx, fault, func(heartbeat *wire.Heartbeat, send func(Node)) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if kept[heartbeat.Machine] == nil {
			kept[heartbeat.Machine] = send
		}
	})
	if !f.awaitNextOwner(ctx, revision) {
		return
	}
	time.Sleep(fault.Wait)
	for range heartbeatReplays {
		f.replay(fault.Kind, kept)
		time.Sleep(replayInterval)
	}
}

// awaitNextOwner waits until the partition has an owner by a later record than the revision,
// and reports whether it got one in time.
func (f *FaultInjector) awaitNextOwner(ctx context.Context, revision uint64) bool {
	deadline := time.Now().Add(nextOwnerTimeout)
	for {
		if owner, current := f.Owner(); owner >= 0 && current != revision {
			return true
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		time.Sleep(nextOwnerInterval)
	}
}

// replay sends kept heartbeats to all nodes, without waiting for the answers.
func (f *FaultInjector) replay(kind FaultKind, kept map[string]func(Node)) {
	for _, send := range kept {
		for _, node := range f.Nodes {
			f.countInjected(kind, 1)
			f.wg.Go(func() { send(node) })
		}
	}
}

// whileOnHeartbeat has a function called with each heartbeat for as long as the fault lasts.
func (f *FaultInjector) whileOnHeartbeat(ctx context.Context, fault Fault, onHeartbeat heartbeatFunc) {
	f.setOnHeartbeat(onHeartbeat)
	waitUntilOver(ctx, fault)
	f.setOnHeartbeat(nil)
}

func (f *FaultInjector) setOnHeartbeat(onHeartbeat heartbeatFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onHeartbeat = onHeartbeat
}
