package emulator

import (
	"context"
	"maps"
	"slices"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

const (
	// minLateHeartbeatDelay is the minimum delay of a late copy of a heartbeat.
	minLateHeartbeatDelay = 2 * time.Second
	// waitForNextOwner waits up to nextOwnerTimeout for the first partition to get a new owner,
	// and checks the owner every nextOwnerPollInterval.
	nextOwnerTimeout      = 2 * time.Minute
	nextOwnerPollInterval = 20 * time.Millisecond
	// The recorded heartbeats are replayed replayCount times, replayInterval apart, because a new
	// owner accepts heartbeats only after it has read the partition's records from the store.
	replayCount    = 6
	replayInterval = 100 * time.Millisecond
)

// sendLateHeartbeatCopies copies heartbeats with the fault's Probability, and sends each copy to a
// random node after minLateHeartbeatDelay and a random time of up to the fault's Delay.
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

// replayHeartbeatsToNextOwner records the first heartbeat of each machine during the fault. Once
// the fault is over and the first partition has a new owner, it waits for the fault's Delay and
// sends the recorded heartbeats to every node, replayCount times.
func (f *FaultInjector) replayHeartbeatsToNextOwner(ctx context.Context, fault Fault) {
	_, revision := f.FirstPartitionOwner()
	// Functions that each send one machine's recorded heartbeat, by machine ID.
	sendFuncs := map[string]func(Node){}
	f.handleHeartbeatsDuringFault(ctx, fault, func(heartbeat *wire.Heartbeat, send func(Node)) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if sendFuncs[heartbeat.Machine] == nil {
			sendFuncs[heartbeat.Machine] = send
		}
	})
	if !f.waitForNextOwner(ctx, revision) {
		return
	}
	transport.Pause(ctx, fault.Delay)
	f.mu.Lock()
	recorded := maps.Clone(sendFuncs) // with those that were still being handled as the fault ended
	f.mu.Unlock()
	for range replayCount {
		if ctx.Err() != nil {
			return
		}
		f.replayHeartbeats(fault.Kind, recorded)
		transport.Pause(ctx, replayInterval)
	}
}

// waitForNextOwner waits until the first partition has an owner and its record has a revision other
// than the given one. It returns false if that does not happen within nextOwnerTimeout or before
// ctx ends.
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

// replayHeartbeats sends the recorded heartbeats to all nodes, without waiting for the responses.
func (f *FaultInjector) replayHeartbeats(kind FaultKind, sendFuncs map[string]func(Node)) {
	for _, machine := range slices.Sorted(maps.Keys(sendFuncs)) {
		for _, node := range f.Nodes {
			f.countInjected(kind, 1)
			f.wg.Go(func() { sendFuncs[machine](node) })
		}
	}
}

// handleHeartbeatsDuringFault makes each worker call onHeartbeat before it sends a heartbeat, until
// the fault is over.
func (f *FaultInjector) handleHeartbeatsDuringFault(ctx context.Context, fault Fault, onHeartbeat heartbeatFunc) {
	remove := f.heartbeatFaults.add(onHeartbeat)
	waitUntilOver(ctx, fault)
	remove()
}
