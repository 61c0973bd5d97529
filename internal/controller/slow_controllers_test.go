package controller

import (
	"testing"
	"time"

	"ambersill/internal/emulator"
)

// expectOwnerChange expects that the partition had another owner by the given time.
func expectOwnerChange(by time.Duration) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		time.Sleep(30 * second)
		_, before := cluster.partitionOwner()
		time.Sleep(by - 30*second)
		if _, after := cluster.partitionOwner(); after == before {
			cluster.t.Error("the scenario did not come about: the partition has its former owner")
		}
	}
}

// A controller that is given no processor time for seconds wakes up with its timers, its
// lease and what it was about to send as they were, while another owns the partition.
func TestFrozenControllers(t *testing.T) {
	owner, others := []int{emulator.Owner}, []int{emulator.Others}
	still := func(at, length time.Duration, nodes []int) emulator.Fault {
		return emulator.Fault{At: at, For: length, Kind: emulator.NodeFrozen, Nodes: nodes}
	}
	manyStalls := func() (out []emulator.Fault) {
		for i := range 8 {
			out = append(out, still(time.Duration(30+9*i)*second, time.Duration(1+i)*second, owner))
		}
		return out
	}
	crash := emulator.Fault{At: 66 * second, Kind: emulator.ControllerCrash, Nodes: owner, Wait: 2 * second}
	runScenarios(t, []faultScenario{
		{
			name:        "the owner beyond its lease, jobs are cancelled",
			seed:        100,
			submit:      submitLongJobs(10),
			check:       expectStarts(20),
			observe:     expectOwnerChange(71 * second),
			minInjected: map[emulator.FaultKind]int{emulator.NodeFrozen: 1, emulator.CancelRunningJobs: 4},
			script: []emulator.Fault{
				still(60*second, 12*second, owner),
				{At: 67 * second, Kind: emulator.CancelRunningJobs, Count: 4},
			},
		},
		{
			name:        "the owner, and the next one ends",
			seed:        101,
			submit:      submitLongAndShortJobs(10, 6, 30),
			observe:     expectOwnerChange(80 * second),
			minInjected: map[emulator.FaultKind]int{emulator.NodeFrozen: 1, emulator.ControllerCrash: 1},
			script:      []emulator.Fault{still(58*second, 25*second, owner), crash},
		},
		{
			name:        "the owner of short tasks, again and again",
			seed:        102,
			submit:      submitJobStream(120, 2, 4, second, 8),
			observe:     expectOwnerChange(120 * second),
			check:       expectNoRepeatedAttempts,
			minInjected: map[emulator.FaultKind]int{emulator.NodeFrozen: 8},
			script:      manyStalls(),
		},
		{
			name:        "the nodes that forward reports",
			seed:        103,
			submit:      submitLongJobs(10),
			check:       expectStarts(20),
			minInjected: map[emulator.FaultKind]int{emulator.NodeFrozen: 2},
			script:      []emulator.Fault{still(60*second, 9*second, others)},
		},
		{
			name:        "all, longer than the workers' leases",
			seed:        104,
			submit:      submitLongJobs(10),
			minInjected: map[emulator.FaultKind]int{emulator.NodeFrozen: 3},
			script:      []emulator.Fault{still(60*second, 20*second, []int{0, 1, 2})},
		},
	})
}

// Controllers that compute slowly are behind with reports, users and their own leases, also
// while the partition changes hands; no rule may be broken for it.
func TestSlowControllers(t *testing.T) {
	slow := func(cost time.Duration, nodes ...int) emulator.Fault {
		return emulator.Fault{
			At:    30 * second,
			For:   80 * second,
			Kind:  emulator.SlowProcessor,
			Wait:  cost,
			Nodes: nodes,
		}
	}
	crash := emulator.Fault{
		At:    60 * second,
		Kind:  emulator.ControllerCrash,
		Nodes: []int{emulator.Owner},
		Wait:  2 * second,
	}
	all := crash
	all.Nodes = []int{0, 1, 2}
	cancels := emulator.Fault{At: 61 * second, Kind: emulator.CancelRunningJobs, Count: 10}
	runScenarios(t, []faultScenario{
		{
			name:        "the owner, which ends",
			seed:        110,
			submit:      submitJobStream(90, 2, 4, second, 15),
			observe:     expectOwnerChange(80 * second),
			minInjected: map[emulator.FaultKind]int{emulator.SlowProcessor: 1, emulator.ControllerCrash: 1},
			script:      []emulator.Fault{slow(20*time.Millisecond, emulator.Owner), crash, cancels},
		},
		{
			name:        "all, and the owner ends",
			seed:        111,
			submit:      submitJobStream(90, 2, 4, second, 15),
			observe:     expectOwnerChange(80 * second),
			minInjected: map[emulator.FaultKind]int{emulator.SlowProcessor: 3, emulator.ControllerCrash: 1},
			script:      []emulator.Fault{slow(10*time.Millisecond, 0, 1, 2), crash, cancels},
		},
		{
			name:        "all, and all end",
			seed:        112,
			submit:      submitLongAndShortJobs(10, 6, 30),
			observe:     expectOwnerChange(80 * second),
			minInjected: map[emulator.FaultKind]int{emulator.SlowProcessor: 3, emulator.ControllerCrash: 3},
			script:      []emulator.Fault{slow(10*time.Millisecond, 0, 1, 2), all, cancels},
		},
	})
}
