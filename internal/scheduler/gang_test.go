package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// A gang that loses a task is stopped as a whole. It is placed again, under a new attempt, only
// after the last of its tasks is gone.
func TestGangIsPlacedAgainOnlyWhenAllTasksAreGone(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addMachine("m-2", "cpu", "a", false)
	job := newArrayJob("req-1", 2, 6)
	job.Shape = wire.GangJob
	harness.addJob(job)
	harness.scheduleAndCommit()
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-2")
	harness.setTaskExited("m-1", "req-1/0", 1, wire.ExitGangMemberLost)
	harness.sendHeartbeat("m-1")
	harness.Schedule(harness.now)
	if placed := len(harness.jobs["req-1"].placements); placed != 1 {
		t.Fatalf("%d tasks placed while a task of attempt 1 is still on a machine, want only that one", placed)
	}
	harness.sendHeartbeat("m-2") // the response stops the task
	harness.sendHeartbeat("m-2") // reports the exit
	harness.scheduleAndCommit()
	for _, placement := range harness.jobs["req-1"].placements {
		if placement.attempt != 2 {
			t.Fatalf("task of the gang placed under attempt %d, want 2", placement.attempt)
		}
	}
	if len(harness.jobs["req-1"].placements) != 2 {
		t.Fatal("gang req-1 is not placed again with both tasks after all of its tasks are gone")
	}
}

// A gang with two tasks on one machine is preempted before any of its starts was sent. It must be
// placed again later: if it stayed marked as broken, it would never run.
func TestGangPreemptedBeforeItsStartIsPlacedAgain(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	gang := newArrayJob("req-1", 2, 4)
	gang.Shape = wire.GangJob
	gang.Priority = "idle"
	harness.addJob(gang)
	harness.Schedule(harness.now)
	urgent := newArrayJob("req-2", 1, 8)
	urgent.Priority = "urgent"
	harness.addJob(urgent)
	harness.Schedule(harness.now)
	harness.scheduleAndCommit()
	if got := formatCommands(harness.sendHeartbeat("m-1")); len(got) != 1 || got[0] != "start req-2/0 1" {
		t.Fatalf("commands after the preemption: got %v, want [start req-2/0 1]", got)
	}
	harness.setTaskExited("m-1", "req-2/0", 1, wire.ExitDone)
	harness.sendHeartbeat("m-1")
	harness.commitBatches()
	harness.Schedule(harness.now)
	if placed := len(harness.jobs["req-1"].placements); placed != 2 {
		t.Fatalf("%d tasks of the preempted gang placed again, want 2", placed)
	}
}

// setTaskStates makes the machine's worker report all its tasks in the given state, starting with
// its next heartbeat.
func (h *partitionHarness) setTaskStates(id string, state wire.TaskState) {
	for key, status := range h.workerTasks[id] {
		status.State = state
		h.workerTasks[id][key] = status
	}
}

// One task of a gang times out while another is still fetching a large image. The gang must not be
// stopped as a whole: the fetch would be aborted and begin again with the next attempt, which
// would time out as well, and so on forever.
func TestIncompleteGangFinishesItsFetches(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addMachine("m-2", "cpu", "a", false)
	job := newArrayJob("req-1", 2, 8)
	job.Shape = wire.GangJob
	job.ImageGB = 60
	harness.addJob(job)
	harness.scheduleAndCommit()
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-2")
	harness.setTaskStates("m-1", wire.TaskWaitingForGang)
	harness.setTaskStates("m-2", wire.TaskFetching)
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-2")
	harness.now = harness.now.Add(35 * time.Second)
	for key := range harness.workerTasks["m-1"] {
		harness.setTaskExited("m-1", key.task, key.attempt, wire.ExitGangIncomplete)
	}
	harness.sendHeartbeat("m-1")
	if got := formatCommands(harness.sendHeartbeat("m-2")); len(got) != 0 {
		t.Fatalf("commands while the image is being fetched: got %v, want none", got)
	}
	harness.addJob(newArrayJob("req-2", 1, 8)) // must not take the reserved machine
	harness.scheduleAndCommit()
	harness.sendHeartbeat("m-1")
	harness.setTaskStates("m-2", wire.TaskWaitingForGang)
	if got := formatCommands(harness.sendHeartbeat("m-2")); len(got) != 1 || !strings.HasPrefix(got[0], "kill") {
		t.Fatalf("commands to the machine that has fetched the image: got %v, want one kill command", got)
	}
	harness.sendHeartbeat("m-2")
	harness.scheduleAndCommit()
	if placed := len(harness.jobs["req-1"].placements); placed != 2 || harness.jobs["req-1"].highestAttempt != 2 {
		t.Fatalf("%d tasks placed under attempt %d, want 2 under attempt 2", placed, harness.jobs["req-1"].highestAttempt)
	}
}

// The owner of a partition may fail after it has recorded only some tasks of a gang as done. The
// rest can never be placed as a gang, so the whole job must count as done.
func TestGangWithSomeTasksDoneIsDone(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	job := newArrayJob("req-000001", 3, 1)
	job.Shape = wire.GangJob
	job.Class = "c"
	job.EstimatedRunS = 10
	record := records.ChunkRecord{
		Job:            &job,
		HighestAttempt: 1,
		DoneRanges:     []int{0, 1},
		Placements: []records.PlacementRecord{
			{Task: 1, Attempt: 1, Machine: "m-lost", Incarnation: 1},
			{Task: 2, Attempt: 1, Machine: "m-1", Incarnation: 1},
		},
	}
	harness.Restore([]records.LoadedChunk{{JobID: job.ID, Name: "0", Revision: 50, Record: record}}, nil)
	harness.Schedule(harness.now)
	if batch := harness.PrepareBatch(); batch.endedJob == nil || batch.endedJob.ID != job.ID {
		t.Error("the next batch does not commit the end of job req-000001")
	}
	if placements := len(harness.machines.get("m-1").placements); placements != 1 {
		t.Errorf("%d placements on the machine whose worker has not reported the exit yet, want 1", placements)
	}
}

// Guards against a large gang that waits for ever beside work that it may preempt: room was made for
// 16 of its tasks, and each later search found that room again and preempted nothing more.
func TestLargeGangPreemptsForAllItsTasks(t *testing.T) {
	const tasks = maxTasksPerPreemption + 4
	harness := newPartitionHarness()
	for n := range tasks {
		harness.addMachine(fmt.Sprintf("m-%02d", n), "cpu", "a", false)
	}
	idle := newArrayJob("req-1", tasks, 8)
	idle.Priority = "idle"
	harness.addJob(idle)
	harness.scheduleAndCommit()
	harness.heartbeatAll()
	gang := newArrayJob("req-2", tasks, 8)
	gang.Shape = wire.GangJob
	gang.Priority = "urgent"
	job := harness.addJob(gang)
	const rounds = 60
	for range rounds {
		harness.now = harness.now.Add(time.Second)
		harness.scheduleAndCommit()
		harness.heartbeatAll()
	}
	if placed := len(job.placements); placed != tasks {
		t.Errorf("placed tasks of the urgent gang after %d s beside idle work: got %d, want %d", rounds, placed, tasks)
	}
}

// heartbeatAll sends two heartbeats for each machine: the commands of the first are executed, and
// the second reports their effect.
func (h *partitionHarness) heartbeatAll() {
	for _, machine := range h.machines.all() {
		h.sendHeartbeat(machine.ID)
		h.sendHeartbeat(machine.ID)
	}
}
