package emulator

import (
	"time"

	"ambersill/internal/wire"
)

// failureDelay is how long tasks run on a machine that fails them.
const failureDelay = time.Second

// expireLeases ends the incarnations of machines that hang beyond their leases.
func (s *Simulation) expireLeases() {
	workersWithTasks := map[*Worker]bool{}
	for _, workers := range s.tasksOnMachines {
		for worker := range workers {
			workersWithTasks[worker] = true
		}
	}
	for worker := range workersWithTasks {
		worker.checkLease()
	}
}

// startTask starts a task on its machine once its image has been fetched.
func (s *Simulation) startTask(worker *Worker, t *task) {
	s.checkRunningAfterCancellation()
	s.recordStart(t)
	s.checkStart(worker, t)
	if s.tasksOnMachines[t.name] == nil {
		s.tasksOnMachines[t.name] = map[*Worker]*task{}
	}
	s.tasksOnMachines[t.name][worker] = t
	t.state = wire.TaskWaitingForGang
	s.checkQuota(t.job.Team)
	switch {
	case s.completedTasks[t.name]:
		worker.exit(t, wire.ExitDone, false) // the result of an earlier attempt is kept
	case worker.faulty:
		t.state = wire.TaskRunning
		worker.after(t, failureDelay, func() { worker.exit(t, wire.ExitError, false) })
	case t.job.IsGang():
		s.joinGang(worker, t)
	case t.job.IsService():
		s.runReplica(worker, t)
	default:
		t.state = wire.TaskRunning
		worker.after(t, s.runTime(t.job, t.index), func() {
			s.completeTask(t)
			worker.exit(t, wire.ExitDone, false)
		})
	}
}

// recordStart counts a start, and records when the job's first task started.
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

// runReplica runs a service's replica until it is stopped, or exits by itself.
func (s *Simulation) runReplica(worker *Worker, t *task) {
	t.state = wire.TaskRunning
	t.timer = nil // the fetch's, which must not fire again when a hang ends
	if s.replicaExit == nil {
		return
	}
	if d, exits := s.replicaExit(t.job, t.index); exits {
		worker.after(t, d, func() { worker.exit(t, wire.ExitDone, false) })
	}
}

func (s *Simulation) runTime(job *wire.Job, task int) time.Duration {
	if s.RunTime != nil {
		return s.RunTime(job, task)
	}
	return time.Duration(job.EstimatedRunS * float64(time.Second))
}

// gangMembers lists the tasks of the same gang attempt, with their machines.
func (s *Simulation) gangMembers(t *task) map[*task]*Worker {
	members := map[*task]*Worker{}
	for i := range t.job.Tasks {
		for worker, other := range s.tasksOnMachines[wire.TaskName(t.job.ID, i)] {
			if other.attempt == t.attempt {
				members[other] = worker
			}
		}
	}
	return members
}

// joinGang has a gang start once all its tasks are there, and complete together.
func (s *Simulation) joinGang(worker *Worker, t *task) {
	worker.after(t, s.GangWaitTimeout, func() {
		if t.state == wire.TaskWaitingForGang {
			worker.exit(t, wire.ExitGangIncomplete, false)
		}
	})
	members := s.gangMembers(t)
	if len(members) < t.job.Tasks {
		return
	}
	for member := range members {
		if member.state != wire.TaskWaitingForGang {
			return
		}
	}
	for member, memberWorker := range members {
		member.state = wire.TaskRunning
		memberWorker.after(member, s.runTime(t.job, 0), func() { s.completeGang(member) })
	}
}

// completeGang ends all running tasks of a gang attempt.
func (s *Simulation) completeGang(t *task) {
	for member, memberWorker := range s.gangMembers(t) {
		if member.state == wire.TaskRunning {
			s.completeTask(member)
			memberWorker.exit(member, wire.ExitDone, false)
		}
	}
}

// completeTask notes that a task has completed.
func (s *Simulation) completeTask(t *task) {
	s.completedTasks[t.name] = true
	if s.OnJobDone != nil && s.allTasksDone(t.job) {
		s.OnJobDone(t.job.ID)
	}
}

func (s *Simulation) allTasksDone(job *wire.Job) bool {
	for i := range job.Tasks {
		if !s.completedTasks[wire.TaskName(job.ID, i)] {
			return false
		}
	}
	return true
}

// removeTask takes a task from its machine; the rest of a running gang notices.
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
			memberWorker.after(member, s.GangPeerTimeout, func() { memberWorker.exit(member, wire.ExitGangMemberLost, false) })
		}
	}
}
