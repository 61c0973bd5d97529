package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/autoscaler"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

func newServiceJob(id string, replicas int, cpus float64) wire.Job {
	return wire.Job{ID: id, Team: "free", Shape: wire.ServiceJob, Priority: "production", Tasks: replicas, CPUs: cpus, MemoryGB: 1, Image: "i"}
}

// sendTerminationNotice sends a report in which a machine has notice, and returns the commands.
func (h *partitionHarness) sendTerminationNotice(id string) []wire.Command {
	h.sequences[id]++
	notice := 10.0
	heartbeat := &wire.Heartbeat{Machine: id, Incarnation: 1, Sequence: h.sequences[id], FencingToken: h.machines[id].token.current, TerminationNoticeS: &notice}
	for _, t := range h.workerTasks[id] {
		heartbeat.Tasks = append(heartbeat.Tasks, t)
	}
	_, reply := h.HandleHeartbeat(heartbeat, h.now, true)
	return reply.Commands
}

// A replica leaves a machine that is about to go while there is another for it, and stays
// to the end where there is none.
func TestReplicaLeavesAMachineWithNotice(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addJob(newServiceJob("req-1", 1, 6))
	harness.Schedule(harness.now)
	harness.commitBatches()
	harness.sendHeartbeat("m-1") // started
	harness.sendHeartbeat("m-1") // shown as running
	if got := harness.sendTerminationNotice("m-1"); len(got) != 0 {
		t.Fatalf("with nowhere to go: %v", commandTexts(got))
	}
	harness.addMachine("m-2", "cpu", "a", false)
	got := harness.sendTerminationNotice("m-1")
	if len(got) != 1 || got[0].Op != wire.StopTask {
		t.Fatalf("with room on another machine: %v", commandTexts(got))
	}
}

// A service that waits is as many machine units as it has replicas: they do not follow one
// another in the same place, as short tasks do.
func TestServiceIsSizedByItsReplicas(t *testing.T) {
	harness := newPartitionHarness()
	harness.addJob(newServiceJob("req-1", 5, 8)) // a machine each
	input := autoscaler.Input{MachineTypes: testTypes, Summaries: map[int]records.PartitionSummary{0: harness.Summary(harness.now)}}
	plan := autoscaler.New(harness.tuning).Plan(input, harness.now)
	rented := 0
	for _, r := range plan.Rentals {
		rented += r.Count
	}
	if rented != 5 {
		t.Errorf("%d machines for 5 replicas: %+v", rented, plan.Rentals)
	}
}

// A service that runs for long, and whose replicas end thousands of times, takes no more
// memory and no larger records than at first.
func TestLongLivedServiceStaysSmall(t *testing.T) {
	harness := newPartitionHarness()
	harness.journal.slotRevisions = make([]uint64, testJournalSlots)
	harness.SetLevel(records.FeatureExplicitChunks)
	harness.addMachine("m-1", "cpu", "a", false)
	job := harness.addJob(newServiceJob("req-1", 4, 1))
	largest := 0
	for range 2000 {
		harness.Schedule(harness.now)
		for {
			batch := harness.PrepareBatch()
			if batch.Empty() {
				break
			}
			for _, w := range batch.Txn.Writes {
				largest = max(largest, encodedBytesOrZero(w.Value))
			}
			harness.revision++
			harness.ConfirmBatch(batch, harness.revision)
		}
		harness.sendHeartbeat("m-1")
		harness.sendHeartbeat("m-1")
		for _, key := range sortedTaskAttempts(harness.machines["m-1"].placements) {
			harness.endTask("m-1", key.task, key.attempt, wire.ExitDone)
		}
		harness.now = harness.now.Add(10 * time.Minute)
		harness.sendHeartbeat("m-1")
		harness.sendHeartbeat("m-1")
	}
	machine := harness.machines["m-1"]
	if job.highestAttempt < 1900 {
		t.Fatalf("%d attempts", job.highestAttempt)
	}
	if job.doneTasks > 0 || len(job.replicaRestarts) > 4 || len(job.failedMachines) > 1 || len(machine.pendingForgets) > 4 || len(machine.placements) > 4 || len(machine.failedJobs) > 1 {
		t.Errorf("kept: %d done, %d restarts, %d machines, %d clearances, %d placements, %d failures", job.doneTasks, len(job.replicaRestarts), len(job.failedMachines), len(machine.pendingForgets), len(machine.placements), len(machine.failedJobs))
	}
	if largest > 1500 {
		t.Errorf("a record of %d bytes", largest)
	}
}

// A state service that finds a commit invalid is offered smaller ones from then on.
func TestCommitsShrinkAfterAnInvalidOne(t *testing.T) {
	harness := newPartitionHarness()
	harness.SetLevel(records.FeatureExplicitChunks)
	for i := range 40 {
		harness.addMachine(fmt.Sprintf("m-%d", i), "cpu", "a", false)
	}
	harness.addJob(newArrayJob("req-1", 300, 1))
	harness.Schedule(harness.now)
	before := harness.PrepareBatch()
	harness.ReduceLimits()
	harness.ReduceLimits()
	after := harness.PrepareBatch()
	for _, w := range after.Txn.Writes {
		if n := encodedBytesOrZero(w.Value); n > 2<<10 {
			t.Errorf("%s has %d bytes", w.Put, n)
		}
	}
	if n := encodedBytesOrZero(before.Txn.Writes[0].Value); n <= 2<<10 || len(after.Txn.Writes) == 0 || len(after.Txn.Writes) > 3 {
		t.Errorf("a value of %d bytes before, %d changes after", n, len(after.Txn.Writes))
	}
}
