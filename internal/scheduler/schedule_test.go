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

// Random jobs are placed on random machines. Naive checks then verify that every constraint holds
// and that no task waits that would fit on a machine.
func TestPlacementMeetsConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		harness := newPartitionHarness()
		for i := range rapid.IntRange(1, 6).Draw(t, "machines") {
			addDrawnMachine(t, harness, fmt.Sprintf("m-%d", i))
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			harness.addJob(drawJob(t, fmt.Sprintf("req-%d", i)))
		}
		harness.scheduleUntilStable()

		for _, job := range harness.jobs {
			checkMachinesAllowed(t, job)
			checkZoneConstraints(t, job)
			checkGangAllOrNone(t, job)
		}
		used := harness.usedByMachine()
		checkCapacity(t, harness, used)
		checkTeamLimit(t, harness)
		for _, job := range harness.jobs {
			checkNoFittingTaskWaits(t, harness, job, used)
		}
	})
}

func addDrawnMachine(t *rapid.T, harness *partitionHarness, id string) {
	machineType := rapid.SampledFrom([]string{"cpu", "gpu"}).Draw(t, "type")
	zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
	spot := rapid.Bool().Draw(t, "spot")
	harness.addMachine(id, machineType, zone, spot)
}

func drawJob(t *rapid.T, id string) wire.Job {
	tasks := rapid.IntRange(1, 9).Draw(t, "tasks")
	cpus := rapid.IntRange(1, 5).Draw(t, "cpus")
	job := newArrayJob(id, tasks, float64(cpus))
	job.GPUs = float64(rapid.IntRange(0, 2).Draw(t, "gpus"))
	job.Team = rapid.SampledFrom([]string{"limited", "sure", "free"}).Draw(t, "team")
	job.AllowSpot = rapid.Bool().Draw(t, "spot")
	job.SingleZone = rapid.Bool().Draw(t, "single zone")
	job.SpreadZones = !job.SingleZone && rapid.Bool().Draw(t, "spread")
	if rapid.Bool().Draw(t, "gang") {
		job.Shape = wire.GangJob
	}
	if rapid.Bool().Draw(t, "typed") {
		job.MachineTypes = []string{"gpu"}
	}
	job.Priority = rapid.SampledFrom([]wire.Priority{"idle", "standard"}).Draw(t, "priority")
	return job
}

// scheduleUntilStable repeats the scheduling cycle until capacityVersion stays the same, since
// placing or stopping tasks can make capacity available to others.
func (h *partitionHarness) scheduleUntilStable() {
	for before := -1; before != h.capacityVersion; {
		before = h.capacityVersion
		h.Schedule(h.now)
	}
}

// usedByMachine returns the sum of the resources that placements request on each machine.
func (h *partitionHarness) usedByMachine() map[string]resource.Vector {
	used := map[string]resource.Vector{}
	for _, job := range h.jobs {
		for _, placement := range job.placements {
			id := placement.machine.ID
			used[id] = used[id].Add(resource.TaskRequest(job.Job))
		}
	}
	return used
}

// usedByTeam returns the sum of the resources that placements of each team's jobs request.
func (h *partitionHarness) usedByTeam() map[string]resource.Vector {
	used := map[string]resource.Vector{}
	for _, job := range h.jobs {
		for range job.placements {
			used[job.Team] = used[job.Team].Add(resource.TaskRequest(job.Job))
		}
	}
	return used
}

func checkMachinesAllowed(t *rapid.T, job *Job) {
	t.Helper()
	for _, placement := range job.placements {
		record := placement.machine.Record
		if record.Spot && !job.AllowSpot {
			t.Fatalf("job %s, which does not allow spot instances, is placed on spot instance %s", job.ID, placement.machine.ID)
		}
		if len(job.MachineTypes) > 0 && record.MachineType != "gpu" {
			t.Fatalf("job %s is placed on %s of type %s, want type gpu", job.ID, placement.machine.ID, record.MachineType)
		}
	}
}

func checkZoneConstraints(t *rapid.T, job *Job) {
	t.Helper()
	zones := map[string]int{}
	for _, placement := range job.placements {
		zones[placement.machine.Record.Zone]++
	}
	if job.SingleZone && len(zones) > 1 {
		t.Fatalf("single-zone job %s has tasks in several zones: %v", job.ID, zones)
	}
	for zone, tasks := range zones {
		if job.SpreadZones && tasks > (job.TaskCount+1)/2 {
			t.Fatalf("job %s, which is spread over zones, has %d of %d tasks in zone %s, want at most half, rounded up", job.ID, tasks, job.TaskCount, zone)
		}
	}
}

func checkGangAllOrNone(t *rapid.T, job *Job) {
	t.Helper()
	placed := len(job.placements)
	if job.IsGang() && placed != 0 && placed != job.TaskCount {
		t.Fatalf("gang %s has %d of %d tasks placed, want all or none", job.ID, placed, job.TaskCount)
	}
}

func checkCapacity(t *rapid.T, harness *partitionHarness, used map[string]resource.Vector) {
	t.Helper()
	for id, request := range used {
		if capacity := harness.machines.get(id).capacity; !capacity.Contains(request) {
			t.Fatalf("machine %s has capacity %v, but its placements request %v", id, capacity, request)
		}
	}
}

func checkTeamLimit(t *rapid.T, harness *partitionHarness) {
	t.Helper()
	if used := harness.usedByTeam()["limited"]; used.CPUs > 10 || used.GPUs > 3 {
		t.Fatalf("team limited uses %v, want at most 10 CPUs and 3 GPUs", used)
	}
}

// checkNoFittingTaskWaits checks that no task of the job waits while it fits on a machine. It skips
// jobs whose tasks must be placed with regard to each other.
func checkNoFittingTaskWaits(t *rapid.T, harness *partitionHarness, job *Job, used map[string]resource.Vector) {
	t.Helper()
	request := resource.TaskRequest(job.Job)
	if job.waitingTasks == 0 || job.IsGang() || job.SingleZone || job.SpreadZones {
		return
	}
	if !harness.team(job.Team).WithinLimit(request) {
		return
	}
	for _, machine := range harness.machines.all() {
		if machine.reservedFor != "" && machine.reservedFor != job.ID {
			continue
		}
		free := machine.capacity.Sub(used[machine.ID])
		if free.Contains(request) && leavesGPUSetAside(job, machine, free) && machineAllowed(job.Job, machine) {
			t.Fatalf("a task of job %s is waiting although it fits on machine %s", job.ID, machine.ID)
		}
	}
}

// Two jobs each need the whole of the only machine. The one whose image is cached precedes the
// other, which would occupy the machine while it fetches its image, unless the other has waited
// much longer.
func TestJobWithCachedImageGoesFirstUntilAgePrevails(t *testing.T) {
	wholeMachineJob := func(id, image string) wire.Job {
		job := newArrayJob(id, 1, 16)
		job.GPUs, job.Image, job.ImageGB = 4, image, 20
		return job
	}
	for _, c := range []struct {
		headStart time.Duration // how much older the job is whose image is not cached
		want      string
	}{
		{time.Second, "req-3"},
		{10 * time.Minute, "req-2"},
	} {
		harness := newPartitionHarness()
		harness.addMachine("m-1", "gpu", "a", false)
		harness.addJob(wholeMachineJob("req-1", "x"))
		harness.scheduleAndCommit()
		harness.sendHeartbeat("m-1")
		harness.addJob(wholeMachineJob("req-2", "y"))
		harness.now = harness.now.Add(c.headStart)
		harness.addJob(wholeMachineJob("req-3", "x"))
		harness.setTaskExited("m-1", "req-1/0", 1, wire.ExitDone)
		harness.sendHeartbeat("m-1")
		harness.Schedule(harness.now)
		for _, id := range []string{"req-2", "req-3"} {
			placed := len(harness.jobs[id].placements) == 1
			if placed != (id == c.want) {
				t.Errorf("with req-2 older by %v: %s placed: got %v, want the opposite", c.headStart, id, placed)
			}
		}
	}
}

// A job that fails on several machines is delayed and does not count as demand meanwhile. The
// failures of a single job must not make machines count as unhealthy.
func TestJobThatFailsEverywhereBacksOff(t *testing.T) {
	harness := newPartitionHarness()
	for i := range 4 {
		harness.addMachine(fmt.Sprintf("m-%d", i), "cpu", "a", false)
	}
	harness.addJob(newArrayJob("req-1", 1, 1))
	for range 2 {
		harness.scheduleAndCommit()
		for _, placement := range sortedPlacements(harness.jobs["req-1"]) {
			id := placement.machine.ID
			harness.sendHeartbeat(id)
			harness.setTaskExited(id, "req-1/0", placement.attempt, wire.ExitError)
			harness.sendHeartbeat(id)
		}
	}
	harness.Schedule(harness.now)
	if len(harness.jobs["req-1"].placements) != 0 || len(harness.Summary(harness.now).Waiting) != 0 {
		t.Fatal("failed job req-1 is placed or counted as demand before its delay has passed")
	}
	for id, digest := range harness.Summary(harness.now).MachineDigests {
		if digest&records.DigestUnhealthy != 0 {
			t.Fatalf("machine %s counts as unhealthy after the failures of a single job", id)
		}
	}
	harness.now = harness.now.Add(time.Minute)
	for i := range 4 {
		harness.sendHeartbeat(fmt.Sprintf("m-%d", i))
	}
	harness.Schedule(harness.now)
	if len(harness.jobs["req-1"].placements) != 1 {
		t.Fatal("failed job req-1 is not placed after its delay has passed")
	}
}
