package emulator

import (
	"time"

	"ambersill/internal/wire"
)

// failureDelay is how long tasks run on a machine that fails them.
const failureDelay = time.Second

// expireLeases ends the incarnations of machines that hang beyond their leases.
func (w *Simulation) expireLeases() {
	busy := map[*Worker]bool{}
	for _, workers := range w.running {
		for k := range workers {
			busy[k] = true
		}
	}
	for k := range busy {
		k.expireLease()
	}
}

// startTask starts a task on its machine once its image has been fetched.
func (w *Simulation) startTask(k *Worker, t *task) {
	w.checkCancelled()
	w.countStart(t)
	w.checkStart(k, t)
	if w.running[t.name] == nil {
		w.running[t.name] = map[*Worker]*task{}
	}
	w.running[t.name][k] = t
	t.state = wire.TaskWaitingForGang
	w.checkQuota(t.job.Team)
	switch {
	case w.done[t.name]:
		k.exit(t, wire.ExitDone, false) // the result of an earlier attempt is kept
	case k.failsTasks:
		t.state = wire.TaskRunning
		k.runAfter(t, failureDelay, func() { k.exit(t, wire.ExitError, false) })
	case t.job.IsGang():
		w.joinGang(k, t)
	case t.job.IsService():
		w.runReplica(k, t)
	default:
		t.state = wire.TaskRunning
		k.runAfter(t, w.runTime(t.job, t.index), func() {
			w.completeTask(t)
			k.exit(t, wire.ExitDone, false)
		})
	}
}

// countStart counts a start, and records when the job's first task started.
func (w *Simulation) countStart(t *task) {
	w.starts++
	attempt := taskAttempt{t.name, t.attempt}
	if w.attempts[attempt] {
		w.repeatedAttempts++
	}
	w.attempts[attempt] = true
	state := w.jobs[t.job.ID]
	if !state.cancelledAt.IsZero() {
		w.startsAfterCancel++
	}
	if state.firstStart.IsZero() {
		state.firstStart = time.Now()
	}
}

// runReplica runs a service's replica until it is stopped, or exits by itself.
func (w *Simulation) runReplica(k *Worker, t *task) {
	t.state = wire.TaskRunning
	t.timer = nil // the fetch's, which must not fire again when a hang ends
	if w.replicaExit == nil {
		return
	}
	if d, exits := w.replicaExit(t.job, t.index); exits {
		k.runAfter(t, d, func() { k.exit(t, wire.ExitDone, false) })
	}
}

func (w *Simulation) runTime(job *wire.Job, task int) time.Duration {
	if w.RunTime != nil {
		return w.RunTime(job, task)
	}
	return time.Duration(job.EstimatedRunS * float64(time.Second))
}

// gangMembers lists the tasks of the same gang attempt, with their machines.
func (w *Simulation) gangMembers(t *task) map[*task]*Worker {
	members := map[*task]*Worker{}
	for i := range t.job.TaskCount {
		for k, other := range w.running[wire.TaskName(t.job.ID, i)] {
			if other.attempt == t.attempt {
				members[other] = k
			}
		}
	}
	return members
}

// joinGang has a gang start once all its tasks are there, and complete together.
func (w *Simulation) joinGang(k *Worker, t *task) {
	k.runAfter(t, w.GangWaitTimeout, func() {
		if t.state == wire.TaskWaitingForGang {
			k.exit(t, wire.ExitGangIncomplete, false)
		}
	})
	members := w.gangMembers(t)
	if len(members) < t.job.TaskCount {
		return
	}
	for member := range members {
		if member.state != wire.TaskWaitingForGang {
			return
		}
	}
	for member, worker := range members {
		member.state = wire.TaskRunning
		worker.runAfter(member, w.runTime(t.job, 0), func() { w.completeGang(member) })
	}
}

// completeGang ends all running tasks of a gang attempt.
func (w *Simulation) completeGang(t *task) {
	for member, worker := range w.gangMembers(t) {
		if member.state == wire.TaskRunning {
			w.completeTask(member)
			worker.exit(member, wire.ExitDone, false)
		}
	}
}

// completeTask notes that a task has completed.
func (w *Simulation) completeTask(t *task) {
	w.done[t.name] = true
	if w.OnJobDone != nil && w.allDone(t.job) {
		w.OnJobDone(t.job.ID)
	}
}

func (w *Simulation) allDone(job *wire.Job) bool {
	for i := range job.TaskCount {
		if !w.done[wire.TaskName(job.ID, i)] {
			return false
		}
	}
	return true
}

// removeTask takes a task from its machine; the rest of a running gang notices.
func (w *Simulation) removeTask(k *Worker, t *task) {
	if w.running[t.name][k] != t {
		return
	}
	w.checkRemoval(t)
	delete(w.running[t.name], k)
	if len(w.running[t.name]) == 0 {
		delete(w.running, t.name)
	}
	if !t.job.IsGang() || w.done[t.name] || t.state == wire.TaskWaitingForGang {
		return
	}
	for member, worker := range w.gangMembers(t) {
		if member.state == wire.TaskRunning {
			worker.runAfter(member, w.GangPeerTimeout, func() { worker.exit(member, wire.ExitGangMemberLost, false) })
		}
	}
}
