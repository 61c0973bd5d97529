package scheduler

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/wire"

	"pgregory.net/rapid"
)

// testJournalSlots is small, so that the ring wraps around many times.
const testJournalSlots = 8

// loweredTxnOps is the limit of changes in a transaction after the limits are lowered.
const loweredTxnOps = 3

// takeoverTest plays an owner of a partition, whose records a successor reads at any moment.
type takeoverTest struct {
	t        *rapid.T
	machines []string
	owner    *partitionHarness
	store    *fakeStore
	ended    map[string]bool // tasks whose end a worker has reported
	// In raiseLevelRound the feature level is raised; in loweredRound, a later one, the limits of
	// the store are lowered to loweredKB: what is stored by then is larger than what may be
	// written.
	raiseLevelRound  int
	lowerLimitsRound int
	loweredValueKB   float64
}

// What a new owner reads, at any moment and whatever the outcome of single commits, must contain
// every start that may have been sent and every end that was cleared, and no end that was never
// reported. Records must stay within the store's limits.
func TestJournalSurvivesTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		test := newTakeoverTest(t)
		for round := range rapid.IntRange(1, 60).Draw(t, "rounds") {
			if round%3 == 0 {
				test.submit(round)
			}
			test.changeLevelAndLimits(round)
			test.schedule()
			test.commitWithRandomOutcomes()
			test.reportHeartbeats()
			test.checkInitialFormat()
			test.checkRestoredJobs(round)
			test.checkLimits(round)
		}
		test.checkAllCommitted()
	})
}

func newTakeoverTest(t *rapid.T) *takeoverTest {
	owner := newPartitionHarness()
	owner.journal.slotRevisions = make([]uint64, testJournalSlots)
	owner.layout.limits.TxnOps = rapid.SampledFrom([]int{3, 6}).Draw(t, "ops")
	raised := rapid.IntRange(0, 60).Draw(t, "raised")
	test := &takeoverTest{
		t:                t,
		machines:         []string{"m-1", "m-2", "m-3"},
		owner:            owner,
		store:            newFakeStore(owner),
		ended:            map[string]bool{},
		raiseLevelRound:  raised,
		lowerLimitsRound: raised + rapid.IntRange(1, 20).Draw(t, "lowered after"),
		loweredValueKB:   rapid.SampledFrom([]float64{1, 1.5, 2}).Draw(t, "KiB"),
	}
	for _, id := range test.machines {
		owner.addMachine(id, "cpu", "a", false)
	}
	return test
}

// submit adds a job array of any length.
func (test *takeoverTest) submit(n int) {
	tasks := rapid.IntRange(1, 300).Draw(test.t, "tasks")
	job := newArrayJob(fmt.Sprintf("req-%d", n), tasks, 0.25)
	test.store.submit(test.owner, &job, test.owner.Level())
}

// changeLevelAndLimits raises the feature level or lowers the limits in the round for it.
func (test *takeoverTest) changeLevelAndLimits(round int) {
	if round == test.raiseLevelRound {
		test.owner.SetLevel(records.FeatureExplicitChunks)
	}
	if round == test.lowerLimitsRound {
		test.owner.layout.limits.ValueKB = test.loweredValueKB
		test.owner.layout.limits.TxnOps = loweredTxnOps
		test.store.resetMaxima()
	}
}

func (test *takeoverTest) schedule() {
	test.owner.now = test.owner.now.Add(time.Second)
	test.owner.Schedule(test.owner.now)
}

// commitWithRandomOutcomes commits a few batches, of which some are lost, late or refused.
func (test *takeoverTest) commitWithRandomOutcomes() {
	outcomes := rapid.SampledFrom([]commitOutcome{
		commitConfirmed, commitConfirmed, commitConfirmed, commitUnknown, commitDelayed, commitRefused,
	})
	for range 4 {
		batch := test.owner.PrepareBatch()
		if batch.Empty() {
			return
		}
		test.store.commit(test.owner, batch, outcomes.Draw(test.t, "fate"))
		if len(test.store.delayed) > 0 && rapid.Bool().Draw(test.t, "arrives") {
			test.store.applyOldestDelayed()
		}
	}
}

// reportHeartbeats has the workers start what they are sent, and end some of their tasks.
func (test *takeoverTest) reportHeartbeats() {
	causes := rapid.SampledFrom([]wire.ExitCause{wire.ExitDone, wire.ExitDone, wire.ExitStopped})
	for _, id := range test.machines {
		test.owner.sendHeartbeat(id)
		for _, key := range sortedTaskAttempts(test.owner.machines.get(id).placements) {
			if _, running := test.owner.workerTasks[id][key]; !running || rapid.IntRange(0, 2).Draw(test.t, "ends") != 0 {
				continue
			}
			cause := causes.Draw(test.t, "cause")
			test.owner.endTask(id, key.task, key.attempt, cause)
			test.ended[key.task] = test.ended[key.task] || cause == wire.ExitDone
		}
		test.owner.sendHeartbeat(id)
	}
}

// checkInitialFormat checks that below their feature level chunks' records are as programs without
// feature levels read them: numbered, and without a range of tasks.
func (test *takeoverTest) checkInitialFormat() {
	if test.owner.Level() != records.FeatureInitialFormat {
		return
	}
	for key, value := range test.store.values {
		_, name, ok := records.ParseChunkKey(key)
		if !ok || !strings.HasPrefix(key, records.ChunkPrefix(0)) {
			continue
		}
		var record records.ChunkRecord
		decodeStored(test.t, key, value, &record)
		if _, err := strconv.Atoi(name); err != nil || record.From > 0 || record.To > 0 {
			test.t.Fatalf("%s is in the new format below its level", key)
		}
	}
}

// successor returns a new owner that knows only what the store contains.
func (test *takeoverTest) successor() *partitionHarness {
	successor := newPartitionHarness()
	successor.layout.limits = test.owner.layout.limits
	successor.SetLevel(test.owner.Level())
	successor.journal.slotRevisions = make([]uint64, testJournalSlots)
	for _, id := range test.machines {
		successor.addMachine(id, "cpu", "a", false)
	}
	restore(test.t, successor, test.store.values, test.store.revisions)
	return successor
}

// checkRestoredJobs checks what a new owner would read of each job.
func (test *takeoverTest) checkRestoredJobs(round int) {
	successor := test.successor()
	for id, job := range test.owner.jobs {
		restored := successor.jobs[id]
		if restored == nil {
			if job.doneTasks < job.Tasks {
				test.t.Fatalf("round %d: %s is not known to a new owner", round, id)
			}
			continue
		}
		test.checkStarts(round, job, restored)
		test.checkEnds(round, job, restored)
	}
}

// checkStarts checks that the new owner knows of every start that was sent.
func (test *takeoverTest) checkStarts(round int, job, restored *Job) {
	for task, placement := range job.placements {
		if !placement.start.sent {
			continue
		}
		if placement.attempt > restored.highestAttempt {
			test.t.Fatalf("round %d: attempt %d of %s was started, a new owner knows of %d", round, placement.attempt, job.ID, restored.highestAttempt)
		}
		got := restored.placements[task]
		if got == nil || got.attempt != placement.attempt || got.machine.ID != placement.machine.ID {
			test.t.Fatalf("round %d: %s/%d attempt %d on %s was started, a new owner has %+v", round, job.ID, task, placement.attempt, placement.machine.ID, got)
		}
	}
}

// checkEnds checks that the new owner knows of every end that no worker reports any more, and of
// none that was never reported.
func (test *takeoverTest) checkEnds(round int, job, restored *Job) {
	for i, state := range job.taskStates {
		task := wire.TaskName(job.ID, i)
		if state == taskDone && restored.taskStates[i] != taskDone && !test.owner.workerReports(task) {
			test.t.Fatalf("round %d: %s was cleared, but its end is not on record", round, task)
		}
	}
	for i, state := range restored.taskStates {
		if state == taskDone && !test.ended[wire.TaskName(job.ID, i)] {
			test.t.Fatalf("round %d: %s/%d is done on record, but never ended", round, job.ID, i)
		}
	}
}

// workerReports reports whether some worker still has a task in its heartbeats.
func (h *partitionHarness) workerReports(task string) bool {
	for _, tasks := range h.workerTasks {
		for key := range tasks {
			if key.task == task {
				return true
			}
		}
	}
	return false
}

func (test *takeoverTest) checkLimits(round int) {
	limits := test.owner.layout.limits
	if test.store.largestValueBytes > int(limits.ValueKB*1024) || test.store.maxWrites > limits.TxnOps {
		test.t.Fatalf("round %d: a value of %d bytes, a transaction of %d changes", round, test.store.largestValueBytes, test.store.maxWrites)
	}
}

// checkAllCommitted checks that with every commit confirmed a new owner reads all there is.
func (test *takeoverTest) checkAllCommitted() {
	const maxBatches = 2000
	test.store.commitAll(test.owner, maxBatches)
	if dirty := len(test.owner.journal.dirtyChunks); dirty > 0 {
		test.t.Fatalf("%d chunks are not recorded in the end", dirty)
	}
	successor := test.successor()
	for id, job := range test.owner.jobs {
		restored := successor.jobs[id]
		if restored.doneTasks != job.doneTasks || restored.waitingTasks != job.waitingTasks || restored.highestAttempt < job.highestAttempt {
			test.t.Fatalf("%s: %d done, %d waiting, attempt %d; a new owner reads %d, %d, %d", id, job.doneTasks, job.waitingTasks, job.highestAttempt, restored.doneTasks, restored.waitingTasks, restored.highestAttempt)
		}
	}
}
