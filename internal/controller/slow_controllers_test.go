// Scenarios of controllers that get too little processor time or none.

package controller

import (
	"testing"
	"time"

	"ambersill/internal/emulator"
)

// A controller that gets no processor time for several seconds resumes with its old timers, lease
// and unsent requests, although another controller may have become the owner of the partition.
func TestFrozenControllers(t *testing.T) {
	freeze := func(at, duration time.Duration, nodes []int) emulator.Fault {
		return nodeFault(emulator.NodeFrozen, at, duration, nodes)
	}
	var repeatedFreezes []emulator.Fault
	for i := range 8 {
		at := time.Duration(30+9*i) * second
		duration := time.Duration(1+i) * second
		repeatedFreezes = append(repeatedFreezes, freeze(at, duration, ownerNode))
	}
	runScenarios(t, []faultScenario{
		{
			name:        "the owner, beyond the end of its lease, while jobs are cancelled",
			seed:        100,
			submit:      submitLongJobs(10),
			check:       expectTaskStarts(20),
			observe:     expectOwnerChange(71 * second),
			minInjected: faultCounts{emulator.NodeFrozen: 1, emulator.CancelRunningJobs: 4},
			script:      []emulator.Fault{freeze(60*second, 12*second, ownerNode), cancelJobsFault(67*second, 4)},
		},
		{
			name:        "the owner, while the next owner crashes",
			seed:        101,
			submit:      submitLongAndShortJobs(10, 6, 30),
			observe:     expectOwnerChange(80 * second),
			minInjected: faultCounts{emulator.NodeFrozen: 1, emulator.ControllerCrash: 1},
			script: []emulator.Fault{
				freeze(58*second, 25*second, ownerNode),
				crashFault(66*second, ownerNode, 2*second),
			},
		},
		{
			name:        "the owner of short tasks, repeatedly",
			seed:        102,
			submit:      submitJobStream(120, 2, 4, second, 8),
			observe:     expectOwnerChange(120 * second),
			check:       expectNoRepeatedAttempts,
			minInjected: faultCounts{emulator.NodeFrozen: 8},
			script:      repeatedFreezes,
		},
		{
			name:        "the nodes that forward heartbeats",
			seed:        103,
			submit:      submitLongJobs(10),
			check:       expectTaskStarts(20),
			minInjected: faultCounts{emulator.NodeFrozen: 2},
			script:      []emulator.Fault{freeze(60*second, 9*second, otherNodes)},
		},
		{
			name:        "all nodes, longer than the workers' leases",
			seed:        104,
			submit:      submitLongJobs(10),
			minInjected: faultCounts{emulator.NodeFrozen: 3},
			script:      []emulator.Fault{freeze(60*second, 20*second, allNodes)},
		},
	})
}

// Slow controllers are late in responding to heartbeats and users and in renewing their own
// leases, also during a failover of the partition. This must not break any rule.
func TestSlowControllers(t *testing.T) {
	slowProcessor := func(delayPerMessage time.Duration, nodes []int) emulator.Fault {
		fault := nodeFault(emulator.SlowProcessor, 30*second, 80*second, nodes)
		fault.Delay = delayPerMessage
		return fault
	}
	crash := crashFault(60*second, ownerNode, 2*second)
	crashAll := crashFault(60*second, allNodes, 2*second)
	cancels := cancelJobsFault(61*second, 10)
	runScenarios(t, []faultScenario{
		{
			name:        "the owner, which then crashes",
			seed:        110,
			submit:      submitJobStream(90, 2, 4, second, 15),
			observe:     expectOwnerChange(80 * second),
			minInjected: faultCounts{emulator.SlowProcessor: 1, emulator.ControllerCrash: 1},
			script:      []emulator.Fault{slowProcessor(20*time.Millisecond, ownerNode), crash, cancels},
		},
		{
			name:        "all nodes, and the owner crashes",
			seed:        111,
			submit:      submitJobStream(90, 2, 4, second, 15),
			observe:     expectOwnerChange(80 * second),
			minInjected: faultCounts{emulator.SlowProcessor: 3, emulator.ControllerCrash: 1},
			script:      []emulator.Fault{slowProcessor(10*time.Millisecond, allNodes), crash, cancels},
		},
		{
			name:        "all nodes, and all crash",
			seed:        112,
			submit:      submitLongAndShortJobs(10, 6, 30),
			observe:     expectOwnerChange(80 * second),
			minInjected: faultCounts{emulator.SlowProcessor: 3, emulator.ControllerCrash: 3},
			script:      []emulator.Fault{slowProcessor(10*time.Millisecond, allNodes), crashAll, cancels},
		},
	})
}
