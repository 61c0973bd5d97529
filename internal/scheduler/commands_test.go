package scheduler

import (
	"testing"
	"time"

	"ambersill/internal/wire"

	"github.com/google/go-cmp/cmp"
)

// A start must not be sent before the placement is committed, nor a forget before the end
// is: the next owner would not know of the task.
func TestStartAndForgetAreSentAfterTheirCommits(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addJob(newArrayJob("req-1", 1, 1))
	harness.Schedule(harness.now)
	if got := commandTexts(harness.sendHeartbeat("m-1")); len(got) != 0 {
		t.Fatalf("commands before the commit: %v", got)
	}
	harness.commitBatches()
	if diff := cmp.Diff([]string{"start req-1/0 1"}, commandTexts(harness.sendHeartbeat("m-1"))); diff != "" {
		t.Fatal(diff)
	}
	harness.endTask("m-1", "req-1/0", 1, wire.ExitDone)
	if got := commandTexts(harness.sendHeartbeat("m-1")); len(got) != 0 {
		t.Fatalf("commands before the end is committed: %v", got)
	}
	harness.commitBatches()
	if diff := cmp.Diff([]string{"clear req-1/0 1"}, commandTexts(harness.sendHeartbeat("m-1"))); diff != "" {
		t.Fatal(diff)
	}
}

// A start whose response was lost is repeated. A task that one heartbeat lists and the next
// does not is lost, and is placed again as a new attempt.
func TestLostStartIsRepeatedAndLostTaskIsRequeued(t *testing.T) {
	harness := newHarnessWithPlacedJob(1)
	harness.sendHeartbeat("m-1")
	harness.workerTasks["m-1"] = map[taskAttempt]wire.TaskStatus{} // the response did not arrive
	if diff := cmp.Diff([]string{"start req-1/0 1"}, commandTexts(harness.sendHeartbeat("m-1"))); diff != "" {
		t.Fatal(diff)
	}
	harness.sendHeartbeat("m-1")
	harness.workerTasks["m-1"] = map[taskAttempt]wire.TaskStatus{}
	if got := commandTexts(harness.sendHeartbeat("m-1")); len(got) != 0 {
		t.Fatalf("a task that was observed is started again under its attempt: %v", got)
	}
	harness.scheduleAndCommit()
	if diff := cmp.Diff([]string{"start req-1/0 2"}, commandTexts(harness.sendHeartbeat("m-1"))); diff != "" {
		t.Fatal(diff)
	}
}

// A command request that was not answered may be executed later: until the worker has seen
// a higher token, the task's absence shows nothing.
func TestUnansweredRequestKeepsItsPlacement(t *testing.T) {
	harness := newHarnessWithPlacedJob(1)
	if got := harness.MachinesAwaitingCommands(true); len(got) != 1 {
		t.Fatalf("machines awaiting commands: %v", got)
	}
	request, ok := harness.DirectCommands("m-1", true)
	if !ok || len(request.Commands) != 1 {
		t.Fatalf("direct commands: %v", request)
	}
	if got := commandTexts(harness.sendHeartbeat("m-1")); len(got) != 0 {
		t.Fatalf("commands while a request is in flight: %v", got)
	}
	harness.HandleCommandOutcome(request, "m-1", CommandsUnknown)
	harness.sendHeartbeat("m-1")
	if len(harness.machines.get("m-1").placements) != 1 || len(harness.MachinesNeedingHigherToken()) != 1 {
		t.Fatal("the placement was detached although its start may still be executed")
	}
	harness.revision++
	record := harness.machines.get("m-1").Record
	record.FencingToken = harness.revision
	harness.SetMachine("m-1", record, harness.revision, harness.now) // the record is rewritten
	harness.sendHeartbeat("m-1")                                     // carries the higher token
	if len(harness.machines.get("m-1").placements) != 0 || harness.machines.get("m-1").command.unconfirmed {
		t.Fatal("the placement is kept although its start can no longer be executed")
	}
}

// A command request that was never sent is sent again, stops included, and raises no token:
// that takes a write to the key-value store for every machine of a zone that is cut off.
func TestUnsentRequestIsSentAgain(t *testing.T) {
	harness := newHarnessWithPlacedJob(1)
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-1")
	harness.addJob(newArrayJob("req-2", 1, 1))
	harness.scheduleAndCommit()
	harness.Cancel("req-1", harness.now)
	first, _ := harness.DirectCommands("m-1", true)
	if len(first.Commands) != 2 || len(harness.MachinesAwaitingCommands(true)) != 0 {
		t.Fatalf("direct commands %v, machines awaiting commands %v", first.Commands, harness.MachinesAwaitingCommands(true))
	}
	harness.HandleCommandOutcome(first, "m-1", CommandsNotExecuted)
	if len(harness.MachinesNeedingHigherToken()) != 0 || len(harness.MachinesAwaitingCommands(true)) != 1 {
		t.Fatalf("machines to refence %v, machines awaiting commands %v", harness.MachinesNeedingHigherToken(), harness.MachinesAwaitingCommands(true))
	}
	again, _ := harness.DirectCommands("m-1", true)
	if diff := cmp.Diff(commandTexts(first.Commands), commandTexts(again.Commands)); diff != "" {
		t.Fatal(diff)
	}
}

// A cancelled job's tasks are stopped, and its records are deleted last.
func TestCancelledJobIsStoppedThenDeleted(t *testing.T) {
	harness := newHarnessWithPlacedJob(2)
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-1")
	harness.Cancel("req-1", harness.now)
	harness.commitBatches()
	if len(harness.jobs) != 1 {
		t.Fatal("the job is dropped while its tasks are on a machine")
	}
	if got := commandTexts(harness.sendHeartbeat("m-1")); len(got) != 2 {
		t.Fatalf("commands: %v", got)
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

// A task is cancelled while the request with its start is in flight, which turns out never
// to have been sent. The placement must not use its capacity and its team's quota forever.
func TestStopOfUnsentStartFreesPlacement(t *testing.T) {
	harness := newHarnessWithPlacedJob(1)
	request, _ := harness.DirectCommands("m-1", true)
	harness.Cancel("req-1", harness.now)
	harness.HandleCommandOutcome(request, "m-1", CommandsNotExecuted)
	for range 3 {
		harness.sendHeartbeat("m-1")
		harness.now = harness.now.Add(2 * time.Second)
		harness.scheduleAndCommit()
	}
	if len(harness.machines.get("m-1").placements) != 0 || harness.jobs["req-1"] != nil {
		t.Errorf("%d placements left, job known: %v", len(harness.machines.get("m-1").placements), harness.jobs["req-1"] != nil)
	}
}

// A job's cancellation may become known before its submission, when the watch lags: none of
// its tasks may start, and its records are deleted.
func TestJobCancelledBeforeItIsKnownNeverStarts(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.SetCancelledJobs([]string{"req-1"}, harness.now)
	harness.addJob(newArrayJob("req-1", 2, 1))
	harness.addJob(newArrayJob("req-2", 1, 1))
	harness.Schedule(harness.now)
	if placements := len(harness.machines.get("m-1").placements); placements != 1 {
		t.Errorf("%d placements beside a cancelled job", placements)
	}
	harness.commitBatches()
	if harness.jobs["req-1"] != nil {
		t.Error("the cancelled job's records are not deleted")
	}
}
