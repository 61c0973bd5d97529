package scheduler

import (
	"fmt"
	"testing"

	"ambersill/internal/wire"
)

// Guards against machines that are rented for work that a team's limit does not allow: each waiting
// job was compared with the limit by itself, and not together with those before it.
func TestWaitingJobsTogetherStayWithinTeamLimit(t *testing.T) {
	harness := newPartitionHarness()
	for i := range 5 {
		job := newArrayJob(fmt.Sprintf("req-%d", i), 1, 4)
		job.Shape = wire.GangJob
		job.Team = "limited" // to 10 CPUs
		harness.addJob(job)
	}
	if waiting := harness.Summary(harness.now).Waiting; len(waiting) != 2 {
		t.Errorf("demands of waiting gangs with 4 CPUs each: got %d, want 2", len(waiting))
	}
}

// Guards against a job that is not rented for because an older one of its team waits for machines
// that are not available.
func TestWaitingJobDoesNotHideJobsForOtherMachines(t *testing.T) {
	harness := newPartitionHarness()
	for i, machineType := range []string{"gpu", "cpu"} {
		job := newArrayJob(fmt.Sprintf("req-%d", i), 1, 8)
		job.Team = "limited" // to 10 CPUs
		job.MachineTypes = []string{machineType}
		harness.addJob(job)
	}
	if waiting := harness.Summary(harness.now).Waiting; len(waiting) != 2 {
		t.Errorf("demands of two jobs for different machines: got %d, want 2", len(waiting))
	}
}

// Guards against small gangs that are not rented for because an older, large one of their team waits
// for more machines than are available.
func TestWaitingGangDoesNotHideSmallerGangs(t *testing.T) {
	harness := newPartitionHarness()
	for i, tasks := range []int{2, 1} {
		job := newArrayJob(fmt.Sprintf("req-%d", i), tasks, 4)
		job.Shape = wire.GangJob
		job.Team = "limited" // to 10 CPUs
		harness.addJob(job)
	}
	if waiting := harness.Summary(harness.now).Waiting; len(waiting) != 2 {
		t.Errorf("demands of a gang with 8 CPUs and one with 4: got %d, want 2", len(waiting))
	}
}

// Guards against a team for whose work no machines are rented while another team has a large backlog:
// teams were listed one after the other by name, as far as the summary had room.
func TestLargeBacklogDoesNotHideOtherTeams(t *testing.T) {
	harness := newPartitionHarness()
	cpusByTeam := map[string]float64{"free": 1, "sure": 2}
	for i := range 200 {
		for team, cpus := range cpusByTeam {
			job := newArrayJob(fmt.Sprintf("req-%s-%d", team, i), 1, cpus)
			job.Shape = wire.GangJob
			job.Team = team
			harness.addJob(job)
		}
	}
	demandsByCPUs := map[float64]int{}
	summary := harness.Summary(harness.now)
	for _, demand := range summary.Waiting {
		demandsByCPUs[demand.CPUs]++
	}
	if summary.OmittedTasks == 0 {
		t.Error("omitted tasks: got 0, want a backlog that does not fit into the summary")
	}
	for team, cpus := range cpusByTeam {
		if share := len(summary.Waiting) / len(cpusByTeam); demandsByCPUs[cpus] < share {
			t.Errorf("demands of team %s: got %d of %d, want at least %d", team, demandsByCPUs[cpus], len(summary.Waiting), share)
		}
	}
}

// Guards against a fleet that grows slowly beside a large backlog: the demand of most waiting gangs
// was left out of the summary.
func TestSummaryHasDemandOfAllWaitingGangs(t *testing.T) {
	const gangs = 250
	harness := newPartitionHarness()
	harness.layout.limits.WritesPerS = 50
	for i := range gangs {
		job := newArrayJob(fmt.Sprintf("req-%d", i), 2, 4)
		job.Shape = wire.GangJob
		harness.addJob(job)
	}
	tasks := 0
	for _, demand := range harness.Summary(harness.now).Waiting {
		tasks += demand.Tasks
	}
	if want := 2 * gangs; tasks != want {
		t.Errorf("waiting tasks in the summary: got %d, want %d", tasks, want)
	}
}
