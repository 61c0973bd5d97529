package emulator

import (
	"context"
	"net/http"
	"sort"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// task is an attempt at a task on a machine.
type task struct {
	name    string
	job     *wire.Job
	index   int
	attempt uint64
	state   wire.TaskState
	cause   wire.ExitCause
	saved   bool
	timer   *time.Timer
}

// Worker is a stand-in for the worker of one machine. All workers of a world
// share its lock, which keeps gangs and the model simple.
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
	leaseStart         time.Time // when the last answered report was sent
	terminationNoticeS *float64
	dead               bool
	hung               bool
	resume             chan struct{}
	faulty             bool
	inboundCut         bool          // its reports leave, but no answer and no order arrives
	outboundCut        bool          // it reaches no controller, while orders arrive
	commandDelay       time.Duration // by which orders are held up on their way
	lateCommands       int           // orders carried out after they were held up or the machine hung
	changed            chan struct{}
	nodeIndex          int
	cancel             context.CancelFunc
}

// StartWorker begins a machine's worker.
func (w *Simulation) StartWorker(m wire.CloudMachine) *Worker {
	ctx, cancel := context.WithCancel(w.Ctx)
	worker := &Worker{Machine: m, simulation: w, machineType: w.MachineTypes[m.MachineType], tasks: map[string]*task{}, images: map[string]bool{}, incarnation: 1,
		leaseStart: time.Now(), resume: make(chan struct{}), changed: make(chan struct{}, 1), cancel: cancel}
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

// Hang stops the machine for a while; it goes on where it was.
func (k *Worker) Hang(d time.Duration) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	if k.hung || k.dead {
		return
	}
	k.hung = true
	time.AfterFunc(d, func() {
		k.simulation.mu.Lock()
		defer k.simulation.mu.Unlock()
		k.hung = false
		k.checkLease()
		close(k.resume)
		k.resume = make(chan struct{})
		for _, t := range k.tasks {
			if t.timer != nil {
				t.timer.Reset(time.Millisecond)
			}
		}
	})
}

// Fail makes every task fail that starts here.
func (k *Worker) Fail(on bool) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	k.faulty = on
}

// CutInbound lets reports out, but no answer and no order in.
func (k *Worker) CutInbound(on bool) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	k.inboundCut = on
}

// CutOutbound keeps reports from leaving, while orders arrive.
func (k *Worker) CutOutbound(on bool) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	k.outboundCut = on
}

// DelayCommands has orders that arrive from now on be carried out a while later, also when
// their sender has given up; 0: at once.
func (k *Worker) DelayCommands(d time.Duration) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	k.commandDelay = d
}

// LateCommands counts the orders that arrived while they were held up or the machine hung,
// and had commands.
func (k *Worker) LateCommands() int {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	return k.lateCommands
}

// Incarnation is the worker's present session.
func (k *Worker) Incarnation() uint64 {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	return k.incarnation
}

// GiveNotice gives notice that the machine is taken away after d.
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

// dropTasks forgets all tasks; the world's lock must be held.
func (k *Worker) dropTasks() {
	for _, t := range k.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
		k.simulation.removeTask(k, t)
	}
	k.tasks = map[string]*task{}
	k.refused = nil
}

// checkLease ends the session once the lease has run out. A hanging machine's
// tasks end with it too: it kills them before it does anything else.
func (k *Worker) checkLease() {
	if k.dead || time.Since(k.leaseStart) <= k.simulation.LeaseDuration {
		return
	}
	k.simulation.removedAt = k.leaseStart.Add(k.simulation.LeaseDuration)
	k.dropTasks()
	k.simulation.removedAt = time.Time{}
	k.incarnation++
	k.leaseStart = time.Now()
	k.notifyChange()
}

func (k *Worker) heartbeat() wire.Heartbeat {
	k.sequence++
	r := wire.Heartbeat{Machine: k.Machine.ID, Address: k.Machine.Address, MachineType: k.Machine.MachineType, Zone: k.Machine.Zone, Spot: k.Machine.Spot, Incarnation: k.incarnation,
		Sequence: k.sequence, FencingToken: k.fencingToken, TerminationNoticeS: k.terminationNoticeS, Tasks: []wire.TaskStatus{}}
	for _, t := range k.tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, ExitCause: t.cause, CheckpointSaved: t.saved})
	}
	for _, t := range k.refused {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: wire.TaskExited, ExitCause: t.cause})
	}
	sort.Slice(r.Tasks, func(a, b int) bool { return r.Tasks[a].Task < r.Tasks[b].Task })
	return r
}

// run reports until the machine ends.
func (k *Worker) run(ctx context.Context) {
	cl := k.simulation.client(k.Machine)
	for ctx.Err() == nil {
		k.simulation.mu.Lock()
		k.checkLease()
		resume, hung := k.resume, k.hung
		rep := k.heartbeat()
		sent := time.Now()
		node := k.simulation.Nodes[k.nodeIndex%len(k.simulation.Nodes)]
		copies, mute := k.simulation.OnHeartbeat, k.outboundCut
		k.simulation.mu.Unlock()
		if hung {
			select {
			case <-ctx.Done():
				return
			case <-resume:
			}
			continue
		}
		next := time.Second
		var ans wire.HeartbeatResponse
		var redirect wire.Redirect
		status := 0
		if !mute {
			if copies != nil {
				copies(&rep, func(to Node) {
					k.post(k.simulation.Ctx, k.simulation.client(k.Machine), "http://"+to.Addr+"/agent/beat", rep, &wire.HeartbeatResponse{}, &wire.Redirect{})
				})
			}
			status = k.post(ctx, cl, "http://"+node.Addr+"/agent/beat", rep, &ans, &redirect)
		}
		k.simulation.mu.Lock()
		switch {
		case k.inboundCut:
			k.nodeIndex++
		case k.hung:
			// What came meanwhile waits; the answer is too old when it goes on.
		case status == http.StatusOK:
			next = k.simulation.HeartbeatInterval * 3 / 4
			if rep.Incarnation == k.incarnation && ans.FencingToken >= k.fencingToken && time.Since(sent) <= 4*time.Second {
				if ans.FencingToken > k.fencingToken {
					k.notifyChange()
				}
				k.fencingToken = ans.FencingToken
				k.leaseStart = sent
				k.execute(ans.Commands)
			}
		case status == http.StatusMisdirectedRequest && k.simulation.node(redirect.Node) >= 0 && k.simulation.node(redirect.Node) != k.nodeIndex%len(k.simulation.Nodes):
			k.nodeIndex = k.simulation.node(redirect.Node)
			next = 100 * time.Millisecond
		default:
			k.nodeIndex++
		}
		k.simulation.mu.Unlock()
		t := time.NewTimer(next)
		least := time.NewTimer(min(next, 500*time.Millisecond))
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-k.changed:
			select {
			case <-least.C:
			case <-ctx.Done():
			}
		}
		t.Stop()
		least.Stop()
	}
}

func (k *Worker) post(ctx context.Context, cl *http.Client, url string, body, ok, redirect any) int {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	k.simulation.waitLinkDelay(ctx)
	defer k.simulation.waitLinkDelay(ctx)
	resp, err := transport.Send(ctx, cl, http.MethodPost, url, body)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		err = wire.ReadResponse(resp.Body, ok)
	case http.StatusMisdirectedRequest:
		err = wire.ReadResponse(resp.Body, redirect)
	}
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// listen takes orders.
func (k *Worker) listen(ctx context.Context) {
	l, err := k.simulation.net(k.Machine).Listen(ctx, k.Machine.Address)
	if err != nil {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) {
		var o wire.CommandRequest
		if !readRequest(w, r, &o) {
			return
		}
		k.simulation.waitLinkDelay(ctx)
		k.simulation.mu.Lock()
		if k.inboundCut {
			k.simulation.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if len(o.Commands) > 0 && (k.hung || k.commandDelay > 0) {
			k.lateCommands++
		}
		if held := k.commandDelay; held > 0 {
			k.simulation.mu.Unlock()
			time.Sleep(held)
			k.simulation.mu.Lock()
		}
		for k.hung {
			// A hanging machine carries the order out when it goes on.
			resume := k.resume
			k.simulation.mu.Unlock()
			select {
			case <-resume:
			case <-ctx.Done():
				return
			}
			k.simulation.mu.Lock()
		}
		defer k.simulation.mu.Unlock()
		if k.dead {
			return
		}
		k.checkLease()
		status := http.StatusOK
		if o.FencingToken < k.fencingToken || o.Incarnation != k.incarnation {
			status = http.StatusConflict
		} else {
			if o.FencingToken > k.fencingToken {
				k.notifyChange()
			}
			k.fencingToken = o.FencingToken
			k.execute(o.Commands)
		}
		writeResponse(w, status, k.heartbeat())
	})
	srv := &http.Server{Handler: deferResponses(mux)}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	_ = srv.Serve(l)
}

// Execute carries out a command as if an order had brought it.
func (k *Worker) Execute(c wire.Command) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	k.execute([]wire.Command{c})
}

// execute carries commands out; the world's lock must be held.
func (k *Worker) execute(cs []wire.Command) {
	for _, c := range cs {
		t := k.tasks[c.Task]
		switch c.Op {
		case wire.StartTask:
			k.start(c)
		case wire.StopTask:
			if t != nil && t.attempt == c.Attempt && t.state != wire.TaskExited {
				k.stop(t, c.GracePeriodS)
			}
		case wire.ForgetTask:
			if t != nil && t.attempt == c.Attempt && t.state == wire.TaskExited {
				delete(k.tasks, c.Task)
			}
			for i, r := range k.refused {
				if r.name == c.Task && r.attempt == c.Attempt {
					k.refused = append(k.refused[:i:i], k.refused[i+1:]...)
					break
				}
			}
		}
	}
	k.notifyChange()
}

func (k *Worker) start(c wire.Command) {
	for _, r := range k.refused {
		if r.name == c.Task && r.attempt == c.Attempt {
			return
		}
	}
	old := k.tasks[c.Task]
	if old != nil && old.attempt == c.Attempt {
		return
	}
	id, index, _ := wire.ParseTaskName(c.Task)
	job := k.simulation.description(id)
	refuse := func(why wire.ExitCause) {
		k.refused = append(k.refused, &task{name: c.Task, attempt: c.Attempt, cause: why})
	}
	if job == nil || index >= job.Tasks {
		refuse(wire.ExitTaskUnknown)
		return
	}
	if old != nil {
		if old.state != wire.TaskExited {
			refuse(wire.ExitTaskPresent)
			return
		}
		delete(k.tasks, c.Task)
	}
	cpus, gpus, ram := job.CPUs, job.GPUs, job.MemoryGB
	for _, t := range k.tasks {
		if t.state != wire.TaskExited {
			cpus, gpus, ram = cpus+t.job.CPUs, gpus+t.job.GPUs, ram+t.job.MemoryGB
		}
	}
	if cpus > k.machineType.CPUs+1e-6 || gpus > k.machineType.GPUs+1e-6 || ram > k.machineType.MemoryGB+1e-6 {
		refuse(wire.ExitInsufficientResources)
		return
	}
	t := &task{name: c.Task, job: job, index: index, attempt: c.Attempt, state: wire.TaskFetching}
	k.tasks[c.Task] = t
	wait := time.Millisecond
	if !k.images[job.Image] {
		wait = time.Duration(job.ImageGB / k.machineType.ImageFetchGBPerS * float64(time.Second))
	}
	k.after(t, wait, func() {
		k.images[job.Image] = true
		k.simulation.startTask(k, t)
	})
}

// after runs f for a task after a while, unless it has exited; a hanging
// machine's timers wait until it goes on.
func (k *Worker) after(t *task, d time.Duration, f func()) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.timer = time.AfterFunc(d, func() {
		k.simulation.mu.Lock()
		defer k.simulation.mu.Unlock()
		if k.dead || k.hung || k.tasks[t.name] != t || t.state == wire.TaskExited {
			return
		}
		f()
		k.notifyChange()
	})
}

func (k *Worker) exit(t *task, why wire.ExitCause, saved bool) {
	if t.timer != nil {
		t.timer.Stop()
	}
	k.simulation.removeTask(k, t)
	t.state, t.cause, t.saved = wire.TaskExited, why, saved
	k.notifyChange()
}

func (k *Worker) stop(t *task, grace float64) {
	if t.state == wire.TaskRunning && t.job.CheckpointIntervalS > 0 && grace >= t.job.CheckpointSaveS && t.job.CheckpointSaveS > 0 {
		t.state = wire.TaskSaving
		k.after(t, time.Duration(t.job.CheckpointSaveS*float64(time.Second)), func() { k.exit(t, wire.ExitStopped, true) })
		return
	}
	if t.state == wire.TaskSaving && grace > 0 {
		return
	}
	k.exit(t, wire.ExitStopped, false)
}
