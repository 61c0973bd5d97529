package scheduler

import (
	"maps"
	"slices"
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/wire"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func sortedStatusKeys(tasks map[taskAttempt]wire.TaskStatus) []taskAttempt {
	return slices.SortedFunc(maps.Keys(tasks), taskAttempt.compare)
}

// newStartedWorker returns the worker of a machine on which a direct request has started the only task
// of job req-1.
func newStartedWorker(t *testing.T, refuseStarts bool) *fencedWorker {
	harness := newPartitionHarness()
	worker := newFencedWorker(t, harness, "m-1")
	worker.refuseStarts = refuseStarts
	harness.addJob(newArrayJob("req-1", 1, 1))
	harness.scheduleAndCommit()
	if diff := cmp.Diff([]string{"start req-1/0 1"}, formatCommands(worker.receiveRequest())); diff != "" {
		t.Fatal(diff)
	}
	return worker
}

// Guards against an attempt that runs again after it has ended, whatever it ended with, since a late
// copy of its start command is executed (ran_twice).
func TestForgottenAttemptIsNotStartedByLateCopy(t *testing.T) {
	for _, cause := range []wire.ExitCause{
		wire.ExitDone, wire.ExitError, wire.ExitStopped, wire.ExitInsufficientResources, wire.ExitTaskUnknown,
	} {
		t.Run(string(cause), func(t *testing.T) {
			worker := newStartedWorker(t, cause == wire.ExitInsufficientResources)
			worker.refuseStarts = false
			worker.exit(taskAttempt{"req-1/0", 1}, cause)
			worker.sendHeartbeat()
			worker.harness.commitBatches()
			if diff := cmp.Diff([]string{"clear req-1/0 1"}, formatCommands(worker.sendHeartbeat())); diff != "" {
				t.Fatal(diff)
			}
			worker.executeCopies()
			if running := worker.running(); len(running) != 0 {
				t.Errorf("tasks that run after a late copy of a start command: got %v, want none", running)
			}
		})
	}
}

// Guards against starts that wait for a heartbeat whenever a task has been forgotten.
func TestRaisedTokenNeedsNoAcknowledgementBeforeStart(t *testing.T) {
	worker := newStartedWorker(t, false)
	worker.exit(taskAttempt{"req-1/0", 1}, wire.ExitDone)
	worker.sendHeartbeat()
	worker.harness.commitBatches()
	worker.sendHeartbeat()
	worker.harness.addJob(newArrayJob("req-2", 1, 1))
	worker.harness.scheduleAndCommit()
	if diff := cmp.Diff([]string{"start req-2/0 1"}, formatCommands(worker.receiveRequest())); diff != "" {
		t.Error(diff)
	}
}

// Guards against a task that is never forgotten on a quiet partition: the owner learned of the commit of
// the job's end by reading it, and has no revision of its own to raise the token to.
func TestForgetHasItsCommitWhenNothingElseChanges(t *testing.T) {
	harness := newPartitionHarness()
	worker := newFencedWorker(t, harness, "m-1")
	harness.addJob(newArrayJob("req-1", 1, 1))
	harness.scheduleAndCommit()
	harness.machines.get("m-1").token.supersede(harness.newestCommit) // as for an earlier task
	worker.receiveRequest()
	worker.exit(taskAttempt{"req-1/0", 1}, wire.ExitDone)
	worker.sendHeartbeat()
	batch := harness.PrepareBatch()
	harness.revision++
	harness.RefreshKey(batch, records.JobKey("req-1"), harness.revision, &records.JobRecord{Phase: wire.JobDone}, harness.now)
	harness.Schedule(harness.now)
	if harness.NeedsScheduling() {
		t.Fatal("a scheduling cycle is needed before the heartbeat: got true, want false")
	}
	if commands := formatCommands(worker.sendHeartbeat()); len(commands) != 0 {
		t.Fatalf("commands before a commit of this owner: got %v, want none", commands)
	}
	if !harness.NeedsScheduling() {
		t.Error("a scheduling cycle is needed for the commit: got false, want true")
	}
	if batch := harness.PrepareBatch(); len(batch.Txn.Writes) != 1 {
		t.Fatalf("writes of the commit: got %d, want 1", len(batch.Txn.Writes))
	}
	harness.commitBatches()
	if diff := cmp.Diff([]string{"clear req-1/0 1"}, formatCommands(worker.sendHeartbeat())); diff != "" {
		t.Error(diff)
	}
	if batch := harness.PrepareBatch(); !batch.Empty() {
		t.Errorf("writes after the task was forgotten: got %d, want none", len(batch.Txn.Writes))
	}
}

// Guards against a machine that takes no commands of its next partition: its token was raised after the
// record with which it moves there was written.
func TestTokenOfReleasableMachineIsNotRaised(t *testing.T) {
	worker := newStartedWorker(t, false)
	harness := worker.harness
	worker.exit(taskAttempt{"req-1/0", 1}, wire.ExitDone)
	worker.sendHeartbeat()
	harness.commitBatches()
	worker.sendHeartbeat()
	worker.sendHeartbeat()
	harness.revision++
	harness.SetMachine("m-1", records.MachineRecord{MachineType: "cpu", Zone: "a", Desired: records.DesiredReturned}, harness.revision, harness.now)
	if releasable := harness.ReleasableMachines(); len(releasable) != 1 {
		t.Fatalf("releasable machines: got %d, want 1", len(releasable))
	}
	token := harness.machines.get("m-1").token.current
	harness.machines.get("m-1").command.lastStartToken = token
	harness.recordCommit(token + 10)
	worker.exit(taskAttempt{"req-9/0", 1}, wire.ExitDone)
	worker.sendHeartbeat()
	if got := harness.machines.get("m-1").token.current; got != token {
		t.Errorf("token of a releasable machine: got %d, want %d as before", got, token)
	}
}

// Guards against a machine that is put into back-off, and starts that are late, since a request was
// refused only for a higher token of the same owner.
func TestRequestWithOutdatedTokenIsSentAgainAtOnce(t *testing.T) {
	harness := newPartitionHarness()
	worker := newFencedWorker(t, harness, "m-1")
	harness.addJob(newArrayJob("req-1", 1, 1))
	harness.scheduleAndCommit()
	request, _ := harness.DirectCommands("m-1", true)
	harness.machines.get("m-1").token.supersede(request.FencingToken + 1)
	worker.token = request.FencingToken + 1 // as a response to a heartbeat has shown it meanwhile
	response := worker.message()
	harness.HandleCommandOutcome(request, "m-1", CommandsNotExecuted)
	if !harness.IsOutdated(request, response) {
		t.Error("request refused for a higher token of this owner is outdated: got false, want true")
	}
	harness.HandleCommandResponse(response, harness.now)
	if diff := cmp.Diff([]string{"start req-1/0 1"}, formatCommands(worker.receiveRequest())); diff != "" {
		t.Error(diff)
	}
	response.FencingToken = worker.token + 1
	if harness.IsOutdated(request, response) {
		t.Error("request refused for a token of another owner is outdated: got true, want false")
	}
}

// Guards against heartbeats of more than 64 KiB: while direct requests are in flight as each heartbeat
// arrives, nothing is forgotten.
func TestHeartbeatStaysSmallWhileNothingIsForgotten(t *testing.T) {
	const maxHeartbeatBytes = 64 << 10
	harness := newPartitionHarness()
	worker := newFencedWorker(t, harness, "m-1")
	harness.addJob(newArrayJob("req-000001", 2000, 1))
	largest := 0
	for range 400 {
		harness.scheduleAndCommit()
		request, ok := harness.DirectCommands("m-1", true)
		if ok {
			worker.executeRequest(request)
		}
		for _, key := range worker.running() {
			worker.exit(key, wire.ExitDone)
		}
		message := worker.message()
		largest = max(largest, encodedSizeOrZero(message))
		worker.sequence--
		worker.sendHeartbeat()
		if ok {
			harness.HandleCommandOutcome(request, "m-1", CommandsExecuted)
		}
	}
	if largest > maxHeartbeatBytes {
		t.Errorf("size of the largest heartbeat: got %d, want at most %d", largest, maxHeartbeatBytes)
	}
	if worker.forgotten == 0 {
		t.Error("forgotten tasks: got 0, want some")
	}
}

// Whatever commits, heartbeats, requests and late copies of requests follow one another, no attempt is
// started twice, and once nothing happens any more, no exited task is kept.
func TestLateCopiesStartNoAttemptTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		harness := newPartitionHarness()
		workers := []*fencedWorker{newFencedWorker(t, harness, "m-1"), newFencedWorker(t, harness, "m-2")}
		for n := range rapid.IntRange(1, 3).Draw(rt, "jobs") {
			job := newArrayJob([]string{"req-1", "req-2", "req-3"}[n], rapid.IntRange(1, 4).Draw(rt, "tasks"), 3)
			if rapid.Bool().Draw(rt, "gang") {
				job.Shape = wire.GangJob
			}
			harness.addJob(job)
		}
		for range rapid.IntRange(10, 60).Draw(rt, "steps") {
			worker := workers[rapid.IntRange(0, 1).Draw(rt, "worker")]
			worker.randomStep(rt)
			harness.now = harness.now.Add(100 * time.Millisecond)
		}
		if t.Failed() {
			rt.FailNow()
		}
		harness.settle(rt, workers)
	})
}

// randomStep does one of the things that may happen to a worker.
func (w *fencedWorker) randomStep(rt *rapid.T) {
	causes := []wire.ExitCause{wire.ExitDone, wire.ExitError, wire.ExitStopped}
	switch rapid.IntRange(0, 7).Draw(rt, "step") {
	case 0, 1:
		w.sendHeartbeat()
	case 2, 3:
		w.harness.scheduleAndCommit()
	case 4:
		w.receiveRequest()
	case 5:
		w.executeCopies()
	case 6:
		if running := w.running(); len(running) > 0 {
			w.exit(running[0], causes[rapid.IntRange(0, 2).Draw(rt, "cause")])
		}
	case 7:
		w.refuseStarts = rapid.Bool().Draw(rt, "refuse")
	}
}

// settle lets time pass, with heartbeats and copies of requests, and checks that the workers keep no
// exited task.
func (h *partitionHarness) settle(rt *rapid.T, workers []*fencedWorker) {
	for range 5 {
		h.commitBatches()
		for _, worker := range workers {
			worker.refuseStarts = false
			worker.sendHeartbeat()
			worker.executeCopies()
		}
	}
	for _, worker := range workers {
		for key, status := range worker.tasks {
			if status.State == wire.TaskExited {
				rt.Errorf("exited task that machine %s keeps: got %s, attempt %d, want none", worker.machine, key.task, key.attempt)
			}
		}
	}
}

// Guards against requests that are refused, because a response to a heartbeat raises the token while they
// are on their way.
func TestTokenIsNotRaisedWhileRequestIsInFlight(t *testing.T) {
	harness := newPartitionHarness()
	worker := newFencedWorker(t, harness, "m-1")
	harness.addJob(newArrayJob("req-1", 1, 1))
	harness.addJob(newArrayJob("req-2", 1, 1))
	harness.scheduleAndCommit()
	worker.receiveRequest()
	worker.exit(taskAttempt{"req-1/0", 1}, wire.ExitDone)
	worker.sendHeartbeat()
	harness.commitBatches()
	harness.CancelJob("req-2", harness.now)
	request, ok := harness.DirectCommands("m-1", true)
	if !ok {
		t.Fatal("request with the stop command: got none, want one")
	}
	for _, command := range worker.sendHeartbeat() {
		if command.Op == wire.ForgetTask {
			t.Errorf("commands while a request is in flight: got %v", command)
		}
	}
	if !worker.executeRequest(request) {
		t.Errorf("request with token %d was refused by a worker that has seen %d", request.FencingToken, worker.token)
	}
	harness.HandleCommandOutcome(request, "m-1", CommandsExecuted)
	if commands := formatCommands(worker.sendHeartbeat()); !slices.Contains(commands, "clear req-1/0 1") {
		t.Errorf("commands after the request was answered: got %v, want req-1/0 forgotten", commands)
	}
}
