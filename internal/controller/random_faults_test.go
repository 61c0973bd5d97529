// Simulations with random jobs and random faults. The environment variable SEEDS sets the number
// of seeds that each test runs.

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

// scriptableFaultKinds are the kinds of faults that randomFault chooses from. Changing the order
// changes the sequence of faults that a seed produces.
var scriptableFaultKinds = []emulator.FaultKind{
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

// randomDuration returns a random duration from minSeconds up to, but not including, maxSeconds.
func randomDuration(random *rand.Rand, minSeconds, maxSeconds int) time.Duration {
	return time.Duration(minSeconds*1000+random.IntN((maxSeconds-minSeconds)*1000)) * time.Millisecond
}

// randomFault returns a fault of a random kind with random parameters.
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
	fault.Kind = scriptableFaultKinds[random.IntN(len(scriptableFaultKinds))]
	redrawForKind(&fault, random)
	return fault
}

// redrawForKind draws new values for those parameters of a fault that need different bounds for
// its kind.
func redrawForKind(fault *emulator.Fault, random *rand.Rand) {
	switch fault.Kind {
	case emulator.ControllerCrash: // one third of the downtimes are below 320 ms
		downtimes := []time.Duration{
			time.Duration(20+random.IntN(300)) * time.Millisecond,
			randomDuration(random, 1, 5),
			randomDuration(random, 5, 20),
		}
		fault.Delay = downtimes[random.IntN(len(downtimes))]
	case emulator.StoreSlow, emulator.SlowLinks:
		fault.Delay = time.Duration(10+random.IntN(400)) * time.Millisecond
	case emulator.SlowProcessor:
		fault.Delay = time.Duration(5+random.IntN(60)) * time.Millisecond
	case emulator.StoreOutage, emulator.StoreRefusesNode, emulator.NodeIsolated, emulator.NodeFrozen:
		fault.ActiveFor = randomDuration(random, 3, 25) // users give up a submission after a minute
	case emulator.MachineLost, emulator.MachineHang, emulator.MachineInboundCut,
		emulator.MachineOutboundCut, emulator.DelayedCommands:
		if random.IntN(2) == 0 {
			fault.Zone = ""
		}
	default: // the bounds in randomFault suit the other kinds
	}
}

// randomFaultPairs returns a random script for the time window. Every 10 to 29 s, two faults begin
// within three seconds of each other.
func randomFaultPairs(random *rand.Rand, window time.Duration) []emulator.Fault {
	var script []emulator.Fault
	for at := 15 * second; at < window; at += time.Duration(10+random.IntN(20)) * second {
		for range 2 {
			fault := randomFault(random)
			fault.Start = at + time.Duration(random.IntN(3000))*time.Millisecond
			script = append(script, fault)
		}
	}
	return script
}

// randomCopies returns a script in which late copies of messages that were answered are executed in some
// periods of the time window: of command requests to workers, and of requests to the key-value store and
// the cloud. Its random numbers come from streams of their own, so that the other faults of a seed stay as
// they are.
func randomCopies(seed uint64, window time.Duration) []emulator.Fault {
	commandCopies := randomCopiesOfKind(emulator.LateCommandCopies, rand.New(rand.NewPCG(seed, commandCopyStream)), window)
	requestCopies := randomCopiesOfKind(emulator.LateRequestCopies, rand.New(rand.NewPCG(seed, requestCopyStream)), window)
	return append(commandCopies, requestCopies...)
}

// randomCopiesOfKind returns a script with copies of one kind.
func randomCopiesOfKind(kind emulator.FaultKind, random *rand.Rand, window time.Duration) []emulator.Fault {
	var script []emulator.Fault
	for at := randomDuration(random, 10, 30); at < window; at += randomDuration(random, 15, 60) {
		script = append(script, emulator.Fault{
			Start:       at,
			Kind:        kind,
			ActiveFor:   randomDuration(random, 3, 30),
			Probability: 0.1 + 0.4*random.Float64(),
			Delay:       randomDuration(random, 1, 100),
		})
	}
	return script
}

// seedCount returns the number of seeds that a test with random faults runs: the value of SEEDS
// if it is a valid number, otherwise defaultCount.
func seedCount(defaultCount int) int {
	if count, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		return count
	}
	return defaultCount
}

// forEachSeed runs a subtest for each seed in its own child process.
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

// logScriptOnFailure logs the faults of the script if the test has failed.
func logScriptOnFailure(t *testing.T, script []emulator.Fault) {
	if !t.Failed() {
		return
	}
	for _, fault := range script {
		t.Logf("%+v", fault)
	}
}

// Runs random jobs while random faults occur one after another and requests are lost or delayed.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	seeds := seedCount(6)
	if testing.Short() {
		seeds = 2
	}
	forEachSeed(t, seeds, func(t *testing.T, seed int) {
		simulate(t, uint64(100+seed), func(_ *testing.T, cluster *simulatedCluster) {
			cluster.tuning.Parts = seed % 4 // 0 means one partition per controller
			cluster.injectRequestFaults()
			cluster.startNodes()
			go cluster.injectRandomFaults(uint64(seed), 4*time.Minute)
			go cluster.injector.Run(cluster.ctx, randomCopies(uint64(seed), 4*time.Minute)...)
			cluster.submitRandomJobs(40, 4*time.Minute)
			time.Sleep(time.Minute)
			cluster.endFaults()
			cluster.waitForJobsAndCheck(40 * time.Minute)
		})
	})
}

// Runs random jobs with pairs of overlapping faults of any kind.
func TestRandomFaultPairs(t *testing.T) {
	t.Parallel()
	forEachSeed(t, seedCount(5), func(t *testing.T, seed int) {
		random := rand.New(rand.NewPCG(uint64(seed), faultPairStream))
		runWithFaultPairs(t, random, &faultScenario{
			seed:         uint64(200 + seed),
			pollAllNodes: seed%2 == 1,
			submit:       func(cluster *simulatedCluster) { cluster.submitRandomJobs(36, 170*second) },
			setup: func(cluster *simulatedCluster) {
				cluster.store.AnswerRefusedWatches = seed%3 == 0
				if seed%2 == 0 {
					cluster.repeatUserRequests = []time.Duration{3 * second, 30 * second, 2 * time.Minute}
				}
			},
		})
	})
}

// runWithFaultPairs runs a scenario with a script of random pairs of overlapping faults.
func runWithFaultPairs(t *testing.T, random *rand.Rand, scenario *faultScenario) {
	const window = 3 * time.Minute
	scenario.script = append(randomFaultPairs(random, window), randomCopies(scenario.seed, window)...)
	defer logScriptOnFailure(t, scenario.script) // a simulation that fails ends the test
	scenario.run(t)
}
