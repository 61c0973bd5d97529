package scheduler

import (
	"fmt"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// The production version plays the same jobs, by testdata/production_exchange_test.go.txt; see
// TestProductionExchange. The two agree on the encoding of exchange, on the jobs and on the
// machines.

// exchange is what one version has stored, and the state that it has in memory.
type exchange struct {
	Values    map[string]wire.Raw    `cbor:"Keys"`
	Revisions map[string]uint64      `cbor:"Stamps"`
	Jobs      map[string]exchangeJob `cbor:"Jobs"`
}

// exchangeJob is a job's state.
type exchangeJob struct {
	DoneTasks      int            `cbor:"Done"`
	WaitingTasks   int            `cbor:"Waiting"`
	HighestAttempt uint64         `cbor:"Try"`
	Placements     map[int]string `cbor:"Live"` // machine, attempt and incarnation, by task
}

const (
	exchangeRounds       = 25
	exchangeJournalSlots = 16 // few, so that chunks are compacted
)

var exchangeMachines = []string{"m-1", "m-2", "m-3", "m-4"}

// exchangeGroup is the group of machines that each version stores.
var exchangeGroup = records.MachineGroupRecord{Machines: map[string]records.MachineRecord{
	"m-1": {MachineType: "cpu", Zone: "a", Partition: 0, CreatedAtMS: 5, FencingToken: 7},
}}

// exchangeJobs returns the state of a partition's jobs.
func exchangeJobs(harness *partitionHarness) map[string]exchangeJob {
	jobs := map[string]exchangeJob{}
	for id, job := range harness.jobs {
		state := exchangeJob{
			DoneTasks:      job.doneTasks,
			WaitingTasks:   job.waitingTasks,
			HighestAttempt: job.highestAttempt,
			Placements:     map[int]string{},
		}
		for task, placement := range job.placements {
			state.Placements[task] = fmt.Sprint(placement.machine.ID, " ", placement.attempt, " ", placement.incarnation)
		}
		jobs[id] = state
	}
	return jobs
}

// newExchangeHarness returns a partition with the machines of the exchange.
func newExchangeHarness() *partitionHarness {
	harness := newPartitionHarness()
	for _, id := range exchangeMachines {
		harness.addMachine(id, "cpu", "a", false)
	}
	return harness
}

// writeExchange plays jobs for long enough that chunks are compacted, and writes what is stored
// then to a file.
func writeExchange(t *testing.T, file string) {
	t.Helper()
	harness := newExchangeHarness()
	harness.journal.slotRevisions = make([]uint64, exchangeJournalSlots)
	store := newFakeStore(harness)
	submitExchangeJobs(harness, store)
	for round := range exchangeRounds {
		harness.Schedule(harness.now)
		store.commitAll(harness, math.MaxInt)
		reportExchangeRound(harness, round)
	}
	store.commitAll(harness, math.MaxInt)
	store.apply(wire.Txn{Writes: []wire.Write{
		{Put: "c/m/m-1", Value: exchangeGroup},
		{Put: "s/0", Value: harness.Summary(harness.now)},
		{Put: "c/h/r-1-1", Value: records.RentalRecord{MachineType: "cpu", Zone: "a", Count: 3, RecordedAtMS: 9}},
		{Put: "c/p/0", Value: records.OwnerRecord{Node: "n"}},
	}})
	raw, err := wire.Marshal(exchange{Values: store.values, Revisions: store.revisions, Jobs: exchangeJobs(harness)})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		t.Fatal(err)
	}
}

// submitExchangeJobs submits job arrays in the format below the feature level.
func submitExchangeJobs(harness *partitionHarness, store *fakeStore) {
	for n := range 5 {
		job := newArrayJob(fmt.Sprintf("req-%d", n), 150+50*n, 0.5)
		job.MachineTypes = []string{"cpu"}
		job.DeadlineS = 5000
		job.SpreadZones = n == 3
		store.submit(harness, &job, records.FeatureInitialFormat)
	}
}

// reportExchangeRound has the workers end a third of their tasks, except in the last round.
func reportExchangeRound(harness *partitionHarness, round int) {
	causes := []wire.ExitCause{wire.ExitDone, wire.ExitStopped}
	for i, id := range exchangeMachines {
		harness.sendHeartbeat(id)
		harness.sendHeartbeat(id)
		for n, key := range sortedTaskAttempts(harness.machines.get(id).placements) {
			if round < exchangeRounds-1 && (n+i+round)%3 == 0 {
				harness.endTask(id, key.task, key.attempt, causes[n%len(causes)])
			}
		}
		harness.sendHeartbeat(id)
	}
}

// readExchange reads what another version has written, with enough in it for a comparison.
func readExchange(t *testing.T, file string) *exchange {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var stored exchange
	if err := wire.Unmarshal(raw, &stored); err != nil {
		t.Fatal(err)
	}
	if len(stored.Jobs) < 2 {
		t.Fatalf("%d jobs", len(stored.Jobs))
	}
	compacted := 0
	for key := range stored.Values {
		if strings.HasPrefix(key, "a/") && !strings.HasSuffix(key, "/0") {
			compacted++
		}
	}
	if compacted == 0 {
		t.Fatal("no chunk but the first ones has a record")
	}
	return &stored
}

// checkExchange loads what another version has stored, and compares the jobs' states.
func checkExchange(t *testing.T, file string) {
	t.Helper()
	stored := readExchange(t, file)
	for key, value := range stored.Values {
		checkRecordDecodes(t, key, value)
	}
	harness := newExchangeHarness()
	restore(t, harness, stored.Values, stored.Revisions)
	if got := exchangeJobs(harness); !reflect.DeepEqual(got, stored.Jobs) {
		t.Errorf("read %+v\nwritten %+v", got, stored.Jobs)
	}
}

// checkRecordDecodes decodes a record that is not loaded into a partition.
func checkRecordDecodes(t *testing.T, key string, value wire.Raw) {
	t.Helper()
	var record any
	switch {
	case strings.HasPrefix(key, "j/"):
		record = &records.JobRecord{}
	case strings.HasPrefix(key, "s/"):
		record = &records.PartitionSummary{}
	case strings.HasPrefix(key, "c/h/"):
		record = &records.RentalRecord{}
	case strings.HasPrefix(key, "c/p/"):
		record = &records.OwnerRecord{}
	case strings.HasPrefix(key, "c/m/"):
		group, err := records.DecodeMachineGroup(key[len("c/m/"):], value, 1)
		if want := exchangeGroup.Machines["m-1"]; err != nil || group.Machines["m-1"] != want {
			t.Errorf("group %+v, %v", group, err)
		}
		return
	default:
		return
	}
	if err := wire.Unmarshal(value, record); err != nil {
		t.Errorf("%s: %v", key, err)
	}
}
