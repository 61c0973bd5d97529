// This file runs scenarios of faults that occur at the same time.

package controller

import (
	"testing"
	"time"

	"ambersill/internal/emulator"
)

const second = time.Second

// scenarioTimeout is the time within which all jobs of a scenario must end after its last fault.
const scenarioTimeout = 20 * time.Minute

// faultCounts holds a number of faults for each kind.
type faultCounts map[emulator.FaultKind]int

// faultScenario is a script of overlapping faults on a cluster with one partition. The times of
// the faults are relative to the start of the controllers.
type faultScenario struct {
	name string
	seed uint64
	// pollAllNodes makes users, after each new phase, poll all nodes and submit again within
	// milliseconds.
	pollAllNodes bool

	setup   func(cluster *simulatedCluster) // runs before the controllers start
	submit  func(cluster *simulatedCluster) // submits jobs; runs concurrently with the script
	observe func(cluster *simulatedCluster) // runs concurrently with the script
	script  []emulator.Fault

	// minInjected is the minimum number of times that each kind of fault must take effect. A
	// scenario whose faults had no effect would pass without testing anything.
	minInjected faultCounts
	// check runs after all jobs have ended and checks more than the general rules.
	check func(t *testing.T, cluster *simulatedCluster)
}

// run runs the scenario and checks that its faults took effect and that no rule was broken.
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
		cluster.simulation.RecordFaultsOver()
		cluster.waitForJobsAndCheck(scenarioTimeout)
		scenario.checkInjected(t, cluster)
		if scenario.check != nil {
			scenario.check(t, cluster)
		}
	})
}

// checkInjected checks that each kind of fault took effect at least minInjected times.
func (scenario *faultScenario) checkInjected(t *testing.T, cluster *simulatedCluster) {
	t.Helper()
	for kind, minimum := range scenario.minInjected {
		if n := cluster.injector.InjectedCount(kind); n < minimum {
			t.Errorf("effective faults of kind %s in the scenario: got %d, want at least %d", kind, n, minimum)
		}
	}
}

// runScenarios runs each scenario as a subtest in its own child process.
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

// expectTaskStarts returns a check of the total number of task starts, which detects tasks that
// were restarted unnecessarily.
func expectTaskStarts(want int) func(t *testing.T, cluster *simulatedCluster) {
	return func(_ *testing.T, cluster *simulatedCluster) { cluster.checkTaskStarts(want) }
}

// expectNoRepeatedAttempts checks that no worker started an attempt again after being told to
// forget it.
func expectNoRepeatedAttempts(t *testing.T, cluster *simulatedCluster) {
	if n := cluster.simulation.RepeatedAttemptCount(); n != 0 {
		t.Errorf("attempts started again after they had been forgotten: got %d, want 0", n)
	}
}

// expectRunningTasks returns an observer that checks the number of running tasks at the given
// time.
func expectRunningTasks(at time.Duration, want int) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		time.Sleep(at)
		if got := cluster.simulation.TasksOnMachines(); got != want {
			cluster.t.Errorf("running tasks: got %d after %v, want %d", got, at, want)
		}
	}
}

// expectTeamsAtLimits returns an observer that checks that, at the given time, every team with a
// limit uses all of it.
func expectTeamsAtLimits(at time.Duration) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		time.Sleep(at)
		for _, team := range cluster.settings(0).Cluster.Teams {
			cpus, gpus := cluster.simulation.TeamUsage(team.Name)
			belowCPUs := team.MaxCPUs > 0 && cpus < team.MaxCPUs
			belowGPUs := team.MaxGPUs > 0 && gpus < team.MaxGPUs
			if belowCPUs || belowGPUs {
				cluster.t.Errorf("usage of team %s before the faults: got %v CPUs and %v GPUs, want its limits reached", team.Name, cpus, gpus)
			}
		}
	}
}

// expectOwnerChange returns an observer that checks that the owner record of the partition
// changes between 30 s after the start and the given time.
func expectOwnerChange(by time.Duration) func(cluster *simulatedCluster) {
	const from = 30 * second
	return func(cluster *simulatedCluster) {
		time.Sleep(from)
		_, before := cluster.firstPartitionOwner()
		time.Sleep(by - from)
		if _, after := cluster.firstPartitionOwner(); after == before {
			cluster.t.Error("owner record of the partition has not changed, want a new owner")
		}
	}
}
