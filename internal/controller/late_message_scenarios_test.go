// Scenarios of heartbeats, commands and commits that arrive late. Each is one entry in the table of a test.

package controller

import (
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/wire"
)

// Heartbeats, commands and commits that arrive after newer ones must not break any rule.
func TestLateMessages(t *testing.T) {
	var scenarios []faultScenario
	scenarios = append(scenarios, lateHeartbeatScenarios()...)
	scenarios = append(scenarios, lateCommandScenarios()...)
	scenarios = append(scenarios, lateCommitScenarios()...)
	runScenarios(t, scenarios)
}

func lateHeartbeatScenarios() []faultScenario {
	late := func(at, duration time.Duration, share float64, delay time.Duration) emulator.Fault {
		return emulator.Fault{Start: at, ActiveFor: duration, Kind: emulator.LateHeartbeats, Probability: share, Delay: delay}
	}
	forNextOwner := func(at, duration, delay time.Duration) emulator.Fault {
		return emulator.Fault{Start: at, ActiveFor: duration, Kind: emulator.HeartbeatsForNextOwner, Delay: delay}
	}
	return []faultScenario{
		// The next owner receives each machine's first heartbeat, which lists no task. The
		// machines that run tasks hang at that time, so that neither a command response nor a
		// newer heartbeat from them arrives first.
		{
			name:   "old heartbeats when the next owner takes over",
			seed:   70,
			submit: submitLongAndShortJobs(5, 5, 10),
			minInjected: faultCounts{
				emulator.HeartbeatsForNextOwner: 6,
				emulator.MachineHang:            4,
				emulator.ControllerCrash:        1,
			},
			check: expectTaskStarts(15),
			script: []emulator.Fault{
				forNextOwner(2*second, 36*second, 0),
				machineFault(emulator.MachineHang, 39*second, 11*second, allTargets),
				crashFault(40*second, ownerNode, 3*second),
			},
		},
		// The next owner receives heartbeats from before it took over, and delayed ones that
		// already carry its fencing token.
		{
			name:   "old heartbeats some seconds after the next owner takes over",
			seed:   71,
			submit: submitJobStream(60, 2, 4, second, 15),
			minInjected: faultCounts{
				emulator.HeartbeatsForNextOwner: 6,
				emulator.LateHeartbeats:         20,
				emulator.ControllerCrash:        1,
			},
			script: []emulator.Fault{
				forNextOwner(22*second, 20*second, 6*second),
				crashFault(50*second, ownerNode, 3*second),
				late(54*second, 30*second, 0.5, 10*second),
			},
		},
		{
			name:        "copies of heartbeats from earlier incarnations and attempts",
			seed:        72,
			submit:      submitJobStream(60, 2, 4, second, 15),
			minInjected: faultCounts{emulator.LateHeartbeats: 50, emulator.MachineHang: 4},
			script: []emulator.Fault{
				late(20*second, 80*second, 0.3, 30*second),
				machineFault(emulator.MachineHang, 45*second, 16*second, 4),
			},
		},
	}
}

func lateCommandScenarios() []faultScenario {
	delayed := emulator.Fault{Start: 42 * second, ActiveFor: 50 * second, Kind: emulator.DelayedCommands, Delay: 9 * second}
	return []faultScenario{
		{
			name:        "commands are delayed",
			seed:        73,
			submit:      submitPreemptingJobs,
			minInjected: faultCounts{emulator.DelayedCommands: 5},
			check:       expectNoRepeatedAttempts,
			script:      []emulator.Fault{delayed},
		},
		{
			name:        "machines resume with a command in flight",
			seed:        74,
			submit:      submitJobStream(60, 2, 4, second, 20),
			minInjected: faultCounts{emulator.MachineHang: 4},
			script: []emulator.Fault{
				machineFault(emulator.MachineHang, 30*second, 9*second, allTargets),
				machineFault(emulator.MachineHang, 42*second, 9*second, allTargets),
				machineFault(emulator.MachineHang, 55*second, 13*second, allTargets),
			},
		},
		{
			name:   "machines cannot reach controllers but receive commands",
			seed:   75,
			submit: submitJobStream(90, 2, 4, second, 14),
			minInjected: faultCounts{
				emulator.MachineOutboundCut: 4,
				emulator.CloudCut:           1,
				emulator.CancelRunningJobs:  5,
			},
			// The machines' leases expire. Commands to stop tasks then reach the machines, whose
			// next incarnation refuses them. The cloud becomes unreachable after the next owner has
			// learned the machines' addresses, so that no machine can be returned.
			script: []emulator.Fault{
				cancelJobsFault(61*second, allTargets),
				nodeFault(emulator.CloudCut, 54*second, 40*second, allNodes),
				machineFault(emulator.MachineOutboundCut, 45*second, 45*second, 5),
				crashFault(48*second, ownerNode, 2*second),
			},
		},
	}
}

func lateCommitScenarios() []faultScenario {
	bootWithinTwoSeconds := func(cluster *simulatedCluster) {
		cluster.cloud.BootTime = func(wire.MachineType) time.Duration { return 1500 * time.Millisecond }
	}
	lostResponses := emulator.Fault{Start: 10 * second, ActiveFor: 50 * second, Kind: emulator.LostResponses, Probability: 0.4}
	// Machines are lost and their records deleted while the next owner loads its partition.
	slowFailovers := append(periodicMachineLosses(500*time.Millisecond, 28*second, 16),
		slowStoreFault(3*second, 60*second, 600*time.Millisecond),
		crashFault(15*second, ownerNode, second),
		crashFault(42*second, ownerNode, second),
	)
	return []faultScenario{
		{
			name:        "commits are late",
			seed:        76,
			submit:      submitJobStream(150, 2, 2, 500*time.Millisecond, 10),
			minInjected: faultCounts{emulator.LateCommits: 6, emulator.ControllerCrash: 3},
			script:      lateCommitsThenCrashes(40*second, 55*second, 70*second),
		},
		{
			name:         "responses to commits are lost",
			seed:         77,
			pollAllNodes: true,
			submit:       submitJobStream(40, 2, 2, second, 10),
			minInjected:  faultCounts{emulator.LostResponses: 20},
			script:       []emulator.Fault{lostResponses},
		},
		{
			name:   "machines boot within two seconds, commits are slow, and the owner crashes",
			seed:   78,
			setup:  bootWithinTwoSeconds,
			submit: submitJobStream(40, 2, 2, second, 30),
			minInjected: faultCounts{
				emulator.StoreSlow:       1,
				emulator.ControllerCrash: 2,
				emulator.MachineLost:     5,
			},
			script: slowFailovers,
		},
	}
}

// lateCommitsThenCrashes returns a script that crashes the owner at each of the given times and
// executes late all commits that it sends in the 5 s before. Some machines hang when it crashes,
// so that the next owner gets no heartbeats that list their tasks.
func lateCommitsThenCrashes(times ...time.Duration) []emulator.Fault {
	var script []emulator.Fault
	for _, at := range times {
		late := nodeFault(emulator.LateCommits, at-5*second, 5*second, ownerNode)
		late.Probability = 1
		script = append(script,
			late,
			machineFault(emulator.MachineHang, at, 9*second, 7),
			crashFault(at, ownerNode, second),
		)
	}
	return script
}
