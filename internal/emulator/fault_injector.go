package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ambersill/internal/wire"
)

// commitFaultFunc decides what happens to a commit of a host.
type commitFaultFunc func(from string) (RequestFault, time.Duration)

// heartbeatFunc is called with a heartbeat, and may send copies of it.
type heartbeatFunc func(heartbeat *wire.Heartbeat, send func(to Node))

// FaultInjector injects faults into the emulated systems, and into the controllers by its
// callbacks. The kinds of faults are in faults.go, how they are injected in fault_store.go,
// fault_heartbeats.go, fault_machines.go and fault_nodes.go.
type FaultInjector struct {
	Network    *Network
	Store      *KeyValueStore
	Cloud      *Cloud
	Simulation *Simulation
	Nodes      []Node
	Rand       *rand.Rand
	// StartController and CrashController begin and kill a controller.
	StartController, CrashController func(node int)
	// FirstPartitionOwner returns the node that owns the first partition by the store's record, and that
	// record's revision.
	FirstPartitionOwner func() (node int, revision uint64)
	// CancelJobs has the users of up to n running jobs (0: all) cancel them.
	CancelJobs func(maxJobs int) int

	mu             sync.Mutex
	injectedCounts map[FaultKind]int
	commitFault    commitFaultFunc // nil while commits are served
	onHeartbeat    heartbeatFunc   // nil while no heartbeats are copied
	wg             sync.WaitGroup
}

// InjectedCount counts how often a kind of fault took effect: requests refused, commits late or
// unanswered, copies delivered, commands late, machines and nodes struck.
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

// randomFloat returns a random number from 0 up to 1.
func (f *FaultInjector) randomFloat() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Rand.Float64()
}

// Attach has the emulated systems ask the injector what happens to commits and heartbeats. It
// must be called before the controllers start.
func (f *FaultInjector) Attach() {
	f.Store.Faults = func(from string, _ *wire.Txn) (RequestFault, time.Duration) {
		f.mu.Lock()
		commitFault := f.commitFault
		f.mu.Unlock()
		if commitFault == nil {
			return NoFault, 0
		}
		return commitFault(from)
	}
	f.Simulation.OnHeartbeat = func(heartbeat *wire.Heartbeat, send func(Node)) {
		f.mu.Lock()
		onHeartbeat := f.onHeartbeat
		f.mu.Unlock()
		if onHeartbeat != nil {
			onHeartbeat(heartbeat, send)
		}
	}
}

// Run injects a script's faults, each in a goroutine of its own, and returns when all are
// over.
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

// inject injects a fault, and returns when it is over.
func (f *FaultInjector) inject(ctx context.Context, fault Fault) {
	// The nodes that the fault begins with are those it ends with, whoever owns the partition
	// by then.
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

// injectStoreFault injects a fault of the key-value store.
func (f *FaultInjector) injectStoreFault(ctx context.Context, fault Fault) {
	switch fault.Kind {
	case StoreRefusesNode:
		f.refuseNodeRequests(ctx, fault)
	case StoreOutage:
		f.enableDuringFault(ctx, fault, f.Store.SetDown)
	case StoreSlow:
		f.delay(ctx, fault, f.Store.SetDelay)
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

// injectMachineFault injects a fault of machines.
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

// unknownFaultMessage is what an injector panics with: the kinds are constants of this package.
func unknownFaultMessage(kind FaultKind) string {
	return fmt.Sprintf("emulator: no fault is called %q", kind)
}

// resolveNodes returns the nodes that a fault names, with OwnerNode and NonOwnerNodes resolved.
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

// enableDuringFault switches a fault on for as long as it lasts.
func (f *FaultInjector) enableDuringFault(ctx context.Context, fault Fault, setEnabled func(on bool)) {
	f.countInjected(fault.Kind, 1)
	setEnabled(true)
	waitUntilOver(ctx, fault)
	setEnabled(false)
}

// delay sets a delay of the fault's Wait for as long as the fault lasts.
func (f *FaultInjector) delay(ctx context.Context, fault Fault, setDelay func(delay time.Duration)) {
	f.countInjected(fault.Kind, 1)
	setDelay(fault.Delay)
	waitUntilOver(ctx, fault)
	setDelay(0)
}

// waitUntilOver waits until the fault is over, or the context ends.
func waitUntilOver(ctx context.Context, fault Fault) {
	select {
	case <-time.After(fault.ActiveFor):
	case <-ctx.Done():
	}
}
