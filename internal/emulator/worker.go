package emulator

import (
	"context"
	"net/http"
	"slices"
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

// Worker emulates the worker of one machine. All workers of a simulation
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
	worker := &Worker{
		Machine: m, simulation: w, machineType: w.MachineTypes[m.MachineType], tasks: map[string]*task{}, images: map[string]bool{}, incarnation: 1,
		leaseStart: time.Now(), resume: make(chan struct{}), changed: make(chan struct{}, 1), cancel: cancel,
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

// Incarnation is the worker's present incarnation.
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

// checkLease ends the incarnation once the lease has run out. A hanging machine's
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
	r := wire.Heartbeat{
		Machine: k.Machine.ID, Address: k.Machine.Address, MachineType: k.Machine.MachineType, Zone: k.Machine.Zone, Spot: k.Machine.Spot, Incarnation: k.incarnation,
		Sequence: k.sequence, FencingToken: k.fencingToken, TerminationNoticeS: k.terminationNoticeS, Tasks: []wire.TaskStatus{},
	}
	for _, t := range k.tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, ExitCause: t.cause, CheckpointSaved: t.saved})
	}
	for _, t := range k.refused {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: wire.TaskExited, ExitCause: t.cause})
	}
	sort.Slice(r.Tasks, func(a, b int) bool { return r.Tasks[a].Task < r.Tasks[b].Task })
	return r
}

const (
	// responseTimeout is after how long a worker drops the response to a heartbeat.
	responseTimeout = 4 * time.Second
	// retryDelay is the pause before the next node is tried.
	retryDelay = time.Second
	// redirectDelay is the pause before a redirect is followed.
	redirectDelay = 100 * time.Millisecond
	// minHeartbeatGap is the least time between two heartbeats.
	minHeartbeatGap = 500 * time.Millisecond
)

// exchange is a heartbeat and what came back.
type exchange struct {
	heartbeat wire.Heartbeat
	sent      time.Time
	status    int // 0: no answer
	response  wire.HeartbeatResponse
	redirect  wire.Redirect
}

// run sends heartbeats until the machine ends.
func (k *Worker) run(ctx context.Context) {
	client := k.simulation.client(k.Machine)
	for ctx.Err() == nil {
		k.simulation.mu.Lock()
		k.checkLease()
		resume, hung := k.resume, k.hung
		e := exchange{heartbeat: k.heartbeat(), sent: time.Now()}
		node := k.simulation.Nodes[k.nodeIndex%len(k.simulation.Nodes)]
		cut, onHeartbeat := k.outboundCut, k.simulation.OnHeartbeat
		k.simulation.mu.Unlock()
		if hung {
			select {
			case <-ctx.Done():
				return
			case <-resume:
			}
			continue
		}
		if !cut && onHeartbeat != nil {
			onHeartbeat(&e.heartbeat, k.sendCopy(e.heartbeat))
		}
		if !cut {
			e.status = k.post(ctx, client, heartbeatURL(node), e.heartbeat, &e.response, &e.redirect)
		}
		k.pauseBeforeHeartbeat(ctx, k.handleResponse(&e))
	}
}

// sendCopy returns a function that sends a copy of a heartbeat to a node.
func (k *Worker) sendCopy(heartbeat wire.Heartbeat) func(to Node) {
	return func(to Node) {
		client := k.simulation.client(k.Machine)
		k.post(k.simulation.Ctx, client, heartbeatURL(to), heartbeat, &wire.HeartbeatResponse{}, &wire.Redirect{})
	}
}

func heartbeatURL(node Node) string { return "http://" + node.Addr + "/agent/beat" }

// handleResponse acts on what a heartbeat brought, and returns the time to the next one.
func (k *Worker) handleResponse(e *exchange) time.Duration {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	redirected := k.simulation.node(e.redirect.Node)
	switch {
	case k.inboundCut:
		k.nodeIndex++
	case k.hung:
		// What came meanwhile waits; the response is too old when the machine goes on.
	case e.status == http.StatusOK:
		k.acceptResponse(e)
		return k.simulation.HeartbeatInterval * 3 / 4
	case e.status == http.StatusMisdirectedRequest && redirected >= 0 && redirected != k.nodeIndex%len(k.simulation.Nodes):
		k.nodeIndex = redirected
		return redirectDelay
	default:
		k.nodeIndex++
	}
	return retryDelay
}

// acceptResponse renews the lease and executes the commands, unless the response is of an
// earlier incarnation, has a lower token, or is too late.
func (k *Worker) acceptResponse(e *exchange) {
	token := e.response.FencingToken
	if e.heartbeat.Incarnation != k.incarnation || token < k.fencingToken || time.Since(e.sent) > responseTimeout {
		return
	}
	if token > k.fencingToken {
		k.notifyChange()
	}
	k.fencingToken = token
	k.leaseStart = e.sent
	k.execute(e.response.Commands)
}

// pauseBeforeHeartbeat waits for the given time, or after a change for the least gap.
func (k *Worker) pauseBeforeHeartbeat(ctx context.Context, next time.Duration) {
	timer := time.NewTimer(next)
	defer timer.Stop()
	least := time.NewTimer(min(next, minHeartbeatGap))
	defer least.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.changed:
		select {
		case <-least.C:
		case <-ctx.Done():
		}
	}
}

func (k *Worker) post(ctx context.Context, cl *http.Client, url string, body, ok, redirect any) int {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
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

// listen takes direct commands.
func (k *Worker) listen(ctx context.Context) {
	listener, err := k.simulation.net(k.Machine).Listen(ctx, k.Machine.Address)
	if err != nil {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) {
		var request wire.CommandRequest
		if !readRequest(w, r, &request) {
			return
		}
		k.simulation.waitLinkDelay(ctx)
		k.handleCommands(ctx, w, &request)
	})
	server := &http.Server{Handler: deferResponses(mux)}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener)
}

// handleCommands executes a request's commands and responds, unless the machine can't: one
// that hangs executes them when it goes on.
func (k *Worker) handleCommands(ctx context.Context, w http.ResponseWriter, request *wire.CommandRequest) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	if k.inboundCut {
		panic(http.ErrAbortHandler)
	}
	if len(request.Commands) > 0 && (k.hung || k.commandDelay > 0) {
		k.lateCommands++
	}
	if !k.waitUntilCommandsRun(ctx) || k.dead {
		return
	}
	k.checkLease()
	status := http.StatusOK
	if request.FencingToken < k.fencingToken || request.Incarnation != k.incarnation {
		status = http.StatusConflict
	} else {
		if request.FencingToken > k.fencingToken {
			k.notifyChange()
		}
		k.fencingToken = request.FencingToken
		k.execute(request.Commands)
	}
	writeResponse(w, status, k.heartbeat())
}

// waitUntilCommandsRun waits out the delay of commands, and a hang; false: the machine ended.
// The simulation's lock is held before and after, not meanwhile.
func (k *Worker) waitUntilCommandsRun(ctx context.Context) bool {
	if delay := k.commandDelay; delay > 0 {
		k.simulation.mu.Unlock()
		time.Sleep(delay)
		k.simulation.mu.Lock()
	}
	for k.hung {
		resume := k.resume
		k.simulation.mu.Unlock()
		ended := false
		select {
		case <-resume:
		case <-ctx.Done():
			ended = true
		}
		k.simulation.mu.Lock()
		if ended {
			return false
		}
	}
	return true
}

// Execute carries out a command as if an order had brought it.
func (k *Worker) Execute(c wire.Command) {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	k.execute([]wire.Command{c})
}

// execute carries commands out; the simulation's lock must be held.
func (k *Worker) execute(commands []wire.Command) {
	for _, c := range commands {
		switch c.Op {
		case wire.StartTask:
			k.start(c)
		case wire.StopTask:
			if t := k.tasks[c.Task]; t != nil && t.attempt == c.Attempt && t.state != wire.TaskExited {
				k.stop(t, c.GracePeriodS)
			}
		case wire.ForgetTask:
			k.forget(c)
		}
	}
	k.notifyChange()
}

// forget removes an exited task, or a refused start, from the heartbeats.
func (k *Worker) forget(c wire.Command) {
	if t := k.tasks[c.Task]; t != nil && t.attempt == c.Attempt && t.state == wire.TaskExited {
		delete(k.tasks, c.Task)
	}
	if i := k.refusedStart(c); i >= 0 {
		k.refused = slices.Delete(slices.Clone(k.refused), i, i+1)
	}
}

// refusedStart is the index of the refused start that a command names; -1 if there is none.
func (k *Worker) refusedStart(c wire.Command) int {
	return slices.IndexFunc(k.refused, func(t *task) bool { return t.name == c.Task && t.attempt == c.Attempt })
}

// start starts a task, unless the worker has the attempt already.
func (k *Worker) start(c wire.Command) {
	old := k.tasks[c.Task]
	if k.refusedStart(c) >= 0 || (old != nil && old.attempt == c.Attempt) {
		return
	}
	id, index, _ := wire.ParseTaskName(c.Task)
	job := k.simulation.description(id)
	if job == nil || index >= job.Tasks {
		k.refuse(c, wire.ExitTaskUnknown)
		return
	}
	if old != nil && old.state != wire.TaskExited {
		k.refuse(c, wire.ExitTaskPresent)
		return
	}
	delete(k.tasks, c.Task)
	if !k.hasResources(job) {
		k.refuse(c, wire.ExitInsufficientResources)
		return
	}
	t := &task{name: c.Task, job: job, index: index, attempt: c.Attempt, state: wire.TaskFetching}
	k.tasks[c.Task] = t
	k.after(t, k.imageFetchTime(job), func() {
		k.images[job.Image] = true
		k.simulation.startTask(k, t)
	})
}

// refuse reports a start as refused.
func (k *Worker) refuse(c wire.Command, cause wire.ExitCause) {
	k.refused = append(k.refused, &task{name: c.Task, attempt: c.Attempt, cause: cause})
}

// hasResources reports whether another task of a job fits beside those that are here,
// fetching ones included.
func (k *Worker) hasResources(job *wire.Job) bool {
	cpus, gpus, memory := job.CPUs, job.GPUs, job.MemoryGB
	for _, t := range k.tasks {
		if t.state != wire.TaskExited {
			cpus, gpus, memory = cpus+t.job.CPUs, gpus+t.job.GPUs, memory+t.job.MemoryGB
		}
	}
	machine := k.machineType
	return cpus <= machine.CPUs+rounding && gpus <= machine.GPUs+rounding && memory <= machine.MemoryGB+rounding
}

// imageFetchTime is how long a job's image takes to be there.
func (k *Worker) imageFetchTime(job *wire.Job) time.Duration {
	if k.images[job.Image] {
		return time.Millisecond
	}
	return time.Duration(job.ImageGB / k.machineType.ImageFetchGBPerS * float64(time.Second))
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
