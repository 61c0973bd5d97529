package emulator

import (
	"context"
	"math/rand/v2"
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
