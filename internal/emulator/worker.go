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

	tasks              map[string]*task // by task name; one attempt at a time, others are refused
	refused            []*task
	images             map[string]bool
	incarnation        uint64
	sequence           uint64
	fencingToken       uint64
	leaseStart         time.Time // when the last answered heartbeat was sent
	terminationNoticeS *float64
	dead               bool
	hung               bool
	resume             chan struct{}
	faulty             bool
	inboundCut         bool          // its heartbeats leave, but no response and no command arrives
	outboundCut        bool          // it reaches no controller, while commands arrive
	commandDelay       time.Duration // after which direct commands execute
	lateCommands       int           // requests whose commands were delayed, or came while the machine hung
	changed            chan struct{}
	nodeIndex          int
	cancel             context.CancelFunc
}

// StartWorker starts a machine's worker.
func (s *Simulation) StartWorker(m wire.CloudMachine) *Worker {
	ctx, cancel := context.WithCancel(s.Ctx)
	worker := &Worker{
		Machine:     m,
		simulation:  s,
		machineType: s.MachineTypes[m.MachineType],
		tasks:       map[string]*task{},
		images:      map[string]bool{},
		incarnation: 1,
		leaseStart:  time.Now(),
		resume:      make(chan struct{}),
		changed:     make(chan struct{}, 1),
		cancel:      cancel,
	}
	go worker.run(ctx)
	go worker.listen(ctx)
	return worker
}

// Kill ends the machine: it and all that is on it are gone.
func (k *Worker) Kill() {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	k.dead = true
	k.cancel()
	k.dropTasks()
}

// Hang has the machine hang for a while; it continues where it was.
func (k *Worker) Hang(d time.Duration) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	if k.hung || k.dead {
		return
	}
	k.hung = true
	time.AfterFunc(d, k.endHang)
}

// endHang has the machine continue. Timers that fired while it hung fire again.
func (k *Worker) endHang() {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	k.hung = false
	k.checkLease()
	close(k.resume)
	k.resume = make(chan struct{})
	for _, t := range k.tasks {
		if t.timer != nil {
			t.timer.Reset(minTimerDelay)
		}
	}
}

// Fail has every task fail that starts on this machine, or no longer.
func (k *Worker) Fail(on bool) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	k.faulty = on
}

// CutInbound lets heartbeats out, but no response and no command in.
func (k *Worker) CutInbound(on bool) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	k.inboundCut = on
}

// CutOutbound keeps heartbeats from leaving, while commands arrive.
func (k *Worker) CutOutbound(on bool) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	k.outboundCut = on
}

// DelayCommands has direct commands that arrive from now on execute after a delay, also when
// their sender has given up; 0: at once.
func (k *Worker) DelayCommands(d time.Duration) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	k.commandDelay = d
}

// LateCommands counts the requests with commands that were delayed, or arrived while the
// machine hung.
func (k *Worker) LateCommands() int {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	return k.lateCommands
}

// Incarnation returns the worker's current incarnation.
func (k *Worker) Incarnation() uint64 {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	return k.incarnation
}

// GiveNotice gives notice that the cloud removes the machine after d.
func (k *Worker) GiveNotice(d time.Duration) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	s := d.Seconds()
	k.terminationNoticeS = &s
	k.notifyChange()
}

func (k *Worker) notifyChange() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// checkLease ends the incarnation once the lease has run out. A hanging machine's
// tasks end with it too: it kills them before it does anything else.
func (k *Worker) checkLease() {
	if k.dead || time.Since(k.leaseStart) <= k.simulation.LeaseDuration {
		return
	}
	k.simulation.removalTime = k.leaseStart.Add(k.simulation.LeaseDuration)
	k.dropTasks()
	k.simulation.removalTime = time.Time{}
	k.incarnation++
	k.leaseStart = time.Now()
	k.notifyChange()
}
