package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/wire"
)

// randomFault picks a trouble from the whole vocabulary.
func randomFault(rnd *rand.Rand) emulator.Fault {
	secs := func(least, most int) time.Duration {
		return time.Duration(least*1000+rnd.IntN((most-least)*1000)) * time.Millisecond
	}
	fault := emulator.Fault{
		For:   secs(3, 30),
		Count: 1 + rnd.IntN(5),
		Zone:  []string{"a", "b"}[rnd.IntN(2)],
		Wait:  secs(1, 12),
		Share: 0.1 + 0.4*rnd.Float64(),
	}
	fault.Nodes = [][]int{
		{emulator.Owner},
		{emulator.Owner},
		{emulator.Others},
		{rnd.IntN(3)},
		{0, 1, 2},
	}[rnd.IntN(5)]
	kinds := []emulator.FaultKind{
		emulator.ControllerCrash, emulator.StoreRefusesNode, emulator.StoreOutage, emulator.StoreSlow, emulator.WatchesStalled, emulator.ListsRefused, emulator.LateCommits, emulator.LostResponses,
		emulator.LateHeartbeats, emulator.HeartbeatsForNextOwner, emulator.SlowLinks, emulator.MachineHang, emulator.MachineInboundCut, emulator.MachineOutboundCut, emulator.DelayedCommands, emulator.MachineLost, emulator.NodeIsolated,
		emulator.PeersCut, emulator.WorkersCut, emulator.ZoneCut, emulator.CancelRunningJobs, emulator.SlowProcessor, emulator.NodeFrozen,
	}
	switch fault.Kind = kinds[rnd.IntN(len(kinds))]; fault.Kind {
	case emulator.ControllerCrash: // back within a fraction of a second, too
		fault.Wait = []time.Duration{
			time.Duration(20+rnd.IntN(300)) * time.Millisecond,
			secs(1, 5),
			secs(5, 20),
		}[rnd.IntN(3)]
	case emulator.StoreSlow, emulator.SlowLinks:
		fault.Wait = time.Duration(10+rnd.IntN(400)) * time.Millisecond
	case emulator.SlowProcessor:
		fault.Wait = time.Duration(5+rnd.IntN(60)) * time.Millisecond
	case emulator.StoreOutage, emulator.StoreRefusesNode, emulator.NodeIsolated, emulator.NodeFrozen:
		fault.For = secs(3, 25) // users give a submission up after a minute
	case emulator.MachineLost, emulator.MachineHang, emulator.MachineInboundCut, emulator.MachineOutboundCut, emulator.DelayedCommands:
		if rnd.IntN(2) == 0 {
			fault.Zone = ""
		}
	default: // the others take what is drawn above
	}
	return fault
}

// randomFaultPairs are troubles that meet: every so often two strike within three seconds.
func randomFaultPairs(rnd *rand.Rand, over time.Duration) []emulator.Fault {
	var out []emulator.Fault
	for at := 15 * second; at < over; at += time.Duration(10+rnd.IntN(20)) * second {
		for range 2 {
			fault := randomFault(rnd)
			fault.At = at + time.Duration(rnd.IntN(3000))*time.Millisecond
			out = append(out, fault)
		}
	}
	return out
}

// Random days on which troubles from the whole vocabulary meet in pairs. SEEDS plays more.
func TestRandomFaultPairs(t *testing.T) {
	t.Parallel()
	seeds := 5
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if runInChildProcess(t) {
				return
			}
			rnd := rand.New(rand.NewPCG(uint64(seed), 6))
			script := randomFaultPairs(rnd, 3*time.Minute)
			m := faultScenario{
				seed:         uint64(200 + seed),
				pollAllNodes: seed%2 == 1,
				script:       script,
				submit:       func(cluster *simulatedCluster) { cluster.submitRandomJobs(36, 170*second) },
				setup:        func(cluster *simulatedCluster) { cluster.store.WatchesEnd = seed%3 == 0 },
			}
			m.run(t)
			if t.Failed() {
				for _, x := range script {
					t.Logf("%+v", x)
				}
			}
		})
	}
}

// The model must see each rule broken, or the days above show nothing.
func TestCheckerDetectsEachRule(t *testing.T) {
	sees := func(t *testing.T, cluster *simulatedCluster, rule string) {
		t.Helper()
		for _, b := range cluster.simulation.Violations() {
			if strings.Contains(b, rule) {
				return
			}
		}
		t.Errorf("%s was broken and not seen: %v", rule, cluster.simulation.Violations())
	}
	now := time.Now
	for _, c := range []struct {
		rule   string
		breaks func(cluster *simulatedCluster)
	}{
		{"went_back", func(cluster *simulatedCluster) { // queued, asked after done had arrived
			cluster.simulation.PhaseReported("req-000001", wire.JobQueued, now())
			cluster.simulation.CancelRequested("req-000001")
			cluster.simulation.PhaseReported("req-000001", wire.JobCancelled, now())
			time.Sleep(time.Millisecond)
			cluster.simulation.PhaseReported("req-000001", wire.JobQueued, now())
		}},
		{"went_back", func(cluster *simulatedCluster) {
			cluster.simulation.PhaseReported("req-000001", wire.JobCancelled, now())
		}}, // nobody asked
		{
			"not_done",
			func(cluster *simulatedCluster) { cluster.simulation.PhaseReported("req-000001", wire.JobDone, now()) },
		},
		{
			"invented",
			func(cluster *simulatedCluster) { cluster.simulation.PhaseReported("req-000009", wire.JobQueued, now()) },
		},
		{"forgotten", func(cluster *simulatedCluster) {
			cluster.simulation.PhaseReported("req-000001", wire.JobQueued, now())
			time.Sleep(time.Millisecond)
			cluster.simulation.ReportedUnknown("req-000001", 404, now())
		}},
		{"forgotten", func(cluster *simulatedCluster) {
			cluster.simulation.PhaseReported("req-000001", wire.JobQueued, now())
			cluster.simulation.FaultsOver()
			time.Sleep(80 * second)
			cluster.simulation.PollFailed("req-000001")
		}},
		{"accepted", func(cluster *simulatedCluster) { cluster.simulation.AcceptedInvalid("req-000009", 201) }},
		{"left_waiting", func(cluster *simulatedCluster) { // a machine with room, and nobody places the job
			cluster.cloud.Add("small", "a", true)
			time.Sleep(30 * second)
			cluster.simulation.PhaseReported("req-000001", wire.JobQueued, now())
			cluster.simulation.FaultsOver()
			for range 30 {
				cluster.simulation.CheckWaiting(cluster.cloud.Workers())
				time.Sleep(5 * second)
			}
		}},
		{"ran_cancelled", func(cluster *simulatedCluster) { // nobody answers or stops the machine's task
			cluster.simulation.LeaseDuration = time.Hour // before there is a machine
			cluster.cloud.Add("small", "a", true)
			time.Sleep(21 * second)
			worker := cluster.cloud.Workers()[0]
			worker.Execute(wire.Command{Op: wire.StartTask, Task: "req-000001/0", Attempt: 1})
			time.Sleep(5 * second)
			cluster.simulation.CancelRequested("req-000001")
			cluster.simulation.PhaseReported("req-000001", wire.JobCancelled, now())
			time.Sleep(50 * second)
			worker.Execute(wire.Command{Op: wire.StopTask, Task: "req-000001/0", Attempt: 1})
		}},
	} {
		t.Run(c.rule, func(t *testing.T) {
			runWithoutControllers(t, func(cluster *simulatedCluster) {
				cluster.simulation.JobSubmitted(smallMachineJob(1, 1, 2, 300))
				c.breaks(cluster)
				sees(t, cluster, c.rule)
			})
		})
	}
	t.Run("an answer on its way is no older one", func(t *testing.T) {
		runWithoutControllers(t, func(cluster *simulatedCluster) {
			cluster.simulation.JobSubmitted(smallMachineJob(1, 1, 2, 300))
			asked := now()
			cluster.simulation.CancelRequested("req-000001")
			time.Sleep(time.Millisecond)
			cluster.simulation.PhaseReported("req-000001", wire.JobCancelled, now())
			cluster.simulation.PhaseReported("req-000001", wire.JobRunning, asked)
			if b := cluster.simulation.Violations(); len(b) != 0 {
				t.Errorf("seen as broken: %v", b)
			}
		})
	})
}

// runWithoutControllers is a day without controllers.
func runWithoutControllers(t *testing.T, f func(cluster *simulatedCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(newSimulatedCluster(ctx, t, 1))
		cancel()
		time.Sleep(time.Minute)
	})
}
