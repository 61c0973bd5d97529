package core

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/wire"
)

func serviceOf(id string, replicas int, cpus float64) wire.Job {
	return wire.Job{ID: id, Team: "free", Shape: wire.Service, Rank: "production", Tasks: replicas, CPUs: cpus, RAM: 1, Image: "i"}
}

// warned sends a report in which a machine has notice, and returns the commands.
func (b *bed) warned(id string) []wire.Command {
	b.seq[id]++
	notice := 10.0
	r := &wire.Report{Machine: id, Session: 1, Seq: b.seq[id], Token: b.machines[id].token, Notice: &notice}
	for _, t := range b.on[id] {
		r.Tasks = append(r.Tasks, t)
	}
	_, reply := b.Report(r, b.now, true)
	return reply.Commands
}

// A replica leaves a machine that is about to go while there is another for it, and stays
// to the end where there is none.
func TestReplicaLeavesAMachineWithNotice(t *testing.T) {
	b := newBed()
	b.machine("m-1", "cpu", "a", false)
	b.add(serviceOf("req-1", 1, 6))
	b.Schedule(b.now)
	b.commit()
	b.report("m-1") // started
	b.report("m-1") // shown as running
	if got := b.warned("m-1"); len(got) != 0 {
		t.Fatalf("with nowhere to go: %v", ops(got))
	}
	b.machine("m-2", "cpu", "a", false)
	got := b.warned("m-1")
	if len(got) != 1 || got[0].Op != wire.Stop {
		t.Fatalf("with room on another machine: %v", ops(got))
	}
}

// A service that waits is as many machine units as it has replicas: they do not follow one
// another in the same place, as short tasks do.
func TestServiceIsSizedByItsReplicas(t *testing.T) {
	b := newBed()
	b.add(serviceOf("req-1", 5, 8)) // a machine each
	in := FleetInput{Types: testTypes, Summaries: map[int]Summary{0: b.Summary(b.now)}}
	plan := NewFleet(b.t).Plan(in, b.now)
	rented := 0
	for _, r := range plan.Rentals {
		rented += r.Count
	}
	if rented != 5 {
		t.Errorf("%d machines for 5 replicas: %+v", rented, plan.Rentals)
	}
}

// A service that runs for long, and whose replicas end thousands of times, takes no more
// memory and no larger records than at first.
func TestLongLivedServiceStaysSmall(t *testing.T) {
	b := newBed()
	b.slots = make([]uint64, testRing)
	b.SetLevel(SizedChunks)
	b.machine("m-1", "cpu", "a", false)
	j := b.add(serviceOf("req-1", 4, 1))
	largest := 0
	for range 2000 {
		b.Schedule(b.now)
		for {
			x := b.Batch()
			if x.Empty() {
				break
			}
			for _, w := range x.Txn.Then {
				largest = max(largest, valueBytes(w.Value))
			}
			b.rev++
			b.Committed(x, b.rev)
		}
		b.report("m-1")
		b.report("m-1")
		for _, k := range sortedAttempts(b.machines["m-1"].places) {
			b.end("m-1", k.task, k.try, wire.CauseDone)
		}
		b.now = b.now.Add(10 * time.Minute)
		b.report("m-1")
		b.report("m-1")
	}
	m := b.machines["m-1"]
	if j.try < 1900 {
		t.Fatalf("%d attempts", j.try)
	}
	if j.done > 0 || len(j.restarts) > 4 || len(j.failedOn) > 1 || len(m.clearing) > 4 || len(m.places) > 4 || len(m.failures) > 1 {
		t.Errorf("kept: %d done, %d restarts, %d machines, %d clearances, %d placements, %d failures", j.done, len(j.restarts), len(j.failedOn), len(m.clearing), len(m.places), len(m.failures))
	}
	if largest > 1500 {
		t.Errorf("a record of %d bytes", largest)
	}
}

// All replicas together must be within the team's limit, for all run at the same time.
func TestServiceAboveItsTeamsLimitIsImpossible(t *testing.T) {
	s := testSettings()
	for replicas, possible := range map[int]bool{2: true, 3: false} {
		j := serviceOf("req-1", replicas, 4) // of 10 CPUs
		j.Team = "limited"
		if why := Impossible(&j, s, testTypes); (why == "") != possible {
			t.Errorf("%d replicas: %q", replicas, why)
		}
	}
}

// A state service that finds a commit invalid is offered smaller ones from then on.
func TestCommitsShrinkAfterAnInvalidOne(t *testing.T) {
	b := newBed()
	b.SetLevel(SizedChunks)
	for i := range 40 {
		b.machine(fmt.Sprintf("m-%d", i), "cpu", "a", false)
	}
	b.add(array("req-1", 300, 1))
	b.Schedule(b.now)
	before := b.Batch()
	b.LowerLimits()
	b.LowerLimits()
	after := b.Batch()
	for _, w := range after.Txn.Then {
		if n := valueBytes(w.Value); n > 2<<10 {
			t.Errorf("%s has %d bytes", w.Put, n)
		}
	}
	if n := valueBytes(before.Txn.Then[0].Value); n <= 2<<10 || len(after.Txn.Then) == 0 || len(after.Txn.Then) > 3 {
		t.Errorf("a value of %d bytes before, %d changes after", n, len(after.Txn.Then))
	}
}
