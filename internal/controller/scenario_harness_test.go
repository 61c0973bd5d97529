// This file runs scenarios of coinciding faults.

package controller

import (
	"testing"
	"time"

	"ambersill/internal/emulator"
)

const second = time.Second

// scenarioLimit is how long after its faults the jobs of a scenario may take to end.
const scenarioLimit = 20 * time.Minute

// faultCounts counts faults by their kind.
type faultCounts map[emulator.FaultKind]int

// faultScenario is a script of faults that coincide, on a cluster with one partition. The
// faults' times count from when the controllers start.
type faultScenario struct {
	name         string
	seed         uint64
	pollAllNodes bool // users poll all nodes within milliseconds

	setup   func(cluster *simulatedCluster) // runs before the controllers start
	submit  func(cluster *simulatedCluster) // submits jobs, beside the script
	observe func(cluster *simulatedCluster) // runs beside the script
	script  []emulator.Fault

	// minInjected is how often each kind of fault must at least have taken effect: a scenario
	// that did not come about guards nothing.
	minInjected faultCounts
	// check checks more than the rules, once all jobs have ended.
	check func(t *testing.T, cluster *simulatedCluster)
}

// run runs the scenario, and checks that it came about and that no rule was broken.
func (scenario *faultScenario) run(t *testing.T) {
	simulate(t, scenario.seed, func(t *testing.T, cluster *simulatedCluster) {
		cluster.pollAllNodes = scenario.pollAllNodes
		cluster.tuning.Parts = 1
		if scenario.setup != nil {
			scenario.setup(cluster)
		}
		cluster.startNodes()
		cluster.background.Go(func() { scenario.submit(cluster) })
		if scenario.observe != nil {
			cluster.background.Go(func() { scenario.observe(cluster) })
		}
		cluster.injector.Run(cluster.ctx, scenario.script...)
		cluster.simulation.FaultsOver()
		cluster.waitAndCheck(scenarioLimit)
		scenario.checkInjected(t, cluster)
		if scenario.check != nil {
			scenario.check(t, cluster)
		}
	})
}

// checkInjected checks that the faults took effect.
func (scenario *faultScenario) checkInjected(t *testing.T, cluster *simulatedCluster) {
	t.Helper()
	for kind, least := range scenario.minInjected {
		if n := cluster.injector.InjectedCount(kind); n < least {
			t.Errorf("the scenario did not come about: %s %d times, not %d", kind, n, least)
		}
	}
}

// runScenarios runs each scenario as a subtest, in a process of its own.
func runScenarios(t *testing.T, scenarios []faultScenario) {
	t.Parallel()
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			if runInChildProcess(t) {
				return
			}
			scenario.run(t)
		})
	}
}

// expectStarts checks that as many tasks were started as the scenario needs, so that none ran
// anew without need.
func expectStarts(want int) func(t *testing.T, cluster *simulatedCluster) {
	return func(_ *testing.T, cluster *simulatedCluster) { cluster.checkStarts(want) }
}

// expectNoRepeatedAttempts checks that no attempt was started again after it had been cleared.
func expectNoRepeatedAttempts(t *testing.T, cluster *simulatedCluster) {
	if n := cluster.simulation.RepeatedAttempts(); n != 0 {
		t.Errorf("%d attempts were started once more", n)
	}
}

// expectRunning checks how many tasks run at that time.
func expectRunning(at time.Duration, want int) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		time.Sleep(at)
		if got := cluster.simulation.Running(); got != want {
			cluster.t.Errorf("%d tasks run after %v, want %d", got, at, want)
		}
	}
}

// expectTeamsAtLimits checks that every team with a limit uses all of it at that time.
func expectTeamsAtLimits(at time.Duration) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		time.Sleep(at)
		for _, team := range cluster.settings(0).Cluster.Teams {
			cpus, gpus := cluster.simulation.Used(team.Name)
			belowCPUs := team.CPUsMax > 0 && cpus < team.CPUsMax
			belowGPUs := team.GPUsMax > 0 && gpus < team.GPUsMax
			if belowCPUs || belowGPUs {
				cluster.t.Errorf("the scenario did not come about: %s uses %v CPUs and %v GPUs", team.Name, cpus, gpus)
			}
		}
	}
}

// expectOwnerChange checks that between the first half minute and the given time the partition
// got another owner.
func expectOwnerChange(by time.Duration) func(cluster *simulatedCluster) {
	const from = 30 * second
	return func(cluster *simulatedCluster) {
		time.Sleep(from)
		_, before := cluster.partitionOwner()
		time.Sleep(by - from)
		if _, after := cluster.partitionOwner(); after == before {
			cluster.t.Error("the scenario did not come about: the partition has its former owner")
		}
	}
}
