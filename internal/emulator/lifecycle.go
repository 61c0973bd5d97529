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

// startTask starts a task on a machine, which must have fetched the task's image.
func (s *Simulation) startTask(worker *Worker, t *task) {
	s.checkRunningAfterCancellation()
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
	// The timer of the image fetch must not fire again when a hang of the machine ends.
	t.timer = nil
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

// gangMembers returns the tasks on machines that belong to the same attempt of a gang as t, t
// included, each with its machine.
func (s *Simulation) gangMembers(t *task) map[*task]*Worker {
	members := map[*task]*Worker{}
	for i := range t.job.TaskCount {
		for worker, other := range s.tasksOnMachines[wire.TaskName(t.job.ID, i)] {
			if other.attempt == t.attempt {
				members[other] = worker
			}
		}
	}
	return members
}

// joinGang makes a task wait for the other tasks of its gang, and exit if the gang has not started
// within GangWaitTimeout. If all tasks of the gang are now on machines and waiting, it starts them
// all, and schedules them to complete together.
func (s *Simulation) joinGang(worker *Worker, t *task) {
	worker.runAfter(t, s.GangWaitTimeout, func() {
		if t.state == wire.TaskWaitingForGang {
			worker.exit(t, wire.ExitGangIncomplete, false)
		}
	})
	members := s.gangMembers(t)
	if len(members) < t.job.TaskCount {
		return
	}
	for member := range members {
		if member.state != wire.TaskWaitingForGang {
			return
		}
	}
	for member, memberWorker := range members {
		memberWorker.setState(member, wire.TaskRunning)
		memberWorker.runAfter(member, s.runTime(t.job, 0), func() { s.completeGang(member) })
	}
}

// completeGang completes all running tasks of an attempt of a gang.
func (s *Simulation) completeGang(t *task) {
	for member, memberWorker := range s.gangMembers(t) {
		if member.state == wire.TaskRunning {
			s.completeTask(member)
			memberWorker.exit(member, wire.ExitDone, false)
		}
	}
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

// removeTask removes a task from its machine. If the task belongs to a gang that was running and
// has not completed, the other members exit after GangPeerTimeout.
func (s *Simulation) removeTask(worker *Worker, t *task) {
	if s.tasksOnMachines[t.name][worker] != t {
		return
	}
	s.checkRemovalAfterCancellation(t)
	delete(s.tasksOnMachines[t.name], worker)
	if len(s.tasksOnMachines[t.name]) == 0 {
		delete(s.tasksOnMachines, t.name)
	}
	if !t.job.IsGang() || s.completedTasks[t.name] || t.state == wire.TaskWaitingForGang {
		return
	}
	for member, memberWorker := range s.gangMembers(t) {
		if member.state == wire.TaskRunning {
			memberWorker.runAfter(member, s.GangPeerTimeout, func() { memberWorker.exit(member, wire.ExitGangMemberLost, false) })
		}
	}
}
