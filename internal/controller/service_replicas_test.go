// Tests of services: replicas that exit or lose their machine are restarted within the team's
// limit.

package controller

import (
	"context"
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/wire"
)

// A replica that exits, or whose machine is lost, hangs or fails all tasks, must be restarted. The
// user must never be told that the service is done, and all replicas must end once the service is
// cancelled.
func TestReplicasAreRestarted(t *testing.T) {
	t.Parallel()
	const faultAt = 45 * time.Second
	for _, test := range []struct {
		name  string
		setup func(cluster *simulatedCluster)
	}{
		{"a replica exits", func(cluster *simulatedCluster) {
			exited := false
			cluster.simulation.SetReplicaExit(func(_ *wire.Job, task int) (time.Duration, bool) {
				exits := task == 1 && !exited
				exited = exited || exits
				return faultAt, exits
			})
		}},
		{"the replica's machine is lost", func(cluster *simulatedCluster) {
			cluster.runAfterDelay(faultAt, func() { cluster.loseFirstMachine() })
		}},
		{"the replica's machine hangs and then resumes", func(cluster *simulatedCluster) {
			cluster.runAfterDelay(faultAt, func() { cluster.cloud.Workers()[0].Hang(40 * time.Second) })
		}},
		{"the replica's machine gets a termination notice", func(cluster *simulatedCluster) {
			cluster.runAfterDelay(faultAt, func() { cluster.terminateWithNotice(cluster.cloud.Workers()[0], 20*time.Second) })
		}},
		{"the replica's machine is lost and another fails all tasks", func(cluster *simulatedCluster) {
			cluster.runAfterDelay(faultAt, func() {
				workers := cluster.cloud.Workers()
				workers[0].FailTasks(true)
				cluster.cloud.Reclaim(workers[1].Machine.ID)
			})
		}},
		{"the owner crashes while the replica is being restarted", func(cluster *simulatedCluster) {
			cluster.runAfterDelay(faultAt, func() {
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
			simulateOnePartition(t, 4, func(cluster *simulatedCluster) {
				test.setup(cluster)
				service := newServiceJob(1, 4, 6) // one replica fits on a machine
				cluster.submit(service, 4*time.Minute)
				time.Sleep(3 * time.Minute)
				cluster.checkAllReplicasRunning(service)
				cluster.waitForJobsAndCheck(10 * time.Minute)
				if phase := cluster.finalPhases[service.ID]; phase != wire.JobCancelled {
					cluster.t.Errorf("final phase of the cancelled service: got %q, want \"aborted\"", phase)
				}
			})
		})
	}
}

// runAfterDelay runs f in a goroutine after the delay, unless the simulation has ended by then.
func (cluster *simulatedCluster) runAfterDelay(delay time.Duration, f func()) {
	go func() {
		time.Sleep(delay)
		if cluster.ctx.Err() == nil {
			f()
		}
	}()
}

// loseFirstMachine makes the cloud remove the first machine without notice.
func (cluster *simulatedCluster) loseFirstMachine() {
	cluster.cloud.Reclaim(cluster.cloud.Workers()[0].Machine.ID)
}

// checkAllReplicasRunning checks that all replicas of a service are running.
func (cluster *simulatedCluster) checkAllReplicasRunning(service *wire.Job) {
	cluster.t.Helper()
	if n := cluster.simulation.ReplicaCount(service.ID); n != service.TaskCount {
		cluster.t.Errorf("running replicas of the service: got %d, want %d", n, service.TaskCount)
	}
}

// A replica that exits soon after each start must be restarted with a back-off.
func TestReplicaRestartBacksOff(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	simulateOnePartition(t, 6, func(cluster *simulatedCluster) {
		cluster.simulation.SetReplicaExit(func(_ *wire.Job, task int) (time.Duration, bool) {
			return time.Second, task == 0
		})
		cluster.submit(newServiceJob(1, 2, 2), 5*time.Minute)
		time.Sleep(4 * time.Minute)
		if n := cluster.simulation.StartCount(); n < 6 || n > 14 {
			cluster.t.Errorf("task starts with a replica that exits after 1 s: got %d, want 6 to 14", n)
		}
		cluster.waitForJobsAndCheck(10 * time.Minute)
	})
}

// Replicas of a service that uses all of its team's limit must be restarted within the limit, and
// a service that would exceed the limit must be refused.
func TestServiceAtTeamLimit(t *testing.T) {
	if runInChildProcess(t) {
		return
	}
	simulateOnePartition(t, 4, func(cluster *simulatedCluster) {
		service := newServiceJob(1, 5, 8) // all of the team's 40 CPUs
		service.Team = "blue"
		cluster.submit(service, 3*time.Minute)
		checkServiceAboveLimitIsRefused(cluster)
		cluster.runAfterDelay(time.Minute, func() { cluster.cloud.Workers()[0].Hang(30 * time.Second) })
		time.Sleep(150 * time.Second)
		cluster.checkAllReplicasRunning(service)
		cluster.waitForJobsAndCheck(10 * time.Minute)
	})
}

// checkServiceAboveLimitIsRefused submits a service that needs more CPUs than its team's limit and
// checks that it is refused.
func checkServiceAboveLimitIsRefused(cluster *simulatedCluster) {
	service := newServiceJob(2, 6, 8)
	service.Team = "blue"
	user := &emulator.User{
		Simulation: cluster.simulation,
		Net:        cluster.network.Host("user"),
		PickNode:   func() emulator.Node { return cluster.nodes[0] },
	}
	ctx, cancel := context.WithTimeout(cluster.ctx, 20*time.Second)
	defer cancel()
	user.Run(ctx, service) // ends before the timeout if the service is refused
	if ctx.Err() != nil {
		cluster.t.Error("service above its team's limit was not refused within 20 s")
	}
}
