package emulator

import (
	"context"
	"time"

	"ambersill/internal/wire"
)

const (
	// minLateHeartbeatDelay is how late copies of heartbeats are at least.
	minLateHeartbeatDelay = 2 * time.Second
	// nextOwnerTimeout is how long another owner is waited for, and nextOwnerInterval how
	// often it is looked for.
	nextOwnerTimeout      = 2 * time.Minute
	nextOwnerPollInterval = 20 * time.Millisecond
	// Kept heartbeats are replayed several times, since the next owner accepts them only once
	// it has read its records.
	replayCount    = 6
	replayInterval = 100 * time.Millisecond
)

// sendLateHeartbeatCopies sends copies of heartbeats to random nodes, up to the fault's Wait later.
func (f *FaultInjector) sendLateHeartbeatCopies(ctx context.Context, fault Fault) {
	f.handleHeartbeatsDuringFault(ctx, fault, func(_ *wire.Heartbeat, send func(Node)) {
		if f.randomFloat() >= fault.Probability {
			return
		}
		to := f.Nodes[int(f.randomFloat()*float64(len(f.Nodes)))]
		delay := minLateHeartbeatDelay + time.Duration(f.randomFloat()*float64(fault.Delay))
		time.AfterFunc(delay, func() {
			f.countInjected(fault.Kind, 1)
			send(to)
		})
	})
}

// replayHeartbeatsToNextOwner keeps the first heartbeat of each machine during the fault, and sends them
// to every node when the partition has another owner.
func (f *FaultInjector) replayHeartbeatsToNextOwner(ctx context.Context, fault Fault) {
	_, revision := f.FirstPartitionOwner()
	sendCopy := map[string]func(Node){} // by machine
	f.handleHeartbeatsDuringFault(ctx, fault, func(heartbeat *wire.Heartbeat, send func(Node)) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if sendCopy[heartbeat.Machine] == nil {
			sendCopy[heartbeat.Machine] = send
		}
	})
	if !f.waitForNextOwner(ctx, revision) {
		return
	}
	time.Sleep(fault.Delay)
	for range replayCount {
		f.replayHeartbeats(fault.Kind, sendCopy)
		time.Sleep(replayInterval)
	}
}

// waitForNextOwner waits until the partition has an owner by a later record than the revision,
// and reports whether it got one in time.
func (f *FaultInjector) waitForNextOwner(ctx context.Context, revision uint64) bool {
	deadline := time.Now().Add(nextOwnerTimeout)
	for {
		if owner, current := f.FirstPartitionOwner(); owner >= 0 && current != revision {
			return true
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		time.Sleep(nextOwnerPollInterval)
	}
}

// replayHeartbeats sends kept heartbeats to all nodes, without waiting for the answers.
func (f *FaultInjector) replayHeartbeats(kind FaultKind, sendCopy map[string]func(Node)) {
	for _, send := range sendCopy {
		for _, node := range f.Nodes {
			f.countInjected(kind, 1)
			f.wg.Go(func() { send(node) })
		}
	}
}

// handleHeartbeatsDuringFault has a function called with each heartbeat for as long as the fault lasts.
func (f *FaultInjector) handleHeartbeatsDuringFault(ctx context.Context, fault Fault, onHeartbeat heartbeatFunc) {
	f.setOnHeartbeat(onHeartbeat)
	waitUntilOver(ctx, fault)
	f.setOnHeartbeat(nil)
}

func (f *FaultInjector) setOnHeartbeat(onHeartbeat heartbeatFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onHeartbeat = onHeartbeat
}
