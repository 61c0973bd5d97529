package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/wire"
)

// Bounds of the cluster that never runs out of small work.
const (
	busyMachines    = 20
	busyJobs        = 60 // unfinished jobs at any time
	rivalGangPeriod = 60 // seconds between two submissions of a gang that must run in one zone
	rivalGangTasks  = 8
	// maxGangWaitS is the time in seconds within which the largest jobs of a class must begin.
	maxGangWaitS = 240
)

// busyCluster is a partition whose machines, in two zones, always have small work waiting.
type busyCluster struct {
	*partitionHarness
	submitted int
	runEnds   map[taskAttempt]time.Time // of the tasks that run
}

func newBusyCluster() *busyCluster {
	cluster := &busyCluster{partitionHarness: newPartitionHarness(), runEnds: map[taskAttempt]time.Time{}}
	for n := range busyMachines {
		cluster.addMachine(fmt.Sprintf("m-%02d", n), "cpu", []string{"a", "b"}[n%2], false)
	}
	return cluster
}

// step lets a second pass: it submits small jobs in place of those that have ended, runs a scheduling
// cycle, and ends the tasks whose run time of 20 to 59 s is over.
func (c *busyCluster) step() {
	c.now = c.now.Add(time.Second)
	for c.JobCount() < busyJobs {
		c.submitted++
		c.addJob(newArrayJob(fmt.Sprintf("req-%06d", c.submitted), 1+c.submitted%3, 4))
	}
	c.scheduleAndCommit()
	for _, machine := range c.machines.all() {
		for key, status := range c.workerTasks[machine.ID] {
			if status.State == wire.TaskRunning {
				c.runTask(machine.ID, key)
			}
		}
	}
	c.heartbeatAll()
}

// runTask ends a task once its run time is over.
func (c *busyCluster) runTask(machine string, key taskAttempt) {
	runEnd, running := c.runEnds[key]
	switch {
	case !running:
		runTime := 20 + len(c.runEnds)%40
		c.runEnds[key] = c.now.Add(time.Duration(runTime) * time.Second)
	case !c.now.Before(runEnd):
		c.setTaskExited(machine, key.task, key.attempt, wire.ExitDone)
	}
}

func (c *busyCluster) addGang(id string, tasks int, singleZone bool) *Job {
	gang := newArrayJob(id, tasks, 8)
	gang.Shape = wire.GangJob
	gang.SingleZone = singleZone
	return c.addJob(gang)
}

// Guards against a large gang that small work starves for ever, be it bound to one zone or not, while
// smaller gangs that need a single zone reserve machines as well.
func TestLargeGangStartsBesideSmallWork(t *testing.T) {
	const warmUpS = 60
	for _, c := range []struct {
		tasks      int
		singleZone bool
	}{{8, true}, {8, false}, {14, false}, {18, false}} {
		t.Run(fmt.Sprintf("%d tasks, single zone %t", c.tasks, c.singleZone), func(t *testing.T) {
			cluster := newBusyCluster()
			for range warmUpS {
				cluster.step()
			}
			gang := cluster.addGang("req-900000", c.tasks, c.singleZone)
			for s := range maxGangWaitS {
				if s%rivalGangPeriod == rivalGangPeriod/2 {
					cluster.addGang(fmt.Sprintf("req-9%05d", s), rivalGangTasks, true)
				}
				cluster.step()
				if len(gang.placements) == c.tasks {
					return
				}
			}
			t.Errorf("placed tasks of the gang after %d s: got %d, want %d", maxGangWaitS, len(gang.placements), c.tasks)
		})
	}
}
