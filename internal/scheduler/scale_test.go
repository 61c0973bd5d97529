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

// BenchmarkSchedulingCycle runs scheduling cycles of a partition with full machines and waiting
// jobs of 220 tasks each. In each cycle, the tasks on one machine in 20 end. The smaller case has
// the size of a fleet after scale-out. The larger case is half as large again as the largest fleet
// of the supported deployments.
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

// completeTasks makes a worker start the tasks placed on its machine and then report all of them as
// done.
func (h *partitionHarness) completeTasks(id string) {
	h.sendHeartbeat(id)
	for _, key := range sortedTaskAttempts(h.machines.get(id).placements) {
		h.setTaskExited(id, key.task, key.attempt, wire.ExitDone)
	}
	h.sendHeartbeat(id)
}

// encodedSize returns the size of a value in bytes when encoded as JSON, which is how the key-value
// store measures values.
func encodedSize(t *testing.T, value any) int {
	t.Helper()
	size := encodedSizeOrZero(value)
	if size == 0 {
		t.Fatalf("cannot encode %v to measure its size", value)
	}
	return size
}

// encodedSizeOrZero is like encodedSize but returns 0 if the value cannot be encoded.
func encodedSizeOrZero(value any) int {
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

// longName has the maximum length of names in records.
var longName = strings.Repeat("x", 60)

// With several times the machines and jobs of any supported deployment, each record must fit into a
// value of the key-value store, and each transaction into 64 KiB. A larger transaction would be
// rejected on every attempt, so none of its changes would ever be committed.
func TestRecordsStayWithinStoreLimits(t *testing.T) {
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
	for cycle := range 3 {
		harness.Schedule(harness.now)
		commitWithinLimits(t, harness)
		checkSummarySize(t, harness)
		for _, machine := range harness.machines.all()[:300*(cycle+1)] {
			harness.completeTasks(machine.ID)
		}
	}
}

// valueLimit returns the maximum size of a value in the key-value store, in bytes.
func (h *partitionHarness) valueLimit() int {
	return int(h.settings.Cluster.Store.MaxValueKiB * 1024)
}

// checkMachineGroupSize checks that the largest possible record of a full machine group does not
// exceed the value limit.
func checkMachineGroupSize(t *testing.T, harness *partitionHarness) {
	t.Helper()
	group := map[string]records.MachineRecord{}
	for i := range records.MachinesPerGroup(harness.settings.Cluster.Store.MaxValueKiB, longName, longName) {
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
	if size := encodedSize(t, records.MachineGroupRecord{Machines: group}); size > harness.valueLimit() {
		t.Errorf("record of a full machine group has %d bytes, more than the value limit", size)
	}
}

// commitWithinLimits commits all changes and checks that each transaction is within the limits of
// the key-value store.
func commitWithinLimits(t *testing.T, harness *partitionHarness) {
	t.Helper()
	maxOps := harness.settings.Cluster.Store.MaxTxnWrites
	for {
		batch := harness.PrepareBatch()
		if batch.Empty() {
			return
		}
		size, writes, compares := encodedSize(t, batch.Txn), len(batch.Txn.Writes), len(batch.Txn.Compares)
		if size > 64<<10 || writes > maxOps || compares > 4*maxOps {
			t.Fatalf("transaction exceeds a limit: got %d bytes, %d writes, %d compares", size, writes, compares)
		}
		for _, write := range batch.Txn.Writes {
			if size := encodedSize(t, write.Value); size > harness.valueLimit() {
				t.Fatalf("value of key %s has %d bytes, more than the value limit", write.Put, size)
			}
		}
		harness.revision++
		harness.ConfirmBatch(batch, harness.revision)
	}
}

// checkSummarySize checks that the records of the summary do not exceed the value limit, and that
// the summary contains demand for waiting tasks.
func checkSummarySize(t *testing.T, harness *partitionHarness) {
	t.Helper()
	summary := harness.Summary(harness.now)
	for _, digests := range summary.SplitMachineDigests(harness.settings.Cluster.Store.MaxValueKiB) {
		if size := encodedSize(t, digests); size > harness.valueLimit() {
			t.Fatalf("machine digests have %d bytes, more than the value limit", size)
		}
	}
	if size := encodedSize(t, summary); size > harness.valueLimit() || len(summary.Waiting) == 0 {
		t.Fatalf("summary has %d bytes and %d demands, want no more bytes than the value limit and at least 1 demand", size, len(summary.Waiting))
	}
}

// After the key-value store has rejected a commit as invalid, the limits of batches are reduced, so
// that the next batches have fewer writes and smaller values.
func TestBatchesShrinkAfterLimitsAreReduced(t *testing.T) {
	harness := newPartitionHarness()
	harness.RaiseLevel(records.FeatureExplicitChunks)
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
		if size := encodedSizeOrZero(write.Value); size > 2<<10 {
			t.Errorf("value of key %s has %d bytes after the limits were reduced, want at most 2 KiB", write.Put, size)
		}
	}
	sizeBefore := encodedSizeOrZero(before.Txn.Writes[0].Value)
	if sizeBefore <= 2<<10 || len(after.Txn.Writes) == 0 || len(after.Txn.Writes) > 3 {
		t.Errorf("first value has %d bytes before the limits are reduced, want more than 2 KiB; got %d writes after, want 1 to 3", sizeBefore, len(after.Txn.Writes))
	}
}
