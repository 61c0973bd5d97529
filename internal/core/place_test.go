package core

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/wire"

	"pgregory.net/rapid"
)

// Placement against a naive check of every constraint, and of nothing being
// left waiting that would fit.
func TestPlacementAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBed()
		for i := range rapid.IntRange(1, 6).Draw(t, "machines") {
			typ := rapid.SampledFrom([]string{"cpu", "gpu"}).Draw(t, "type")
			b.machine(fmt.Sprintf("m-%d", i), typ, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), rapid.Bool().Draw(t, "spot"))
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			j := array(fmt.Sprintf("req-%d", i), rapid.IntRange(1, 9).Draw(t, "tasks"), float64(rapid.IntRange(1, 5).Draw(t, "cpus")))
			j.GPUs = float64(rapid.IntRange(0, 2).Draw(t, "gpus"))
			j.Team = rapid.SampledFrom([]string{"limited", "sure", "free"}).Draw(t, "team")
			j.Spot, j.OneZone = rapid.Bool().Draw(t, "spot"), rapid.Bool().Draw(t, "one zone")
			j.Spread = !j.OneZone && rapid.Bool().Draw(t, "spread")
			if rapid.Bool().Draw(t, "gang") {
				j.Shape = wire.Gang
			}
			if rapid.Bool().Draw(t, "typed") {
				j.Types = []string{"gpu"}
			}
			j.Rank = rapid.SampledFrom([]wire.Rank{"idle", "standard"}).Draw(t, "rank")
			b.add(j)
		}
		for was := -1; was != b.room; { // work that is placed or stopped can make room for others
			was = b.room
			b.Schedule(b.now)
		}
		used := map[string]Room{}
		teams := map[string]Room{}
		for _, j := range b.jobs {
			zones := map[string]int{}
			for _, pl := range j.placed {
				used[pl.machine.ID] = used[pl.machine.ID].add(need(j.Job))
				teams[j.Team] = teams[j.Team].add(need(j.Job))
				zones[pl.machine.Rec.Zone]++
				if pl.machine.Rec.Spot && !j.Spot || len(j.Types) > 0 && pl.machine.Rec.Type != "gpu" {
					t.Fatalf("%s on %s", j.ID, pl.machine.ID)
				}
			}
			if j.OneZone && len(zones) > 1 {
				t.Fatalf("%s in zones %v", j.ID, zones)
			}
			for z, n := range zones {
				if j.Spread && n > (j.Tasks+1)/2 {
					t.Fatalf("%s has %d in zone %s", j.ID, n, z)
				}
			}
			if j.Shape == wire.Gang && len(j.placed) != 0 && len(j.placed) != j.Tasks {
				t.Fatalf("%s has %d of %d", j.ID, len(j.placed), j.Tasks)
			}
		}
		for id, r := range used {
			if !b.machines[id].size.holds(r) {
				t.Fatalf("%s holds %v", id, r)
			}
		}
		if l := teams["limited"]; l.CPUs > 10 || l.GPUs > 3 {
			t.Fatalf("a team uses %v", l)
		}
		for _, j := range b.jobs {
			r := need(j.Job)
			if j.waiting == 0 || j.Shape == wire.Gang || j.OneZone || j.Spread || !b.team(j.Team).within(r) {
				continue
			}
			for id, m := range b.machines {
				if left := m.size.sub(used[id]); left.holds(r) && spare(j, m, left) && allowed(j.Job, m) && (m.reserved == "" || m.reserved == j.ID) {
					t.Fatalf("a task of %s waits though it fits on %s", j.ID, id)
				}
			}
		}
	})
}

// Of two jobs that would each fill the only machine, the one whose image is there
// goes first, for the other would hold the machine while it fetches; but age wins
// in the end.
func TestImageAtHandGoesFirst(t *testing.T) {
	for _, c := range []struct {
		head time.Duration // by which the job without its image is older
		want string
	}{{time.Second, "req-3"}, {10 * time.Minute, "req-2"}} {
		b := newBed()
		b.machine("m-1", "gpu", "a", false)
		whole := func(id, image string) wire.Job {
			j := array(id, 1, 16)
			j.GPUs, j.Image, j.ImageGB = 4, image, 20
			return j
		}
		b.add(whole("req-1", "x"))
		b.Schedule(b.now)
		b.commit()
		b.report("m-1")
		b.add(whole("req-2", "y"))
		b.now = b.now.Add(c.head)
		b.add(whole("req-3", "x"))
		b.end("m-1", "req-1/0", 1, wire.CauseDone)
		b.report("m-1")
		b.Schedule(b.now)
		for _, id := range []string{"req-2", "req-3"} {
			if got := len(b.jobs[id].placed) == 1; got != (id == c.want) {
				t.Errorf("%v older: %s placed: %v", c.head, id, got)
			}
		}
	}
}

// A job that fails everywhere backs off and is no demand; the machine is not
// blamed for a single job.
func TestJobThatFailsEverywhereBacksOff(t *testing.T) {
	b := newBed()
	for i := range 4 {
		b.machine(fmt.Sprintf("m-%d", i), "cpu", "a", false)
	}
	b.add(array("req-1", 1, 1))
	for range 2 {
		b.Schedule(b.now)
		b.commit()
		for _, pl := range placements(b.jobs["req-1"]) {
			id := pl.machine.ID
			b.report(id)
			b.end(id, "req-1/0", pl.try, wire.CauseError)
			b.report(id)
		}
	}
	b.Schedule(b.now)
	if len(b.jobs["req-1"].placed) != 0 || len(b.Summary(b.now).Waiting) != 0 {
		t.Fatal("it is tried again at once, or counted as demand")
	}
	for id, n := range b.Summary(b.now).Machines {
		if n&NoteBad == 0 {
			continue
		}
		t.Fatalf("%s is blamed", id)
	}
	b.now = b.now.Add(time.Minute)
	for i := range 4 {
		b.report(fmt.Sprintf("m-%d", i))
	}
	b.Schedule(b.now)
	if len(b.jobs["req-1"].placed) != 1 {
		t.Fatal("it is not tried again later")
	}
}

// Jobs that want the same machines share a part, and work without GPUs does not
// follow the GPUs.
func TestCompetingJobsShareAPart(t *testing.T) {
	for _, c := range []struct {
		name string
		j    wire.Job
		want int
	}{
		{"small", wire.Job{CPUs: 1}, 0},
		{"with a GPU", wire.Job{CPUs: 1, GPUs: 1}, 1},
		{"whole GPU machine", wire.Job{CPUs: 16, GPUs: 4}, 1},
		{"named type", wire.Job{CPUs: 1, Types: []string{"gpu"}}, 1},
		{"too large for the plain type", wire.Job{CPUs: 12}, 1},
	} {
		if got := Competes(&c.j, testTypes); got != c.want {
			t.Errorf("%s: %d", c.name, got)
		}
	}
}

func TestImpossibleJobs(t *testing.T) {
	s := testSettings()
	for _, c := range []struct {
		name string
		j    wire.Job
		ok   bool
	}{
		{"plain", wire.Job{Team: "free", Tasks: 9, CPUs: 1}, true},
		{"unknown team", wire.Job{Team: "none", Tasks: 1, CPUs: 1}, false},
		{"too large", wire.Job{Team: "free", Tasks: 1, CPUs: 17}, false},
		{"unknown type", wire.Job{Team: "free", Tasks: 1, CPUs: 1, Types: []string{"x"}}, false},
		{"unknown zone", wire.Job{Team: "free", Tasks: 1, CPUs: 1, Zone: "x"}, false},
		{"array beyond the limit by its sum", wire.Job{Team: "limited", Shape: wire.Array, Tasks: 9, CPUs: 5}, true},
		{"gang beyond the limit by its sum", wire.Job{Team: "limited", Shape: wire.Gang, Tasks: 3, CPUs: 5}, false},
		{"gang spread over one zone", wire.Job{Team: "free", Shape: wire.Gang, Tasks: 2, CPUs: 1, Spread: true, Zone: "a"}, false},
	} {
		if got := Impossible(&c.j, s, testTypes); (got == "") != c.ok {
			t.Errorf("%s: %q", c.name, got)
		}
	}
}
