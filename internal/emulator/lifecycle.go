package emulator

import (
	"time"

	"ambersill/internal/wire"
)

// failureDelay is how long a task runs on a faulty machine before it fails.
const failureDelay = time.Second

// expireLeases ends the incarnation of each machine that has tasks and whose lease has expired,
// for example because the machine hangs.
func (s *Simulation) expireLeases() {
	workersWithTasks := map[*Worker]bool{}
	for _, workers := range s.tasksOnMachines {
		for worker := range workers {
			workersWithTasks[worker] = true
		}
	}
	for worker := range workersWithTasks {
		worker.expireLease()
	}
}

// startTask starts a task on a machine, which must have fetched the task's image, unless the
// machine's lease has expired.
func (s *Simulation) startTask(worker *Worker, t *task) {
	s.checkRunningAfterCancellation()
	if worker.tasks[t.name] != t {
		return
	}
	s.recordStart(t)
	s.checkStart(worker, t)
	if s.tasksOnMachines[t.name] == nil {
		s.tasksOnMachines[t.name] = map[*Worker]*task{}
	}
	s.tasksOnMachines[t.name][worker] = t
	worker.setState(t, wire.TaskWaitingForGang)
	s.checkQuota(t.job.Team)
	switch {
	case s.completedTasks[t.name]:
		// An earlier attempt has completed the task, and its result is kept.
		worker.exit(t, wire.ExitDone, false)
	case worker.failsTasks:
		worker.setState(t, wire.TaskRunning)
		worker.runAfter(t, failureDelay, func() { worker.exit(t, wire.ExitError, false) })
	case t.job.IsGang():
		s.joinGang(worker, t)
	case t.job.IsService():
		s.runReplica(worker, t)
	default:
		worker.setState(t, wire.TaskRunning)
		worker.runAfter(t, s.runTime(t.job, t.index), func() {
			s.completeTask(t)
			worker.exit(t, wire.ExitDone, false)
		})
	}
}

// recordStart counts the start of a task, and records the start time of the job's first task.
func (s *Simulation) recordStart(t *task) {
	s.startCount++
	attempt := taskAttempt{t.name, t.attempt}
	if s.startedAttempts[attempt] {
		s.repeatedAttemptCount++
	}
	s.startedAttempts[attempt] = true
	state := s.jobs[t.job.ID]
	if !state.cancelledAt.IsZero() {
		s.startsAfterCancelCount++
	}
	if state.firstStartAt.IsZero() {
		state.firstStartAt = time.Now()
	}
}

// runReplica runs a replica of a service until it is stopped or exits by itself.
func (s *Simulation) runReplica(worker *Worker, t *task) {
	worker.setState(t, wire.TaskRunning)
	if s.replicaExit == nil {
		return
	}
	if exitDelay, exits := s.replicaExit(t.job, t.index); exits {
		worker.runAfter(t, exitDelay, func() { worker.exit(t, wire.ExitDone, false) })
	}
}

func (s *Simulation) runTime(job *wire.Job, task int) time.Duration {
	if s.RunTime != nil {
		return s.RunTime(job, task)
	}
	return time.Duration(job.EstimatedRunS * float64(time.Second))
}

// completeTask records that a task has completed, and calls OnJobDone if all tasks of its job
// have.
func (s *Simulation) completeTask(t *task) {
	s.completedTasks[t.name] = true
	if s.OnJobDone != nil && s.allTasksDone(t.job) {
		s.OnJobDone(t.job.ID)
	}
}

func (s *Simulation) allTasksDone(job *wire.Job) bool {
	for i := range job.TaskCount {
		if !s.completedTasks[wire.TaskName(job.ID, i)] {
			return false
		}
	}
	return true
}

// removeTask removes a task from its machine. The other tasks of a running gang notice its loss.
func (s *Simulation) removeTask(worker *Worker, t *task) {
	if s.tasksOnMachines[t.name][worker] != t {
		return
	}
	s.checkRemovalAfterCancellation(t)
	delete(s.tasksOnMachines[t.name], worker)
	if len(s.tasksOnMachines[t.name]) == 0 {
		delete(s.tasksOnMachines, t.name)
	}
	if t.gang != nil {
		t.gang.removeMember(t)
	}
}
