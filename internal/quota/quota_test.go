package quota

import (
	"testing"

	"ambersill/internal/config"
	"ambersill/internal/resource"
)

func TestRemainingTasksIsBoundedByLimits(t *testing.T) {
	limited := config.Team{MaxCPUs: 10, MaxGPUs: 3}
	for _, c := range []struct {
		name      string
		team      config.Team
		allocated resource.Vector
		request   resource.Vector
		want      int
	}{
		{"limited by CPUs", limited, resource.Vector{CPUs: 4}, resource.Vector{CPUs: 2}, 3},
		{"limited by GPUs", limited, resource.Vector{}, resource.Vector{CPUs: 1, GPUs: 1}, 3},
		{"used up", limited, resource.Vector{CPUs: 10}, resource.Vector{CPUs: 1}, 0},
		{"above the limit", limited, resource.Vector{CPUs: 14}, resource.Vector{CPUs: 1}, 0},
		{"no limit", config.Team{}, resource.Vector{CPUs: 100}, resource.Vector{CPUs: 1}, resource.Unlimited},
	} {
		team := Team{Team: c.team, Allocated: c.allocated}
		if got := team.RemainingTasks(c.request); got != c.want {
			t.Errorf("%s: remaining tasks: got %d, want %d", c.name, got, c.want)
		}
	}
}

func TestWithinGuarantee(t *testing.T) {
	for _, c := range []struct {
		name    string
		team    config.Team
		request resource.Vector
		want    bool
	}{
		{"no guarantee", config.Team{}, resource.Vector{CPUs: 1}, false},
		{"within its CPUs", config.Team{CPUs: 4}, resource.Vector{CPUs: 4}, true},
		{"beyond its CPUs", config.Team{CPUs: 4}, resource.Vector{CPUs: 5}, false},
		{"GPUs without a GPU guarantee", config.Team{CPUs: 4}, resource.Vector{CPUs: 1, GPUs: 1}, false},
		{"any CPUs with only GPUs guaranteed", config.Team{GPUs: 2}, resource.Vector{CPUs: 50, GPUs: 2}, true},
		{"beyond its GPUs", config.Team{GPUs: 2}, resource.Vector{CPUs: 1, GPUs: 3}, false},
	} {
		team := Team{Team: c.team}
		if got := team.WithinGuarantee(c.request); got != c.want {
			t.Errorf("%s: within the guarantee: got %v, want %v", c.name, got, c.want)
		}
	}
}
