package emulator

import (
	"context"
	"time"
)

// A late commit is executed after minLateCommitDelayS plus a random time of up to
// lateCommitDelayRangeS, both in seconds.
const (
	minLateCommitDelayS   = 2
	lateCommitDelayRangeS = 10
)

// refuseNodeRequests makes the key-value store refuse all requests of the nodes until the fault is
// over, and counts the refused requests.
func (f *FaultInjector) refuseNodeRequests(ctx context.Context, fault Fault) {
	var ends []func()
	for _, node := range fault.Nodes {
		name := f.Nodes[node].Name
		refuse := func(on bool) { f.Store.RefuseHost(name, on) }
		end := f.switches.begin(settingKey{kind: fault.Kind, target: name}, true, refuse)
		before := f.Store.RefusedRequests(name)
		ends = append(ends, func() {
			f.countInjected(fault.Kind, f.Store.RefusedRequests(name)-before)
			end()
		})
	}
	waitUntilOver(ctx, fault)
	callAll(ends)
}

// delayCommits makes commits execute late and leaves them unanswered.
func (f *FaultInjector) delayCommits(ctx context.Context, fault Fault) {
	f.injectCommitFault(ctx, fault, func() (RequestFault, time.Duration) {
		delayS := minLateCommitDelayS + lateCommitDelayRangeS*f.randomFloat()
		return ExecuteLate, time.Duration(delayS * float64(time.Second))
	})
}

// loseCommitResponses makes commits execute at once and leaves them unanswered.
func (f *FaultInjector) loseCommitResponses(ctx context.Context, fault Fault) {
	f.injectCommitFault(ctx, fault, func() (RequestFault, time.Duration) {
		return LoseResponse, 0
	})
}

// injectCommitFault affects commits of the fault's nodes, or of all nodes if the fault names none,
// until the fault is over. Each commit is affected with the fault's Probability. drawFault returns
// what happens to an affected commit; the duration is the delay of ExecuteLate.
func (f *FaultInjector) injectCommitFault(ctx context.Context, fault Fault, drawFault func() (RequestFault, time.Duration)) {
	affected := f.nodeNames(fault.Nodes)
	remove := f.commitFaults.add(func(from string) (RequestFault, time.Duration) {
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
	remove()
}
