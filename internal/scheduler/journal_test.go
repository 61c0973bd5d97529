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

// testJournalSlots is the number of slots in the journal. It is small, so that the ring wraps
// around many times.
const testJournalSlots = 8

// loweredTxnWrites is the maximum number of writes in a transaction after the limits are lowered.
const loweredTxnWrites = 3

// takeoverTest simulates an owner of a partition. After each round, a new owner is restored from
// its stored records.
type takeoverTest struct {
	t        *rapid.T
	machines []string
	owner    *partitionHarness
	store    *fakeStore
	ended    map[string]bool // tasks that a worker has reported as done
	// The feature level is raised in raiseLevelRound. In lowerLimitsRound, which is later, the
	// store's limits are lowered, the one of values to loweredValueKiB. Records that were stored
	// before may exceed the lowered limit.
	raiseLevelRound  int
	lowerLimitsRound int
	loweredValueKiB  float64
}

// Whenever a new owner takes over, and whatever the outcome of single commits, the stored records
// must contain each placement whose start command may have been sent and each end of a task that
// the worker may have forgotten, but no end that was never reported. Records must stay within the
// store's limits.
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
	owner.layout.limits.MaxTxnWrites = rapid.SampledFrom([]int{3, 6}).Draw(t, "writes")
	raised := rapid.IntRange(0, 60).Draw(t, "raised")
	test := &takeoverTest{
		t:                t,
		machines:         []string{"m-1", "m-2", "m-3"},
		owner:            owner,
		store:            newFakeStore(owner),
		ended:            map[string]bool{},
		raiseLevelRound:  raised,
		lowerLimitsRound: raised + rapid.IntRange(1, 20).Draw(t, "lowered after"),
		loweredValueKiB:  rapid.SampledFrom([]float64{1, 1.5, 2}).Draw(t, "KiB"),
	}
	for _, id := range test.machines {
		owner.addMachine(id, "cpu", "a", false)
	}
	return test
}

// submit adds a job array of random length with the ID req-N.
func (test *takeoverTest) submit(n int) {
	tasks := rapid.IntRange(1, 300).Draw(test.t, "tasks")
	job := newArrayJob(fmt.Sprintf("req-%d", n), tasks, 0.25)
	test.store.submit(test.owner, &job, test.owner.Level())
}

// changeLevelAndLimits raises the feature level or lowers the store's limits in the round drawn for
// it.
func (test *takeoverTest) changeLevelAndLimits(round int) {
	if round == test.raiseLevelRound {
		test.owner.RaiseLevel(records.FeatureExplicitChunks)
	}
	if round == test.lowerLimitsRound {
		test.owner.layout.limits.MaxValueKiB = test.loweredValueKiB
		test.owner.layout.limits.MaxTxnWrites = loweredTxnWrites
		test.store.resetMaxima()
	}
}

func (test *takeoverTest) schedule() {
	test.owner.now = test.owner.now.Add(time.Second)
	test.owner.Schedule(test.owner.now)
}

// commitWithRandomOutcomes commits up to four batches, of which some are unanswered, delayed or
// refused.
func (test *takeoverTest) commitWithRandomOutcomes() {
	outcomes := rapid.SampledFrom([]commitOutcome{
		commitConfirmed, commitConfirmed, commitConfirmed, commitUnknown, commitDelayed, commitRefused,
	})
	for range 4 {
		test.owner.commitNeeded = rapid.Bool().Draw(test.t, "commit is needed")
		batch := test.owner.PrepareBatch()
		if batch.Empty() {
			return
		}
		test.store.commit(test.owner, batch, outcomes.Draw(test.t, "commit outcome"))
		if len(test.store.delayed) > 0 && rapid.Bool().Draw(test.t, "delayed transaction is applied") {
			test.store.applyOldestDelayed()
		}
	}
}

// reportHeartbeats sends heartbeats in which the workers start tasks as commanded and report the
// end of some.
func (test *takeoverTest) reportHeartbeats() {
	causes := rapid.SampledFrom([]wire.ExitCause{wire.ExitDone, wire.ExitDone, wire.ExitStopped})
	for _, id := range test.machines {
		test.owner.sendHeartbeat(id)
		for _, key := range sortedTaskAttempts(test.owner.machines.get(id).placements) {
			if _, running := test.owner.workerTasks[id][key]; !running || rapid.IntRange(0, 2).Draw(test.t, "ends") != 0 {
				continue
			}
			cause := causes.Draw(test.t, "cause")
			test.owner.setTaskExited(id, key.task, key.attempt, cause)
			test.ended[key.task] = test.ended[key.task] || cause == wire.ExitDone
		}
		test.owner.sendHeartbeat(id)
	}
}

// checkInitialFormat checks that chunk records have the initial format, with a number as name and
// without a range of tasks, as long as the feature level requires it. Versions that do not know
// feature levels can read only this format.
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
			test.t.Fatalf("chunk record %s has an explicit range or name at the initial feature level, want the initial format", key)
		}
	}
}

// successor returns a new owner that is restored from the store's records.
func (test *takeoverTest) successor() *partitionHarness {
	successor := newPartitionHarness()
	successor.layout.limits = test.owner.layout.limits
	successor.RaiseLevel(test.owner.Level())
	successor.journal.slotRevisions = make([]uint64, testJournalSlots)
	for _, id := range test.machines {
		successor.addMachine(id, "cpu", "a", false)
	}
	restore(test.t, successor, test.store.values, test.store.revisions)
	return successor
}

// checkRestoredJobs checks the state of each job that a new owner restores.
func (test *takeoverTest) checkRestoredJobs(round int) {
	successor := test.successor()
	for id, job := range test.owner.jobs {
		restored := successor.jobs[id]
		if restored == nil {
			if job.doneTasks < job.TaskCount {
				test.t.Fatalf("round %d: unfinished job %s is unknown to a new owner", round, id)
			}
			continue
		}
		test.checkStarts(round, job, restored)
		test.checkEnds(round, job, restored)
	}
}

// checkStarts checks that the new owner knows of each placement whose start command was sent.
func (test *takeoverTest) checkStarts(round int, job, restored *Job) {
	for task, placement := range job.placements {
		if !placement.start.sent {
			continue
		}
		if placement.attempt > restored.highestAttempt {
			test.t.Fatalf("round %d: start of attempt %d of job %s was sent, but the highest attempt known to a new owner is %d", round, placement.attempt, job.ID, restored.highestAttempt)
		}
		got := restored.placements[task]
		if got == nil || got.attempt != placement.attempt || got.machine.ID != placement.machine.ID {
			test.t.Fatalf("round %d: start of task %s/%d attempt %d on machine %s was sent, but a new owner has placement %+v", round, job.ID, task, placement.attempt, placement.machine.ID, got)
		}
	}
}

// checkEnds checks that the new owner knows of each end of a task that no worker reports any more,
// and of no end that was never reported.
func (test *takeoverTest) checkEnds(round int, job, restored *Job) {
	for i, state := range job.taskStates {
		task := wire.TaskName(job.ID, i)
		if state == taskDone && restored.taskStates[i] != taskDone && !test.owner.workerReports(task) {
			test.t.Fatalf("round %d: no worker reports task %s any more, but its end is missing from the stored records", round, task)
		}
	}
	for i, state := range restored.taskStates {
		if state == taskDone && !test.ended[wire.TaskName(job.ID, i)] {
			test.t.Fatalf("round %d: task %s/%d is done in the stored records, but no worker has reported that", round, job.ID, i)
		}
	}
}

// workerReports reports whether any worker still lists a task in its heartbeats.
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
	if test.store.largestValueBytes > int(limits.MaxValueKiB*1024) || test.store.maxWrites > limits.MaxTxnWrites {
		test.t.Fatalf("round %d: largest value has %d bytes and largest transaction %d writes, want both within the limits", round, test.store.largestValueBytes, test.store.maxWrites)
	}
}

// checkAllCommitted checks that a new owner restores the full state after all commits are
// confirmed.
func (test *takeoverTest) checkAllCommitted() {
	const maxBatches = 2000
	test.store.commitAll(test.owner, maxBatches)
	if dirty := len(test.owner.journal.dirtyChunks); dirty > 0 {
		test.t.Fatalf("%d chunks are dirty after all batches were committed, want 0", dirty)
	}
	successor := test.successor()
	for id, job := range test.owner.jobs {
		restored := successor.jobs[id]
		if restored.doneTasks != job.doneTasks || restored.waitingTasks != job.waitingTasks || restored.highestAttempt < job.highestAttempt {
			test.t.Fatalf("job %s has %d done tasks, %d waiting tasks and highest attempt %d, but a new owner restores %d, %d and %d", id, job.doneTasks, job.waitingTasks, job.highestAttempt, restored.doneTasks, restored.waitingTasks, restored.highestAttempt)
		}
	}
}
