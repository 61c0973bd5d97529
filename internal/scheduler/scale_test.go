package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ambersill/internal/emulator"
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
	submitted := 0
	for cycle := 0; b.Loop(); cycle++ {
		for len(harness.jobs) < jobs {
			job := newArrayJob(fmt.Sprintf("req-%06d", submitted), 220, 1)
			job.Image, job.ImageGB = fmt.Sprint("img-", submitted%18), 1
			harness.addJob(job)
			submitted++
		}
		harness.now = harness.now.Add(100 * time.Millisecond)
		harness.scheduleAndCommit()
		for i, machine := range harness.machines.all() {
			if (i+cycle)%20 == 0 {
				harness.completeTasks(machine.ID)
				harness.sendHeartbeat(machine.ID)
			}
		}
		harness.MachinesAwaitingCommands(true)
		if cycle%10 == 0 {
			harness.Summary(harness.now)
		}
	}
}

// completeTasks has a worker start what it is to run, and report all its tasks as done.
func (h *partitionHarness) completeTasks(id string) {
	h.sendHeartbeat(id)
	for _, key := range sortedTaskAttempts(h.machines.get(id).placements) {
		h.endTask(id, key.task, key.attempt, wire.ExitDone)
	}
	h.sendHeartbeat(id)
}

// encodedBytes returns a value's size in the protocol's measure, as JSON.
func encodedBytes(t *testing.T, value any) int {
	t.Helper()
	size := encodedBytesOrZero(value)
	if size == 0 {
		t.Fatalf("%v can't be encoded", value)
	}
	return size
}

// encodedBytesOrZero is encodedBytes; 0 for what can't be encoded.
func encodedBytesOrZero(value any) int {
	raw, err := wire.Marshal(value)
	if err != nil {
		return 0
	}
	size, err := emulator.JSONSize(raw)
	if err != nil {
		return 0
	}
	return size
}

// longName is as long as names in records get.
var longName = strings.Repeat("x", 60)

// With several times the machines and jobs of any deployment served, each record stays
// within a value, and a transaction within 64 KiB: a larger one would be refused each time,
// and with it all changes that it contains.
func TestRecordsStayWithinTheirLimits(t *testing.T) {
	harness := newPartitionHarness()
	checkMachineGroupSize(t, harness)
	for i := range 1500 {
		harness.addMachine(fmt.Sprintf("m-%09d", i), "cpu", "a", false)
	}
	for i := range 600 {
		job := newArrayJob(fmt.Sprintf("req-%06d", i), 128, 1+float64(i)/1000)
		job.Class, job.Team, job.Image = longName, longName, longName
		harness.addJob(job)
	}
	for round := range 3 {
		harness.Schedule(harness.now)
		commitWithinLimits(t, harness)
		checkSummarySize(t, harness)
		for _, machine := range harness.machines.all()[:300*(round+1)] {
			harness.completeTasks(machine.ID)
		}
	}
}

// valueLimit is the size in bytes up to which the key-value store accepts a value.
func (h *partitionHarness) valueLimit() int {
	return int(h.settings.Cluster.State.ValueKB * 1024)
}

// checkMachineGroupSize checks the largest record of a full group of machines.
func checkMachineGroupSize(t *testing.T, harness *partitionHarness) {
	t.Helper()
	group := map[string]records.MachineRecord{}
	for i := range records.MachinesPerGroup(harness.settings.Cluster.State.ValueKB, longName, longName) {
		group[fmt.Sprintf("m-%09d", i)] = records.MachineRecord{
			MachineType:  longName,
			Zone:         longName,
			Spot:         true,
			Partition:    4,
			Desired:      records.DesiredReturned,
			MoveTo:       3,
			Released:     true,
			CreatedAtMS:  1 << 41,
			FencingToken: 1 << 40,
		}
	}
	if size := encodedBytes(t, records.MachineGroupRecord{Machines: group}); size > harness.valueLimit() {
		t.Errorf("a group of %d bytes", size)
	}
}

// commitWithinLimits commits all changes, and checks each transaction against the limits of
// the key-value store.
func commitWithinLimits(t *testing.T, harness *partitionHarness) {
	t.Helper()
	maxOps := harness.settings.Cluster.State.TxnOps
	for {
		batch := harness.PrepareBatch()
		if batch.Empty() {
			return
		}
		size, writes, compares := encodedBytes(t, batch.Txn), len(batch.Txn.Writes), len(batch.Txn.Compares)
		if size > 64<<10 || writes > maxOps || compares > 4*maxOps {
			t.Fatalf("a transaction of %d bytes, %d writes, %d compares", size, writes, compares)
		}
		for _, write := range batch.Txn.Writes {
			if size := encodedBytes(t, write.Value); size > harness.valueLimit() {
				t.Fatalf("%s has %d bytes", write.Put, size)
			}
		}
		harness.revision++
		harness.ConfirmBatch(batch, harness.revision)
	}
}

// checkSummarySize checks the summary's records, and that it shows waiting tasks.
func checkSummarySize(t *testing.T, harness *partitionHarness) {
	t.Helper()
	summary := harness.Summary(harness.now)
	for _, digests := range summary.SplitMachineDigests(harness.settings.Cluster.State.ValueKB) {
		if size := encodedBytes(t, digests); size > harness.valueLimit() {
			t.Fatalf("digests of %d bytes", size)
		}
	}
	if size := encodedBytes(t, summary); size > harness.valueLimit() || len(summary.Waiting) == 0 {
		t.Fatalf("a summary of %d bytes with %d demands", size, len(summary.Waiting))
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
	harness.ReduceWriteLimits()
	harness.ReduceWriteLimits()
	after := harness.PrepareBatch()
	for _, write := range after.Txn.Writes {
		if size := encodedBytesOrZero(write.Value); size > 2<<10 {
			t.Errorf("%s has %d bytes", write.Put, size)
		}
	}
	sizeBefore := encodedBytesOrZero(before.Txn.Writes[0].Value)
	if sizeBefore <= 2<<10 || len(after.Txn.Writes) == 0 || len(after.Txn.Writes) > 3 {
		t.Errorf("a value of %d bytes before, %d writes after", sizeBefore, len(after.Txn.Writes))
	}
}
