// This file builds the faults that several scenarios share and submits the jobs of scenarios.

package controller

import (
	"time"

	"ambersill/internal/emulator"
)

// Sets of nodes that a fault can affect. emulator.FirstPartitionOwner and emulator.NonOwnerNodes
// are resolved when the fault begins.
var (
	ownerNode  = []int{emulator.FirstPartitionOwner}
	otherNodes = []int{emulator.NonOwnerNodes}
	allNodes   = []int{0, 1, 2}
)

// allTargets is the count of a fault that affects all eligible machines or jobs.
const allTargets = 0

func crashFault(at time.Duration, nodes []int, downtime time.Duration) emulator.Fault {
	return emulator.Fault{Start: at, Kind: emulator.ControllerCrash, Nodes: nodes, Delay: downtime}
}

func cancelJobsFault(at time.Duration, jobs int) emulator.Fault {
	return emulator.Fault{Start: at, Kind: emulator.CancelRunningJobs, MaxTargets: jobs}
}

func storeOutageFault(at, duration time.Duration) emulator.Fault {
	return emulator.Fault{Start: at, ActiveFor: duration, Kind: emulator.StoreOutage}
}

func slowStoreFault(at, duration, delay time.Duration) emulator.Fault {
	return emulator.Fault{Start: at, ActiveFor: duration, Kind: emulator.StoreSlow, Delay: delay}
}

func nodeFault(kind emulator.FaultKind, at, duration time.Duration, nodes []int) emulator.Fault {
	return emulator.Fault{Start: at, ActiveFor: duration, Kind: kind, Nodes: nodes}
}

func machineFault(kind emulator.FaultKind, at, duration time.Duration, machines int) emulator.Fault {
	return emulator.Fault{Start: at, ActiveFor: duration, Kind: kind, MaxTargets: machines}
}

// limitedToTeam restricts a machine fault to machines that run tasks of the team.
func limitedToTeam(team string, fault emulator.Fault) emulator.Fault {
	fault.Team = team
	return fault
}

// zoneCutFault disconnects the workers of a zone, together with the given nodes, from all other
// hosts.
func zoneCutFault(at, duration time.Duration, zone string, nodes []int) emulator.Fault {
	return emulator.Fault{Start: at, ActiveFor: duration, Kind: emulator.ZoneCut, Zone: zone, Nodes: nodes}
}

// machineLossFault makes the cloud remove machines of the zone without notice, or of any zone if
// zone is "".
func machineLossFault(at time.Duration, machines int, zone string) emulator.Fault {
	return emulator.Fault{Start: at, Kind: emulator.MachineLost, MaxTargets: machines, Zone: zone}
}

// submitLongJobs returns a function that submits jobs whose tasks run for 200 s, until after the
// last check of a scenario.
func submitLongJobs(jobs int) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		for n := range jobs {
			cluster.submit(newSmallMachineJob(n, 2, 4, 200), 0)
		}
	}
}

// submitLongAndShortJobs returns a function that submits long jobs, as submitLongJobs does, and
// short ones that end within the first minute and leave their machines idle.
func submitLongAndShortJobs(long, short int, shortRunSeconds float64) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		submitLongJobs(long)(cluster)
		for n := range short {
			cluster.submit(newSmallMachineJob(100+n, 1, 8, shortRunSeconds), 0)
		}
	}
}

// submitJobStream returns a function that submits one job per interval and cancels one in five of
// them, 1 to 4 s after its submission.
func submitJobStream(
	jobs, tasks int,
	cpus float64,
	interval time.Duration,
	runSeconds float64,
) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		for n := range jobs {
			cancelAfter := time.Duration(0)
			if n%4 == 3 {
				cancelAfter = time.Duration(n%5) * second
			}
			cluster.submit(newSmallMachineJob(n, tasks, cpus, runSeconds), cancelAfter)
			time.Sleep(interval)
		}
	}
}

// submitJobsAtTeamLimits submits jobs such that every team with a limit uses all of it until
// after the last check of a scenario and has more jobs queued than its limit allows at a time. It
// also submits jobs of the team without limits, whose machines could run the queued jobs
// immediately.
func submitJobsAtTeamLimits(cluster *simulatedCluster) {
	for n := range 22 {
		cluster.submit(newSmallMachineJob(100+n, 1, 4, 80, withTeam("blue")), 0)
		cluster.submit(newArrayJob(200+n, 1, 2, 80, withTeam("red"), withGPUs(1), allowSpot), 0)
	}
	time.Sleep(10 * second)
	for n := range 9 {
		cluster.submit(newSmallMachineJob(300+n, 1, 8, 80), 0)
	}
	for n := range 3 {
		cluster.submit(newArrayJob(400+n, 1, 10, 80, withGPUs(4), allowSpot), 0)
	}
}

// submitPreemptingJobs submits jobs that need whole machines, alternating between the idle and
// the urgent priority, so that tasks are preempted before their start is acknowledged.
func submitPreemptingJobs(cluster *simulatedCluster) {
	priorities := []jobOption{withPriority("idle"), withPriority("urgent")}
	for n := range 180 {
		cluster.submit(newSmallMachineJob(n, 2, 8, 2, priorities[n%2]), 0)
		time.Sleep(second / 3)
	}
}

// submitInvalidJobs submits long jobs and then invalid ones.
func submitInvalidJobs(cluster *simulatedCluster) {
	submitLongJobs(2)(cluster)
	user := &emulator.User{
		Simulation: cluster.simulation,
		Net:        cluster.network.Host("odd"),
		PickNode:   func() emulator.Node { return cluster.nodes[cluster.random.IntN(controllerCount)] },
	}
	for n := range 10 {
		time.Sleep(2 * second)
		user.SubmitInvalid(cluster.ctx, newSmallMachineJob(500+n, 1, 1, 5))
	}
}

// submitSingleZoneJobs submits jobs whose tasks must all run in one zone: job arrays in zone "b",
// gangs in any zone and job arrays in any zone.
func submitSingleZoneJobs(cluster *simulatedCluster) {
	for n := range 12 {
		job := newSmallMachineJob(n, 3, 4, 60, inOneZone)
		switch n % 3 {
		case 0:
			job.Zone = "b"
		case 1:
			asGang(job)
			withCheckpoints(20, 2)(job)
		}
		cluster.submit(job, 0)
		time.Sleep(3 * second)
	}
}
