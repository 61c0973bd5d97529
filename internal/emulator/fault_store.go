package emulator

import (
	"context"
	"time"
)

// After how many seconds late commits are executed, at least, and by how many that varies.
const (
	minLateCommitDelayS   = 2
	lateCommitDelayRangeS = 10
)

// refuseNodeRequests has the key-value store refuse all requests of the nodes.
func (f *FaultInjector) refuseNodeRequests(ctx context.Context, fault Fault) {
	for _, node := range fault.Nodes {
		f.Store.RefuseHost(f.Nodes[node].Name, true)
	}
	waitUntilOver(ctx, fault)
	for _, node := range fault.Nodes {
		name := f.Nodes[node].Name
		f.countInjected(fault.Kind, f.Store.Refused(name))
		f.Store.RefuseHost(name, false)
	}
}

// delayCommits has commits executed late, and not answered.
func (f *FaultInjector) delayCommits(ctx context.Context, fault Fault) {
	f.injectCommitFault(ctx, fault, func() (RequestFault, time.Duration) {
		delayS := minLateCommitDelayS + lateCommitDelayRangeS*f.randomFloat()
		return ExecuteLate, time.Duration(delayS * float64(time.Second))
	})
}

// loseCommitResponses has commits executed at once, and not answered.
func (f *FaultInjector) loseCommitResponses(ctx context.Context, fault Fault) {
	f.injectCommitFault(ctx, fault, func() (RequestFault, time.Duration) {
		return LoseResponse, 0
	})
}

// injectCommitFault has a share of the commits of the fault's nodes, or of all nodes if it names
// none, fail in a way, for as long as the fault lasts.
func (f *FaultInjector) injectCommitFault(ctx context.Context, fault Fault, drawFault func() (RequestFault, time.Duration)) {
	affected := f.nodeNames(fault.Nodes)
	f.setCommitFault(func(from string) (RequestFault, time.Duration) {
		if len(affected) > 0 && !affected[from] {
			return NoFault, 0
		}
		if f.randomFloat() >= fault.Probability {
			return NoFault, 0
		}
		f.countInjected(fault.Kind, 1)
		return drawFault()
	})
	waitUntilOver(ctx, fault)
	f.setCommitFault(nil)
}

func (f *FaultInjector) setCommitFault(commitFault commitFaultFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commitFault = commitFault
}
