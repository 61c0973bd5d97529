// Simulations with few jobs while many commits are executed late or not answered. The jobs of busy
// clusters hide a wrong record, because the next change replaces it.

package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"ambersill/internal/emulator"
)

// A few jobs, submitted while commits are late or not answered and controllers crash, all end within
// minutes of the last fault, and the records agree with the cluster's state some time later.
func TestFewJobsWithLateCommits(t *testing.T) {
	t.Parallel()
	const simulationsPerSeed = 6
	forEachSeed(t, seedCount(20), func(t *testing.T, seed int) {
		random := rand.New(rand.NewPCG(uint64(seed), quietClusterStream))
		for n := range simulationsPerSeed {
			simulate(t, uint64(n), func(t *testing.T, cluster *simulatedCluster) {
				cluster.tuning.Parts = []int{1, controllerCount}[random.IntN(2)]
				runFewJobsWithLateCommits(t, cluster, random)
			})
		}
	})
}

func runFewJobsWithLateCommits(t *testing.T, cluster *simulatedCluster, random *rand.Rand) {
	const window = 90 * second
	script := lateCommitScript(random, window)
	defer logScriptOnFailure(t, script) // a simulation that fails ends the test
	for range random.IntN(3) {
		cluster.cloud.AddMachine("small", "a", false) // is adopted
	}
	cluster.startNodes()
	jobs := random.IntN(3)
	cluster.background.Go(func() {
		time.Sleep(randomDuration(random, 1, 20))
		cluster.submit(randomJob(cluster.random, jobs), 0) // the others may be cancelled
		cluster.submitRandomJobs(jobs, window)
	})
	cluster.injector.Run(cluster.ctx, script...)
	cluster.simulation.RecordFaultsOver()
	cluster.waitForJobsAndCheck(6 * time.Minute)
	time.Sleep(3 * time.Minute)
	cluster.checkRecordsOfQuietCluster("few jobs with late commits")
}

// lateCommitScript returns a script in which many commits are late or not answered, and up to two
// controllers crash, for the time window.
func lateCommitScript(random *rand.Rand, window time.Duration) []emulator.Fault {
	script := []emulator.Fault{
		{Kind: emulator.LateCommits, ActiveFor: window, Probability: 0.1 + 0.4*random.Float64()},
		{Kind: emulator.LostResponses, ActiveFor: window, Probability: 0.3 * random.Float64()},
	}
	for range random.IntN(3) {
		fault := emulator.Fault{Kind: emulator.ControllerCrash, Nodes: []int{random.IntN(controllerCount)}}
		fault.Start = randomDuration(random, 1, int(window.Seconds()))
		redrawForKind(&fault, random)
		script = append(script, fault)
	}
	return script
}
