package emulator

import (
	"context"
	"time"

	"ambersill/internal/wire"
)

// Worker emulates the worker of one machine. Its heartbeats are in worker_heartbeats.go, the
// commands that it executes in worker_commands.go, and its tasks in worker_tasks.go. All
// workers of a simulation share its lock, which keeps gangs and the model simple.
type Worker struct {
	Machine     wire.CloudMachine
	simulation  *Simulation
	machineType wire.MachineType

	tasks               map[string]*task // by task name; one attempt at a time, others are refused
	refusedStarts       []*task
	images              map[string]bool
	incarnation         uint64
	sequence            uint64
	fencingToken        uint64
	leaseStart          time.Time // when the last answered heartbeat was sent
	terminationNoticeS  *float64
	dead                bool
	hung                bool
	resume              chan struct{}
	faulty              bool
	inboundCut          bool          // its heartbeats leave, but no response and no command arrives
	outboundCut         bool          // it reaches no controller, while commands arrive
	commandDelay        time.Duration // after which direct commands execute
	lateCommandRequests int           // requests whose commands were delayed, or came while the machine hung
	changed             chan struct{}
	nodeIndex           int
	cancel              context.CancelFunc
}

// StartWorker starts a machine's worker.
func (w *Simulation) StartWorker(m wire.CloudMachine) *Worker {
	ctx, cancel := context.WithCancel(w.Ctx)
	worker := &Worker{
		Machine:     m,
		simulation:  w,
		machineType: w.MachineTypes[m.MachineType],
		tasks:       map[string]*task{},
		images:      map[string]bool{},
		incarnation: 1,
		leaseStart:  time.Now(),
		resume:      make(chan struct{}),
		changed:     make(chan struct{}, 1),
		cancel:      cancel,
	}
	go worker.sendHeartbeats(ctx)
	go worker.serveCommands(ctx)
	return worker
}

// Kill ends the machine: it and all that is on it are gone.
func (w *Worker) Kill() {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	w.dead = true
	w.cancel()
	w.dropTasks()
}

// Hang has the machine hang for a while; it continues where it was.
func (w *Worker) Hang(d time.Duration) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	if w.hung || w.dead {
		return
	}
	w.hung = true
	time.AfterFunc(d, w.endHang)
}

// endHang has the machine continue. Timers that fired while it hung fire again.
func (w *Worker) endHang() {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	w.hung = false
	w.expireLease()
	close(w.resume)
	w.resume = make(chan struct{})
	for _, t := range w.tasks {
		if t.timer != nil {
			t.timer.Reset(minTimerDelay)
		}
	}
}

// FailTasks has every task fail that starts on this machine, or no longer.
func (w *Worker) FailTasks(on bool) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	w.faulty = on
}

// CutInbound lets heartbeats out, but no response and no command in.
func (w *Worker) CutInbound(on bool) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	w.inboundCut = on
}

// CutOutbound keeps heartbeats from leaving, while commands arrive.
func (w *Worker) CutOutbound(on bool) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	w.outboundCut = on
}

// DelayCommands has direct commands that arrive from now on execute after a delay, also when
// their sender has given up; 0: at once.
func (w *Worker) DelayCommands(d time.Duration) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	w.commandDelay = d
}

// LateCommandRequests counts the requests with commands that were delayed, or arrived while the
// machine hung.
func (w *Worker) LateCommandRequests() int {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	return w.lateCommandRequests
}

// Incarnation returns the worker's current incarnation.
func (w *Worker) Incarnation() uint64 {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	return w.incarnation
}

// GiveTerminationNotice gives notice that the cloud removes the machine after d.
func (w *Worker) GiveTerminationNotice(d time.Duration) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	s := d.Seconds()
	w.terminationNoticeS = &s
	w.notifyChange()
}

func (w *Worker) notifyChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// expireLease ends the incarnation once the lease has run out. A hanging machine's
// tasks end with it too: it kills them before it does anything else.
func (w *Worker) expireLease() {
	if w.dead || time.Since(w.leaseStart) <= w.simulation.LeaseDuration {
		return
	}
	w.simulation.removedAt = w.leaseStart.Add(w.simulation.LeaseDuration)
	w.dropTasks()
	w.simulation.removedAt = time.Time{}
	w.incarnation++
	w.leaseStart = time.Now()
	w.notifyChange()
}
