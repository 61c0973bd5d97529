package autoscaler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"

	"pgregory.net/rapid"
)

var testTypes = []wire.MachineType{
	{
		Name:             "cpu",
		CPUs:             8,
		MemoryGB:         32,
		ImageFetchGBPerS: 1,
		HourlyPrice:      1,
		HourlySpotPrice:  0.4,
		BootS:            30,
		Zones:            []string{"a", "b"},
	},
	{
		Name:             "gpu",
		CPUs:             16,
		GPUs:             4,
		MemoryGB:         64,
		ImageFetchGBPerS: 1,
		HourlyPrice:      8,
		HourlySpotPrice:  3,
		BootS:            40,
		Zones:            []string{"a", "b"},
	},
}

// emptyMachine returns an on-demand machine that runs and has no tasks.
func emptyMachine() Machine {
	return Machine{ID: "m-1", Offering: Offering{MachineType: "cpu", Zone: "a"}, Empty: true, Running: true}
}

// Plan agrees with the two terms written down plainly, for alike tasks of one machine type.
func TestPlanMatchesNaiveFormula(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tune := tuning.Default()
		tune.InFlightTarget = rapid.SampledFrom([]float64{0.8, 1}).Draw(t, "target")
		have := rapid.IntRange(0, 6).Draw(t, "machines")
		booting := rapid.IntRange(0, have).Draw(t, "booting")
		booked := rapid.Float64Range(0, float64(have-booting)).Draw(t, "booked")
		per := rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "tasks in a machine")
		waiting := rapid.IntRange(0, 20).Draw(t, "waiting")
		input := Input{MachineTypes: testTypes[1:], Summaries: map[int]records.PartitionSummary{}}
		summary := records.PartitionSummary{
			BookedMachines: map[string]float64{"gpu": booked},
			BookedOnDemand: map[string]float64{"gpu": booked},
		}
		for i := range have {
			input.Machines = append(input.Machines, Machine{
				ID:       fmt.Sprint(i),
				Offering: Offering{MachineType: "gpu", Zone: "a", Spot: false},
				Running:  i >= booting,
			})
		}
		if waiting > 0 {
			summary.Waiting = []records.Demand{{
				GPUs:          4 / float64(per),
				CPUs:          1,
				MemoryGB:      1,
				Tasks:         waiting,
				EstimatedRunS: 1000,
			}}
		}
		input.Summaries[0] = summary
		p := New(&tune).Plan(input, time.Unix(0, 0))
		want := int(math.Ceil(booked/tune.InFlightTarget - 1e-6))
		if short := (waiting+per-1)/per - booting; short > 0 {
			want = max(want, have+short)
		}
		if p.TargetMachines["gpu"] != want {
			t.Fatalf("target %d, want %d", p.TargetMachines["gpu"], want)
		}
		rented := 0
		for _, r := range p.Rentals {
			rented += r.Count
		}
		if rented != max(0, want-have) {
			t.Fatalf("%d rented with %d there for a target of %d", rented, have, want)
		}
	})
}

// A gang that must be spread over zones waited for ever when one machine had the capacity
// for all of it.
func TestPlanSpreadsGangOverZones(t *testing.T) {
	tune := tuning.Default()
	gang := records.Demand{
		CPUs:          1,
		MemoryGB:      1,
		Tasks:         4,
		Gang:          true,
		MaxPerZone:    2,
		EstimatedRunS: 60,
	}
	input := Input{
		MachineTypes: testTypes,
		Machines:     []Machine{emptyMachine()},
		Summaries:    map[int]records.PartitionSummary{0: {Waiting: []records.Demand{gang}}},
	}
	p := New(&tune).Plan(input, time.Unix(0, 0))
	if len(p.Rentals) != 1 || p.Rentals[0].Offering.Zone != "b" {
		t.Fatalf("rentals %+v", p.Rentals)
	}
}

// Empty machines are returned only once the surplus has lasted for GiveBackS.
func TestScaleInWaitsForLastingSurplus(t *testing.T) {
	tune := tuning.Default()
	sizer := New(&tune)
	input := Input{
		MachineTypes: testTypes,
		Machines:     []Machine{emptyMachine()},
		Summaries:    map[int]records.PartitionSummary{0: {}},
	}
	now := time.Unix(0, 0)
	if p := sizer.Plan(input, now); len(p.Returns) != 0 {
		t.Fatal("returned at once")
	}
	if p := sizer.Plan(input, now.Add(tuning.Seconds(tune.GiveBackS-1))); len(p.Returns) != 0 {
		t.Fatal("returned before the surplus had lasted")
	}
	if p := sizer.Plan(input, now.Add(tuning.Seconds(tune.GiveBackS))); len(p.Returns) != 1 {
		t.Fatal("not returned")
	}
}

// planAfterSurplus returns the second of two plans between which a surplus has lasted.
func planAfterSurplus(input Input) Plan {
	tune := tuning.Default()
	sizer := New(&tune)
	start := time.Unix(0, 0)
	sizer.Plan(input, start)
	return sizer.Plan(input, start.Add(tuning.Seconds(tune.GiveBackS)))
}

// On-demand machines are dearer than spot machines and are returned first, except as many
// as the jobs need that may not use spot machines.
func TestScaleInReturnsOnDemandMachinesFirst(t *testing.T) {
	onDemand := Offering{MachineType: "cpu", Zone: "a"}
	spot := Offering{MachineType: "cpu", Zone: "a", Spot: true}
	machines := []Machine{
		{ID: "spot-1", Offering: spot, Empty: true, Running: true},
		{ID: "demand-1", Offering: onDemand, Empty: true, Running: true},
		{ID: "demand-2", Offering: onDemand, Empty: true, Running: true},
	}
	for _, test := range []struct {
		name           string
		booked         float64
		bookedOnDemand float64
		want           []string
	}{
		{name: "nothing booked", want: []string{"demand-1", "demand-2", "spot-1"}},
		{name: "spot work booked", booked: 1, want: []string{"demand-1", "demand-2"}},
		{name: "on-demand work booked", booked: 1, bookedOnDemand: 1, want: []string{"demand-1", "spot-1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			summary := records.PartitionSummary{
				BookedMachines: map[string]float64{"cpu": test.booked},
				BookedOnDemand: map[string]float64{"cpu": test.bookedOnDemand},
			}
			plan := planAfterSurplus(Input{
				MachineTypes: testTypes,
				Machines:     machines,
				Summaries:    map[int]records.PartitionSummary{0: summary},
			})
			if !slices.Equal(plan.Returns, test.want) {
				t.Errorf("returns %q, want %q", plan.Returns, test.want)
			}
		})
	}
}
