package emulator

import (
	"context"
	"time"

	"ambersill/internal/wire"
)

// Worker emulates the worker of one machine. Its heartbeats are in worker_heartbeats.go, the
// commands that it executes in worker_commands.go, and its tasks in worker_tasks.go. The lock of
// the simulation guards the state of all its workers, so that code which touches several workers,
// such as that for gangs, needs no other lock.
type Worker struct {
	Machine     wire.CloudMachine
	simulation  *Simulation
	machineType wire.MachineType

	tasks         map[string]*task // by task name; at most one attempt of a task
	refusedStarts []*task          // attempts refused at their start, reported until forgotten
	fetchedImages map[string]bool
	incarnation   uint64
	sequence      uint64
	fencingToken  uint64
	// leaseStart is when the last heartbeat with an accepted response was sent, or the
	// incarnation began.
	leaseStart time.Time
	// terminationNoticeS is the number of seconds between the termination notice and the removal
	// of the machine; nil without a notice.
	terminationNoticeS *float64
	dead               bool          // the machine has been removed
	hung               bool          // the machine hangs: it neither sends nor executes anything
	resume             chan struct{} // closed and replaced when a hang ends
	failsTasks         bool
	inboundCut         bool          // heartbeats are sent, but no response or command arrives
	outboundCut        bool          // heartbeats are not sent, but commands arrive
	commandDelay       time.Duration // between the arrival and the execution of direct commands
	// lateCommandRequests is the number of requests whose commands were delayed, or arrived while
	// the machine hung.
	lateCommandRequests int
	earlyHeartbeat      chan struct{} // signals that the next heartbeat is to be sent early
	// nodeIndex, modulo the number of nodes, is the index of the node that heartbeats go to.
	nodeIndex int
	cancel    context.CancelFunc
}

// StartWorker starts the worker of a machine. It runs until Kill is called or the simulation ends.
func (s *Simulation) StartWorker(m wire.CloudMachine) *Worker {
	ctx, cancel := context.WithCancel(s.Ctx)
	worker := &Worker{
		Machine:        m,
		simulation:     s,
		machineType:    s.MachineTypes[m.MachineType],
		tasks:          map[string]*task{},
		fetchedImages:  map[string]bool{},
		incarnation:    1,
		leaseStart:     time.Now(),
		resume:         make(chan struct{}),
		earlyHeartbeat: make(chan struct{}, 1),
		cancel:         cancel,
	}
	go worker.sendHeartbeats(ctx)
	go worker.serveCommands(ctx)
	return worker
}

// Kill removes the machine with all its tasks, without any further heartbeat.
func (w *Worker) Kill() {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	w.dead = true
	w.cancel()
	w.dropTasks("machine lost")
}

// Hang suspends the machine for d. Afterwards it continues from the same state. Hang does nothing
// if the machine already hangs or has been removed.
func (w *Worker) Hang(d time.Duration) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	if w.hung || w.dead {
		return
	}
	w.hung = true
	w.pauseTimers()
	for _, t := range w.tasks {
		if t.gang != nil {
			t.gang.handleHang(w)
		}
	}
	time.AfterFunc(d, w.endHang)
}

// endHang makes the machine continue.
func (w *Worker) endHang() {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	w.hung = false
	w.expireLease()
	close(w.resume)
	w.resume = make(chan struct{})
	w.resumeTimers()
	for _, t := range w.tasks {
		if t.gang != nil {
			t.gang.resumeProgress()
		}
	}
}

// FailTasks makes every task that starts on this machine from now on fail, or stops doing so.
func (w *Worker) FailTasks(on bool) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	w.failsTasks = on
}

// CutInbound starts or stops dropping all responses and commands. Heartbeats are still sent.
func (w *Worker) CutInbound(on bool) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	w.inboundCut = on
}

// CutOutbound starts or stops dropping all heartbeats. Commands still arrive.
func (w *Worker) CutOutbound(on bool) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	w.outboundCut = on
}

// DelayCommands makes direct commands that arrive from now on execute after a delay, even if the
// sender has closed the connection by then. 0 executes them on arrival.
func (w *Worker) DelayCommands(d time.Duration) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	w.commandDelay = d
}

// LateCommandRequests returns the number of requests whose commands were delayed, or arrived while
// the machine hung.
func (w *Worker) LateCommandRequests() int {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	return w.lateCommandRequests
}

// HasTask reports whether the worker reports the named task, in any state.
func (w *Worker) HasTask(name string) bool {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	return w.tasks[name] != nil
}

// Incarnation returns the worker's current incarnation.
func (w *Worker) Incarnation() uint64 {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	return w.incarnation
}

// GiveTerminationNotice makes the heartbeats report that the cloud will remove the machine after d.
func (w *Worker) GiveTerminationNotice(d time.Duration) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	s := d.Seconds()
	w.terminationNoticeS = &s
	w.requestEarlyHeartbeat()
}

// requestEarlyHeartbeat makes the next heartbeat follow after minHeartbeatInterval, because there
// is a change to report.
func (w *Worker) requestEarlyHeartbeat() {
	select {
	case w.earlyHeartbeat <- struct{}{}:
	default:
	}
}

// expireLease ends the incarnation if its lease has expired: it drops all tasks, and begins a new
// incarnation. It may do so while the machine hangs, because a machine whose lease has expired
// kills its tasks before it does anything else. The checker counts the tasks as ended when the
// lease expired. The simulation's lock must be held.
func (w *Worker) expireLease() {
	if w.dead || time.Since(w.leaseStart) <= w.simulation.LeaseDuration {
		return
	}
	w.simulation.removalTime = w.leaseStart.Add(w.simulation.LeaseDuration)
	w.dropTasks("lease expired")
	w.simulation.removalTime = time.Time{}
	w.incarnation++
	w.leaseStart = time.Now()
	w.requestEarlyHeartbeat()
}
