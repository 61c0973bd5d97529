package emulator

import (
	"context"
	"time"
)

// After how many seconds late commits are executed, at least, and by how many that varies.
const (
	minLateCommitS   = 2
	lateCommitRangeS = 10
)

// refuseNodes has the key-value store refuse all requests of the nodes.
func (f *FaultInjector) refuseNodes(ctx context.Context, fault Fault) {
	for _, node := range fault.Nodes {
		f.Store.RefuseHost(f.Nodes[node].Name, true)
	}
	waitUntilOver(ctx, fault)
	for _, node := range fault.Nodes {
		name := f.Nodes[node].Name
		f.countInjected(fault.Kind, f.Store.RefusedRequests(name))
		f.Store.RefuseHost(name, false)
	}
}

// executeCommitsLate has commits executed late, and not answered.
func (f *FaultInjector) executeCommitsLate(ctx context.Context, fault Fault) {
	f.disturbCommits(ctx, fault, func() (RequestFault, time.Duration) {
		delayS := minLateCommitS + lateCommitRangeS*f.randomFloat()
		return ExecuteLate, time.Duration(delayS * float64(time.Second))
	})
}

// loseResponses has commits executed at once, and not answered.
func (f *FaultInjector) loseResponses(ctx context.Context, fault Fault) {
	f.disturbCommits(ctx, fault, func() (RequestFault, time.Duration) {
		return LoseResponse, 0
	})
}

// disturbCommits has a share of the commits of the fault's nodes, or of all nodes if it names
// none, fail in a way, for as long as the fault lasts.
func (f *FaultInjector) disturbCommits(ctx context.Context, fault Fault, fail func() (RequestFault, time.Duration)) {
	named := f.nodeNames(fault.Nodes)
	f.setCommitFault(func(from string) (RequestFault, time.Duration) {
		if len(named) > 0 && !named[from] {
			return NoFault, 0
		}
		if f.randomFloat() >= fault.Share {
			return NoFault, 0
		}
		f.countInjected(fault.Kind, 1)
		return fail()
	})
	waitUntilOver(ctx, fault)
	f.setCommitFault(nil)
}

func (f *FaultInjector) setCommitFault(commitFault commitFaultFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commitFault = commitFault
}
