// This file builds the faults that scenarios share, and the jobs they meet.

package controller

import (
	"time"

	"ambersill/internal/emulator"
)

// The nodes that a fault may affect.
var (
	ownerNode  = []int{emulator.FirstPartitionOwner}
	otherNodes = []int{emulator.NonOwnerNodes}
	allNodes   = []int{0, 1, 2}
)

// allOfThem is the count of a fault that affects all machines or jobs that it can.
const allOfThem = 0

func crashFault(at time.Duration, nodes []int, downtime time.Duration) emulator.Fault {
	return emulator.Fault{Start: at, Kind: emulator.ControllerCrash, Nodes: nodes, Delay: downtime}
}

func cancelFault(at time.Duration, jobs int) emulator.Fault {
	return emulator.Fault{Start: at, Kind: emulator.CancelRunningJobs, MaxTargets: jobs}
}

func outageFault(at, length time.Duration) emulator.Fault {
	return emulator.Fault{Start: at, ActiveFor: length, Kind: emulator.StoreOutage}
}

func slowStoreFault(at, length, delay time.Duration) emulator.Fault {
	return emulator.Fault{Start: at, ActiveFor: length, Kind: emulator.StoreSlow, Delay: delay}
}

func nodeFault(kind emulator.FaultKind, at, length time.Duration, nodes []int) emulator.Fault {
	return emulator.Fault{Start: at, ActiveFor: length, Kind: kind, Nodes: nodes}
}

func machineFault(kind emulator.FaultKind, at, length time.Duration, machines int) emulator.Fault {
	return emulator.Fault{Start: at, ActiveFor: length, Kind: kind, MaxTargets: machines}
}

// ofTeam restricts a fault of machines to those with tasks of the team.
func ofTeam(team string, fault emulator.Fault) emulator.Fault {
	fault.Team = team
	return fault
}

// zoneCutFault cuts a zone's workers off, and the nodes with them.
func zoneCutFault(at, length time.Duration, zone string, nodes []int) emulator.Fault {
	return emulator.Fault{Start: at, ActiveFor: length, Kind: emulator.ZoneCut, Zone: zone, Nodes: nodes}
}

// lostMachinesFault has the cloud take machines of a zone, or of any zone if it is "".
func lostMachinesFault(at time.Duration, machines int, zone string) emulator.Fault {
	return emulator.Fault{Start: at, Kind: emulator.MachineLost, MaxTargets: machines, Zone: zone}
}

// submitLongJobs submits jobs that run until after the last check of a scenario.
func submitLongJobs(jobs int) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		for n := range jobs {
			cluster.submit(smallMachineJob(n, 2, 4, 200), 0)
		}
	}
}

// submitLongAndShortJobs submits such jobs, and short ones that end within the first minute and
// leave their machines idle.
func submitLongAndShortJobs(long, short int, shortSeconds float64) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		submitLongJobs(long)(cluster)
		for n := range short {
			cluster.submit(smallMachineJob(100+n, 1, 8, shortSeconds), 0)
		}
	}
}

// submitJobStream submits a job each interval, and cancels every fourth within seconds.
func submitJobStream(
	jobs, tasks int,
	cpus float64,
	interval time.Duration,
	seconds float64,
) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		for n := range jobs {
			cancelAfter := time.Duration(0)
			if n%4 == 3 {
				cancelAfter = time.Duration(n%5) * second
			}
			cluster.submit(smallMachineJob(n, tasks, cpus, seconds), cancelAfter)
			time.Sleep(interval)
		}
	}
}

// submitJobsAtTeamLimits has every team with a limit use all of it until after the last check
// of a scenario, with more than a limit's worth of its jobs queued. It adds jobs of the team
// without limits whose machines could run the queued ones at once.
func submitJobsAtTeamLimits(cluster *simulatedCluster) {
	for n := range 22 {
		cluster.submit(smallMachineJob(100+n, 1, 4, 80, withTeam("blue")), 0)
		cluster.submit(newArrayJob(200+n, 1, 2, 80, withTeam("red"), withGPUs(1), allowSpot), 0)
	}
	time.Sleep(10 * second)
	for n := range 9 {
		cluster.submit(smallMachineJob(300+n, 1, 8, 80), 0)
	}
	for n := range 3 {
		cluster.submit(newArrayJob(400+n, 1, 10, 80, withGPUs(4), allowSpot), 0)
	}
}

// submitPreemptingJobs submits jobs that need whole machines, in turn of low and of high
// priority, so that tasks are preempted before their start is acknowledged.
func submitPreemptingJobs(cluster *simulatedCluster) {
	priorities := []jobOption{withPriority("idle"), withPriority("urgent")}
	for n := range 180 {
		cluster.submit(smallMachineJob(n, 2, 8, 2, priorities[n%2]), 0)
		time.Sleep(second / 3)
	}
}

// submitInvalidJobs submits long jobs, and then invalid ones.
func submitInvalidJobs(cluster *simulatedCluster) {
	submitLongJobs(2)(cluster)
	user := &emulator.User{
		Simulation: cluster.simulation,
		Net:        cluster.network.Host("odd"),
		Pick:       func() emulator.Node { return cluster.nodes[cluster.random.IntN(controllerCount)] },
	}
	for n := range 10 {
		time.Sleep(2 * second)
		user.SubmitInvalid(cluster.ctx, smallMachineJob(500+n, 1, 1, 5))
	}
}

// submitSingleZoneJobs submits jobs that are bound to one zone: to a given one, as gangs, and as
// job arrays.
func submitSingleZoneJobs(cluster *simulatedCluster) {
	for n := range 12 {
		job := smallMachineJob(n, 3, 4, 60, inOneZone)
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
