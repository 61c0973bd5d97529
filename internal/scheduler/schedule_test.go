package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/resource"
	"ambersill/internal/wire"

	"pgregory.net/rapid"
)

// Placement against a naive check of every constraint, and of nothing being
// left waiting that would fit.
func TestPlacementAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		harness := newPartitionHarness()
		for i := range rapid.IntRange(1, 6).Draw(t, "machines") {
			typ := rapid.SampledFrom([]string{"cpu", "gpu"}).Draw(t, "type")
			harness.addMachine(fmt.Sprintf("m-%d", i), typ, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), rapid.Bool().Draw(t, "spot"))
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			job := newArrayJob(fmt.Sprintf("req-%d", i), rapid.IntRange(1, 9).Draw(t, "tasks"), float64(rapid.IntRange(1, 5).Draw(t, "cpus")))
			job.GPUs = float64(rapid.IntRange(0, 2).Draw(t, "gpus"))
			job.Team = rapid.SampledFrom([]string{"limited", "sure", "free"}).Draw(t, "team")
			job.AllowSpot, job.SingleZone = rapid.Bool().Draw(t, "spot"), rapid.Bool().Draw(t, "one zone")
			job.SpreadZones = !job.SingleZone && rapid.Bool().Draw(t, "spread")
			if rapid.Bool().Draw(t, "gang") {
				job.Shape = wire.GangJob
			}
			if rapid.Bool().Draw(t, "typed") {
				job.MachineTypes = []string{"gpu"}
			}
			job.Priority = rapid.SampledFrom([]wire.Priority{"idle", "standard"}).Draw(t, "rank")
			harness.addJob(job)
		}
		for was := -1; was != harness.capacityVersion; { // work that is placed or stopped can make room for others
			was = harness.capacityVersion
			harness.Schedule(harness.now)
		}
		used := map[string]resource.Vector{}
		teams := map[string]resource.Vector{}
		for _, job := range harness.jobs {
			zones := map[string]int{}
			for _, placement := range job.placements {
				used[placement.machine.ID] = used[placement.machine.ID].Add(resource.OfJob(job.Job))
				teams[job.Team] = teams[job.Team].Add(resource.OfJob(job.Job))
				zones[placement.machine.Record.Zone]++
				if placement.machine.Record.Spot && !job.AllowSpot || len(job.MachineTypes) > 0 && placement.machine.Record.MachineType != "gpu" {
					t.Fatalf("%s on %s", job.ID, placement.machine.ID)
				}
			}
			if job.SingleZone && len(zones) > 1 {
				t.Fatalf("%s in zones %v", job.ID, zones)
			}
			for z, n := range zones {
				if job.SpreadZones && n > (job.Tasks+1)/2 {
					t.Fatalf("%s has %d in zone %s", job.ID, n, z)
				}
			}
			if job.IsGang() && len(job.placements) != 0 && len(job.placements) != job.Tasks {
				t.Fatalf("%s has %d of %d", job.ID, len(job.placements), job.Tasks)
			}
		}
		for id, request := range used {
			if !harness.machines[id].capacity.Contains(request) {
				t.Fatalf("%s holds %v", id, request)
			}
		}
		if l := teams["limited"]; l.CPUs > 10 || l.GPUs > 3 {
			t.Fatalf("a team uses %v", l)
		}
		for _, job := range harness.jobs {
			request := resource.OfJob(job.Job)
			if job.waitingTasks == 0 || job.IsGang() || job.SingleZone || job.SpreadZones || !harness.team(job.Team).WithinLimit(request) {
				continue
			}
			for id, machine := range harness.machines {
				if left := machine.capacity.Sub(used[id]); left.Contains(request) && leavesGPUShare(job, machine, left) && machineAllowed(job.Job, machine) && (machine.reservedFor == "" || machine.reservedFor == job.ID) {
					t.Fatalf("a task of %s waits though it fits on %s", job.ID, id)
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
		harness := newPartitionHarness()
		harness.addMachine("m-1", "gpu", "a", false)
		whole := func(id, image string) wire.Job {
			job := newArrayJob(id, 1, 16)
			job.GPUs, job.Image, job.ImageGB = 4, image, 20
			return job
		}
		harness.addJob(whole("req-1", "x"))
		harness.Schedule(harness.now)
		harness.commitBatches()
		harness.sendHeartbeat("m-1")
		harness.addJob(whole("req-2", "y"))
		harness.now = harness.now.Add(c.head)
		harness.addJob(whole("req-3", "x"))
		harness.endTask("m-1", "req-1/0", 1, wire.ExitDone)
		harness.sendHeartbeat("m-1")
		harness.Schedule(harness.now)
		for _, id := range []string{"req-2", "req-3"} {
			if got := len(harness.jobs[id].placements) == 1; got != (id == c.want) {
				t.Errorf("%v older: %s placed: %v", c.head, id, got)
			}
		}
	}
}

// A job that fails everywhere backs off and is no demand; the machine is not
// blamed for a single job.
func TestJobThatFailsEverywhereBacksOff(t *testing.T) {
	harness := newPartitionHarness()
	for i := range 4 {
		harness.addMachine(fmt.Sprintf("m-%d", i), "cpu", "a", false)
	}
	harness.addJob(newArrayJob("req-1", 1, 1))
	for range 2 {
		harness.Schedule(harness.now)
		harness.commitBatches()
		for _, placement := range sortedPlacements(harness.jobs["req-1"]) {
			id := placement.machine.ID
			harness.sendHeartbeat(id)
			harness.endTask(id, "req-1/0", placement.attempt, wire.ExitError)
			harness.sendHeartbeat(id)
		}
	}
	harness.Schedule(harness.now)
	if len(harness.jobs["req-1"].placements) != 0 || len(harness.Summary(harness.now).Waiting) != 0 {
		t.Fatal("it is tried again at once, or counted as demand")
	}
	for id, n := range harness.Summary(harness.now).MachineDigests {
		if n&records.DigestUnhealthy == 0 {
			continue
		}
		t.Fatalf("%s is blamed", id)
	}
	harness.now = harness.now.Add(time.Minute)
	for i := range 4 {
		harness.sendHeartbeat(fmt.Sprintf("m-%d", i))
	}
	harness.Schedule(harness.now)
	if len(harness.jobs["req-1"].placements) != 1 {
		t.Fatal("it is not tried again later")
	}
}
