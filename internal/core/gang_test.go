package core

import (
	"strings"
	"testing"
	"time"

	"ambersill/internal/wire"
)

// A gang that loses a task is stopped whole, and begins anew under a new attempt
// only after the last of it is gone.
func TestGangStartsAnewOnlyWhenGone(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	b.machine("m-2", "cpu", "a", false)
	j := array("req-1", 2, 6)
	j.Shape = wire.Gang
	b.add(j)
	b.Schedule(b.now)
	b.commit()
	b.report("m-1")
	b.report("m-2")
	b.end("m-1", "req-1/0", 1, wire.CausePeers)
	b.report("m-1")
	b.Schedule(b.now)
	if n := len(b.jobs["req-1"].placed); n != 1 {
		t.Fatalf("%d tasks placed while the old attempt is on a machine", n)
	}
	b.report("m-2") // told to stop
	b.report("m-2") // gone
	b.Schedule(b.now)
	b.commit()
	for _, pl := range b.jobs["req-1"].placed {
		if pl.try != 2 {
			t.Fatalf("attempt %d", pl.try)
		}
	}
	if len(b.jobs["req-1"].placed) != 2 {
		t.Fatal("the gang is not placed again")
	}
}

// A gang that is stopped for others before any of its starts has left, two of its
// tasks on one machine, must not count as broken for ever: it was never run again.
func TestGangStoppedBeforeItsStartIsPlacedAgain(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	g := array("req-1", 2, 4)
	g.Shape, g.Rank = wire.Gang, "idle"
	b.add(g)
	b.Schedule(b.now)
	u := array("req-2", 1, 8)
	u.Rank = "urgent"
	b.add(u)
	b.Schedule(b.now)
	b.Schedule(b.now)
	b.commit()
	if got := ops(b.report("m-1")); len(got) != 1 || got[0] != "start req-2/0 1" {
		t.Fatalf("commands: %v", got)
	}
	b.end("m-1", "req-2/0", 1, wire.CauseDone)
	b.report("m-1")
	b.commit()
	b.Schedule(b.now)
	if n := len(b.jobs["req-1"].placed); n != 2 {
		t.Fatalf("%d tasks of the gang placed", n)
	}
}

// A gang whose first task has waited in vain while another fetches a large image must
// not be stopped whole: the fetch would be given up, and begin again with the next
// attempt, for ever.
func TestGangLetsFetchesEnd(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	b.machine("m-2", "cpu", "a", false)
	j := array("req-1", 2, 8)
	j.Shape, j.ImageGB = wire.Gang, 60
	b.add(j)
	show := func(id string, state wire.TaskState) {
		for k, x := range b.on[id] {
			x.State = state
			b.on[id][k] = x
		}
	}
	b.Schedule(b.now)
	b.commit()
	b.report("m-1")
	b.report("m-2")
	show("m-1", wire.WaitingGang)
	show("m-2", wire.Fetching)
	b.report("m-1")
	b.report("m-2")
	b.now = b.now.Add(35 * time.Second)
	for k := range b.on["m-1"] {
		b.end("m-1", k.task, k.try, wire.CauseIncomplete)
	}
	b.report("m-1")
	if got := ops(b.report("m-2")); len(got) != 0 {
		t.Fatalf("commands while the image is fetched: %v", got)
	}
	b.add(array("req-2", 1, 8)) // must not take the machine that is kept
	b.Schedule(b.now)
	b.commit()
	b.report("m-1")
	show("m-2", wire.WaitingGang)
	if got := ops(b.report("m-2")); len(got) != 1 || !strings.HasPrefix(got[0], "kill") {
		t.Fatalf("commands to the one that has its image now: %v", got)
	}
	b.report("m-2")
	b.Schedule(b.now)
	b.commit()
	if n := len(b.jobs["req-1"].placed); n != 2 || b.jobs["req-1"].try != 2 {
		t.Fatalf("%d tasks placed, attempt %d", n, b.jobs["req-1"].try)
	}
}

// The records of a gang's end may be half written when its owner ends. What is left of
// it can't be placed as a gang, so that the job had no end.
func TestGangDoneInPartIsDone(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	j := &wire.Job{ID: "req-000001", Class: "c", Team: "free", Shape: wire.Gang, Rank: "standard", Tasks: 3, CPUs: 1, RAM: 1, Image: "i", Estimate: 10}
	b.Load([]LoadedChunk{{Job: j.ID, Name: "0", Stamp: 50, Record: ChunkRecord{Job: j, Try: 1, Done: []int{0, 1},
		Live: []LiveRecord{{Task: 1, Try: 1, Machine: "m-lost", Session: 1}, {Task: 2, Try: 1, Machine: "m-1", Session: 1}}}}}, nil)
	b.Schedule(b.now)
	if x := b.Batch(); x.ended == nil || x.ended.ID != j.ID {
		t.Error("the job's end is not committed")
	}
	if n := len(b.machines["m-1"].places); n != 1 {
		t.Errorf("%d places booked where its worker has not reported yet", n)
	}
}
