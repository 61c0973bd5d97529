// Simulations with random jobs and random faults. The environment variable SEEDS sets how many
// seeds each test runs.

package controller

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"ambersill/internal/emulator"
)

// scriptableFaults are the kinds of faults that randomFault draws from. The order belongs to
// the seeds: another one is another sequence of faults.
var scriptableFaults = []emulator.FaultKind{
	emulator.ControllerCrash,
	emulator.StoreRefusesNode,
	emulator.StoreOutage,
	emulator.StoreSlow,
	emulator.WatchesStalled,
	emulator.ListsRefused,
	emulator.LateCommits,
	emulator.LostResponses,
	emulator.LateHeartbeats,
	emulator.HeartbeatsForNextOwner,
	emulator.SlowLinks,
	emulator.MachineHang,
	emulator.MachineInboundCut,
	emulator.MachineOutboundCut,
	emulator.DelayedCommands,
	emulator.MachineLost,
	emulator.NodeIsolated,
	emulator.PeersCut,
	emulator.WorkersCut,
	emulator.ZoneCut,
	emulator.CancelRunningJobs,
	emulator.SlowProcessor,
	emulator.NodeFrozen,
}

// randomDuration draws a duration of least to most seconds.
func randomDuration(random *rand.Rand, least, most int) time.Duration {
	return time.Duration(least*1000+random.IntN((most-least)*1000)) * time.Millisecond
}

// randomFault draws a fault of any kind.
func randomFault(random *rand.Rand) emulator.Fault {
	fault := emulator.Fault{
		ActiveFor:   randomDuration(random, 3, 30),
		MaxTargets:  1 + random.IntN(5),
		Zone:        []string{"a", "b"}[random.IntN(2)],
		Delay:       randomDuration(random, 1, 12),
		Probability: 0.1 + 0.4*random.Float64(),
	}
	nodes := [][]int{
		{emulator.FirstPartitionOwner},
		{emulator.FirstPartitionOwner},
		{emulator.NonOwnerNodes},
		{random.IntN(controllerCount)},
		{0, 1, 2},
	}
	fault.Nodes = nodes[random.IntN(len(nodes))]
	fault.Kind = scriptableFaults[random.IntN(len(scriptableFaults))]
	adjustToKind(&fault, random)
	return fault
}

// adjustToKind draws once more what suits the kind of fault only within other bounds.
func adjustToKind(fault *emulator.Fault, random *rand.Rand) {
	switch fault.Kind {
	case emulator.ControllerCrash: // back within a fraction of a second, too
		waits := []time.Duration{
			time.Duration(20+random.IntN(300)) * time.Millisecond,
			randomDuration(random, 1, 5),
			randomDuration(random, 5, 20),
		}
		fault.Delay = waits[random.IntN(len(waits))]
	case emulator.StoreSlow, emulator.SlowLinks:
		fault.Delay = time.Duration(10+random.IntN(400)) * time.Millisecond
	case emulator.SlowProcessor:
		fault.Delay = time.Duration(5+random.IntN(60)) * time.Millisecond
	case emulator.StoreOutage, emulator.StoreRefusesNode, emulator.NodeIsolated, emulator.NodeFrozen:
		fault.ActiveFor = randomDuration(random, 3, 25) // users give a submission up after a minute
	case emulator.MachineLost, emulator.MachineHang, emulator.MachineInboundCut,
		emulator.MachineOutboundCut, emulator.DelayedCommands:
		if random.IntN(2) == 0 {
			fault.Zone = ""
		}
	default: // the bounds of randomFault suit the others
	}
}

// randomFaultPairs draws a script in which every so often two faults begin within three
// seconds.
func randomFaultPairs(random *rand.Rand, over time.Duration) []emulator.Fault {
	var script []emulator.Fault
	for at := 15 * second; at < over; at += time.Duration(10+random.IntN(20)) * second {
		for range 2 {
			fault := randomFault(random)
			fault.Start = at + time.Duration(random.IntN(3000))*time.Millisecond
			script = append(script, fault)
		}
	}
	return script
}

// seedCount returns how many seeds a test with random faults runs: SEEDS, if that is set.
func seedCount(defaultCount int) int {
	if count, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		return count
	}
	return defaultCount
}

// forEachSeed runs a subtest for each seed, in a process of its own.
func forEachSeed(t *testing.T, seeds int, run func(t *testing.T, seed int)) {
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if runInChildProcess(t) {
				return
			}
			run(t, seed)
		})
	}
}

// logScript logs the faults of a test that has failed.
func logScript(t *testing.T, script []emulator.Fault) {
	if !t.Failed() {
		return
	}
	for _, fault := range script {
		t.Logf("%+v", fault)
	}
}

// Random jobs with one random fault after another, and lost and late requests.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	seeds := seedCount(6)
	if testing.Short() {
		seeds = 2
	}
	forEachSeed(t, seeds, func(t *testing.T, seed int) {
		simulate(t, uint64(100+seed), func(_ *testing.T, cluster *simulatedCluster) {
			cluster.tuning.Parts = seed % 4 // 0: a partition for each controller
			cluster.injectRequestFaults()
			cluster.startNodes()
			go cluster.injectRandomFaults(uint64(seed), 4*time.Minute)
			cluster.submitRandomJobs(40, 4*time.Minute)
			time.Sleep(time.Minute)
			cluster.endFaults()
			cluster.waitAndCheck(40 * time.Minute)
		})
	})
}

// Random jobs with pairs of coinciding faults of any kind.
func TestRandomFaultPairs(t *testing.T) {
	t.Parallel()
	forEachSeed(t, seedCount(5), func(t *testing.T, seed int) {
		random := rand.New(rand.NewPCG(uint64(seed), faultPairStream))
		script := randomFaultPairs(random, 3*time.Minute)
		scenario := faultScenario{
			seed:         uint64(200 + seed),
			pollAllNodes: seed%2 == 1,
			script:       script,
			submit:       func(cluster *simulatedCluster) { cluster.submitRandomJobs(36, 170*second) },
			setup:        func(cluster *simulatedCluster) { cluster.store.WatchesEnd = seed%3 == 0 },
		}
		scenario.run(t)
		logScript(t, script)
	})
}
