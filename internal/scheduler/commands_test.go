package scheduler

import (
	"testing"
	"time"

	"ambersill/internal/wire"

	"github.com/google/go-cmp/cmp"
)

// A start command must not be sent before the placement is committed, and a forget command not
// before the end of the task is committed, because the next owner would not know of the task.
func TestStartAndForgetAreSentAfterTheirCommits(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addJob(newArrayJob("req-1", 1, 1))
	harness.Schedule(harness.now)
	if got := formatCommands(harness.sendHeartbeat("m-1")); len(got) != 0 {
		t.Fatalf("commands before the placement is committed: got %v, want none", got)
	}
	harness.commitBatches()
	if diff := cmp.Diff([]string{"start req-1/0 1"}, formatCommands(harness.sendHeartbeat("m-1"))); diff != "" {
		t.Fatal(diff)
	}
	harness.setTaskExited("m-1", "req-1/0", 1, wire.ExitDone)
	if got := formatCommands(harness.sendHeartbeat("m-1")); len(got) != 0 {
		t.Fatalf("commands before the end is committed: got %v, want none", got)
	}
	harness.commitBatches()
	if diff := cmp.Diff([]string{"clear req-1/0 1"}, formatCommands(harness.sendHeartbeat("m-1"))); diff != "" {
		t.Fatal(diff)
	}
}

// A start command is repeated if the response that contained it was lost. A task that one heartbeat
// lists and the next does not is lost, and is placed again as a new attempt.
func TestLostStartIsRepeatedAndLostTaskIsRequeued(t *testing.T) {
	harness := newHarnessWithPlacedJob(1)
	harness.sendHeartbeat("m-1")
	harness.workerTasks["m-1"] = map[taskAttempt]wire.TaskStatus{} // the response did not arrive
	if diff := cmp.Diff([]string{"start req-1/0 1"}, formatCommands(harness.sendHeartbeat("m-1"))); diff != "" {
		t.Fatal(diff)
	}
	harness.sendHeartbeat("m-1")
	harness.workerTasks["m-1"] = map[taskAttempt]wire.TaskStatus{}
	if got := formatCommands(harness.sendHeartbeat("m-1")); len(got) != 0 {
		t.Fatalf("commands after an observed task is no longer listed: got %v, want none", got)
	}
	harness.scheduleAndCommit()
	if diff := cmp.Diff([]string{"start req-1/0 2"}, formatCommands(harness.sendHeartbeat("m-1"))); diff != "" {
		t.Fatal(diff)
	}
}

// A command request that was not answered may still be executed later. Until the worker has seen a
// higher token, the absence of the task from its list does not show that the task is lost.
func TestUnansweredRequestKeepsItsPlacement(t *testing.T) {
	harness := newHarnessWithPlacedJob(1)
	if got := harness.MachinesAwaitingCommands(true); len(got) != 1 {
		t.Fatalf("machines awaiting commands: got %v, want 1", got)
	}
	request, ok := harness.DirectCommands("m-1", true)
	if !ok || len(request.Commands) != 1 {
		t.Fatalf("direct command request: got %v, want 1 command", request)
	}
	if got := formatCommands(harness.sendHeartbeat("m-1")); len(got) != 0 {
		t.Fatalf("commands while a request is in flight: got %v, want none", got)
	}
	harness.HandleCommandOutcome(request, "m-1", CommandsUnknown)
	harness.sendHeartbeat("m-1")
	if len(harness.machines.get("m-1").placements) != 1 || len(harness.MachinesNeedingHigherToken()) != 1 {
		t.Fatal("want the placement kept and the token to be raised while the start command may still be executed")
	}
	harness.revision++
	record := harness.machines.get("m-1").Record
	record.FencingToken = harness.revision
	harness.SetMachine("m-1", record, harness.revision, harness.now) // the record is rewritten
	harness.sendHeartbeat("m-1")                                     // carries the higher token
	if len(harness.machines.get("m-1").placements) != 0 || harness.machines.get("m-1").command.unconfirmed {
		t.Fatal("want the placement detached once the worker has seen the higher token, as its start can no longer be executed")
	}
}

// A command request that was never sent is sent again, including its stop commands. The token is
// not raised, because that would take a write to the key-value store for each machine of a zone
// that is cut off.
func TestUnsentRequestIsSentAgain(t *testing.T) {
	harness := newHarnessWithPlacedJob(1)
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-1")
	harness.addJob(newArrayJob("req-2", 1, 1))
	harness.scheduleAndCommit()
	harness.CancelJob("req-1", harness.now)
	first, _ := harness.DirectCommands("m-1", true)
	if len(first.Commands) != 2 || len(harness.MachinesAwaitingCommands(true)) != 0 {
		t.Fatalf("first request: got commands %v, machines awaiting commands %v; want 2 commands, no machines", first.Commands, harness.MachinesAwaitingCommands(true))
	}
	harness.HandleCommandOutcome(first, "m-1", CommandsNotExecuted)
	if len(harness.MachinesNeedingHigherToken()) != 0 || len(harness.MachinesAwaitingCommands(true)) != 1 {
		t.Fatalf("after the unsent request: got machines needing a higher token %v, machines awaiting commands %v; want none, 1", harness.MachinesNeedingHigherToken(), harness.MachinesAwaitingCommands(true))
	}
	again, _ := harness.DirectCommands("m-1", true)
	if diff := cmp.Diff(formatCommands(first.Commands), formatCommands(again.Commands)); diff != "" {
		t.Fatal(diff)
	}
}

// A cancelled job's tasks are stopped before its records are deleted.
func TestCancelledJobIsStoppedThenDeleted(t *testing.T) {
	harness := newHarnessWithPlacedJob(2)
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-1")
	harness.CancelJob("req-1", harness.now)
	harness.commitBatches()
	if len(harness.jobs) != 1 {
		t.Fatal("cancelled job is removed while its tasks are on a machine, want it kept")
	}
	if got := formatCommands(harness.sendHeartbeat("m-1")); len(got) != 2 {
		t.Fatalf("commands after the cancellation: got %v, want 2", got)
	}
	harness.sendHeartbeat("m-1")
	batch := harness.PrepareBatch()
	var deleted []string
	for _, write := range batch.Txn.Writes {
		deleted = append(deleted, write.Delete)
	}
	if diff := cmp.Diff([]string{"a/0/req-1/0", "x/0/req-1"}, deleted); diff != "" {
		t.Fatal(diff)
	}
}

// A job is cancelled while a request with a start command for its task is in flight, and the
// request turns out never to have been sent. The placement must not use capacity and its team's
// quota forever.
func TestStopOfUnsentStartFreesPlacement(t *testing.T) {
	harness := newHarnessWithPlacedJob(1)
	request, _ := harness.DirectCommands("m-1", true)
	harness.CancelJob("req-1", harness.now)
	harness.HandleCommandOutcome(request, "m-1", CommandsNotExecuted)
	for range 3 {
		harness.sendHeartbeat("m-1")
		harness.now = harness.now.Add(2 * time.Second)
		harness.scheduleAndCommit()
	}
	if len(harness.machines.get("m-1").placements) != 0 || harness.jobs["req-1"] != nil {
		t.Errorf("placements left %d, cancelled job known %v; want 0, false", len(harness.machines.get("m-1").placements), harness.jobs["req-1"] != nil)
	}
}

// If the watch lags, a job's cancellation may become known before its submission. None of its tasks
// may then start, and its records must be deleted.
func TestJobCancelledBeforeItIsKnownNeverStarts(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.SetCancelledJobs([]string{"req-1"}, harness.now)
	harness.addJob(newArrayJob("req-1", 2, 1))
	harness.addJob(newArrayJob("req-2", 1, 1))
	harness.Schedule(harness.now)
	if placements := len(harness.machines.get("m-1").placements); placements != 1 {
		t.Errorf("placements with a cancelled job and another job: got %d, want 1", placements)
	}
	harness.commitBatches()
	if harness.jobs["req-1"] != nil {
		t.Error("cancelled job is still known after a commit, want it removed and its records deleted")
	}
}

// A late copy of the call that announces a cancellation changes nothing, whether the job's tasks are
// being stopped or its records are deleted.
func TestRepeatedCancellationChangesNothing(t *testing.T) {
	harness := newHarnessWithPlacedJob(1)
	harness.sendHeartbeat("m-1")
	if !harness.CancelJob("req-1", harness.now) {
		t.Fatal("cancellation of a job changes something: got false, want true")
	}
	harness.sendHeartbeat("m-1")
	if harness.CancelJob("req-1", harness.now) {
		t.Error("repeated cancellation of a job changes something: got true, want false")
	}
	harness.sendHeartbeat("m-1")
	harness.commitBatches()
	if harness.CancelJob("req-1", harness.now) {
		t.Error("cancellation of a job without records changes something: got true, want false")
	}
	if batch := harness.PrepareBatch(); !batch.Empty() {
		t.Errorf("writes after the repeated cancellation: got %v, want none", batch.Txn.Writes)
	}
}
