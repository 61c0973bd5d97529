package scheduler

import "ambersill/internal/wire"

// maxExitedTasks is the number of exited tasks on a worker's list from which tasks are started in
// responses to heartbeats only, in which the worker is also told which tasks to forget. A heartbeat
// may have 64 KiB, and an exited task takes some 80 bytes of it.
const maxExitedTasks = 256

// pendingForget is an exited task that its worker may forget once the end of the task is committed.
// If the worker forgot it earlier, the next owner would consider the task lost.
type pendingForget struct {
	job          *Job
	task         int
	chunkVersion int    // a change version of the task's chunk that includes the end of the task
	directToken  uint64 // of the direct request that started the task; 0 if none did
}

// isEndCommitted reports whether the end of the task is committed.
func (f pendingForget) isEndCommitted() bool {
	return f.job.finalized || f.job.chunkOf(f.task).committedVersion >= f.chunkVersion
}

// mayForget reports whether the worker may be told to forget an exited task in the response to its
// heartbeat, and raises the machine's token if that is needed. It must not while a direct request may
// be executed for the first time, nor before the end of the task is committed.
func (p *Partition) mayForget(machine *Machine, key taskAttempt) bool {
	if machine.command.pending() {
		return false
	}
	startToken := machine.command.lastStartToken
	// If no forget is pending, the end of the task was committed before.
	if forget, known := machine.pendingForgets[key]; known {
		if !forget.isEndCommitted() {
			return false
		}
		startToken = forget.directToken
	}
	return p.supersedeToken(machine, startToken)
}

// supersedeToken ensures that the machine's token is higher than the given one, under which a task was
// started by a direct request, and reports whether it is. Once the worker has forgotten the task, it
// would execute a late copy of the request under the same token again.
//
// The higher token is the revision of the newest commit of this owner. It is higher than all tokens
// given out before that commit, and lower than the revision of any later claim of the partition.
func (p *Partition) supersedeToken(machine *Machine, startToken uint64) bool {
	if machine.token.current > startToken {
		return true
	}
	// A request in flight has the present token and would be refused. The next owner of a machine that
	// is being released is told only the token in the machine's record.
	if machine.command.requestInFlight || machine.canBeReleased() {
		return false
	}
	if p.newestCommit <= startToken {
		p.commitNeeded = true
		return false
	}
	machine.token.supersede(p.newestCommit)
	p.Counters.TokensRaised++
	return true
}

// recordCommit records that a commit of this owner was applied at a revision.
func (p *Partition) recordCommit(revision uint64) {
	p.newestCommit = max(p.newestCommit, revision)
	p.commitNeeded = false
}

// CommandEvidence is the state on which a command to a worker was decided.
type CommandEvidence struct {
	// StartToken is the token of the direct request that started the task's attempt; 0 if none did.
	StartToken uint64
	// NewestCommit is the revision of the owner's newest commit. It includes the placement of a task
	// that is started, and the end of one that is forgotten.
	NewestCommit uint64
}

// Evidence returns the state on which a command to a machine's worker was decided just before.
func (p *Partition) Evidence(id string, command wire.Command) CommandEvidence {
	evidence := CommandEvidence{NewestCommit: p.newestCommit}
	machine := p.machines.get(id)
	if machine == nil {
		return evidence
	}
	key := taskAttempt{command.Task, command.Attempt}
	if placement := machine.placements[key]; placement != nil {
		evidence.StartToken = placement.start.directToken
	}
	if forget, known := machine.pendingForgets[key]; known {
		evidence.StartToken = forget.directToken
	}
	return evidence
}

// exitedAttemptToken returns the token of the direct request that started an earlier attempt of a task,
// which has exited and which the worker has not forgotten yet; 0 if there is none.
func (m *Machine) exitedAttemptToken(task string) uint64 {
	token := uint64(0)
	for key, forget := range m.pendingForgets {
		if key.task == task {
			token = max(token, forget.directToken)
		}
	}
	return token
}

// removeCompletedForgets removes the pending forgets of tasks that the worker no longer lists. A
// message with an older token is ignored, because its list may have been sent before the task was
// started.
func (m *Machine) removeCompletedForgets(message *wire.Heartbeat) {
	if len(m.pendingForgets) == 0 || !m.token.isShownBy(message) {
		return
	}
	listed := make(map[taskAttempt]bool, len(message.Tasks))
	for i := range message.Tasks {
		listed[taskAttempt{message.Tasks[i].Task, message.Tasks[i].Attempt}] = true
	}
	for key := range m.pendingForgets {
		if !listed[key] {
			delete(m.pendingForgets, key)
		}
	}
}
