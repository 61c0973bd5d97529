package scheduler

import (
	"slices"
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// HeartbeatVerdict tells what to answer to a report.
type HeartbeatVerdict int

// The verdicts on a report.
const (
	HeartbeatAccepted   HeartbeatVerdict = iota // answer 200 with the commands
	HeartbeatStale                              // older than the newest: refuse, it must not renew the lease
	HeartbeatSuperseded                         // the worker has seen a higher token: this owner may be deposed
	HeartbeatNotOwned                           // the machine is not of this part
	Overloaded                                  // refuse for now
)

// HandleHeartbeat takes in a worker's report and gives the commands for it. fresh tells
// whether the state service has been reached lately; without, nothing starts.
func (p *Partition) HandleHeartbeat(heartbeat *wire.Heartbeat, now time.Time, fresh bool) (HeartbeatVerdict, wire.HeartbeatResponse) {
	var reply wire.HeartbeatResponse
	machine := p.machines[heartbeat.Machine]
	if machine == nil || machine.Record.Released {
		return HeartbeatNotOwned, reply
	}
	if heartbeat.FencingToken > machine.token.current {
		return HeartbeatSuperseded, reply
	}
	if machine.lease.expired && heartbeat.Incarnation <= machine.latest.incarnation {
		// Its lease has surely run out, after which its session rises: what still
		// comes of the old one is a late copy, and the machine may be dead.
		return HeartbeatStale, reply
	}
	// Reports held back by a cut arrive late; their lists are as old as they are.
	if heartbeat.Incarnation < machine.latest.incarnation || (heartbeat.Incarnation == machine.latest.incarnation && heartbeat.Sequence <= machine.latest.sequence) {
		if heartbeat.Incarnation == machine.latest.incarnation && heartbeat.Sequence > max(machine.latest.heartbeatSequence, machine.latest.overtakenSequence) {
			// Not late: the answer to an order has overtaken it on the way. Its list
			// is old, but refused, the worker would turn to another node.
			machine.latest.overtakenSequence = heartbeat.Sequence
			machine.lease.lastAnswered = now
			return HeartbeatAccepted, wire.HeartbeatResponse{FencingToken: machine.token.current, Commands: []wire.Command{}}
		}
		return HeartbeatStale, reply
	}
	p.detectUnreachableWorker(machine, heartbeat, now)
	if heartbeat.Incarnation > machine.latest.incarnation {
		machine.latest.overtakenSequence = 0
	}
	machine.latest.incarnation, machine.latest.sequence, machine.latest.heartbeatSequence = heartbeat.Incarnation, heartbeat.Sequence, heartbeat.Sequence
	machine.lease.lastAnswered = now
	if machine.lease.expired {
		machine.lease.expired = false
		p.capacityVersion++
	}
	if n := heartbeat.TerminationNoticeS != nil; n != machine.terminationNotice {
		machine.terminationNotice = n
		p.capacityVersion++
	}
	acked := heartbeat.FencingToken == machine.token.current
	if acked {
		p.acknowledgeToken(machine, now)
	}
	switch unheard := !acked || machine.command.unconfirmed; {
	case !unheard:
		machine.token.unacknowledgedSince = time.Time{}
	case machine.token.unacknowledgedSince.IsZero():
		machine.token.unacknowledgedSince = now
	}
	reply.FencingToken = machine.token.current
	p.reconcileTasks(machine, heartbeat, acked, now)
	if machine.terminationNotice {
		p.evacuateOnNotice(machine, now)
	}
	reply.Commands = p.heartbeatCommands(machine, heartbeat, now, fresh)
	return HeartbeatAccepted, reply
}

// detectUnreachableWorker notices a machine that is heard but does not hear: its lease ran out
// although all its reports were answered for as long as the lease lasts. Nothing is
// placed there until it has shown a token that it can have from an answer only.
func (p *Partition) detectUnreachableWorker(machine *Machine, heartbeat *wire.Heartbeat, now time.Time) {
	lease := tuning.Seconds(p.settings.Cluster.Workers.LeaseS)
	if machine.lease.answeredSince.IsZero() || now.Sub(machine.lease.lastAnswered) > lease {
		machine.lease.answeredSince = now
	}
	if heartbeat.Incarnation <= machine.latest.incarnation {
		return
	}
	if machine.token.everAcknowledged && !machine.command.unconfirmed && now.Sub(machine.lease.answeredSince) >= lease {
		machine.command.unconfirmed, machine.command.unconfirmedToken = true, machine.token.current
		p.capacityVersion++
	}
	machine.lease.answeredSince = now
}

// reconcileTasks compares the worker's list with the placements.
func (p *Partition) reconcileTasks(machine *Machine, heartbeat *wire.Heartbeat, acked bool, now time.Time) {
	machine.statusLists++
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		key := taskAttempt{status.Task, status.Attempt}
		placement := machine.placements[key]
		if placement != nil {
			placement.lastStatusList = machine.statusLists
		}
		if placement == nil || placement.incarnation > heartbeat.Incarnation {
			continue
		}
		placement.observed = true
		if status.State != wire.TaskExited {
			if status.State == wire.TaskRunning && placement.state != wire.TaskRunning && placement.runningSince.IsZero() {
				placement.runningSince = now
				placement.job.seenRunning = true
			}
			placement.state = status.State
			machine.cachedImages[placement.job.Image] = now
			if status.State != wire.TaskFetching {
				placement.imageFetched = true
			}
			if status.State == wire.TaskWaitingForGang && placement.job.gangBroken && placement.stopRequest == nil {
				p.holdMachineForGang(placement, now)
				p.requestStop(placement, 0, now)
			}
			continue
		}
		p.taskExited(placement, status, now)
		chunk := placement.chunk()
		machine.pendingForgets[key] = pendingForget{job: placement.job, task: placement.task, chunkVersion: chunk.changeVersion}
	}
	for _, key := range machine.unlistedTasks() {
		placement := machine.placements[key]
		if placement == nil {
			continue
		}
		switch {
		case placement.incarnation < heartbeat.Incarnation:
			// The worker killed and forgot everything of its last session, and
			// drops whatever was meant for that session.
			p.requeue(placement, now)
		case acked && placement.directToken > 0 && placement.directToken < machine.token.current:
			// Its order was never answered, and can no longer be carried out.
			p.requeue(placement, now)
		case acked && placement.observed:
			// Under the present token no earlier command can take effect any
			// more, and the worker no longer has it.
			p.requeue(placement, now)
		}
	}
	if acked && len(machine.pendingForgets) > 0 {
		shown := make(map[taskAttempt]bool, len(heartbeat.Tasks))
		for i := range heartbeat.Tasks {
			shown[taskAttempt{heartbeat.Tasks[i].Task, heartbeat.Tasks[i].Attempt}] = true
		}
		for key := range machine.pendingForgets {
			if !shown[key] {
				delete(machine.pendingForgets, key)
			}
		}
	}
}

// unlistedTasks are the placements that the newest list does not show, in order. Mostly there
// are none: reports in which nothing has changed are by far the most frequent work.
func (m *Machine) unlistedTasks() []taskAttempt {
	for _, placement := range m.placements {
		if placement.lastStatusList != m.statusLists {
			return slices.DeleteFunc(sortedTaskAttempts(m.placements), func(key taskAttempt) bool { return m.placements[key].lastStatusList == m.statusLists })
		}
	}
	return nil
}

// taskExited takes in a task's end.
func (p *Partition) taskExited(placement *Placement, status *wire.TaskStatus, now time.Time) {
	job, machine := placement.job, placement.machine
	if status.ExitCause != wire.ExitStopped && status.ExitCause != wire.ExitInsufficientResources && status.ExitCause != wire.ExitTaskPresent && status.ExitCause != wire.ExitTaskUnknown {
		placement.imageFetched = true // it has waited or run, which takes the image
	}
	switch status.ExitCause {
	case wire.ExitDone:
		clear(machine.failedJobs)
		if job.IsService() {
			p.replicaEnded(placement, now)
			p.requeue(placement, now)
			return
		}
		job.retryBackoffS = 0
		if job.IsGang() {
			p.finishGang(job)
		} else {
			p.finishTask(job, placement.task)
		}
		p.detach(placement)
	case wire.ExitError:
		if job.IsService() {
			p.replicaEnded(placement, now)
		}
		p.recordFailure(job, machine, now)
		p.requeue(placement, now)
	case wire.ExitGangIncomplete:
		p.Counters.GangTimeouts++
		p.gangTimedOut(placement, now)
	default:
		p.requeue(placement, now)
	}
}

// finishGang ends a gang: its tasks complete together, so the others are done even if
// their machines are lost before they can say so.
func (p *Partition) finishGang(job *Job) {
	for i := range job.taskStates {
		p.finishTask(job, i)
	}
	for _, other := range job.placements {
		other.gangDone = true
	}
}

func (p *Partition) finishTask(job *Job, task int) {
	if job.taskStates[task] == taskDone {
		return
	}
	if job.taskStates[task] == taskWaiting {
		job.waitingTasks--
	}
	job.taskStates[task] = taskDone
	job.doneTasks++
	p.journal.markDirty(job.chunkOf(task), task)
	p.Counters.Finished++
}

// recordFailure notes an error: of the job if it fails on several machines, of the
// machine if several jobs fail there.
func (p *Partition) recordFailure(job *Job, machine *Machine, now time.Time) {
	if job.failedMachines == nil {
		job.failedMachines = map[string]bool{}
	}
	job.failedMachines[machine.ID] = true
	machine.failedJobs[job.ID] = true
	if len(machine.failedJobs) >= p.tuning.SickErrors && !machine.quarantined {
		machine.quarantined = true
		p.capacityVersion++
	}
	if len(job.failedMachines) >= 2 && !job.IsService() {
		// A job that fails everywhere must not keep machines busy or rented.
		if job.retryBackoffS == 0 {
			job.retryBackoffS = p.tuning.ErrorBackoffS
		} else {
			job.retryBackoffS = min(2*job.retryBackoffS, p.tuning.ErrorBackoffMaxS)
		}
		job.retryAt = now.Add(tuning.Seconds(job.retryBackoffS))
	}
}

// evacuateOnNotice lets what can save do so before the cloud takes the machine.
func (p *Partition) evacuateOnNotice(machine *Machine, now time.Time) {
	for _, key := range sortedTaskAttempts(machine.placements) {
		placement := machine.placements[key]
		if placement == nil || placement.stopRequest != nil || placement.gangDone {
			continue
		}
		job := placement.job
		switch {
		case !placement.startSent:
			p.requeue(placement, now)
		case job.IsService():
			// It runs on until the machine goes, unless there is another to go to.
			if placement.state != wire.TaskRunning || len(p.findMachines(job, 1, now, p.allMachines(), (*Machine).free)) > 0 {
				p.requestStop(placement, 0, now)
			}
		case placement.state != wire.TaskRunning || job.CheckpointIntervalS > 0:
			p.stopGracefully(placement, now)
		}
	}
}

// stopGracefully stops a placement with the grace to save, and with it its gang:
// all of a gang's tasks must be told together.
func (p *Partition) stopGracefully(placement *Placement, now time.Time) {
	job := placement.job
	grace := 0.0
	// A task that is stopped without grace falls back by half a checkpoint
	// interval on average; saving pays only if it takes less than that.
	if job.CheckpointIntervalS > 2*job.CheckpointSaveS {
		grace = job.CheckpointSaveS + p.tuning.GraceS
	}
	if !job.IsGang() {
		p.requestStop(placement, grace, now)
		return
	}
	// Without any placement left nothing would ever end the gang's being broken.
	job.gangBroken = len(job.placements) > 0
	for _, other := range sortedPlacements(job) {
		p.requestStop(other, grace, now)
	}
}

// heartbeatCommands composes the answer to a report.
func (p *Partition) heartbeatCommands(machine *Machine, heartbeat *wire.Heartbeat, now time.Time, fresh bool) []wire.Command {
	out := []wire.Command{}
	for i := range heartbeat.Tasks {
		if len(out) >= tuning.MaxCommands {
			return out
		}
		status := &heartbeat.Tasks[i]
		key := taskAttempt{status.Task, status.Attempt}
		placement := machine.placements[key]
		switch {
		case status.State == wire.TaskExited:
			// Unknown exited tasks are those whose end is already on record.
			if c, ok := machine.pendingForgets[key]; (!ok || c.ready()) && !machine.command.inFlight && !machine.command.unconfirmed {
				out = append(out, wire.Command{Op: wire.ForgetTask, Task: status.Task, Attempt: status.Attempt})
			}
		case placement == nil:
			// Nothing on record: cancelled, over or given up. It must go.
			out = append(out, wire.Command{Op: wire.StopTask, Task: status.Task, Attempt: status.Attempt})
		case placement.stopRequest != nil:
			out = append(out, wire.Command{Op: wire.StopTask, Task: status.Task, Attempt: status.Attempt, GracePeriodS: p.remainingGraceS(placement, now)})
			placement.stopRequest.sent = true
		}
	}
	if !fresh || !machine.token.acknowledged || machine.terminationNotice || machine.command.inFlight || machine.command.unconfirmed {
		return out
	}
	for _, key := range p.startableTasks(machine) {
		if len(out) >= tuning.MaxCommands {
			break
		}
		placement := machine.placements[key]
		// A start leaves only after its placement is committed. One that no
		// report has shown was lost with its answer, and may be repeated: the
		// worker sends its next report only after it is through with the last.
		placement.startSent, placement.startSequence = true, heartbeat.Sequence
		out = append(out, wire.Command{Op: wire.StartTask, Task: key.task, Attempt: key.attempt})
	}
	return out
}

// remainingGraceS is what a stopped task still gets: a second order without grace ends a
// task that does not come to an end.
func (p *Partition) remainingGraceS(placement *Placement, now time.Time) float64 {
	limit := placement.stopRequest.gracePeriodS + 2*p.settings.Cluster.Workers.ReportS + p.tuning.MarginS
	if now.Sub(placement.stopRequest.requestedAt) > tuning.Seconds(limit) {
		return 0
	}
	return placement.stopRequest.gracePeriodS
}

// MachinesToRefence lists machines whose records must be rewritten to raise their tokens.
func (p *Partition) MachinesToRefence() []string {
	var out []string
	for _, id := range p.machineIDs {
		if machine := p.machines[id]; machine.command.unconfirmed && machine.token.current == machine.command.unconfirmedToken {
			out = append(out, id)
		}
	}
	return out
}

// HandleCommandResponse takes in a worker's answer to an order. It does not renew the lease,
// which only answers to reports do.
func (p *Partition) HandleCommandResponse(heartbeat *wire.Heartbeat, now time.Time) {
	machine := p.machines[heartbeat.Machine]
	if machine == nil || heartbeat.FencingToken > machine.token.current || heartbeat.Incarnation < machine.latest.incarnation || (heartbeat.Incarnation == machine.latest.incarnation && heartbeat.Sequence <= machine.latest.sequence) {
		return
	}
	if machine.token.everAcknowledged && heartbeat.Incarnation > machine.latest.incarnation {
		// Its lease ran out, and no report of the new session has come. Work that was
		// placed in it once was freed with the old one's, a lease too early: the time
		// that Sweep waits counts from the last report that was answered.
		return
	}
	machine.latest.incarnation, machine.latest.sequence = heartbeat.Incarnation, heartbeat.Sequence
	if heartbeat.FencingToken == machine.token.current {
		p.acknowledgeToken(machine, now)
	}
	p.reconcileTasks(machine, heartbeat, heartbeat.FencingToken == machine.token.current, now)
}

// acknowledgeToken notes that the worker has seen the present token.
func (p *Partition) acknowledgeToken(machine *Machine, now time.Time) {
	if !machine.token.everAcknowledged {
		// Answers of earlier owners are dropped from now on, so the lease was
		// last renewed no later than this.
		machine.token.everAcknowledged, machine.lease.lastAnswered = true, now
	}
	if machine.command.unconfirmed && machine.token.current > machine.command.unconfirmedToken {
		machine.command.unconfirmed = false
		p.capacityVersion++
	}
	if !machine.token.acknowledged {
		machine.token.acknowledged = true
		p.capacityVersion++
	}
}
