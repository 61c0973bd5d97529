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
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	b.machine("m-2", "cpu", "a", false)
	b.machines["m-2"].quarantined = true
	bad := func() (out []string) {
		for _, id := range b.machineIDs {
			if b.Summary(b.now).MachineDigests[id]&records.DigestUnhealthy != 0 {
				out = append(out, id)
			}
		}
		return out
	}
	b.now = b.now.Add(16 * time.Second) // beyond its lease
	b.Schedule(b.now)
	if diff := cmp.Diff([]string{"m-2"}, bad()); diff != "" || !b.machines["m-1"].leaseExpired {
		t.Fatal("the silent machine goes back at once: ", diff)
	}
	b.now = b.now.Add(31 * time.Second) // and a boot of 30 s
	if diff := cmp.Diff([]string{"m-1", "m-2"}, bad()); diff != "" {
		t.Fatal(diff)
	}
}

// After a takeover time alone frees nothing; after a word under the new token
// the lease does.
func TestTakeoverFreesNothingByTime(t *testing.T) {
	b := newBed()
	b.rev++
	b.SetMachine("m-1", records.MachineRecord{MachineType: "cpu", Zone: "a"}, b.rev, b.now)
	job := array("req-1", 1, 1)
	b.Restore([]records.LoadedChunk{{JobID: "req-1", Name: "0", Revision: b.rev, Record: records.ChunkRecord{Job: &job, HighestAttempt: 3, Placements: []records.PlacementRecord{{Task: 0, Attempt: 3, Machine: "m-1", Incarnation: 1}}}}}, nil)
	b.Schedule(b.now.Add(time.Hour))
	if len(b.machines["m-1"].placements) != 1 {
		t.Fatal("a placement of an earlier owner was freed by time alone")
	}
	b.seq["m-1"] = 5
	b.on["m-1"] = map[taskAttempt]wire.TaskStatus{{"req-1/0", 3}: {Task: "req-1/0", Attempt: 3, State: wire.TaskRunning}}
	b.report("m-1")
	b.Schedule(b.now.Add(14 * time.Second))
	if len(b.machines["m-1"].placements) != 1 {
		t.Fatal("freed before the lease has surely run out")
	}
	b.Schedule(b.now.Add(20 * time.Second))
	if len(b.machines["m-1"].placements) != 0 {
		t.Fatal("not freed after the lease")
	}
}

// A report under an older token shows nothing of what an earlier owner's last
// answer may still start; only one under the present token does.
func TestAbsenceCountsOnlyUnderThePresentToken(t *testing.T) {
	b := newBed()
	b.rev++
	b.SetMachine("m-1", records.MachineRecord{MachineType: "cpu", Zone: "a"}, b.rev, b.now)
	job := array("req-1", 1, 1)
	b.Restore([]records.LoadedChunk{{JobID: "req-1", Name: "0", Revision: b.rev, Record: records.ChunkRecord{Job: &job, HighestAttempt: 3, Placements: []records.PlacementRecord{{Task: 0, Attempt: 3, Machine: "m-1", Incarnation: 1}}}}}, nil)
	machine := b.machines["m-1"]
	b.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 1, Sequence: 1, FencingToken: machine.fencingToken - 1}, b.now, true)
	if len(machine.placements) != 1 {
		t.Fatal("freed by a report under an older token")
	}
	b.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 1, Sequence: 2, FencingToken: machine.fencingToken}, b.now, true)
	if len(machine.placements) != 0 {
		t.Fatal("not freed by a report under the present token")
	}
}

// Reports that a cut held back are older than what is known, and must neither
// count nor be answered; a higher token means another owner.
func TestOldReportsAndHigherTokens(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	tok := b.machines["m-1"].fencingToken
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
		if v, _ := b.HandleHeartbeat(&c.r, b.now, true); v != c.want {
			t.Errorf("%+v: verdict %v, want %v", c.r, v, c.want)
		}
	}
}

// Late copies of reports: to an owner that has found the lease surely run out, one of
// the old session makes no dead machine look alive; to one that was overtaken by an
// order's answer it clears no notice; to a new owner it frees nothing.
func TestLateCopiesOfReports(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", true)
	job := array("req-1", 1, 1)
	job.AllowSpot = true
	b.add(job)
	b.Schedule(b.now)
	b.commit()
	b.report("m-1")
	machine := b.machines["m-1"]
	tok := machine.fencingToken
	b.now = b.now.Add(20 * time.Second)
	b.Schedule(b.now) // silent now
	late := &wire.Heartbeat{Machine: "m-1", Incarnation: 1, Sequence: 90, FencingToken: tok}
	if v, _ := b.HandleHeartbeat(late, b.now, true); v != HeartbeatStale || !machine.leaseExpired || machine.usable() {
		t.Fatalf("verdict %v: a late copy makes a dead machine look alive", v)
	}
	if v, _ := b.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 2, Sequence: 91, FencingToken: tok}, b.now, true); v != HeartbeatAccepted || machine.leaseExpired {
		t.Fatalf("verdict %v on a report of the next session", v)
	}
	left := 9.0
	b.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 2, Sequence: 92, FencingToken: tok, TerminationNoticeS: &left}, b.now, true)
	b.HandleCommandResponse(&wire.Heartbeat{Machine: "m-1", Incarnation: 2, Sequence: 95, FencingToken: tok, TerminationNoticeS: &left}, b.now)
	for _, seq := range []uint64{91, 94} {
		b.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 2, Sequence: seq, FencingToken: tok}, b.now, true)
		if !machine.terminationNotice {
			t.Fatalf("report %d clears the notice", seq)
		}
	}
	o := newBed()
	o.Revision = 500
	o.SetMachine("m-1", records.MachineRecord{MachineType: "cpu", Zone: "a"}, 100, o.now)
	d := array("req-1", 1, 1)
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
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	machine := b.machines["m-1"]
	seq := b.seq["m-1"]
	speak := func(session uint64, d time.Duration) {
		for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(2 * time.Second) {
			seq++
			b.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: session, Sequence: seq, FencingToken: machine.fencingToken}, b.now, true)
		}
	}
	speak(1, 16*time.Second)
	if !machine.usable() {
		t.Fatal("not usable while nothing tells")
	}
	speak(2, 2*time.Second)
	if machine.usable() || len(b.MachinesToRefence()) != 1 {
		t.Fatal("usable although its lease ran out under answered reports")
	}
	record := machine.Record
	record.FencingToken = b.rev + 1
	b.SetMachine("m-1", record, b.rev+1, b.now)
	for range 12 {
		seq++
		b.now = b.now.Add(2 * time.Second)
		b.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 3, Sequence: seq, FencingToken: record.FencingToken - 1}, b.now, true)
	}
	if machine.usable() || b.Summary(b.now).MachineDigests["m-1"]&records.DigestUnhealthy == 0 {
		t.Fatal("it is not given back")
	}
	b.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 3, Sequence: seq + 1, FencingToken: record.FencingToken}, b.now, true)
	if !machine.usable() || b.Summary(b.now).MachineDigests["m-1"]&records.DigestUnhealthy != 0 {
		t.Fatal("still shunned although it has shown the raised token")
	}
}

// A machine that reaches no controller, while orders reach it, is in a new session when an
// order is refused there. Nothing may be placed in that before a report shows it: freed
// with the old session's work, it ran elsewhere while it still ran here.
func TestNewSessionNeedsAReport(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	machine := b.machines["m-1"]
	b.add(array("req-1", 1, 1))
	b.now = b.now.Add(14500 * time.Millisecond)
	b.HandleCommandResponse(&wire.Heartbeat{Machine: "m-1", Incarnation: 2, Sequence: 50, FencingToken: machine.fencingToken}, b.now) // the refusal's body
	b.Schedule(b.now)
	b.commit()
	if o, ok := b.DirectCommands("m-1", true); ok && o.Incarnation != 1 {
		t.Errorf("an order in session %d, of which no report has come", o.Incarnation)
	}
	b.now = b.now.Add(2 * time.Second)
	b.Schedule(b.now)
	if !machine.leaseExpired {
		t.Error("not silent although its lease has run out")
	}
	v, _ := b.HandleHeartbeat(&wire.Heartbeat{Machine: "m-1", Incarnation: 2, Sequence: 51, FencingToken: machine.fencingToken}, b.now, true)
	if v != HeartbeatAccepted || machine.leaseExpired || machine.incarnation != 2 {
		t.Errorf("verdict %v, silent %v, session %d after the first report of session 2", v, machine.leaseExpired, machine.incarnation)
	}
}

// A report in which nothing has changed, the most frequent request, asks for no pass and
// costs few allocations however many tasks the machine has.
func TestUnchangedReportCostsLittle(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	b.add(array("req-1", 8, 1))
	b.Schedule(b.now)
	b.commit()
	b.report("m-1")
	b.report("m-1")
	b.Schedule(b.now)
	b.commit()
	if b.NeedsScheduling() {
		t.Error("a pass is asked for after one that left nothing to do")
	}
	heartbeat := &wire.Heartbeat{Machine: "m-1", Incarnation: 1, Sequence: b.seq["m-1"], FencingToken: b.machines["m-1"].fencingToken}
	for _, x := range b.on["m-1"] {
		heartbeat.Tasks = append(heartbeat.Tasks, x)
	}
	if len(heartbeat.Tasks) != 8 {
		t.Fatalf("%d tasks run", len(heartbeat.Tasks))
	}
	allocs := testing.AllocsPerRun(100, func() {
		heartbeat.Sequence++
		if v, reply := b.HandleHeartbeat(heartbeat, b.now, true); v != HeartbeatAccepted || len(reply.Commands) != 0 {
			t.Fatalf("verdict %v, commands %v", v, reply.Commands)
		}
	})
	if allocs > 1 {
		t.Errorf("%v allocations", allocs)
	}
	if b.NeedsScheduling() {
		t.Error("unchanged reports ask for a pass")
	}
	heartbeat.Tasks[0].State, heartbeat.Tasks[0].ExitCause = wire.TaskExited, wire.ExitDone
	heartbeat.Sequence++
	if b.HandleHeartbeat(heartbeat, b.now, true); !b.NeedsScheduling() {
		t.Error("the end of a task asks for no pass")
	}
}
