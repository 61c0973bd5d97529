package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ambersill/internal/wire"
)

// BenchmarkForgettingTasks ends and forgets the tasks of a large fleet, and reports, for each ended task,
// the writes to the key-value store, the messages to and from workers, the raised tokens, and the
// requests that a worker refused. An operation is a second of simulated time.
func BenchmarkForgettingTasks(b *testing.B) {
	for _, machines := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint("machines=", machines), func(b *testing.B) {
			fleet := newBenchmarkFleet(b, machines)
			for range benchmarkTaskRun / benchmarkStep { // until tasks end all the time
				fleet.step()
			}
			fleet.resetCounts()
			for b.Loop() {
				for range time.Second / benchmarkStep {
					fleet.step()
				}
			}
			fleet.report()
		})
	}
}

const (
	// benchmarkStep is the time between two cycles, and the least time between two heartbeats.
	benchmarkStep = 500 * time.Millisecond
	// benchmarkHeartbeatSteps is the number of steps between two heartbeats without changes.
	benchmarkHeartbeatSteps = 8
	benchmarkTaskRun        = 30 * time.Second
	benchmarkTasks          = 8 // on each machine
	// benchmarkRunSpread is the number of run times, which differ by a step each.
	benchmarkRunSpread = 31
)

// benchmarkFleet is a partition whose machines are full of tasks that run for benchmarkTaskRun.
type benchmarkFleet struct {
	b       *testing.B
	harness *partitionHarness
	workers []*fencedWorker
	jobs    int
	steps   int
	starts  int
	// endsAt has the steps in which the running tasks end.
	endsAt map[taskAttempt]int
	// changed has the workers with a change that they have not reported.
	changed map[*fencedWorker]bool

	writes, heartbeats, requests, refused, ended, raised int
}

func newBenchmarkFleet(b *testing.B, machines int) *benchmarkFleet {
	fleet := &benchmarkFleet{
		b:       b,
		harness: newPartitionHarness(),
		endsAt:  map[taskAttempt]int{},
		changed: map[*fencedWorker]bool{},
	}
	for i := range machines {
		fleet.workers = append(fleet.workers, newFencedWorker(b, fleet.harness, fmt.Sprintf("m-%06d", i)))
	}
	return fleet
}

func (f *benchmarkFleet) resetCounts() {
	f.writes, f.heartbeats, f.requests, f.refused, f.ended = 0, 0, 0, 0, 0
	f.raised = f.harness.Counters.TokensRaised
}

// report reports the counts for each ended task.
func (f *benchmarkFleet) report() {
	raised := f.harness.Counters.TokensRaised - f.raised
	for unit, count := range map[string]int{
		"writes/task":     f.writes,
		"heartbeats/task": f.heartbeats,
		"requests/task":   f.requests,
		"refused/task":    f.refused,
		"raised/task":     raised,
	} {
		f.b.ReportMetric(float64(count)/float64(max(f.ended, 1)), unit)
	}
	f.b.ReportMetric(float64(f.writes)/float64(f.b.N), "writes/s")
}

// step lets tasks end, workers send heartbeats, and the owner schedule, commit and send requests.
func (f *benchmarkFleet) step() {
	f.steps++
	f.harness.now = f.harness.now.Add(benchmarkStep)
	for i, worker := range f.workers {
		f.endTasks(worker)
		if f.changed[worker] || (f.steps+i)%benchmarkHeartbeatSteps == 0 {
			f.sendHeartbeat(worker)
		}
	}
	f.submitJobs()
	f.harness.Schedule(f.harness.now)
	f.commit()
	for _, worker := range f.workers {
		f.sendRequest(worker)
	}
}

func (f *benchmarkFleet) endTasks(worker *fencedWorker) {
	for key, status := range worker.tasks {
		if status.State == wire.TaskExited || f.endsAt[key] > f.steps {
			continue
		}
		worker.exit(key, wire.ExitDone)
		delete(f.endsAt, key)
		f.changed[worker] = true
		f.ended++
	}
}

func (f *benchmarkFleet) sendHeartbeat(worker *fencedWorker) {
	delete(f.changed, worker)
	f.heartbeats++
	token := worker.token
	commands := worker.sendHeartbeat()
	f.noteCommands(worker, commands)
	if worker.token > token {
		f.changed[worker] = true
	}
}

// noteCommands notes the changes that commands have made.
func (f *benchmarkFleet) noteCommands(worker *fencedWorker, commands []wire.Command) {
	for _, command := range commands {
		f.changed[worker] = true
		if command.Op == wire.StartTask {
			f.starts++
			f.endsAt[taskAttempt{command.Task, command.Attempt}] = f.steps + int(benchmarkTaskRun/benchmarkStep) + f.starts%benchmarkRunSpread
		}
	}
}

// submitJobs submits jobs until there are more tasks than fit.
func (f *benchmarkFleet) submitJobs() {
	const tasksPerJob = 100
	waiting := 0
	for _, job := range f.harness.jobs {
		waiting += job.waitingTasks
	}
	for ; waiting < len(f.workers)*benchmarkTasks/4; waiting += tasksPerJob {
		f.jobs++
		f.harness.addJob(newArrayJob(fmt.Sprintf("req-%06d", f.jobs), tasksPerJob, 1))
	}
}

func (f *benchmarkFleet) commit() {
	for {
		batch := f.harness.PrepareBatch()
		if batch.Empty() {
			return
		}
		f.writes += len(batch.Txn.Writes)
		f.harness.revision++
		f.harness.ConfirmBatch(batch, f.harness.revision)
	}
}

func (f *benchmarkFleet) sendRequest(worker *fencedWorker) {
	request, ok := f.harness.DirectCommands(worker.machine, true)
	if !ok {
		return
	}
	f.requests++
	outcome := CommandsExecuted
	if !worker.executeRequest(request) {
		f.refused++
		outcome = CommandsNotExecuted
	}
	f.noteCommands(worker, request.Commands)
	f.harness.HandleCommandOutcome(request, worker.machine, outcome)
	f.harness.HandleCommandResponse(worker.message(), f.harness.now)
}
