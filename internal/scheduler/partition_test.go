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
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	b.add(array("req-1", 1, 1))
	b.Schedule(b.now)
	if got := ops(b.report("m-1")); len(got) != 0 {
		t.Fatalf("commands before the commit: %v", got)
	}
	b.commit()
	if diff := cmp.Diff([]string{"start req-1/0 1"}, ops(b.report("m-1"))); diff != "" {
		t.Fatal(diff)
	}
	b.end("m-1", "req-1/0", 1, wire.ExitDone)
	if got := ops(b.report("m-1")); len(got) != 0 {
		t.Fatalf("commands before the end is committed: %v", got)
	}
	b.commit()
	if diff := cmp.Diff([]string{"clear req-1/0 1"}, ops(b.report("m-1"))); diff != "" {
		t.Fatal(diff)
	}
}

// A start whose answer was lost is repeated; one that a report has shown and
// another does not is over, and comes back as a new attempt.
func TestLostStartAndLostTask(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	b.add(array("req-1", 1, 1))
	b.Schedule(b.now)
	b.commit()
	b.report("m-1")
	b.on["m-1"] = map[taskAttempt]wire.TaskStatus{} // the answer did not arrive
	if diff := cmp.Diff([]string{"start req-1/0 1"}, ops(b.report("m-1"))); diff != "" {
		t.Fatal(diff)
	}
	b.report("m-1")
	b.on["m-1"] = map[taskAttempt]wire.TaskStatus{}
	if got := ops(b.report("m-1")); len(got) != 0 {
		t.Fatalf("a task that was seen is started again under its attempt: %v", got)
	}
	b.Schedule(b.now)
	b.commit()
	if diff := cmp.Diff([]string{"start req-1/0 2"}, ops(b.report("m-1"))); diff != "" {
		t.Fatal(diff)
	}
}

// An order that was not answered may be carried out later: until the worker has
// seen a higher token nothing is concluded from the task's absence.
func TestUnansweredOrderHoldsItsPlace(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	b.add(array("req-1", 1, 1))
	b.Schedule(b.now)
	b.commit()
	if got := b.MachinesAwaitingCommands(true); len(got) != 1 {
		t.Fatalf("urgent: %v", got)
	}
	o, ok := b.DirectCommands("m-1", true)
	if !ok || len(o.Commands) != 1 {
		t.Fatalf("orders: %v", o)
	}
	if got := ops(b.report("m-1")); len(got) != 0 {
		t.Fatalf("commands while an order is under way: %v", got)
	}
	b.HandleCommandOutcome(o, "m-1", CommandsUnknown)
	b.report("m-1")
	if len(b.machines["m-1"].placements) != 1 || len(b.MachinesToRefence()) != 1 {
		t.Fatal("the placement was given up although its start may still come")
	}
	b.rev++
	record := b.machines["m-1"].Record
	record.FencingToken = b.rev
	b.SetMachine("m-1", record, b.rev, b.now) // the rewritten record
	b.report("m-1")                           // carries the higher token
	if len(b.machines["m-1"].placements) != 0 || b.machines["m-1"].commandUnconfirmed {
		t.Fatal("the placement stands although its order can no longer be carried out")
	}
}

// An order that never left is sent again, stops included, and raises no token: each
// would be a change of the state service, for every machine of a zone that is cut off.
func TestOrderThatNeverLeftIsSentAgain(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	b.add(array("req-1", 1, 1))
	b.Schedule(b.now)
	b.commit()
	b.report("m-1")
	b.report("m-1")
	b.add(array("req-2", 1, 1))
	b.Schedule(b.now)
	b.commit()
	b.Cancel("req-1", b.now)
	first, _ := b.DirectCommands("m-1", true)
	if len(first.Commands) != 2 || len(b.MachinesAwaitingCommands(true)) != 0 {
		t.Fatalf("orders %v, urgent %v", first.Commands, b.MachinesAwaitingCommands(true))
	}
	b.HandleCommandOutcome(first, "m-1", CommandsNotExecuted)
	if len(b.MachinesToRefence()) != 0 || len(b.MachinesAwaitingCommands(true)) != 1 {
		t.Fatalf("doubtful %v, urgent %v", b.MachinesToRefence(), b.MachinesAwaitingCommands(true))
	}
	again, _ := b.DirectCommands("m-1", true)
	if diff := cmp.Diff(ops(first.Commands), ops(again.Commands)); diff != "" {
		t.Fatal(diff)
	}
}

// A cancelled job's tasks are stopped, and its records go last.
func TestCancelledJobIsStoppedAndForgotten(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	b.add(array("req-1", 2, 1))
	b.Schedule(b.now)
	b.commit()
	b.report("m-1")
	b.report("m-1")
	b.Cancel("req-1", b.now)
	b.commit()
	if len(b.jobs) != 1 {
		t.Fatal("forgotten while tasks are on a machine")
	}
	if got := ops(b.report("m-1")); len(got) != 2 {
		t.Fatalf("commands: %v", got)
	}
	b.report("m-1")
	batch := b.PrepareBatch()
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
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	b.add(array("req-1", 1, 1))
	b.Schedule(b.now)
	b.commit()
	o, _ := b.DirectCommands("m-1", true)
	b.Cancel("req-1", b.now)
	b.HandleCommandOutcome(o, "m-1", CommandsNotExecuted)
	for range 3 {
		b.report("m-1")
		b.now = b.now.Add(2 * time.Second)
		b.Schedule(b.now)
		b.commit()
	}
	if len(b.machines["m-1"].placements) != 0 || b.jobs["req-1"] != nil {
		t.Errorf("%d placements stand, job known: %v", len(b.machines["m-1"].placements), b.jobs["req-1"] != nil)
	}
}

// A job that is marked as cancelled may be known later than its mark, when the watch is
// behind: nothing of it may start, and its records go.
func TestMarkedBeforeItIsKnown(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	b.SetCancelledJobs([]string{"req-1"}, b.now)
	b.add(array("req-1", 2, 1))
	b.add(array("req-2", 1, 1))
	b.Schedule(b.now)
	if n := len(b.machines["m-1"].placements); n != 1 {
		t.Errorf("%d placements beside a cancelled job", n)
	}
	b.commit()
	if b.jobs["req-1"] != nil {
		t.Error("the cancelled job's records stand")
	}
}
