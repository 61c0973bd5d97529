package scheduler

import (
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/wire"

	"github.com/google/go-cmp/cmp"
)

// A machine that falls silent is left alone for as long as another would take to boot:
// it may hang or be cut off and be back before. One that fails all its tasks is not.
func TestSilentMachineIsGivenTimeToComeBack(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addMachine("m-2", "cpu", "a", false)
	harness.machines["m-2"].quarantined = true
	bad := func() (out []string) {
		for _, id := range harness.machineIDs {
			if harness.Summary(harness.now).MachineDigests[id]&records.DigestUnhealthy != 0 {
				out = append(out, id)
			}
		}
		return out
	}
	harness.now = harness.now.Add(16 * time.Second) // beyond its lease
	harness.Schedule(harness.now)
	if diff := cmp.Diff([]string{"m-2"}, bad()); diff != "" || !harness.machines["m-1"].lease.expired {
		t.Fatal("the silent machine goes back at once: ", diff)
	}
	harness.now = harness.now.Add(31 * time.Second) // and a boot of 30 s
	if diff := cmp.Diff([]string{"m-1", "m-2"}, bad()); diff != "" {
		t.Fatal(diff)
	}
}

// After a takeover time alone frees nothing; after a word under the new token
// the lease does.
func TestTakeoverFreesNothingByTime(t *testing.T) {
	harness := newPartitionHarness()
	harness.revision++
	harness.SetMachine("m-1", records.MachineRecord{MachineType: "cpu", Zone: "a"}, harness.revision, harness.now)
	job := newArrayJob("req-1", 1, 1)
	harness.Restore([]records.LoadedChunk{{JobID: "req-1", Name: "0", Revision: harness.revision, Record: records.ChunkRecord{Job: &job, HighestAttempt: 3, Placements: []records.PlacementRecord{{Task: 0, Attempt: 3, Machine: "m-1", Incarnation: 1}}}}}, nil)
	harness.Schedule(harness.now.Add(time.Hour))
	if len(harness.machines["m-1"].placements) != 1 {
		t.Fatal("a placement of an earlier owner was freed by time alone")
	}
	harness.sequences["m-1"] = 5
	harness.workerTasks["m-1"] = map[taskAttempt]wire.TaskStatus{{"req-1/0", 3}: {Task: "req-1/0", Attempt: 3, State: wire.TaskRunning}}
	harness.sendHeartbeat("m-1")
	harness.Schedule(harness.now.Add(14 * time.Second))
	if len(harness.machines["m-1"].placements) != 1 {
		t.Fatal("freed before the lease has surely run out")
	}
	harness.Schedule(harness.now.Add(20 * time.Second))
	if len(harness.machines["m-1"].placements) != 0 {
		t.Fatal("not freed after the lease")
	}
}

// A report under an older token shows nothing of what an earlier owner's last
// answer may still start; only one under the present token does.
func TestAbsenceCountsOnlyUnderThePresentToken(t *testing.T) {
	harness := newPartitionHarness()
	harness.revision++
	harness.SetMachine("m-1", records.MachineRecord{MachineType: "cpu", Zone: "a"}, harness.revision, harness.now)
	job := newArrayJob("req-1", 1, 1)
	harness.Restore([]records.LoadedChunk{{JobID: "req-1", Name: "0", Revision: harness.revision, Record: records.ChunkRecord{Job: &job, HighestAttempt: 3, Placements: []records.PlacementRecord{{Task: 0, Attempt: 3, Machine: "m-1", Incarnation: 1}}}}}, nil)
	machine := harness.machines["m-1"]
	harness.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 1, Sequence: 1, FencingToken: machine.token.current - 1}, harness.now, true)
	if len(machine.placements) != 1 {
		t.Fatal("freed by a report under an older token")
	}
	harness.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 1, Sequence: 2, FencingToken: machine.token.current}, harness.now, true)
	if len(machine.placements) != 0 {
		t.Fatal("not freed by a report under the present token")
	}
}

// Reports that a cut held back are older than what is known, and must neither
// count nor be answered; a higher token means another owner.
func TestOldReportsAndHigherTokens(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	tok := harness.machines["m-1"].token.current
	for _, c := range []struct {
		r    wire.Heartbeat
		want HeartbeatVerdict
	}{
		{wire.Heartbeat{Machine: "m-1", Incarnation: 1, Sequence: 1, FencingToken: tok}, HeartbeatStale},
		{wire.Heartbeat{Machine: "m-1", Incarnation: 1, Sequence: 99, FencingToken: tok + 1}, HeartbeatSuperseded},
		{wire.Heartbeat{Machine: "m-9", Incarnation: 1, Sequence: 1}, HeartbeatNotOwned},
		{wire.Heartbeat{Machine: "m-1", Incarnation: 2, Sequence: 1, FencingToken: tok}, HeartbeatAccepted},
		{wire.Heartbeat{Machine: "m-1", Incarnation: 1, Sequence: 999, FencingToken: tok}, HeartbeatStale},
	} {
		if v, _ := harness.HandleHeartbeat(&c.r, harness.now, true); v != c.want {
			t.Errorf("%+v: verdict %v, want %v", c.r, v, c.want)
		}
	}
}

// Late copies of reports: to an owner that has found the lease surely run out, one of
// the old session makes no dead machine look alive; to one that was overtaken by an
// order's answer it clears no notice; to a new owner it frees nothing.
func TestLateCopiesOfReports(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", true)
	job := newArrayJob("req-1", 1, 1)
	job.AllowSpot = true
	harness.addJob(job)
	harness.Schedule(harness.now)
	harness.commitBatches()
	harness.sendHeartbeat("m-1")
	machine := harness.machines["m-1"]
	tok := machine.token.current
	harness.now = harness.now.Add(20 * time.Second)
	harness.Schedule(harness.now) // silent now
	late := &wire.Heartbeat{Machine: "m-1", Incarnation: 1, Sequence: 90, FencingToken: tok}
	if v, _ := harness.HandleHeartbeat(late, harness.now, true); v != HeartbeatStale || !machine.lease.expired || machine.usable() {
		t.Fatalf("verdict %v: a late copy makes a dead machine look alive", v)
	}
	if v, _ := harness.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 2, Sequence: 91, FencingToken: tok}, harness.now, true); v != HeartbeatAccepted || machine.lease.expired {
		t.Fatalf("verdict %v on a report of the next session", v)
	}
	left := 9.0
	harness.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 2, Sequence: 92, FencingToken: tok, TerminationNoticeS: &left}, harness.now, true)
	harness.HandleCommandResponse(&wire.Heartbeat{Machine: "m-1", Incarnation: 2, Sequence: 95, FencingToken: tok, TerminationNoticeS: &left}, harness.now)
	for _, seq := range []uint64{91, 94} {
		harness.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 2, Sequence: seq, FencingToken: tok}, harness.now, true)
		if !machine.terminationNotice {
			t.Fatalf("report %d clears the notice", seq)
		}
	}
	o := newPartitionHarness()
	o.Revision = 500
	o.SetMachine("m-1", records.MachineRecord{MachineType: "cpu", Zone: "a"}, 100, o.now)
	d := newArrayJob("req-1", 1, 1)
	o.Restore([]records.LoadedChunk{{JobID: "req-1", Name: "0", Revision: 100, Record: records.ChunkRecord{Job: &d, HighestAttempt: 3, Placements: []records.PlacementRecord{{Task: 0, Attempt: 3, Machine: "m-1", Incarnation: 2}}}}}, nil)
	for _, r := range []wire.Heartbeat{{Incarnation: 1, Sequence: 50, FencingToken: tok}, {Incarnation: 2, Sequence: 92, FencingToken: tok}} {
		r.Machine = "m-1"
		o.HandleHeartbeat(&r, o.now, true)
		if len(o.machines["m-1"].placements) != 1 || o.machines["m-1"].usable() {
			t.Fatalf("a late copy frees a placement, or makes its machine usable: %+v", r)
		}
	}
}

// A machine that is heard but does not hear: its lease runs out although every report
// was answered. It takes no tasks until it shows a raised token, and then goes back.
func TestMachineThatDoesNotHear(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	machine := harness.machines["m-1"]
	seq := harness.sequences["m-1"]
	speak := func(session uint64, d time.Duration) {
		for end := harness.now.Add(d); harness.now.Before(end); harness.now = harness.now.Add(2 * time.Second) {
			seq++
			harness.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: session, Sequence: seq, FencingToken: machine.token.current}, harness.now, true)
		}
	}
	speak(1, 16*time.Second)
	if !machine.usable() {
		t.Fatal("not usable while nothing tells")
	}
	speak(2, 2*time.Second)
	if machine.usable() || len(harness.MachinesToRefence()) != 1 {
		t.Fatal("usable although its lease ran out under answered reports")
	}
	record := machine.Record
	record.FencingToken = harness.revision + 1
	harness.SetMachine("m-1", record, harness.revision+1, harness.now)
	for range 12 {
		seq++
		harness.now = harness.now.Add(2 * time.Second)
		harness.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 3, Sequence: seq, FencingToken: record.FencingToken - 1}, harness.now, true)
	}
	if machine.usable() || harness.Summary(harness.now).MachineDigests["m-1"]&records.DigestUnhealthy == 0 {
		t.Fatal("it is not given back")
	}
	harness.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 3, Sequence: seq + 1, FencingToken: record.FencingToken}, harness.now, true)
	if !machine.usable() || harness.Summary(harness.now).MachineDigests["m-1"]&records.DigestUnhealthy != 0 {
		t.Fatal("still shunned although it has shown the raised token")
	}
}

// A machine that reaches no controller, while orders reach it, is in a new session when an
// order is refused there. Nothing may be placed in that before a report shows it: freed
// with the old session's work, it ran elsewhere while it still ran here.
func TestNewSessionNeedsAReport(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	machine := harness.machines["m-1"]
	harness.addJob(newArrayJob("req-1", 1, 1))
	harness.now = harness.now.Add(14500 * time.Millisecond)
	harness.HandleCommandResponse(&wire.Heartbeat{Machine: "m-1", Incarnation: 2, Sequence: 50, FencingToken: machine.token.current}, harness.now) // the refusal's body
	harness.Schedule(harness.now)
	harness.commitBatches()
	if o, ok := harness.DirectCommands("m-1", true); ok && o.Incarnation != 1 {
		t.Errorf("an order in session %d, of which no report has come", o.Incarnation)
	}
	harness.now = harness.now.Add(2 * time.Second)
	harness.Schedule(harness.now)
	if !machine.lease.expired {
		t.Error("not silent although its lease has run out")
	}
	v, _ := harness.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 2, Sequence: 51, FencingToken: machine.token.current}, harness.now, true)
	if v != HeartbeatAccepted || machine.lease.expired || machine.latest.incarnation != 2 {
		t.Errorf("verdict %v, silent %v, session %d after the first report of session 2", v, machine.lease.expired, machine.latest.incarnation)
	}
}

// A report in which nothing has changed, the most frequent request, asks for no pass and
// costs few allocations however many tasks the machine has.
func TestUnchangedReportCostsLittle(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addJob(newArrayJob("req-1", 8, 1))
	harness.Schedule(harness.now)
	harness.commitBatches()
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-1")
	harness.Schedule(harness.now)
	harness.commitBatches()
	if harness.NeedsScheduling() {
		t.Error("a pass is asked for after one that left nothing to do")
	}
	heartbeat := &wire.Heartbeat{Machine: "m-1", Incarnation: 1, Sequence: harness.sequences["m-1"], FencingToken: harness.machines["m-1"].token.current}
	for _, x := range harness.workerTasks["m-1"] {
		heartbeat.Tasks = append(heartbeat.Tasks, x)
	}
	if len(heartbeat.Tasks) != 8 {
		t.Fatalf("%d tasks run", len(heartbeat.Tasks))
	}
	allocs := testing.AllocsPerRun(100, func() {
		heartbeat.Sequence++
		if v, reply := harness.HandleHeartbeat(heartbeat, harness.now, true); v != HeartbeatAccepted || len(reply.Commands) != 0 {
			t.Fatalf("verdict %v, commands %v", v, reply.Commands)
		}
	})
	if allocs > 1 {
		t.Errorf("%v allocations", allocs)
	}
	if harness.NeedsScheduling() {
		t.Error("unchanged reports ask for a pass")
	}
	heartbeat.Tasks[0].State, heartbeat.Tasks[0].ExitCause = wire.TaskExited, wire.ExitDone
	heartbeat.Sequence++
	if harness.HandleHeartbeat(heartbeat, harness.now, true); !harness.NeedsScheduling() {
		t.Error("the end of a task asks for no pass")
	}
}
