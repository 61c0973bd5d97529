package scheduler

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// The production version plays the same jobs, by testdata/production_exchange_test.go.txt,
// which is this file as that version names things; see TestProductionExchange.

// exchange is what one version has stored, and the state that it has in memory.
type exchange struct {
	Keys   map[string]wire.Raw
	Stamps map[string]uint64
	Jobs   map[string]exchangeJob
}

// exchangeJob is a job's state.
type exchangeJob struct {
	Done, Waiting int
	Try           uint64
	Live          map[int]string // machine and attempt, by task
}

var exchangeMachines = []string{"m-1", "m-2", "m-3", "m-4"}

// jobsOf is the state of a partition's jobs.
func jobsOf(harness *partitionHarness) map[string]exchangeJob {
	out := map[string]exchangeJob{}
	for id, job := range harness.jobs {
		e := exchangeJob{Done: job.doneTasks, Waiting: job.waitingTasks, Try: job.highestAttempt, Live: map[int]string{}}
		for task, placement := range job.placements {
			e.Live[task] = fmt.Sprint(placement.machine.ID, " ", placement.attempt, " ", placement.incarnation)
		}
		out[id] = e
	}
	return out
}

// writeExchange plays jobs for long enough that chunks are folded, and writes what is
// stored then.
func writeExchange(t *testing.T, file string) {
	harness := newPartitionHarness()
	harness.journal.slotRevisions = make([]uint64, 16)
	store := &fakeStore{revision: 1000, values: map[string]wire.Raw{}, revisions: map[string]uint64{records.PartitionKey(0): harness.Revision}}
	for _, id := range exchangeMachines {
		harness.addMachine(id, "cpu", "a", false)
	}
	for n := range 5 {
		job := newArrayJob(fmt.Sprintf("req-%d", n), 150+50*n, 0.5)
		job.MachineTypes, job.DeadlineS, job.SpreadZones = []string{"cpu"}, 5000, n == 3
		record := &records.JobRecord{Job: &job, Phase: wire.JobQueued, SubmittedAtMS: harness.now.UnixMilli()}
		store.apply(wire.Txn{Writes: []wire.Write{{Put: records.JobKey(job.ID), Value: record}, firstChunkWrite(record)}})
		harness.AddJob(&job, harness.now, store.revision)
	}
	for round := range 25 {
		harness.Schedule(harness.now)
		for batch := harness.PrepareBatch(); !batch.Empty(); batch = harness.PrepareBatch() {
			store.commit(harness, batch, "done")
		}
		for i, id := range exchangeMachines {
			harness.sendHeartbeat(id)
			harness.sendHeartbeat(id)
			for n, key := range sortedTaskAttempts(harness.machines[id].placements) {
				if round < 24 && (n+i+round)%3 == 0 {
					harness.endTask(id, key.task, key.attempt, []wire.ExitCause{wire.ExitDone, wire.ExitStopped}[n%2])
				}
			}
			harness.sendHeartbeat(id)
		}
	}
	for batch := harness.PrepareBatch(); !batch.Empty(); batch = harness.PrepareBatch() {
		store.commit(harness, batch, "done")
	}
	group := records.MachineGroupRecord{Machines: map[string]records.MachineRecord{"m-1": {MachineType: "cpu", Zone: "a", Partition: 0, CreatedAtMS: 5, FencingToken: 7}}}
	summary := harness.Summary(harness.now)
	store.apply(wire.Txn{Writes: []wire.Write{{Put: "c/m/m-1", Value: group}, {Put: "s/0", Value: summary},
		{Put: "c/h/r-1-1", Value: records.RentalRecord{MachineType: "cpu", Zone: "a", Count: 3, RecordedAtMS: 9}}, {Put: "c/p/0", Value: records.OwnerRecord{Node: "n"}}}})
	raw, err := wire.Marshal(exchange{store.values, store.revisions, jobsOf(harness)})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		t.Fatal(err)
	}
}

// readOthers reads the records that are not loaded into a partition.
func readOthers(t *testing.T, key string, raw wire.Raw) {
	var into any
	switch {
	case strings.HasPrefix(key, "j/"):
		into = &records.JobRecord{}
	case strings.HasPrefix(key, "s/"):
		into = &records.PartitionSummary{}
	case strings.HasPrefix(key, "c/h/"):
		into = &records.RentalRecord{}
	case strings.HasPrefix(key, "c/p/"):
		into = &records.OwnerRecord{}
	case strings.HasPrefix(key, "c/m/"):
		group, err := records.DecodeMachineGroup(key[len("c/m/"):], raw, 1)
		if want := (records.MachineRecord{MachineType: "cpu", Zone: "a", CreatedAtMS: 5, FencingToken: 7}); err != nil || group.Machines["m-1"] != want {
			t.Errorf("group %+v, %v", group, err)
		}
		return
	default:
		return
	}
	if err := wire.Unmarshal(raw, into); err != nil {
		t.Errorf("%s: %v", key, err)
	}
}

// checkExchange loads what another version has stored, and compares the jobs' states.
func checkExchange(t *testing.T, file string) {
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var e exchange
	if err := wire.Unmarshal(raw, &e); err != nil {
		t.Fatal(err)
	}
	if len(e.Jobs) < 2 {
		t.Fatalf("%d jobs", len(e.Jobs))
	}
	folded := 0
	for key := range e.Keys {
		if strings.HasPrefix(key, "a/") && !strings.HasSuffix(key, "/0") {
			folded++
		}
	}
	if folded == 0 {
		t.Fatal("no chunk but the first ones has a record")
	}
	got := jobsOf(loadExchange(t, &e))
	if !reflect.DeepEqual(got, e.Jobs) {
		t.Errorf("read %+v\nwritten %+v", got, e.Jobs)
	}
}
