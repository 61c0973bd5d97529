package emulator

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/wire"
)

// newTestInjector returns an attached fault injector for a store and a simulation without workers.
func newTestInjector() *FaultInjector {
	injector := &FaultInjector{
		Store:               NewKeyValueStore(),
		Simulation:          NewSimulation(SimulationConfig{}),
		Nodes:               []Node{{Name: testHost}},
		Rand:                rand.New(rand.NewPCG(1, 1)),
		FirstPartitionOwner: func() (int, uint64) { return 0, 1 },
	}
	injector.Attach()
	return injector
}

// Guards against faults without effect: the end of the first of two overlapping faults of commits
// also ended the second.
func TestOverlappingCommitFaultsEndSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		injector := newTestInjector()
		go injector.Run(t.Context(),
			Fault{ActiveFor: 10 * time.Second, Kind: LateCommits, Probability: 1},
			Fault{Start: 5 * time.Second, ActiveFor: 10 * time.Second, Kind: LostResponses, Probability: 1})
		commitFaultAt := func(at time.Duration, want RequestFault) {
			time.Sleep(at)
			synctest.Wait()
			if got, _ := injector.Store.ChooseFault(testHost, nil); got != want {
				t.Errorf("commit fault after %v more: got %d, want %d", at, got, want)
			}
		}
		commitFaultAt(time.Second, ExecuteLate)
		commitFaultAt(6*time.Second, ExecuteLate)
		commitFaultAt(6*time.Second, LoseResponse)
		commitFaultAt(3*time.Second, NoFault)
	})
}

// Guards against faults without effect: the end of the first of two overlapping faults of heartbeats
// also ended the second, and its begin replaced the first.
func TestOverlappingHeartbeatFaultsEndSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		injector := newTestInjector()
		counts := [2]int{}
		for i := range counts {
			fault := Fault{ActiveFor: time.Duration(10+10*i) * time.Second}
			go injector.handleHeartbeatsDuringFault(t.Context(), fault, func(*wire.Heartbeat, func(Node)) { counts[i]++ })
		}
		sendHeartbeat := func() {
			synctest.Wait()
			injector.Simulation.OnHeartbeat(&wire.Heartbeat{}, nil)
		}
		sendHeartbeat()
		time.Sleep(15 * time.Second)
		sendHeartbeat()
		time.Sleep(10 * time.Second)
		sendHeartbeat()
		if counts != [2]int{1, 2} {
			t.Errorf("heartbeats handled by a fault of 10 s and one of 20 s: got %v, want [1 2]", counts)
		}
	})
}

// Guards against a replay of heartbeats that outlasts its context.
func TestReplayOfHeartbeatsEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		injector := newTestInjector()
		revision := uint64(1)
		injector.FirstPartitionOwner = func() (int, uint64) { revision++; return 0, revision }
		ctx, cancel := context.WithCancel(t.Context())
		begin := time.Now()
		time.AfterFunc(5*time.Second, cancel)
		injector.Run(ctx, Fault{ActiveFor: time.Second, Kind: HeartbeatsForNextOwner, Delay: time.Hour})
		if took := time.Since(begin); took > 6*time.Second {
			t.Errorf("end of the replay after its context ended at 5 s: got %v, want at most 6 s", took)
		}
	})
}

// Guards against a heartbeat that is recorded but not replayed, because it was still being handled
// when its fault ended.
func TestReplayIncludesHeartbeatHandledAsFaultEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		injector := newTestInjector()
		var revision atomic.Uint64
		injector.FirstPartitionOwner = func() (int, uint64) { return 0, revision.Load() }
		go injector.Run(t.Context(), Fault{ActiveFor: time.Second, Kind: HeartbeatsForNextOwner, Delay: time.Second})
		synctest.Wait()
		handlers := injector.heartbeatFaults.functions()
		time.Sleep(2 * time.Second)
		var replayed atomic.Int64
		for _, handle := range handlers {
			handle(&wire.Heartbeat{Machine: "m-1"}, func(Node) { replayed.Add(1) })
		}
		revision.Add(1)
		time.Sleep(time.Minute)
		if got := replayed.Load(); got != replayCount {
			t.Errorf("replays of the heartbeat: got %d, want %d", got, replayCount)
		}
	})
}

// Guards against a scenario that counts a refused request for each of two overlapping faults, and so
// seems to have had more effect than it had.
func TestRefusedRequestsOfOverlappingFaultsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		injector := newTestInjector()
		refuseRequests := func(count int) {
			synctest.Wait()
			injector.withStoreLock(func() { injector.Store.faults.refusedRequests[testHost] += count })
		}
		fault := Fault{ActiveFor: 10 * time.Second, Kind: StoreRefusesNode, Nodes: []int{0}}
		second, third := fault, fault
		second.Start = 5 * time.Second
		third.Start = 20 * time.Second
		go injector.Run(t.Context(), fault, second, third)
		time.Sleep(time.Second)
		refuseRequests(1)
		time.Sleep(6 * time.Second) // both faults are active
		refuseRequests(2)
		time.Sleep(6 * time.Second) // only the second one is
		refuseRequests(4)
		time.Sleep(9 * time.Second) // only the third one is
		refuseRequests(8)
		time.Sleep(time.Minute)
		if got, want := injector.InjectedCount(StoreRefusesNode), 1+2+4+8; got != want {
			t.Errorf("refused requests: got %d, want %d", got, want)
		}
	})
}

// Guards against faults without effect: the end of the first of two overlapping faults of the same
// kind also ended the second.
func TestOverlappingFaultsOfOneKindEndSeparately(t *testing.T) {
	for _, c := range []struct {
		kind   FaultKind
		active func(injector *FaultInjector, worker *Worker) bool
	}{
		{StoreOutage, func(injector *FaultInjector, _ *Worker) bool { return injector.Store.faults.down }},
		{StoreSlow, func(injector *FaultInjector, _ *Worker) bool { return injector.Store.faults.responseDelay > 0 }},
		{WatchesStalled, func(injector *FaultInjector, _ *Worker) bool { return injector.Store.faults.watchesStalled }},
		{ListsRefused, func(injector *FaultInjector, _ *Worker) bool { return injector.Store.faults.listsRefused }},
		{StoreRefusesNode, func(injector *FaultInjector, _ *Worker) bool { return injector.Store.refusesHost(testHost) }},
		{SlowLinks, func(injector *FaultInjector, _ *Worker) bool { return injector.Simulation.linkDelay > 0 }},
		{SlowProcessor, func(injector *FaultInjector, _ *Worker) bool { return injector.Network.messageCost[testHost] > 0 }},
		{CloudCut, func(injector *FaultInjector, _ *Worker) bool {
			return injector.Network.cutLinks[directedLink{from: testHost, to: cloudHost}]
		}},
		{MachineInboundCut, func(_ *FaultInjector, worker *Worker) bool { return worker.inboundCut }},
		{MachineOutboundCut, func(_ *FaultInjector, worker *Worker) bool { return worker.outboundCut }},
		{DelayedCommands, func(_ *FaultInjector, worker *Worker) bool { return worker.commandDelay > 0 }},
		{LateCommandCopies, func(injector *FaultInjector, _ *Worker) bool { return len(injector.commandFaults.functions()) > 0 }},
		{LateRequestCopies, func(injector *FaultInjector, _ *Worker) bool { return len(injector.requestFaults.functions()) > 0 }},
	} {
		t.Run(string(c.kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				injector, worker := newInjectorWithWorker()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				fault := Fault{ActiveFor: 10 * time.Second, Kind: c.kind, Nodes: []int{0}, Delay: time.Second}
				second := fault
				second.Start = 5 * time.Second
				go injector.Run(ctx, fault, second)
				for _, step := range []struct {
					wait time.Duration
					want bool
				}{{time.Second, true}, {6 * time.Second, true}, {6 * time.Second, true}, {4 * time.Second, false}} {
					time.Sleep(step.wait)
					synctest.Wait()
					var got bool
					injector.withLocks(func() { got = c.active(injector, worker) })
					if got != step.want {
						t.Errorf("fault is active after %v more: got %t, want %t", step.wait, got, step.want)
					}
				}
			})
		})
	}
}

// Guards against a link fault of a machine that ends together with a fault of another kind.
func TestMachineLinkFaultsOfTwoKindsEndSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		injector, worker := newInjectorWithWorker()
		go injector.Run(t.Context(),
			Fault{ActiveFor: 10 * time.Second, Kind: MachineInboundCut},
			Fault{ActiveFor: 20 * time.Second, Kind: MachineOutboundCut})
		time.Sleep(15 * time.Second)
		synctest.Wait()
		var inbound, outbound bool
		injector.withLocks(func() { inbound, outbound = worker.inboundCut, worker.outboundCut })
		if inbound || !outbound {
			t.Errorf("cuts after 15 s, with one inbound for 10 s and one outbound for 20 s: got inbound %t, outbound %t, want only outbound", inbound, outbound)
		}
		time.Sleep(10 * time.Second)
	})
}

// withLocks calls read while it holds the locks of the emulated systems.
func (f *FaultInjector) withLocks(read func()) {
	f.Simulation.mu.Lock()
	defer f.Simulation.mu.Unlock()
	f.Store.mu.Lock()
	defer f.Store.mu.Unlock()
	f.Network.mu.Lock()
	defer f.Network.mu.Unlock()
	read()
}

// withStoreLock calls change while it holds the lock of the key-value store.
func (f *FaultInjector) withStoreLock(change func()) {
	f.Store.mu.Lock()
	defer f.Store.mu.Unlock()
	change()
}

// newInjectorWithWorker returns an injector whose cloud has one machine with one task.
func newInjectorWithWorker() (*FaultInjector, *Worker) {
	injector := newTestInjector()
	checker := newCheckerSetup()
	job := checker.submitAndAccept(nil)
	checker.startTaskOn(checker.west, job, 0)
	injector.Simulation = checker.Simulation
	injector.Network = NewNetwork()
	injector.Cloud = &Cloud{machines: map[string]*rentedMachine{
		checker.west.Machine.ID: {machine: checker.west.Machine, worker: checker.west},
	}}
	return injector, checker.west
}
