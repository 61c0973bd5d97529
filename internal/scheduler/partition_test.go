package scheduler

import (
	"testing"
	"time"

	"ambersill/internal/wire"

	"github.com/google/go-cmp/cmp"
)

// A start must not leave before the placement is committed, nor a clear before
// the end is: whoever takes over would not know of the task.
func TestRecordThenStartThenClear(t *testing.T) {
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

// A start whose answer was lost is repeated; one that a report has shown and
// another does not is over, and comes back as a new attempt.
func TestLostStartAndLostTask(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addJob(newArrayJob("req-1", 1, 1))
	harness.Schedule(harness.now)
	harness.commitBatches()
	harness.sendHeartbeat("m-1")
	harness.workerTasks["m-1"] = map[taskAttempt]wire.TaskStatus{} // the answer did not arrive
	if diff := cmp.Diff([]string{"start req-1/0 1"}, commandTexts(harness.sendHeartbeat("m-1"))); diff != "" {
		t.Fatal(diff)
	}
	harness.sendHeartbeat("m-1")
	harness.workerTasks["m-1"] = map[taskAttempt]wire.TaskStatus{}
	if got := commandTexts(harness.sendHeartbeat("m-1")); len(got) != 0 {
		t.Fatalf("a task that was seen is started again under its attempt: %v", got)
	}
	harness.Schedule(harness.now)
	harness.commitBatches()
	if diff := cmp.Diff([]string{"start req-1/0 2"}, commandTexts(harness.sendHeartbeat("m-1"))); diff != "" {
		t.Fatal(diff)
	}
}

// An order that was not answered may be carried out later: until the worker has
// seen a higher token nothing is concluded from the task's absence.
func TestUnansweredOrderHoldsItsPlace(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addJob(newArrayJob("req-1", 1, 1))
	harness.Schedule(harness.now)
	harness.commitBatches()
	if got := harness.MachinesAwaitingCommands(true); len(got) != 1 {
		t.Fatalf("urgent: %v", got)
	}
	o, ok := harness.DirectCommands("m-1", true)
	if !ok || len(o.Commands) != 1 {
		t.Fatalf("orders: %v", o)
	}
	if got := commandTexts(harness.sendHeartbeat("m-1")); len(got) != 0 {
		t.Fatalf("commands while an order is under way: %v", got)
	}
	harness.HandleCommandOutcome(o, "m-1", CommandsUnknown)
	harness.sendHeartbeat("m-1")
	if len(harness.machines["m-1"].placements) != 1 || len(harness.MachinesToRefence()) != 1 {
		t.Fatal("the placement was given up although its start may still come")
	}
	harness.revision++
	record := harness.machines["m-1"].Record
	record.FencingToken = harness.revision
	harness.SetMachine("m-1", record, harness.revision, harness.now) // the rewritten record
	harness.sendHeartbeat("m-1")                                     // carries the higher token
	if len(harness.machines["m-1"].placements) != 0 || harness.machines["m-1"].command.unconfirmed {
		t.Fatal("the placement stands although its order can no longer be carried out")
	}
}

// An order that never left is sent again, stops included, and raises no token: each
// would be a change of the state service, for every machine of a zone that is cut off.
func TestOrderThatNeverLeftIsSentAgain(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addJob(newArrayJob("req-1", 1, 1))
	harness.Schedule(harness.now)
	harness.commitBatches()
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-1")
	harness.addJob(newArrayJob("req-2", 1, 1))
	harness.Schedule(harness.now)
	harness.commitBatches()
	harness.Cancel("req-1", harness.now)
	first, _ := harness.DirectCommands("m-1", true)
	if len(first.Commands) != 2 || len(harness.MachinesAwaitingCommands(true)) != 0 {
		t.Fatalf("orders %v, urgent %v", first.Commands, harness.MachinesAwaitingCommands(true))
	}
	harness.HandleCommandOutcome(first, "m-1", CommandsNotExecuted)
	if len(harness.MachinesToRefence()) != 0 || len(harness.MachinesAwaitingCommands(true)) != 1 {
		t.Fatalf("doubtful %v, urgent %v", harness.MachinesToRefence(), harness.MachinesAwaitingCommands(true))
	}
	again, _ := harness.DirectCommands("m-1", true)
	if diff := cmp.Diff(commandTexts(first.Commands), commandTexts(again.Commands)); diff != "" {
		t.Fatal(diff)
	}
}

// A cancelled job's tasks are stopped, and its records go last.
func TestCancelledJobIsStoppedAndForgotten(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addJob(newArrayJob("req-1", 2, 1))
	harness.Schedule(harness.now)
	harness.commitBatches()
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-1")
	harness.Cancel("req-1", harness.now)
	harness.commitBatches()
	if len(harness.jobs) != 1 {
		t.Fatal("forgotten while tasks are on a machine")
	}
	if got := commandTexts(harness.sendHeartbeat("m-1")); len(got) != 2 {
		t.Fatalf("commands: %v", got)
	}
	harness.sendHeartbeat("m-1")
	batch := harness.PrepareBatch()
	var deleted []string
	for _, w := range batch.Txn.Writes {
		deleted = append(deleted, w.Delete)
	}
	if diff := cmp.Diff([]string{"a/0/req-1/0", "x/0/req-1"}, deleted); diff != "" {
		t.Fatal(diff)
	}
}

// A task is cancelled while the order with its start is under way, which never leaves.
// Its place stayed booked for good, and with it the team's share.
func TestStopMeetsAnOrderThatNeverLeft(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addJob(newArrayJob("req-1", 1, 1))
	harness.Schedule(harness.now)
	harness.commitBatches()
	o, _ := harness.DirectCommands("m-1", true)
	harness.Cancel("req-1", harness.now)
	harness.HandleCommandOutcome(o, "m-1", CommandsNotExecuted)
	for range 3 {
		harness.sendHeartbeat("m-1")
		harness.now = harness.now.Add(2 * time.Second)
		harness.Schedule(harness.now)
		harness.commitBatches()
	}
	if len(harness.machines["m-1"].placements) != 0 || harness.jobs["req-1"] != nil {
		t.Errorf("%d placements stand, job known: %v", len(harness.machines["m-1"].placements), harness.jobs["req-1"] != nil)
	}
}

// A job that is marked as cancelled may be known later than its mark, when the watch is
// behind: nothing of it may start, and its records go.
func TestMarkedBeforeItIsKnown(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.SetCancelledJobs([]string{"req-1"}, harness.now)
	harness.addJob(newArrayJob("req-1", 2, 1))
	harness.addJob(newArrayJob("req-2", 1, 1))
	harness.Schedule(harness.now)
	if n := len(harness.machines["m-1"].placements); n != 1 {
		t.Errorf("%d placements beside a cancelled job", n)
	}
	harness.commitBatches()
	if harness.jobs["req-1"] != nil {
		t.Error("the cancelled job's records stand")
	}
}
