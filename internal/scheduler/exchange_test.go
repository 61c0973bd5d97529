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

// These helpers write and check the files of TestProductionExchange. In the production version,
// testdata/production_exchange_test.go.txt runs the same jobs on the same machines. It must use the
// same encoding of exchange.

// exchange contains the records that one version has stored, and its state in memory.
type exchange struct {
	Values    map[string]wire.Raw    `cbor:"Keys"`
	Revisions map[string]uint64      `cbor:"Stamps"`
	Jobs      map[string]exchangeJob `cbor:"Jobs"`
}

// exchangeJob is a job's state in memory.
type exchangeJob struct {
	DoneTasks      int            `cbor:"Done"`
	WaitingTasks   int            `cbor:"Waiting"`
	HighestAttempt uint64         `cbor:"Try"`
	Placements     map[int]string `cbor:"Live"` // by task: machine, attempt, incarnation
}

const (
	exchangeRounds       = 25
	exchangeJournalSlots = 16 // small, so that chunks are compacted
)

var exchangeMachines = []string{"m-1", "m-2", "m-3", "m-4"}

// exchangeGroup is the record of a machine group that each version stores.
var exchangeGroup = records.MachineGroupRecord{Machines: map[string]records.MachineRecord{
	"m-1": {MachineType: "cpu", Zone: "a", Partition: 0, CreatedAtMS: 5, FencingToken: 7},
}}

// exchangeJobs returns the states of a partition's jobs by job ID.
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

// newExchangeHarness returns a partition with the machines in exchangeMachines.
func newExchangeHarness() *partitionHarness {
	harness := newPartitionHarness()
	for _, id := range exchangeMachines {
		harness.addMachine(id, "cpu", "a", false)
	}
	return harness
}

// writeExchange runs jobs until chunks have been compacted, and writes the stored records and the
// jobs' states to a file.
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

// submitExchangeJobs submits job arrays whose records have the initial format.
func submitExchangeJobs(harness *partitionHarness, store *fakeStore) {
	for n := range 5 {
		job := newArrayJob(fmt.Sprintf("req-%d", n), 150+50*n, 0.5)
		job.MachineTypes = []string{"cpu"}
		job.DeadlineS = 5000
		job.SpreadZones = n == 3
		store.submit(harness, &job, records.FeatureInitialFormat)
	}
}

// reportExchangeRound reports the end of a third of the workers' tasks, except in the last round.
func reportExchangeRound(harness *partitionHarness, round int) {
	causes := []wire.ExitCause{wire.ExitDone, wire.ExitStopped}
	for i, id := range exchangeMachines {
		harness.sendHeartbeat(id)
		harness.sendHeartbeat(id)
		for n, key := range sortedTaskAttempts(harness.machines.get(id).placements) {
			if round < exchangeRounds-1 && (n+i+round)%3 == 0 {
				harness.setTaskExited(id, key.task, key.attempt, causes[n%len(causes)])
			}
		}
		harness.sendHeartbeat(id)
	}
}

// readExchange reads the file that another version has written. It fails the test if the file has
// fewer than two jobs or no compacted chunk, since a comparison would then show little.
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
		t.Fatalf("file of the other version has %d jobs, want at least 2", len(stored.Jobs))
	}
	compacted := 0
	for key := range stored.Values {
		if strings.HasPrefix(key, "a/") && !strings.HasSuffix(key, "/0") {
			compacted++
		}
	}
	if compacted == 0 {
		t.Fatal("only first chunks have records in the file of the other version, want at least one other chunk")
	}
	return &stored
}

// checkExchange restores a partition from the records that another version has stored, and compares
// the jobs' states.
func checkExchange(t *testing.T, file string) {
	t.Helper()
	stored := readExchange(t, file)
	for key, value := range stored.Values {
		checkRecordDecodes(t, key, value)
	}
	harness := newExchangeHarness()
	restore(t, harness, stored.Values, stored.Revisions)
	if got := exchangeJobs(harness); !reflect.DeepEqual(got, stored.Jobs) {
		t.Errorf("jobs restored from the records of the other version: got %+v\nwant %+v", got, stored.Jobs)
	}
}

// checkRecordDecodes checks that a record that is not part of a partition's state can be decoded.
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
			t.Errorf("decoded machine group %+v, error %v; want the record of m-1 in exchangeGroup", group, err)
		}
		return
	default:
		return
	}
	if err := wire.Unmarshal(value, record); err != nil {
		t.Errorf("decoding the value of key %s: %v", key, err)
	}
}
