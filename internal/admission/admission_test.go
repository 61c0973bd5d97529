package admission

import (
	"errors"
	"testing"

	"ambersill/internal/config"
	"ambersill/internal/wire"
)

var testTypes = []wire.MachineType{
	{Name: "cpu", CPUs: 8, MemoryGB: 32, Zones: []string{"a", "b"}},
	{Name: "gpu", CPUs: 16, GPUs: 4, MemoryGB: 64, Zones: []string{"a", "b"}},
}

func testSettings() *config.Settings {
	settings := &config.Settings{}
	settings.Cluster.Teams = []config.Team{
		{Name: "limited", MaxCPUs: 10, MaxGPUs: 3},
		{Name: "free"},
	}
	return settings
}

// Jobs that compete for the same machines must have the same primary type. A job without GPUs must
// have a primary type without GPUs, unless only types with GPUs fit it or are allowed.
func TestPrimaryMachineTypeIsSharedByCompetingJobs(t *testing.T) {
	for _, c := range []struct {
		name string
		job  wire.Job
		want int
	}{
		{"small", wire.Job{CPUs: 1}, 0},
		{"with a GPU", wire.Job{CPUs: 1, GPUs: 1}, 1},
		{"whole GPU machine", wire.Job{CPUs: 16, GPUs: 4}, 1},
		{"restricted to the GPU type", wire.Job{CPUs: 1, MachineTypes: []string{"gpu"}}, 1},
		{"too large for the type without GPUs", wire.Job{CPUs: 12}, 1},
	} {
		if got := PrimaryMachineType(&c.job, testTypes); got != c.want {
			t.Errorf("%s: primary machine type: got index %d, want %d", c.name, got, c.want)
		}
	}
}

func TestCheckRejectsInfeasibleJobs(t *testing.T) {
	settings := testSettings()
	for _, c := range []struct {
		name string
		job  wire.Job
		want error
	}{
		{"array", wire.Job{Team: "free", TaskCount: 9, CPUs: 1}, nil},
		{"unknown team", wire.Job{Team: "none", TaskCount: 1, CPUs: 1}, ErrUnknownTeam},
		{"too large", wire.Job{Team: "free", TaskCount: 1, CPUs: 17}, ErrNoMachineTypeFits},
		{"unknown type", wire.Job{Team: "free", TaskCount: 1, CPUs: 1, MachineTypes: []string{"x"}}, ErrNoMachineTypeFits},
		{"unknown zone", wire.Job{Team: "free", TaskCount: 1, CPUs: 1, Zone: "x"}, ErrNoMachineTypeFits},
		{"array that exceeds the limit in total", wire.Job{Team: "limited", Shape: wire.ArrayJob, TaskCount: 9, CPUs: 5}, nil},
		{"gang that exceeds the limit in total", wire.Job{Team: "limited", Shape: wire.GangJob, TaskCount: 3, CPUs: 5}, ErrTeamLimitExceeded},
		{"spread gang restricted to one zone", wire.Job{Team: "free", Shape: wire.GangJob, TaskCount: 2, CPUs: 1, SpreadZones: true, Zone: "a"}, ErrGangCannotBeSpread},
	} {
		if err := Check(&c.job, settings, testTypes); !errors.Is(err, c.want) {
			t.Errorf("%s: Check: got error %v, want %v", c.name, err, c.want)
		}
	}
}

// All replicas together must be within the team's limit, since they run at the same time.
func TestCheckRejectsServiceAboveItsTeamsLimit(t *testing.T) {
	settings := testSettings()
	for replicas, want := range map[int]error{2: nil, 3: ErrTeamLimitExceeded} {
		job := wire.Job{
			ID:        "req-1",
			Team:      "limited",
			Shape:     wire.ServiceJob,
			Priority:  "production",
			TaskCount: replicas,
			CPUs:      4,
			MemoryGB:  1,
			Image:     "i",
		}
		if err := Check(&job, settings, testTypes); !errors.Is(err, want) {
			t.Errorf("Check of %d replicas of 4 CPUs with a limit of 10: got error %v, want %v", replicas, err, want)
		}
	}
}

// The texts of the reasons are part of the responses sent to users and must not change.
func TestErrorTextsSentToUsers(t *testing.T) {
	for err, want := range map[error]string{
		ErrUnknownTeam:        "unknown team",
		ErrNoMachineTypeFits:  "a task fits no allowed machine type",
		ErrTeamLimitExceeded:  "more than the team's limit",
		ErrGangCannotBeSpread: "the gang can't be spread",
	} {
		if err.Error() != want {
			t.Errorf("error text sent to users: got %q, want %q", err, want)
		}
	}
}
