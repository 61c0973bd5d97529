package scheduler

import (
	"testing"
	"time"

	"ambersill/internal/autoscaler"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

func newServiceJob(id string, replicas int, cpus float64) wire.Job {
	return wire.Job{
		ID:        id,
		Team:      "free",
		Shape:     wire.ServiceJob,
		Priority:  "production",
		TaskCount: replicas,
		CPUs:      cpus,
		MemoryGB:  1,
		Image:     "i",
	}
}

// sendTerminationNotice delivers a heartbeat that contains a termination notice for the machine,
// and returns the commands of the response without executing them.
func (h *partitionHarness) sendTerminationNotice(id string) []wire.Command {
	noticeS := 10.0
	heartbeat := h.nextHeartbeat(id)
	heartbeat.TerminationNoticeS = &noticeS
	_, response := h.HandleHeartbeat(heartbeat, h.now, true)
	return response.Commands
}

// A replica on a machine with a termination notice is stopped early if another machine has capacity
// for it, and otherwise runs until the machine is terminated.
func TestReplicaLeavesMachineWithTerminationNotice(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addJob(newServiceJob("req-1", 1, 6))
	harness.scheduleAndCommit()
	harness.sendHeartbeat("m-1") // starts the replica
	harness.sendHeartbeat("m-1") // reports it as running
	if got := harness.sendTerminationNotice("m-1"); len(got) != 0 {
		t.Fatalf("commands without capacity on another machine: got %v, want none", formatCommands(got))
	}
	harness.addMachine("m-2", "cpu", "a", false)
	got := harness.sendTerminationNotice("m-1")
	if len(got) != 1 || got[0].Op != wire.StopTask {
		t.Fatalf("commands with capacity on another machine: got %v, want one kill command", formatCommands(got))
	}
}

// A waiting service needs capacity for all of its replicas at the same time. Unlike short tasks,
// they do not run one after the other on the same machine.
func TestServiceDemandCountsAllReplicas(t *testing.T) {
	harness := newPartitionHarness()
	harness.addJob(newServiceJob("req-1", 5, 8)) // each replica needs a whole machine
	input := autoscaler.Input{
		MachineTypes: testMachineTypes,
		Summaries:    map[int]records.PartitionSummary{0: harness.Summary(harness.now)},
	}
	plan := autoscaler.New(harness.tuning).Plan(input, harness.now)
	rented := 0
	for _, rental := range plan.Rentals {
		rented += rental.Count
	}
	if rented != 5 {
		t.Errorf("plan rents %d machines for 5 replicas, want 5: %+v", rented, plan.Rentals)
	}
}

// commitAndMeasure commits all changes to the key-value store and returns the size of the largest
// written value in bytes.
func (h *partitionHarness) commitAndMeasure() int {
	largest := 0
	for {
		batch := h.PrepareBatch()
		if batch.Empty() {
			return largest
		}
		for _, write := range batch.Txn.Writes {
			largest = max(largest, encodedSizeOrZero(write.Value))
		}
		h.revision++
		h.ConfirmBatch(batch, h.revision)
	}
}

// The memory and the records of a long-lived service must stay bounded, even if its replicas exit
// thousands of times.
func TestLongLivedServiceUsesBoundedState(t *testing.T) {
	harness := newPartitionHarness()
	harness.journal.slotRevisions = make([]uint64, testJournalSlots)
	harness.RaiseLevel(records.FeatureExplicitChunks)
	harness.addMachine("m-1", "cpu", "a", false)
	job := harness.addJob(newServiceJob("req-1", 4, 1))
	largest := 0
	for range 2000 {
		harness.Schedule(harness.now)
		largest = max(largest, harness.commitAndMeasure())
		harness.sendHeartbeat("m-1")
		harness.sendHeartbeat("m-1")
		for _, key := range sortedTaskAttempts(harness.machines.get("m-1").placements) {
			harness.setTaskExited("m-1", key.task, key.attempt, wire.ExitDone)
		}
		harness.now = harness.now.Add(10 * time.Minute)
		harness.sendHeartbeat("m-1")
		harness.sendHeartbeat("m-1")
	}
	machine := harness.machines.get("m-1")
	if job.highestAttempt < 1900 {
		t.Fatalf("replicas were placed under %d attempts, want at least 1900", job.highestAttempt)
	}
	for _, kept := range []struct {
		name       string
		count, max int
	}{
		{"done tasks", job.doneTasks, 0},
		{"replica restarts", len(job.replicaRestarts), 4},
		{"failed machines", len(job.failures.machines), 1},
		{"pending forgets", len(machine.pendingForgets), 4},
		{"placements", len(machine.placements), 4},
		{"failed jobs", len(machine.failedJobs), 1},
	} {
		if kept.count > kept.max {
			t.Errorf("partition keeps %d %s, want at most %d", kept.count, kept.name, kept.max)
		}
	}
	if largest > 1500 {
		t.Errorf("largest record has %d bytes, want at most 1500", largest)
	}
}
