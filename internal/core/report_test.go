package core

import (
	"testing"
	"time"

	"ambersill/internal/wire"

	"github.com/google/go-cmp/cmp"
)

// A machine that falls silent is left alone for as long as another would take to boot:
// it may hang or be cut off and be back before. One that fails all its tasks is not.
func TestSilentMachineIsGivenTimeToComeBack(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	b.machine("m-2", "cpu", "a", false)
	b.machines["m-2"].sick = true
	bad := func() (out []string) {
		for _, id := range b.order {
			if b.Summary(b.now).Machines[id]&NoteBad != 0 {
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
	b.SetMachine("m-1", MachineRecord{Type: "cpu", Zone: "a"}, b.rev, b.now)
	j := array("req-1", 1, 1)
	b.Load([]LoadedChunk{{Job: "req-1", Name: "0", Stamp: b.rev, Record: ChunkRecord{Job: &j, Try: 3, Live: []LiveRecord{{Task: 0, Try: 3, Machine: "m-1", Session: 1}}}}}, nil)
	b.Schedule(b.now.Add(time.Hour))
	if len(b.machines["m-1"].places) != 1 {
		t.Fatal("a placement of an earlier owner was freed by time alone")
	}
	b.seq["m-1"] = 5
	b.on["m-1"] = map[attempt]wire.TaskReport{{"req-1/0", 3}: {Task: "req-1/0", Attempt: 3, State: wire.RunningTask}}
	b.report("m-1")
	b.Schedule(b.now.Add(14 * time.Second))
	if len(b.machines["m-1"].places) != 1 {
		t.Fatal("freed before the lease has surely run out")
	}
	b.Schedule(b.now.Add(20 * time.Second))
	if len(b.machines["m-1"].places) != 0 {
		t.Fatal("not freed after the lease")
	}
}

// A report under an older token shows nothing of what an earlier owner's last
// answer may still start; only one under the present token does.
func TestAbsenceCountsOnlyUnderThePresentToken(t *testing.T) {
	b := newBed()
	b.rev++
	b.SetMachine("m-1", MachineRecord{Type: "cpu", Zone: "a"}, b.rev, b.now)
	j := array("req-1", 1, 1)
	b.Load([]LoadedChunk{{Job: "req-1", Name: "0", Stamp: b.rev, Record: ChunkRecord{Job: &j, Try: 3, Live: []LiveRecord{{Task: 0, Try: 3, Machine: "m-1", Session: 1}}}}}, nil)
	m := b.machines["m-1"]
	b.Report(&wire.Report{Machine: "m-1", Session: 1, Seq: 1, Token: m.token - 1}, b.now, true)
	if len(m.places) != 1 {
		t.Fatal("freed by a report under an older token")
	}
	b.Report(&wire.Report{Machine: "m-1", Session: 1, Seq: 2, Token: m.token}, b.now, true)
	if len(m.places) != 0 {
		t.Fatal("not freed by a report under the present token")
	}
}

// Reports that a cut held back are older than what is known, and must neither
// count nor be answered; a higher token means another owner.
func TestOldReportsAndHigherTokens(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	tok := b.machines["m-1"].token
	for _, c := range []struct {
		r    wire.Report
		want Verdict
	}{
		{wire.Report{Machine: "m-1", Session: 1, Seq: 1, Token: tok}, Stale},
		{wire.Report{Machine: "m-1", Session: 1, Seq: 99, Token: tok + 1}, Outranked},
		{wire.Report{Machine: "m-9", Session: 1, Seq: 1}, NotOurs},
		{wire.Report{Machine: "m-1", Session: 2, Seq: 1, Token: tok}, Accepted},
		{wire.Report{Machine: "m-1", Session: 1, Seq: 999, Token: tok}, Stale},
	} {
		if v, _ := b.Report(&c.r, b.now, true); v != c.want {
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
	j := array("req-1", 1, 1)
	j.Spot = true
	b.add(j)
	b.Schedule(b.now)
	b.commit()
	b.report("m-1")
	m := b.machines["m-1"]
	tok := m.token
	b.now = b.now.Add(20 * time.Second)
	b.Schedule(b.now) // silent now
	late := &wire.Report{Machine: "m-1", Session: 1, Seq: 90, Token: tok}
	if v, _ := b.Report(late, b.now, true); v != Stale || !m.leaseExpired || m.usable() {
		t.Fatalf("verdict %v: a late copy makes a dead machine look alive", v)
	}
	if v, _ := b.Report(&wire.Report{Machine: "m-1", Session: 2, Seq: 91, Token: tok}, b.now, true); v != Accepted || m.leaseExpired {
		t.Fatalf("verdict %v on a report of the next session", v)
	}
	left := 9.0
	b.Report(&wire.Report{Machine: "m-1", Session: 2, Seq: 92, Token: tok, Notice: &left}, b.now, true)
	b.Heard(&wire.Report{Machine: "m-1", Session: 2, Seq: 95, Token: tok, Notice: &left}, b.now)
	for _, seq := range []uint64{91, 94} {
		b.Report(&wire.Report{Machine: "m-1", Session: 2, Seq: seq, Token: tok}, b.now, true)
		if !m.notice {
			t.Fatalf("report %d clears the notice", seq)
		}
	}
	o := newBed()
	o.Stamp = 500
	o.SetMachine("m-1", MachineRecord{Type: "cpu", Zone: "a"}, 100, o.now)
	d := array("req-1", 1, 1)
	o.Load([]LoadedChunk{{Job: "req-1", Name: "0", Stamp: 100, Record: ChunkRecord{Job: &d, Try: 3, Live: []LiveRecord{{Task: 0, Try: 3, Machine: "m-1", Session: 2}}}}}, nil)
	for _, r := range []wire.Report{{Session: 1, Seq: 50, Token: tok}, {Session: 2, Seq: 92, Token: tok}} {
		r.Machine = "m-1"
		o.Report(&r, o.now, true)
		if len(o.machines["m-1"].places) != 1 || o.machines["m-1"].usable() {
			t.Fatalf("a late copy frees a placement, or makes its machine usable: %+v", r)
		}
	}
}

// A machine that is heard but does not hear: its lease runs out although every report
// was answered. It takes no tasks until it shows a raised token, and then goes back.
func TestMachineThatDoesNotHear(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	m := b.machines["m-1"]
	seq := b.seq["m-1"]
	speak := func(session uint64, d time.Duration) {
		for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(2 * time.Second) {
			seq++
			b.Report(&wire.Report{Machine: "m-1", Session: session, Seq: seq, Token: m.token}, b.now, true)
		}
	}
	speak(1, 16*time.Second)
	if !m.usable() {
		t.Fatal("not usable while nothing tells")
	}
	speak(2, 2*time.Second)
	if m.usable() || len(b.Unconfirmed()) != 1 {
		t.Fatal("usable although its lease ran out under answered reports")
	}
	rec := m.Rec
	rec.Token = b.rev + 1
	b.SetMachine("m-1", rec, b.rev+1, b.now)
	for range 12 {
		seq++
		b.now = b.now.Add(2 * time.Second)
		b.Report(&wire.Report{Machine: "m-1", Session: 3, Seq: seq, Token: rec.Token - 1}, b.now, true)
	}
	if m.usable() || b.Summary(b.now).Machines["m-1"]&NoteBad == 0 {
		t.Fatal("it is not given back")
	}
	b.Report(&wire.Report{Machine: "m-1", Session: 3, Seq: seq + 1, Token: rec.Token}, b.now, true)
	if !m.usable() || b.Summary(b.now).Machines["m-1"]&NoteBad != 0 {
		t.Fatal("still shunned although it has shown the raised token")
	}
}

// A machine that reaches no controller, while orders reach it, is in a new session when an
// order is refused there. Nothing may be placed in that before a report shows it: freed
// with the old session's work, it ran elsewhere while it still ran here.
func TestNewSessionNeedsAReport(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	m := b.machines["m-1"]
	b.add(array("req-1", 1, 1))
	b.now = b.now.Add(14500 * time.Millisecond)
	b.Heard(&wire.Report{Machine: "m-1", Session: 2, Seq: 50, Token: m.token}, b.now) // the refusal's body
	b.Schedule(b.now)
	b.commit()
	if o, ok := b.Orders("m-1", true); ok && o.Session != 1 {
		t.Errorf("an order in session %d, of which no report has come", o.Session)
	}
	b.now = b.now.Add(2 * time.Second)
	b.Schedule(b.now)
	if !m.leaseExpired {
		t.Error("not silent although its lease has run out")
	}
	v, _ := b.Report(&wire.Report{Machine: "m-1", Session: 2, Seq: 51, Token: m.token}, b.now, true)
	if v != Accepted || m.leaseExpired || m.session != 2 {
		t.Errorf("verdict %v, silent %v, session %d after the first report of session 2", v, m.leaseExpired, m.session)
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
	if b.Stirred() {
		t.Error("a pass is asked for after one that left nothing to do")
	}
	r := &wire.Report{Machine: "m-1", Session: 1, Seq: b.seq["m-1"], Token: b.machines["m-1"].token}
	for _, x := range b.on["m-1"] {
		r.Tasks = append(r.Tasks, x)
	}
	if len(r.Tasks) != 8 {
		t.Fatalf("%d tasks run", len(r.Tasks))
	}
	allocs := testing.AllocsPerRun(100, func() {
		r.Seq++
		if v, reply := b.Report(r, b.now, true); v != Accepted || len(reply.Commands) != 0 {
			t.Fatalf("verdict %v, commands %v", v, reply.Commands)
		}
	})
	if allocs > 1 {
		t.Errorf("%v allocations", allocs)
	}
	if b.Stirred() {
		t.Error("unchanged reports ask for a pass")
	}
	r.Tasks[0].State, r.Tasks[0].Cause = wire.Exited, wire.CauseDone
	r.Seq++
	if b.Report(r, b.now, true); !b.Stirred() {
		t.Error("the end of a task asks for no pass")
	}
}
