package scheduler

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// BenchmarkSchedulingCycle runs cycles of a partition with full machines and waiting jobs of
// 220 tasks, where a twentieth of the tasks ends each time: a grown fleet, and one half as
// large again as the largest served.
func BenchmarkSchedulingCycle(b *testing.B) {
	for _, c := range []struct{ machines, jobs int }{{350, 60}, {1100, 300}} {
		b.Run(fmt.Sprint(c.machines, " machines"), func(b *testing.B) { benchmarkSchedulingCycle(b, c.machines, c.jobs) })
	}
}

func benchmarkSchedulingCycle(b *testing.B, machines, jobs int) {
	harness := newPartitionHarness()
	for i := range machines {
		harness.addMachine(fmt.Sprintf("m-%06d", i), "cpu", "a", false)
	}
	next := 0
	for i := 0; b.Loop(); i++ {
		for len(harness.jobs) < jobs {
			job := newArrayJob(fmt.Sprintf("req-%06d", next), 220, 1)
			job.Image, job.ImageGB = fmt.Sprint("img-", next%18), 1
			harness.addJob(job)
			next++
		}
		harness.now = harness.now.Add(100 * time.Millisecond)
		harness.Schedule(harness.now)
		harness.commitBatches()
		for k, id := range harness.machineIDs {
			if (k+i)%20 != 0 {
				continue
			}
			harness.sendHeartbeat(id)
			for _, a := range sortedTaskAttempts(harness.machines[id].placements) {
				harness.endTask(id, a.task, a.attempt, wire.ExitDone)
			}
			harness.sendHeartbeat(id)
			harness.sendHeartbeat(id)
		}
		harness.MachinesAwaitingCommands(true)
		if i%10 == 0 {
			harness.Summary(harness.now)
		}
	}
}

// encodedBytes is a value's size in the protocol's measure.
func encodedBytes(t *testing.T, v any) int {
	n := encodedBytesOrZero(v)
	if n == 0 {
		t.Fatalf("%v has no size", v)
	}
	return n
}

// encodedBytesOrZero is jsonBytes; 0 for what is no value.
func encodedBytesOrZero(v any) int {
	raw, err := wire.Marshal(v)
	if err != nil {
		return 0
	}
	var plain any
	if wire.Unmarshal(raw, &plain) != nil {
		return 0
	}
	out, err := json.Marshal(withStringKeys(plain))
	if err != nil {
		return 0
	}
	return len(out)
}

func withStringKeys(v any) any {
	switch x := v.(type) {
	case map[any]any:
		out := map[string]any{}
		for k, e := range x {
			out[fmt.Sprint(k)] = withStringKeys(e)
		}
		return out
	case []any:
		for i := range x {
			x[i] = withStringKeys(x[i])
		}
	}
	return v
}

// With several times the machines and jobs of any deployment served, each record
// stays within a value, and a transaction within 64 KiB: one that does not would be
// refused for ever, and with it all that it holds.
func TestRecordsStayWithinTheirLimits(t *testing.T) {
	harness := newPartitionHarness()
	limit := int(harness.settings.Cluster.State.ValueKB * 1024)
	long := strings.Repeat("x", 60)
	recs := map[string]records.MachineRecord{}
	per := records.MachinesPerGroup(harness.settings.Cluster.State.ValueKB, long, long)
	for i := range 1500 {
		id := fmt.Sprintf("m-%09d", i)
		harness.addMachine(id, "cpu", "a", false)
		if i < per {
			recs[id] = records.MachineRecord{MachineType: long, Zone: long, Spot: true, Partition: 4, Desired: records.DesiredReturned, MoveTo: 3, Released: true, CreatedAtMS: 1 << 41, FencingToken: 1 << 40}
		}
	}
	if n := encodedBytes(t, records.MachineGroupRecord{Machines: recs}); n > limit {
		t.Errorf("a group of %d bytes", n)
	}
	for i := range 600 {
		job := newArrayJob(fmt.Sprintf("req-%06d", i), 128, 1+float64(i)/1000)
		job.Class, job.Team, job.Image = long, long, long
		harness.addJob(job)
	}
	for round := range 3 {
		harness.Schedule(harness.now)
		for {
			batch := harness.PrepareBatch()
			if batch.Empty() {
				break
			}
			if n := encodedBytes(t, batch.Txn); n > 64<<10 || len(batch.Txn.Writes) > harness.settings.Cluster.State.TxnOps || len(batch.Txn.Compares) > 4*harness.settings.Cluster.State.TxnOps {
				t.Fatalf("a transaction of %d bytes, %d changes, %d conditions", n, len(batch.Txn.Writes), len(batch.Txn.Compares))
			}
			for _, w := range batch.Txn.Writes {
				if n := encodedBytes(t, w.Value); n > limit {
					t.Fatalf("%s has %d bytes", w.Put, n)
				}
			}
			harness.revision++
			harness.ConfirmBatch(batch, harness.revision)
		}
		summary := harness.Summary(harness.now)
		for _, notes := range summary.SplitMachineDigests(harness.settings.Cluster.State.ValueKB) {
			if n := encodedBytes(t, notes); n > limit {
				t.Fatalf("notes of %d bytes", n)
			}
		}
		if n := encodedBytes(t, summary); n > limit || len(summary.Waiting) == 0 {
			t.Fatalf("a summary of %d bytes with %d demands", n, len(summary.Waiting))
		}
		for _, id := range harness.machineIDs[:300*(round+1)] {
			harness.sendHeartbeat(id)
			for _, a := range sortedTaskAttempts(harness.machines[id].placements) {
				harness.endTask(id, a.task, a.attempt, wire.ExitDone)
			}
			harness.sendHeartbeat(id)
		}
	}
}

// Once the key-value store has refused a commit as invalid, smaller ones are offered.
func TestCommitsShrinkAfterInvalidOne(t *testing.T) {
	harness := newPartitionHarness()
	harness.SetLevel(records.FeatureExplicitChunks)
	for i := range 40 {
		harness.addMachine(fmt.Sprintf("m-%d", i), "cpu", "a", false)
	}
	harness.addJob(newArrayJob("req-1", 300, 1))
	harness.Schedule(harness.now)
	before := harness.PrepareBatch()
	harness.ReduceLimits()
	harness.ReduceLimits()
	after := harness.PrepareBatch()
	for _, w := range after.Txn.Writes {
		if n := encodedBytesOrZero(w.Value); n > 2<<10 {
			t.Errorf("%s has %d bytes", w.Put, n)
		}
	}
	if n := encodedBytesOrZero(before.Txn.Writes[0].Value); n <= 2<<10 || len(after.Txn.Writes) == 0 || len(after.Txn.Writes) > 3 {
		t.Errorf("a value of %d bytes before, %d changes after", n, len(after.Txn.Writes))
	}
}
