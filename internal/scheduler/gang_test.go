package scheduler

import (
	"strings"
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// A gang that loses a task is stopped whole, and begins anew under a new attempt
// only after the last of it is gone.
func TestGangStartsAnewOnlyWhenGone(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addMachine("m-2", "cpu", "a", false)
	job := newArrayJob("req-1", 2, 6)
	job.Shape = wire.GangJob
	harness.addJob(job)
	harness.Schedule(harness.now)
	harness.commitBatches()
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-2")
	harness.endTask("m-1", "req-1/0", 1, wire.ExitGangMemberLost)
	harness.sendHeartbeat("m-1")
	harness.Schedule(harness.now)
	if n := len(harness.jobs["req-1"].placements); n != 1 {
		t.Fatalf("%d tasks placed while the old attempt is on a machine", n)
	}
	harness.sendHeartbeat("m-2") // told to stop
	harness.sendHeartbeat("m-2") // gone
	harness.Schedule(harness.now)
	harness.commitBatches()
	for _, placement := range harness.jobs["req-1"].placements {
		if placement.attempt != 2 {
			t.Fatalf("attempt %d", placement.attempt)
		}
	}
	if len(harness.jobs["req-1"].placements) != 2 {
		t.Fatal("the gang is not placed again")
	}
}

// A gang that is stopped for others before any of its starts has left, two of its
// tasks on one machine, must not count as broken for ever: it was never run again.
func TestGangStoppedBeforeItsStartIsPlacedAgain(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	g := newArrayJob("req-1", 2, 4)
	g.Shape, g.Priority = wire.GangJob, "idle"
	harness.addJob(g)
	harness.Schedule(harness.now)
	u := newArrayJob("req-2", 1, 8)
	u.Priority = "urgent"
	harness.addJob(u)
	harness.Schedule(harness.now)
	harness.Schedule(harness.now)
	harness.commitBatches()
	if got := commandTexts(harness.sendHeartbeat("m-1")); len(got) != 1 || got[0] != "start req-2/0 1" {
		t.Fatalf("commands: %v", got)
	}
	harness.endTask("m-1", "req-2/0", 1, wire.ExitDone)
	harness.sendHeartbeat("m-1")
	harness.commitBatches()
	harness.Schedule(harness.now)
	if n := len(harness.jobs["req-1"].placements); n != 2 {
		t.Fatalf("%d tasks of the gang placed", n)
	}
}

// A gang whose first task has waited in vain while another fetches a large image must
// not be stopped whole: the fetch would be given up, and begin again with the next
// attempt, for ever.
func TestGangLetsFetchesEnd(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addMachine("m-2", "cpu", "a", false)
	job := newArrayJob("req-1", 2, 8)
	job.Shape, job.ImageGB = wire.GangJob, 60
	harness.addJob(job)
	show := func(id string, state wire.TaskState) {
		for key, x := range harness.workerTasks[id] {
			x.State = state
			harness.workerTasks[id][key] = x
		}
	}
	harness.Schedule(harness.now)
	harness.commitBatches()
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-2")
	show("m-1", wire.TaskWaitingForGang)
	show("m-2", wire.TaskFetching)
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-2")
	harness.now = harness.now.Add(35 * time.Second)
	for key := range harness.workerTasks["m-1"] {
		harness.endTask("m-1", key.task, key.attempt, wire.ExitGangIncomplete)
	}
	harness.sendHeartbeat("m-1")
	if got := commandTexts(harness.sendHeartbeat("m-2")); len(got) != 0 {
		t.Fatalf("commands while the image is fetched: %v", got)
	}
	harness.addJob(newArrayJob("req-2", 1, 8)) // must not take the machine that is kept
	harness.Schedule(harness.now)
	harness.commitBatches()
	harness.sendHeartbeat("m-1")
	show("m-2", wire.TaskWaitingForGang)
	if got := commandTexts(harness.sendHeartbeat("m-2")); len(got) != 1 || !strings.HasPrefix(got[0], "kill") {
		t.Fatalf("commands to the one that has its image now: %v", got)
	}
	harness.sendHeartbeat("m-2")
	harness.Schedule(harness.now)
	harness.commitBatches()
	if n := len(harness.jobs["req-1"].placements); n != 2 || harness.jobs["req-1"].highestAttempt != 2 {
		t.Fatalf("%d tasks placed, attempt %d", n, harness.jobs["req-1"].highestAttempt)
	}
}

// The records of a gang's end may be half written when its owner ends. What is left of
// it can't be placed as a gang, so that the job had no end.
func TestGangDoneInPartIsDone(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	job := &wire.Job{ID: "req-000001", Class: "c", Team: "free", Shape: wire.GangJob, Priority: "standard", Tasks: 3, CPUs: 1, MemoryGB: 1, Image: "i", EstimatedRunS: 10}
	harness.Restore([]records.LoadedChunk{{JobID: job.ID, Name: "0", Revision: 50, Record: records.ChunkRecord{Job: job, HighestAttempt: 1, DoneRanges: []int{0, 1},
		Placements: []records.PlacementRecord{{Task: 1, Attempt: 1, Machine: "m-lost", Incarnation: 1}, {Task: 2, Attempt: 1, Machine: "m-1", Incarnation: 1}}}}}, nil)
	harness.Schedule(harness.now)
	if batch := harness.PrepareBatch(); batch.endedJob == nil || batch.endedJob.ID != job.ID {
		t.Error("the job's end is not committed")
	}
	if n := len(harness.machines["m-1"].placements); n != 1 {
		t.Errorf("%d places booked where its worker has not reported yet", n)
	}
}
