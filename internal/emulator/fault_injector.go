package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ambersill/internal/wire"
)

// commitFaultFunc decides what happens to one commit that the named host sent. The duration is the
// delay of ExecuteLate.
type commitFaultFunc func(from string) (RequestFault, time.Duration)

// heartbeatFunc is called before a worker sends a heartbeat. It may call send at any later time to
// send a copy of the heartbeat to a node.
type heartbeatFunc func(heartbeat *wire.Heartbeat, send func(to Node))

// FaultInjector injects faults into the emulated systems directly, and into controllers and users
// through its callbacks. The kinds of faults are declared in faults.go and implemented in
// fault_store.go, fault_heartbeats.go, fault_machines.go and fault_nodes.go.
type FaultInjector struct {
	Network    *Network
	Store      *KeyValueStore
	Cloud      *Cloud
	Simulation *Simulation
	Nodes      []Node
	Rand       *rand.Rand
	// StartController starts the controller of a node, given by its index in Nodes;
	// CrashController kills it.
	StartController, CrashController func(node int)
	// FirstPartitionOwner returns the index in Nodes of the node that owns the first partition
	// according to the key-value store, and the revision of the partition's record there. The
	// index is negative if the partition has no owner.
	FirstPartitionOwner func() (node int, revision uint64)
	// CancelJobs makes the users of up to maxJobs running jobs (0: all) cancel them, and returns
	// the number of jobs cancelled.
	CancelJobs func(maxJobs int) int

	mu              sync.Mutex
	injectedCounts  map[FaultKind]int
	countedRefusals map[string]int // refused requests in injectedCounts, by host that is refused now
	commitFaults    activeFaults[commitFaultFunc]
	heartbeatFaults activeFaults[heartbeatFunc]
	commandFaults   activeFaults[commandsFunc]
	requestFaults   activeFaults[requestCopyFunc]
	switches        overlappingSettings[bool]
	delays          overlappingSettings[time.Duration]
	wg              sync.WaitGroup
}

// InjectedCount returns how often a kind of fault took effect. Depending on the kind, it counts
// refused requests, late or unanswered commits, sent copies of heartbeats, executed copies of command
// requests, requests with late commands, cancelled jobs, affected machines or nodes, or injected
// faults.
func (f *FaultInjector) InjectedCount(kind FaultKind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.injectedCounts[kind]
}

func (f *FaultInjector) countInjected(kind FaultKind, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.injectedCounts == nil {
		f.injectedCounts = map[FaultKind]int{}
	}
	f.injectedCounts[kind] += n
}

// randomFloat returns a random number in [0, 1).
func (f *FaultInjector) randomFloat() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Rand.Float64()
}

// Attach registers the injector with the key-value store and the simulation, so that it can affect
// commits, heartbeats and command requests. It must be called before the controllers start.
func (f *FaultInjector) Attach() {
	f.Store.ChooseFault = func(from string, _ *wire.Txn) (RequestFault, time.Duration) {
		return f.chooseCommitFault(from)
	}
	f.Simulation.OnHeartbeat = func(heartbeat *wire.Heartbeat, send func(Node)) {
		for _, onHeartbeat := range f.heartbeatFaults.functions() {
			onHeartbeat(heartbeat, send)
		}
	}
	f.Simulation.OnCommandsExecuted = func(request *wire.CommandRequest, repeat CommandRepeater) {
		for _, onExecuted := range f.commandFaults.functions() {
			onExecuted(request, repeat)
		}
	}
}

// chooseCommitFault returns what happens to a commit: the effect of the first active fault that
// affects it.
func (f *FaultInjector) chooseCommitFault(from string) (RequestFault, time.Duration) {
	for _, commitFault := range f.commitFaults.functions() {
		if effect, delay := commitFault(from); effect != NoFault {
			return effect, delay
		}
	}
	return NoFault, 0
}

// Run injects the faults of a script, each in its own goroutine, and returns when all of them are
// over or ctx has ended. Hangs of machines and late copies of heartbeats can outlast it.
func (f *FaultInjector) Run(ctx context.Context, script ...Fault) {
	for _, fault := range script {
		f.wg.Go(func() {
			select {
			case <-time.After(fault.Start):
				f.inject(ctx, fault)
			case <-ctx.Done():
			}
		})
	}
	f.wg.Wait()
}

// inject injects a fault. Most faults are over when it returns, but restarts of crashed
// controllers, hangs of machines and late copies of heartbeats may still be pending.
func (f *FaultInjector) inject(ctx context.Context, fault Fault) {
	// The nodes are resolved only once, so that the fault ends on the nodes that it began on
	// even if the partition has a new owner by then.
	fault.Nodes = f.resolveNodes(fault.Nodes)
	switch fault.Kind {
	case StoreRefusesNode, StoreOutage, StoreSlow, WatchesStalled, ListsRefused, LateCommits, LostResponses:
		f.injectStoreFault(ctx, fault)
	case MachineHang, MachineInboundCut, MachineOutboundCut, DelayedCommands, MachineLost:
		f.injectMachineFault(ctx, fault)
	case ControllerCrash:
		f.crashControllers(ctx, fault)
	case SlowProcessor:
		f.slowProcessors(ctx, fault)
	case NodeFrozen:
		f.freezeNodes(ctx, fault)
	case LateRequestCopies:
		f.copyRequests(ctx, fault)
	case LateCommandCopies:
		f.copyCommands(ctx, fault)
	case LateHeartbeats:
		f.sendLateHeartbeatCopies(ctx, fault)
	case HeartbeatsForNextOwner:
		f.replayHeartbeatsToNextOwner(ctx, fault)
	case SlowLinks:
		f.delay(ctx, fault, f.Simulation.SetLinkDelay)
	case NodeIsolated, PeersCut, WorkersCut, CloudCut, ZoneCut:
		f.cutLinks(ctx, fault)
	case CancelRunningJobs:
		f.countInjected(fault.Kind, f.CancelJobs(fault.MaxTargets))
	default:
		panic(unknownFaultMessage(fault.Kind))
	}
}

// injectStoreFault injects a fault of the key-value store, and returns when it is over.
func (f *FaultInjector) injectStoreFault(ctx context.Context, fault Fault) {
	switch fault.Kind {
	case StoreRefusesNode:
		f.refuseNodeRequests(ctx, fault)
	case StoreOutage:
		f.enableDuringFault(ctx, fault, f.Store.SetDown)
	case StoreSlow:
		f.delay(ctx, fault, f.Store.SetResponseDelay)
	case WatchesStalled:
		f.enableDuringFault(ctx, fault, f.Store.StallWatches)
	case ListsRefused:
		f.enableDuringFault(ctx, fault, f.Store.RefuseLists)
	case LateCommits:
		f.delayCommits(ctx, fault)
	case LostResponses:
		f.loseCommitResponses(ctx, fault)
	default:
		panic(unknownFaultMessage(fault.Kind))
	}
}

// injectMachineFault injects a fault of machines. It returns when the fault is over, except that
// it does not wait for hangs to end.
func (f *FaultInjector) injectMachineFault(ctx context.Context, fault Fault) {
	switch fault.Kind {
	case MachineHang:
		f.hangMachines(fault)
	case MachineInboundCut:
		f.cutMachines(ctx, fault, (*Worker).CutInbound)
	case MachineOutboundCut:
		f.cutMachines(ctx, fault, (*Worker).CutOutbound)
	case DelayedCommands:
		f.delayCommands(ctx, fault)
	case MachineLost:
		f.loseMachines(fault)
	default:
		panic(unknownFaultMessage(fault.Kind))
	}
}

// unknownFaultMessage returns the text of the panic on an unknown fault kind, which is a
// programming error: all kinds are constants of this package.
func unknownFaultMessage(kind FaultKind) string {
	return fmt.Sprintf("emulator: unknown fault kind %q", kind)
}

// resolveNodes returns the indexes of the nodes that the values of Fault.Nodes refer to. It
// resolves the constants FirstPartitionOwner and NonOwnerNodes with the partition's current owner.
func (f *FaultInjector) resolveNodes(references []int) []int {
	var nodes []int
	for _, node := range references {
		selected := node
		if node == FirstPartitionOwner || node == NonOwnerNodes {
			selected, _ = f.FirstPartitionOwner()
		}
		for i := range f.Nodes {
			if (i == selected) != (node == NonOwnerNodes) {
				nodes = append(nodes, i)
			}
		}
	}
	return nodes
}

// enableDuringFault calls setEnabled with true, and with false when the fault is over and no other
// one of its kind is active.
func (f *FaultInjector) enableDuringFault(ctx context.Context, fault Fault, setEnabled func(on bool)) {
	f.countInjected(fault.Kind, 1)
	end := f.switches.begin(settingKey{kind: fault.Kind}, true, setEnabled)
	waitUntilOver(ctx, fault)
	end()
}

// delay calls setDelay with the fault's Delay, and when the fault is over with that of another active
// fault of its kind, or 0 if there is none.
func (f *FaultInjector) delay(ctx context.Context, fault Fault, setDelay func(delay time.Duration)) {
	f.countInjected(fault.Kind, 1)
	end := f.delays.begin(settingKey{kind: fault.Kind}, fault.Delay, setDelay)
	waitUntilOver(ctx, fault)
	end()
}

// waitUntilOver waits until the fault is over or the context ends.
func waitUntilOver(ctx context.Context, fault Fault) {
	select {
	case <-time.After(fault.ActiveFor):
	case <-ctx.Done():
	}
}
