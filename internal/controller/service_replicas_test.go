// Services: replicas that end or lose their machine run again, within the team's limit.

package controller

import (
	"context"
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/wire"
)

// A replica that ends, or whose machine is lost, hangs or fails all tasks, runs again; the user
// is never told that its service is done; once it is cancelled, all replicas end.
func TestReplicasAreRestarted(t *testing.T) {
	t.Parallel()
	const faultAt = 45 * time.Second
	for _, test := range []struct {
		name  string
		setup func(cluster *simulatedCluster)
	}{
		{"a replica ends by itself", func(cluster *simulatedCluster) {
			exited := false
			cluster.simulation.SetReplicaExit(func(_ *wire.Job, task int) (time.Duration, bool) {
				exits := task == 1 && !exited
				exited = exited || exits
				return faultAt, exits
			})
		}},
		{"its machine ends", func(cluster *simulatedCluster) {
			cluster.runAfter(faultAt, func() { cluster.loseFirstMachine() })
		}},
		{"its machine hangs, and goes on with it", func(cluster *simulatedCluster) {
			cluster.runAfter(faultAt, func() { cluster.cloud.Workers()[0].Hang(40 * time.Second) })
		}},
		{"its machine has notice", func(cluster *simulatedCluster) {
			cluster.runAfter(faultAt, func() { cluster.giveNotice(cluster.cloud.Workers()[0], 20*time.Second) })
		}},
		{"its machine fails all, and it starts there first", func(cluster *simulatedCluster) {
			cluster.runAfter(faultAt, func() {
				workers := cluster.cloud.Workers()
				workers[0].Fail(true)
				cluster.cloud.TakeBack(workers[1].Machine.ID)
			})
		}},
		{"the owner ends as it is put back", func(cluster *simulatedCluster) {
			cluster.runAfter(faultAt, func() {
				cluster.loseFirstMachine()
				time.Sleep(35 * time.Second)
				cluster.restartOwner(time.Second)
			})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if runInChildProcess(t) {
				return
			}
			runSimulation(t, 4, func(cluster *simulatedCluster) {
				test.setup(cluster)
				service := serviceJob(1, 4, 6) // one replica on a machine
				cluster.submit(service, 4*time.Minute)
				time.Sleep(3 * time.Minute)
				cluster.checkReplicas(service)
				cluster.waitAndCheck(10 * time.Minute)
				if phase := cluster.finalPhases[service.ID]; phase != wire.JobCancelled {
					cluster.t.Errorf("the service ended as %s", phase)
				}
			})
		})
	}
}

// runAfter runs f after the delay, beside the test, unless the simulation is over by then.
func (cluster *simulatedCluster) runAfter(delay time.Duration, f func()) {
	go func() {
		time.Sleep(delay)
		if cluster.ctx.Err() == nil {
			f()
		}
	}()
}

// loseFirstMachine has the cloud take one machine away without notice.
func (cluster *simulatedCluster) loseFirstMachine() {
	cluster.cloud.TakeBack(cluster.cloud.Workers()[0].Machine.ID)
}

// checkReplicas checks that all replicas of a service run.
func (cluster *simulatedCluster) checkReplicas(service *wire.Job) {
	cluster.t.Helper()
	if n := cluster.simulation.Replicas(service.ID); n != service.Tasks {
		cluster.t.Errorf("%d replicas of %d run", n, service.Tasks)
	}
}

// A replica that ends soon after each start is restarted with a backoff.
func TestReplicaRestartBacksOff(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runSimulation(t, 6, func(cluster *simulatedCluster) {
		cluster.simulation.SetReplicaExit(func(_ *wire.Job, task int) (time.Duration, bool) {
			return time.Second, task == 0
		})
		cluster.submit(serviceJob(1, 2, 2), 5*time.Minute)
		time.Sleep(4 * time.Minute)
		if n := cluster.simulation.Starts(); n < 6 || n > 14 {
			cluster.t.Errorf("%d starts", n)
		}
		cluster.waitAndCheck(10 * time.Minute)
	})
}

// Replicas of a service that uses all of its team's limit are restarted within the limit, and a
// service that would exceed it is refused.
func TestServiceAtTeamLimit(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	runSimulation(t, 4, func(cluster *simulatedCluster) {
		service := serviceJob(1, 5, 8) // all of the team's 40 CPUs
		service.Team = "blue"
		cluster.submit(service, 3*time.Minute)
		checkServiceAboveLimitIsRefused(cluster)
		cluster.runAfter(time.Minute, func() { cluster.cloud.Workers()[0].Hang(30 * time.Second) })
		time.Sleep(150 * time.Second)
		cluster.checkReplicas(service)
		cluster.waitAndCheck(10 * time.Minute)
	})
}

// checkServiceAboveLimitIsRefused submits a service of more CPUs than its team's limit, and
// checks that it is refused.
func checkServiceAboveLimitIsRefused(cluster *simulatedCluster) {
	service := serviceJob(2, 6, 8)
	service.Team = "blue"
	user := &emulator.User{
		Simulation: cluster.simulation,
		Net:        cluster.network.Host("user"),
		Pick:       func() emulator.Node { return cluster.nodes[0] },
	}
	ctx, cancel := context.WithTimeout(cluster.ctx, 20*time.Second)
	defer cancel()
	user.Run(ctx, service) // ends before the timeout if the service is refused
	if ctx.Err() != nil {
		cluster.t.Error("a service above its team's limit was not refused")
	}
}
