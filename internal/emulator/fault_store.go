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
		end := f.switches.begin(settingKey{kind: fault.Kind, target: name}, true, func(on bool) { f.refuseHost(name, on) })
		ends = append(ends, func() {
			f.countRefusedRequests(fault.Kind, name)
			end()
		})
	}
	waitUntilOver(ctx, fault)
	callAll(ends)
}

// refuseHost starts or stops refusing the requests of a host. The key-value store counts the refused
// ones from 0 when it starts again.
func (f *FaultInjector) refuseHost(host string, refuse bool) {
	f.Store.RefuseHost(host, refuse)
	if refuse {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.countedRefusals, host)
}

// countRefusedRequests counts the requests of a host that were refused and not counted yet. Faults
// that refuse the same host may overlap.
func (f *FaultInjector) countRefusedRequests(kind FaultKind, host string) {
	refused := f.Store.RefusedRequests(host)
	f.mu.Lock()
	uncounted := refused - f.countedRefusals[host]
	if f.countedRefusals == nil {
		f.countedRefusals = map[string]int{}
	}
	f.countedRefusals[host] = refused
	f.mu.Unlock()
	f.countInjected(kind, uncounted)
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
