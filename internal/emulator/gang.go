package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ambersill/internal/wire"
)

// gangRun is the run of one attempt of a gang, from the start of all its tasks to their end. The
// tasks progress and complete together: no task of a run completes unless all of them do. The
// simulation's lock guards it.
type gangRun struct {
	simulation *Simulation
	job        *wire.Job
	members    map[*task]*Worker // the tasks that have not exited or been removed, with their machines

	progress   time.Duration    // of the job, up to resumedAt if the run progresses
	resumedAt  time.Time        // since when the run progresses; zero while it does not
	completion *scheduledAction // nil while the run does not progress

	firstStopAt  time.Time      // when the first task was told to stop and save; zero before that
	toldToStop   map[*task]bool // the tasks that were told to stop and save
	saved        map[*task]bool // the tasks that have saved their part of the progress
	progressSafe bool           // a task has exited with its checkpoint saved
	completed    bool
	failed       bool
}

// joinGang makes a task wait for the other tasks of its gang, and exit if the gang has not started
// within GangWaitTimeout. If all tasks of the gang's attempt are now on machines and waiting, it
// starts them all.
func (s *Simulation) joinGang(worker *Worker, t *task) {
	worker.runAtTimeout(t, s.GangWaitTimeout, func() { worker.exit(t, wire.ExitGangIncomplete, false) })
	members := s.gangMembers(t)
	if len(members) < t.job.TaskCount {
		return
	}
	for member := range members {
		if member.state != wire.TaskWaitingForGang {
			return
		}
	}
	s.startGang(t.job, members)
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

// startGang starts all tasks of a gang's attempt. The run continues from the job's saved progress.
func (s *Simulation) startGang(job *wire.Job, members map[*task]*Worker) {
	run := &gangRun{
		simulation: s,
		job:        job,
		members:    members,
		progress:   s.gangProgress[job.ID],
		toldToStop: map[*task]bool{},
		saved:      map[*task]bool{},
	}
	for _, member := range run.sortedMembers() {
		worker := members[member]
		member.cancelTimer()
		member.gang = run
		worker.setState(member, wire.TaskRunning)
	}
	run.resumeProgress()
	for _, worker := range members {
		if worker.hung {
			run.handleHang(worker)
		}
	}
}

// sortedMembers returns the members by task name.
func (g *gangRun) sortedMembers() []*task {
	return slices.SortedFunc(maps.Keys(g.members), func(a, b *task) int { return cmp.Compare(a.name, b.name) })
}

// ended reports whether the run can neither progress nor fail any more.
func (g *gangRun) ended() bool { return g.completed || g.failed || g.progressSafe }

// schedule calls f after d with the simulation's lock held, once the leases that have expired by
// then have ended.
func (g *gangRun) schedule(d time.Duration, f func()) *scheduledAction {
	return g.simulation.schedule(d, func() {
		g.expireLeases()
		f()
	})
}

// expireLeases removes the members whose machines' leases have expired.
func (g *gangRun) expireLeases() {
	for _, member := range g.sortedMembers() {
		if worker := g.members[member]; worker != nil {
			worker.expireLease()
		}
	}
}

// resumeProgress lets the run progress, unless it has ended, is being stopped, or the machine of a
// task hangs.
func (g *gangRun) resumeProgress() {
	if g.ended() || !g.firstStopAt.IsZero() || g.completion != nil {
		return
	}
	for _, worker := range g.members {
		if worker.hung {
			return
		}
	}
	g.resumedAt = time.Now()
	remaining := g.simulation.runTime(g.job, 0) - g.progress
	g.completion = g.schedule(max(remaining, minTimerDelay), g.complete)
}

// suspendProgress ends the run's progress until resumeProgress is called.
func (g *gangRun) suspendProgress() {
	if g.completion == nil {
		return
	}
	g.completion.cancel()
	g.completion = nil
	g.progress += time.Since(g.resumedAt)
}

// complete completes all tasks of the gang, unless the run has ended.
func (g *gangRun) complete() {
	if g.ended() {
		return
	}
	g.completion = nil
	g.completed = true
	members := g.sortedMembers()
	for _, member := range members {
		g.simulation.completeTask(member)
	}
	for _, member := range members {
		g.members[member].exit(member, wire.ExitDone, false)
	}
}

// stopMember handles a stop command with enough grace to save a checkpoint. The first one ends the
// progress of the whole gang. The other tasks must be told within GangPeerTimeout.
func (g *gangRun) stopMember(worker *Worker, t *task) {
	if g.failed {
		worker.exit(t, wire.ExitStopped, false)
		return
	}
	if g.firstStopAt.IsZero() {
		g.suspendProgress()
		g.firstStopAt = time.Now()
		g.schedule(g.simulation.GangPeerTimeout, g.handleStopTimeout)
	}
	g.toldToStop[t] = true
	worker.setState(t, wire.TaskSaving)
	worker.runAfter(t, t.checkpointSaveTime(), func() {
		g.saved[t] = true
		g.exitSavedMembers()
	})
}

// handleStopTimeout ends the wait of the saved tasks. The save fails if some task has not been told
// to stop.
func (g *gangRun) handleStopTimeout() {
	switch {
	case g.ended():
	case len(g.toldToStop) < g.job.TaskCount:
		g.fail(minTimerDelay)
	default:
		g.exitSavedMembers()
	}
}

// exitSavedMembers makes the tasks that have saved exit, once all tasks have been told to stop, and
// either all have saved or GangPeerTimeout has passed since the first stop. If the run has failed,
// they exit at once and without a checkpoint.
func (g *gangRun) exitSavedMembers() {
	allTold := len(g.toldToStop) == g.job.TaskCount
	allSaved := len(g.saved) == g.job.TaskCount
	waitOver := time.Since(g.firstStopAt) >= g.simulation.GangPeerTimeout
	if !g.failed && (!allTold || !allSaved && !waitOver) {
		return
	}
	for _, member := range g.sortedMembers() {
		if g.saved[member] {
			g.exitSavedMember(member)
		}
	}
}

// exitSavedMember makes a task that has saved exit. The first such exit makes the progress safe.
func (g *gangRun) exitSavedMember(t *task) {
	if !g.failed {
		g.progressSafe = true
		g.simulation.gangProgress[g.job.ID] = g.progress
	}
	g.members[t].exit(t, wire.ExitStopped, !g.failed)
}

// removeMember records that a task is no longer on its machine. If the run has not ended, the loss
// of the task makes it fail: the other tasks notice within GangPeerTimeout.
func (g *gangRun) removeMember(t *task) {
	delete(g.members, t)
	if !g.ended() {
		g.fail(g.simulation.GangPeerTimeout)
	}
}

// handleHang handles the hang of a task's machine. The gang does not progress meanwhile, and fails
// if the hang lasts for GangPeerTimeout.
func (g *gangRun) handleHang(worker *Worker) {
	if g.ended() {
		return
	}
	g.suspendProgress()
	hang := worker.resume
	g.schedule(g.simulation.GangPeerTimeout, func() {
		sameHang := worker.hung && worker.resume == hang
		if sameHang && !g.ended() && g.firstStopAt.IsZero() {
			g.fail(minTimerDelay)
		}
	})
}

// fail ends the run without completing it. The progress since the last checkpoint is lost. Tasks
// that were told to stop exit without a saved checkpoint, and the others exit after the given time,
// because a task of the gang is gone.
func (g *gangRun) fail(noticedAfter time.Duration) {
	g.suspendProgress()
	g.failed = true
	if interval := time.Duration(g.job.CheckpointIntervalS * float64(time.Second)); interval > 0 {
		saved := g.simulation.gangProgress[g.job.ID]
		g.simulation.gangProgress[g.job.ID] = max(saved, g.progress.Truncate(interval))
	}
	for _, member := range g.sortedMembers() {
		if member.state == wire.TaskRunning {
			worker := g.members[member]
			worker.runAtTimeout(member, noticedAfter, func() { worker.exit(member, wire.ExitGangMemberLost, false) })
		}
	}
	g.exitSavedMembers()
}
