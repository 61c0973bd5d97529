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

// emptyMachine returns a running on-demand machine without tasks.
func emptyMachine() Machine {
	return Machine{ID: "m-1", Offering: Offering{MachineType: "cpu", Zone: "a"}, Empty: true, Booted: true}
}

// gpuFleet is a fleet of GPU machines and its load: allocated capacity, and waiting tasks, each of
// which takes a fraction of a machine.
type gpuFleet struct {
	machines        int
	booting         int     // how many of the machines are booting
	allocated       float64 // allocated capacity, in machines
	tasksPerMachine int
	waitingTasks    int
}

// drawGPUFleet draws a fleet of up to 6 machines and 20 waiting tasks.
func drawGPUFleet(t *rapid.T) gpuFleet {
	machines := rapid.IntRange(0, 6).Draw(t, "machines")
	booting := rapid.IntRange(0, machines).Draw(t, "booting")
	return gpuFleet{
		machines:        machines,
		booting:         booting,
		allocated:       rapid.Float64Range(0, float64(machines-booting)).Draw(t, "allocated"),
		tasksPerMachine: rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "tasks in a machine"),
		waitingTasks:    rapid.IntRange(0, 20).Draw(t, "waiting"),
	}
}

// input returns the fleet as the leader passes it to the autoscaler.
func (f gpuFleet) input() Input {
	summary := records.PartitionSummary{
		AllocatedMachines: map[string]float64{"gpu": f.allocated},
		AllocatedOnDemand: map[string]float64{"gpu": f.allocated},
	}
	if f.waitingTasks > 0 {
		summary.Waiting = []records.Demand{{
			GPUs:          4 / float64(f.tasksPerMachine),
			CPUs:          1,
			MemoryGB:      1,
			Tasks:         f.waitingTasks,
			EstimatedRunS: 1000,
		}}
	}
	input := Input{
		MachineTypes: testTypes[1:],
		Summaries:    map[int]records.PartitionSummary{0: summary},
	}
	for i := range f.machines {
		input.Machines = append(input.Machines, Machine{
			ID:       fmt.Sprint(i),
			Offering: Offering{MachineType: "gpu", Zone: "a", Spot: false},
			Booted:   i >= f.booting,
		})
	}
	return input
}

// target computes the target number of machines from the in-flight term and the queue term.
func (f gpuFleet) target(inFlightTarget float64) int {
	target := int(math.Ceil(f.allocated/inFlightTarget - 1e-6))
	neededByQueue := (f.waitingTasks + f.tasksPerMachine - 1) / f.tasksPerMachine
	if missing := neededByQueue - f.booting; missing > 0 {
		target = max(target, f.machines+missing)
	}
	return target
}

// For equal tasks and one machine type, the target of Plan must equal the larger of the
// in-flight term and, if tasks need additional machines, machines + queue term.
func TestPlanMatchesTargetFormula(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tunables := tuning.Default()
		tunables.InFlightTarget = rapid.SampledFrom([]float64{0.8, 1}).Draw(t, "target")
		fleet := drawGPUFleet(t)
		plan := New(&tunables).Plan(fleet.input(), time.Unix(0, 0))
		want := fleet.target(tunables.InFlightTarget)
		if plan.TargetMachines["gpu"] != want {
			t.Fatalf("target of type gpu: got %d machines, want %d", plan.TargetMachines["gpu"], want)
		}
		rented := 0
		for _, rental := range plan.Rentals {
			rented += rental.Count
		}
		if rented != max(0, want-fleet.machines) {
			t.Fatalf("rented %d machines with %d existing and a target of %d, want max(0, target - existing)", rented, fleet.machines, want)
		}
	})
}

// A rental must be planned for a gang that must be spread over zones, even if a single empty
// machine has the capacity for all of its tasks. Otherwise the gang would wait forever.
func TestPlanSpreadsGangOverZones(t *testing.T) {
	tunables := tuning.Default()
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
	plan := New(&tunables).Plan(input, time.Unix(0, 0))
	if len(plan.Rentals) != 1 || plan.Rentals[0].Offering.Zone != "b" {
		t.Fatalf("rentals for a gang with at most 2 tasks per zone and an empty machine in zone a: got %+v, want one in zone b", plan.Rentals)
	}
}

// Empty machines must be returned only after the surplus has lasted for GiveBackS.
func TestScaleInWaitsForLastingSurplus(t *testing.T) {
	tunables := tuning.Default()
	scaler := New(&tunables)
	input := Input{
		MachineTypes: testTypes,
		Machines:     []Machine{emptyMachine()},
		Summaries:    map[int]records.PartitionSummary{0: {}},
	}
	now := time.Unix(0, 0)
	if p := scaler.Plan(input, now); len(p.Returns) != 0 {
		t.Fatal("first plan with a surplus: got machines returned, want none")
	}
	if p := scaler.Plan(input, now.Add(tuning.Seconds(tunables.GiveBackS-1))); len(p.Returns) != 0 {
		t.Fatal("plan 1 s before the surplus has lasted for GiveBackS: got machines returned, want none")
	}
	if p := scaler.Plan(input, now.Add(tuning.Seconds(tunables.GiveBackS))); len(p.Returns) != 1 {
		t.Fatal("plan after the surplus has lasted for GiveBackS: number of returned machines is not 1")
	}
}

// planAfterLastingSurplus computes two plans for the same input, GiveBackS apart, and returns the
// second.
func planAfterLastingSurplus(input Input) Plan {
	tunables := tuning.Default()
	scaler := New(&tunables)
	start := time.Unix(0, 0)
	scaler.Plan(input, start)
	return scaler.Plan(input, start.Add(tuning.Seconds(tunables.GiveBackS)))
}

// On-demand machines cost more than spot instances, so they must be returned first, except those
// needed by jobs that do not allow spot instances.
func TestScaleInReturnsOnDemandMachinesFirst(t *testing.T) {
	onDemand := Offering{MachineType: "cpu", Zone: "a"}
	spot := Offering{MachineType: "cpu", Zone: "a", Spot: true}
	machines := []Machine{
		{ID: "spot-1", Offering: spot, Empty: true, Booted: true},
		{ID: "demand-1", Offering: onDemand, Empty: true, Booted: true},
		{ID: "demand-2", Offering: onDemand, Empty: true, Booted: true},
	}
	for _, test := range []struct {
		name              string
		allocated         float64
		allocatedOnDemand float64
		want              []string
	}{
		{name: "nothing allocated", want: []string{"demand-1", "demand-2", "spot-1"}},
		{name: "spot work allocated", allocated: 1, want: []string{"demand-1", "demand-2"}},
		{name: "on-demand work allocated", allocated: 1, allocatedOnDemand: 1, want: []string{"demand-1", "spot-1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			summary := records.PartitionSummary{
				AllocatedMachines: map[string]float64{"cpu": test.allocated},
				AllocatedOnDemand: map[string]float64{"cpu": test.allocatedOnDemand},
			}
			plan := planAfterLastingSurplus(Input{
				MachineTypes: testTypes,
				Machines:     machines,
				Summaries:    map[int]records.PartitionSummary{0: summary},
			})
			if !slices.Equal(plan.Returns, test.want) {
				t.Errorf("returned machines: got %q, want %q", plan.Returns, test.want)
			}
		})
	}
}

// Guards against a machine that is rented once more in each round for the same waiting tasks while
// the cloud has not answered their recorded rental.
func TestPlanDoesNotRepeatPendingRental(t *testing.T) {
	demand := records.Demand{
		CPUs:          8,
		MemoryGB:      1,
		Tasks:         3,
		EstimatedRunS: 1000,
	}
	input := Input{
		MachineTypes: testTypes,
		Summaries:    map[int]records.PartitionSummary{0: {Waiting: []records.Demand{demand}}},
	}
	tunables := tuning.Default()
	scaler := New(&tunables)
	now := time.Unix(0, 0)
	for round := range 10 {
		plan := scaler.Plan(input, now)
		now = now.Add(tuning.Seconds(tunables.RoundS))
		for _, rental := range plan.Rentals {
			for range rental.Count {
				input.PendingRentals = append(input.PendingRentals, Machine{Offering: rental.Offering, Partition: rental.Partition})
			}
		}
		if rented := len(input.PendingRentals); rented != demand.Tasks {
			t.Fatalf("round %d, no rental answered: got %d machines rented, want %d for %d tasks that fill a machine each", round, rented, demand.Tasks, demand.Tasks)
		}
	}
}
