package emulator

import (
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/wire"
)

// newExpiringLeaseSetup returns a gang whose first machine has 10 s left of its lease. No heartbeat
// is sent, so that only the emulated tasks themselves can notice that the lease has expired.
func newExpiringLeaseSetup() *gangSetup {
	g := newGangSetup()
	g.expireLeaseAfter(0, 10*time.Second)
	return g
}

// expireLeaseAfter makes the lease of a task's machine last for d from now.
func (g *gangSetup) expireLeaseAfter(i int, d time.Duration) {
	g.workers[i].leaseStart = time.Now().Add(d - g.LeaseDuration)
}

// setImageFetchTime sets how long a machine that does not have the gang's image takes to fetch it.
func (g *gangSetup) setImageFetchTime(d time.Duration) {
	g.job.ImageGB = d.Seconds()
	for _, worker := range g.workers {
		worker.machineType.ImageFetchGBPerS = 1
	}
}

// Guards against the failure ran_twice of random faults: a task started, and was never removed, on
// a machine that had just dropped it because its lease had expired.
func TestTaskDoesNotStartAfterItsLeaseExpired(t *testing.T) {
	for _, c := range []struct {
		name     string
		scenario func(g *gangSetup)
	}{
		{"machine without other tasks", func(*gangSetup) {}},
		{"machine with a running task", func(g *gangSetup) {
			service := &wire.Job{ID: "req-2", Team: "free", Shape: wire.ServiceJob, TaskCount: 1, CPUs: 1, MemoryGB: 1}
			g.RegisterJob(service)
			g.startTaskOn(g.workers[0], service, 0)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newExpiringLeaseSetup()
				g.setImageFetchTime(11 * time.Second)
				c.scenario(g)
				g.workers[0].Execute(g.command(wire.StartTask, 0))
				time.Sleep(12 * time.Second)
				g.workers[0] = g.east
				g.attempt++
				g.workers[0].Execute(g.command(wire.StartTask, 0))
				time.Sleep(12 * time.Second)
				if violations := g.Violations(); len(violations) > 0 {
					t.Errorf("violations: got %q, want none", violations)
				}
				if started := g.ReplicaCount(g.job.ID); started != 1 {
					t.Errorf("tasks that have started: got %d, want 1", started)
				}
			})
		})
	}
}

// Guards against tasks that complete or save a checkpoint after their machine's lease has expired,
// when a worker has killed them: the controllers may have started them elsewhere by then.
func TestTasksDoNothingAfterTheirLeaseExpired(t *testing.T) {
	const grace = 20 // seconds
	for _, c := range []struct {
		name     string
		scenario func(g *gangSetup)
		want     []string
	}{
		{"array task completes", func(g *gangSetup) {
			g.job.Shape = wire.ArrayJob
			g.job.EstimatedRunS = 11
			g.start(0)
			time.Sleep(11 * time.Second)
		}, []string{"absent"}},
		{"array task saves a checkpoint", func(g *gangSetup) {
			g.job.Shape = wire.ArrayJob
			g.start(0)
			time.Sleep(9 * time.Second)
			g.stop(0, grace)
			time.Sleep(2 * time.Second)
		}, []string{"absent"}},
		{"gang completes", func(g *gangSetup) {
			g.job.EstimatedRunS = 11
			g.start(0, 1, 2)
			time.Sleep(11*time.Second + g.GangPeerTimeout)
		}, []string{"absent", "mates_gone", "mates_gone"}},
		{"other tasks of the gang save a checkpoint", func(g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(9 * time.Second)
			for i := range 3 {
				g.stop(i, grace)
			}
			time.Sleep(2 * time.Second)
		}, []string{"absent", "halted", "halted"}},
		{"wait of the gang's saved tasks ends", func(g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(6 * time.Second)
			g.stop(1, grace)
			g.stop(2, grace)
			g.job.CheckpointSaveS = 8
			g.stop(0, grace)
			time.Sleep(g.GangPeerTimeout)
		}, []string{"absent", "halted", "halted"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newExpiringLeaseSetup()
				c.scenario(g)
				g.checkTasks(t, c.want...)
				g.checkCompleted(t, false)
			})
		})
	}
}

// Guards against a response that renews a lease which has expired while the response was on its
// way: the worker has killed its tasks by then, and drops responses to its earlier incarnation.
func TestResponseDoesNotRenewAnExpiredLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newExpiringLeaseSetup()
		worker := g.workers[0]
		g.start(0)
		time.Sleep(9 * time.Second)
		exchange := heartbeatExchange{heartbeat: worker.heartbeat(), sentAt: time.Now()}
		time.Sleep(2 * time.Second)
		worker.acceptResponse(&exchange)
		g.checkTask(t, 0, "absent")
		if got, want := worker.Incarnation(), exchange.heartbeat.Incarnation+1; got != want {
			t.Errorf("incarnation: got %d, want %d", got, want)
		}
	})
}

// Guards against a job that may wait for ever because a machine which has dropped the job's task,
// after its lease had expired, is thought to have it still.
func TestTaskOfAnExpiredLeaseDoesNotCountAsPlaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newExpiringLeaseSetup()
		g.job.Shape = wire.ArrayJob
		g.setImageFetchTime(time.Hour)
		g.workers[0].Execute(g.command(wire.StartTask, 0))
		g.RecordFaultsOver()
		g.CheckWaitingJobs(g.workers)
		time.Sleep(10*time.Second + 1)
		g.CheckWaitingJobs(g.workers)
		time.Sleep(maxWaitDespiteCapacity + 1)
		g.CheckWaitingJobs(g.workers)
		if violations := g.Violations(); !containsRule(violations, ruleLeftWaiting) {
			t.Errorf("violations: got %q, want one of rule %s", violations, ruleLeftWaiting)
		}
	})
}
