package emulator

import (
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/wire"
)

// gangRunTime is the run time of the gangs below. Their tasks save checkpoints every 30 s, and need
// 2 s to save when they are stopped.
const gangRunTime = 100 * time.Second

// gangSetup is a simulation with a gang of three tasks, of which task i runs on workers[i].
type gangSetup struct {
	*checkerSetup
	job     *wire.Job
	workers []*Worker
	attempt uint64
}

func newGangSetup() *gangSetup {
	checker := newCheckerSetup()
	job := checker.submitAndAccept(func(job *wire.Job) {
		job.Shape = wire.GangJob
		job.TaskCount = 3
		job.EstimatedRunS = gangRunTime.Seconds()
		job.CheckpointIntervalS = 30
		job.CheckpointSaveS = 2
		job.AllowSpot = true
	})
	return &gangSetup{
		checkerSetup: checker,
		job:          job,
		workers:      []*Worker{checker.west, checker.west2, checker.spot},
		attempt:      1,
	}
}

// start sends start commands for tasks of the current attempt, and waits until they have the image.
func (g *gangSetup) start(tasks ...int) {
	for _, i := range tasks {
		g.workers[i].Execute(g.command(wire.StartTask, i))
	}
	time.Sleep(minTimerDelay)
	synctest.Wait()
}

// stop stops a task, with a grace period in seconds.
func (g *gangSetup) stop(i int, gracePeriodS float64) {
	command := g.command(wire.StopTask, i)
	command.GracePeriodS = gracePeriodS
	g.workers[i].Execute(command)
}

// restart starts the next attempt with all tasks.
func (g *gangSetup) restart() {
	g.attempt++
	g.start(0, 1, 2)
}

func (g *gangSetup) command(op wire.Op, i int) wire.Command {
	return wire.Command{Op: op, Task: wire.TaskName(g.job.ID, i), Attempt: g.attempt}
}

// checkTask checks how a worker reports its task: by the state, or once it has exited by the cause,
// followed by "saved" if it saved a checkpoint.
func (g *gangSetup) checkTask(t *testing.T, i int, want string) {
	t.Helper()
	synctest.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	got := "absent"
	if task := g.workers[i].tasks[wire.TaskName(g.job.ID, i)]; task != nil {
		got = string(task.state)
		if task.state == wire.TaskExited {
			got = string(task.cause)
		}
		if task.saved {
			got += " saved"
		}
	}
	if got != want {
		t.Errorf("task %d after %v: got %s, want %s", i, time.Since(g.west.leaseStart), got, want)
	}
}

// checkTasks checks how the workers report all three tasks.
func (g *gangSetup) checkTasks(t *testing.T, want ...string) {
	t.Helper()
	for i := range want {
		g.checkTask(t, i, want[i])
	}
}

// checkCompleted checks whether the simulation counts all tasks of the gang as completed, or none.
func (g *gangSetup) checkCompleted(t *testing.T, want bool) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.job.TaskCount {
		if got := g.completedTasks[wire.TaskName(g.job.ID, i)]; got != want {
			t.Errorf("task %d counts as completed: got %t, want %t", i, got, want)
		}
	}
}

// Guards against the failure not_done of random faults: a gang that completed without the tasks
// that had been told to stop, so that a part of its tasks reported that they were done.
func TestGangDoesNotCompleteOnceATaskIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGangSetup()
		g.start(0, 1, 2)
		time.Sleep(gangRunTime - 32*time.Millisecond)
		g.stop(0, 4)
		time.Sleep(time.Second)
		g.checkTasks(t, "saving", "running", "running")
		g.checkCompleted(t, false)
	})
}

// Guards against a gang that completes although a task is lost at the same instant, when the timer
// of its completion has fired already and waits for the simulation's lock. It needs real time,
// since virtual time stands still while a goroutine waits for a lock.
func TestGangDoesNotCompleteWithoutATaskLostAtThatInstant(t *testing.T) {
	const runTime = 200 * time.Millisecond
	g := newGangSetup()
	g.job.EstimatedRunS = runTime.Seconds()
	for i := range g.workers {
		g.workers[i].Execute(g.command(wire.StartTask, i))
	}
	time.Sleep(runTime / 2)
	g.mu.Lock()
	time.Sleep(runTime)
	g.workers[0].dropTasks("machine lost")
	g.mu.Unlock()
	time.Sleep(runTime / 2)
	g.checkCompleted(t, false)
}

// The emulated gangs behave as the table in section "Gangs" of the protocol says. The simulations
// rely on it: a gang that is more lenient hides faults of the controllers.
func TestGangsFollowTheProtocol(t *testing.T) {
	const grace = 4 // seconds, enough to save a checkpoint
	for _, c := range []struct {
		name     string
		scenario func(t *testing.T, g *gangSetup)
	}{
		{"completion: all tasks together", func(t *testing.T, g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(gangRunTime - time.Second)
			g.checkTasks(t, "running", "running", "running")
			time.Sleep(time.Second)
			g.checkTasks(t, "done", "done", "done")
			g.checkCompleted(t, true)
		}},
		{"waiting: a task exits when the gang is not complete in time", func(t *testing.T, g *gangSetup) {
			g.start(0, 1)
			time.Sleep(g.GangWaitTimeout - time.Second)
			g.checkTasks(t, "gathering", "gathering", "absent")
			time.Sleep(time.Second)
			g.checkTasks(t, "incomplete", "incomplete", "absent")
		}},
		{"waiting: a replacement with the same attempt completes the gang", func(t *testing.T, g *gangSetup) {
			g.start(0, 1)
			g.workers[1].Kill()
			g.workers[1] = g.east
			time.Sleep(10 * time.Second)
			g.checkTasks(t, "gathering", "absent", "absent")
			g.start(1, 2)
			g.checkTasks(t, "running", "running", "running")
		}},
		{"waiting: a task that is stopped exits immediately", func(t *testing.T, g *gangSetup) {
			g.start(0, 1)
			g.stop(0, grace)
			g.checkTasks(t, "halted", "gathering", "absent")
		}},
		{"failure: the other tasks exit when one is lost", func(t *testing.T, g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(50 * time.Second)
			g.workers[0].Kill()
			time.Sleep(g.GangPeerTimeout)
			g.checkTasks(t, "absent", "mates_gone", "mates_gone")
			g.checkCompleted(t, false)
		}},
		{"failure: no task completes after one is lost shortly before the end", func(t *testing.T, g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(gangRunTime - time.Second)
			g.workers[0].Kill()
			time.Sleep(g.GangPeerTimeout)
			g.checkTasks(t, "absent", "mates_gone", "mates_gone")
			g.checkCompleted(t, false)
		}},
		{"failure: all tasks exit when the machine of one hangs", func(t *testing.T, g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(50 * time.Second)
			g.workers[0].Hang(10 * time.Second)
			time.Sleep(g.GangPeerTimeout + minTimerDelay)
			g.checkTasks(t, "running", "mates_gone", "mates_gone")
			time.Sleep(5 * time.Second)
			g.checkTasks(t, "mates_gone", "mates_gone", "mates_gone")
			g.checkCompleted(t, false)
		}},
		{"failure: a gang does not complete while the machine of a task hangs", func(t *testing.T, g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(gangRunTime - time.Second)
			g.workers[0].Hang(3 * time.Second)
			time.Sleep(3 * time.Second)
			g.checkTasks(t, "running", "running", "running")
			time.Sleep(time.Second)
			g.checkTasks(t, "done", "done", "done")
		}},
		{"failure: a hang does not shorten the run", func(t *testing.T, g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(10 * time.Second)
			g.workers[0].Hang(3 * time.Second)
			time.Sleep(gangRunTime - 8*time.Second)
			g.checkTasks(t, "running", "running", "running")
			time.Sleep(time.Second)
			g.checkTasks(t, "done", "done", "done")
		}},
		{"failure: the next attempt continues from the last checkpoint", func(t *testing.T, g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(50 * time.Second)
			g.stop(0, 0)
			time.Sleep(g.GangPeerTimeout)
			g.checkTasks(t, "halted", "mates_gone", "mates_gone")
			g.restart()
			time.Sleep(gangRunTime - 31*time.Second)
			g.checkTasks(t, "running", "running", "running")
			time.Sleep(time.Second)
			g.checkTasks(t, "done", "done", "done")
		}},
		{"orderly stop: the progress is saved when all tasks are told in time", func(t *testing.T, g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(50 * time.Second)
			g.stop(0, grace)
			time.Sleep(3 * time.Second)
			g.checkTasks(t, "saving", "running", "running")
			g.stop(1, grace)
			g.stop(2, grace)
			time.Sleep(2 * time.Second)
			g.checkTasks(t, "halted saved", "halted saved", "halted saved")
			g.restart()
			time.Sleep(gangRunTime - 51*time.Second)
			g.checkTasks(t, "running", "running", "running")
			time.Sleep(time.Second)
			g.checkTasks(t, "done", "done", "done")
		}},
		{"orderly stop: the save fails when a task is not told in time", func(t *testing.T, g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(50 * time.Second)
			g.stop(0, grace)
			g.stop(1, grace)
			time.Sleep(g.GangPeerTimeout + minTimerDelay)
			g.checkTasks(t, "halted", "halted", "mates_gone")
		}},
		{"orderly stop: the save fails when a task gets too little grace", func(t *testing.T, g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(50 * time.Second)
			g.stop(0, grace)
			g.stop(1, 1)
			time.Sleep(g.GangPeerTimeout)
			g.checkTasks(t, "halted", "halted", "mates_gone")
		}},
		{"orderly stop: the save fails when a task is lost before the first one has saved", func(t *testing.T, g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(50 * time.Second)
			for i := range 3 {
				g.stop(i, grace)
			}
			time.Sleep(time.Second)
			g.workers[2].Kill()
			time.Sleep(time.Second)
			g.checkTasks(t, "halted", "halted", "absent")
		}},
		{"orderly stop: a second stop without grace ends the save", func(t *testing.T, g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(50 * time.Second)
			g.stop(0, grace)
			g.stop(0, 0)
			g.checkTasks(t, "halted", "running", "running")
			time.Sleep(g.GangPeerTimeout)
			g.checkTasks(t, "halted", "mates_gone", "mates_gone")
		}},
		{"orderly stop: a gang without checkpoints saves nothing", func(t *testing.T, g *gangSetup) {
			g.job.CheckpointIntervalS = 0
			g.start(0, 1, 2)
			time.Sleep(50 * time.Second)
			g.stop(0, grace)
			time.Sleep(g.GangPeerTimeout)
			g.checkTasks(t, "halted", "mates_gone", "mates_gone")
		}},
		{"restart: a completed gang is done once it has its image", func(t *testing.T, g *gangSetup) {
			g.start(0, 1, 2)
			time.Sleep(gangRunTime)
			g.restart()
			g.checkTasks(t, "done", "done", "done")
		}},
		{"restart: a task of the old attempt is still on its machine", func(t *testing.T, g *gangSetup) {
			g.start(0, 1, 2)
			g.workers[0].Hang(10 * time.Second)
			time.Sleep(6 * time.Second)
			g.workers[0] = g.east
			g.restart()
			if violations := g.Violations(); !containsRule(violations, ruleRanTwice) {
				t.Errorf("violations: got %q, want one of rule %s", violations, ruleRanTwice)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.scenario(t, newGangSetup()) })
		})
	}
}
