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
	name  string
	job   *wire.Job
	index int
	try   uint64
	state wire.TaskState
	cause wire.ExitCause
	saved bool
	timer *time.Timer
}

// Worker is a stand-in for the worker of one machine. All workers of a world
// share its lock, which keeps gangs and the model simple.
type Worker struct {
	M     wire.CloudMachine
	world *World
	typ   wire.MachineType

	tasks   map[string]*task // by task name; one attempt at a time, others are refused
	refused []*task
	images  map[string]bool
	session uint64
	seq     uint64
	token   uint64
	lease   time.Time // when the last answered report was sent
	notice  *float64
	dead    bool
	hung    bool
	resume  chan struct{}
	faulty  bool
	deaf    bool          // its reports leave, but no answer and no order arrives
	mute    bool          // it reaches no controller, while orders arrive
	held    time.Duration // by which orders are held up on their way
	late    int           // orders carried out after they were held up or the machine hung
	changed chan struct{}
	node    int
	cancel  context.CancelFunc
}

// Start begins a machine's worker.
func (w *World) Start(m wire.CloudMachine) *Worker {
	ctx, cancel := context.WithCancel(w.Ctx)
	k := &Worker{M: m, world: w, typ: w.Types[m.MachineType], tasks: map[string]*task{}, images: map[string]bool{}, session: 1,
		lease: time.Now(), resume: make(chan struct{}), changed: make(chan struct{}, 1), cancel: cancel}
	go k.run(ctx)
	go k.listen(ctx)
	return k
}

// Kill ends the machine: it and all that is on it are gone.
func (k *Worker) Kill() {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	k.dead = true
	k.cancel()
	k.dropAll()
}

// Hang stops the machine for a while; it goes on where it was.
func (k *Worker) Hang(d time.Duration) {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	if k.hung || k.dead {
		return
	}
	k.hung = true
	time.AfterFunc(d, func() {
		k.world.mu.Lock()
		defer k.world.mu.Unlock()
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
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	k.faulty = on
}

// Deafen lets reports out, but no answer and no order in.
func (k *Worker) Deafen(on bool) {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	k.deaf = on
}

// Silence keeps reports from leaving, while orders arrive.
func (k *Worker) Silence(on bool) {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	k.mute = on
}

// HoldOrders has orders that arrive from now on be carried out a while later, also when
// their sender has given up; 0: at once.
func (k *Worker) HoldOrders(d time.Duration) {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	k.held = d
}

// LateOrders counts the orders that arrived while they were held up or the machine hung,
// and had commands.
func (k *Worker) LateOrders() int {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	return k.late
}

// Session is the worker's present session.
func (k *Worker) Session() uint64 {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	return k.session
}

// Warn gives notice that the machine is taken away after d.
func (k *Worker) Warn(d time.Duration) {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	s := d.Seconds()
	k.notice = &s
	k.poke()
}

func (k *Worker) poke() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// dropAll forgets all tasks; the world's lock must be held.
func (k *Worker) dropAll() {
	for _, t := range k.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
		k.world.off(k, t)
	}
	k.tasks = map[string]*task{}
	k.refused = nil
}

// checkLease ends the session once the lease has run out. A hanging machine's
// tasks end with it too: it kills them before it does anything else.
func (k *Worker) checkLease() {
	if k.dead || time.Since(k.lease) <= k.world.Lease {
		return
	}
	k.world.goneAt = k.lease.Add(k.world.Lease)
	k.dropAll()
	k.world.goneAt = time.Time{}
	k.session++
	k.lease = time.Now()
	k.poke()
}

func (k *Worker) report() wire.Heartbeat {
	k.seq++
	r := wire.Heartbeat{Machine: k.M.ID, Address: k.M.Address, MachineType: k.M.MachineType, Zone: k.M.Zone, Spot: k.M.Spot, Incarnation: k.session,
		Sequence: k.seq, FencingToken: k.token, TerminationNoticeS: k.notice, Tasks: []wire.TaskStatus{}}
	for _, t := range k.tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.try, State: t.state, ExitCause: t.cause, CheckpointSaved: t.saved})
	}
	for _, t := range k.refused {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.try, State: wire.TaskExited, ExitCause: t.cause})
	}
	sort.Slice(r.Tasks, func(a, b int) bool { return r.Tasks[a].Task < r.Tasks[b].Task })
	return r
}

// run reports until the machine ends.
func (k *Worker) run(ctx context.Context) {
	cl := k.world.client(k.M)
	for ctx.Err() == nil {
		k.world.mu.Lock()
		k.checkLease()
		resume, hung := k.resume, k.hung
		rep := k.report()
		sent := time.Now()
		node := k.world.Nodes[k.node%len(k.world.Nodes)]
		copies, mute := k.world.Copies, k.mute
		k.world.mu.Unlock()
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
					k.post(k.world.Ctx, k.world.client(k.M), "http://"+to.Addr+"/agent/beat", rep, &wire.HeartbeatResponse{}, &wire.Redirect{})
				})
			}
			status = k.post(ctx, cl, "http://"+node.Addr+"/agent/beat", rep, &ans, &redirect)
		}
		k.world.mu.Lock()
		switch {
		case k.deaf:
			k.node++
		case k.hung:
			// What came meanwhile waits; the answer is too old when it goes on.
		case status == http.StatusOK:
			next = k.world.Report * 3 / 4
			if rep.Incarnation == k.session && ans.FencingToken >= k.token && time.Since(sent) <= 4*time.Second {
				if ans.FencingToken > k.token {
					k.poke()
				}
				k.token = ans.FencingToken
				k.lease = sent
				k.execute(ans.Commands)
			}
		case status == http.StatusMisdirectedRequest && k.world.node(redirect.Node) >= 0 && k.world.node(redirect.Node) != k.node%len(k.world.Nodes):
			k.node = k.world.node(redirect.Node)
			next = 100 * time.Millisecond
		default:
			k.node++
		}
		k.world.mu.Unlock()
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
	k.world.link(ctx)
	defer k.world.link(ctx)
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
	l, err := k.world.net(k.M).Listen(ctx, k.M.Address)
	if err != nil {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) {
		var o wire.CommandRequest
		if !read(w, r, &o) {
			return
		}
		k.world.link(ctx)
		k.world.mu.Lock()
		if k.deaf {
			k.world.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if len(o.Commands) > 0 && (k.hung || k.held > 0) {
			k.late++
		}
		if held := k.held; held > 0 {
			k.world.mu.Unlock()
			time.Sleep(held)
			k.world.mu.Lock()
		}
		for k.hung {
			// A hanging machine carries the order out when it goes on.
			resume := k.resume
			k.world.mu.Unlock()
			select {
			case <-resume:
			case <-ctx.Done():
				return
			}
			k.world.mu.Lock()
		}
		defer k.world.mu.Unlock()
		if k.dead {
			return
		}
		k.checkLease()
		status := http.StatusOK
		if o.FencingToken < k.token || o.Incarnation != k.session {
			status = http.StatusConflict
		} else {
			if o.FencingToken > k.token {
				k.poke()
			}
			k.token = o.FencingToken
			k.execute(o.Commands)
		}
		reply(w, status, k.report())
	})
	srv := &http.Server{Handler: unlocked(mux)}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	_ = srv.Serve(l)
}

// Execute carries out a command as if an order had brought it.
func (k *Worker) Execute(c wire.Command) {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
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
			if t != nil && t.try == c.Attempt && t.state != wire.TaskExited {
				k.stop(t, c.GracePeriodS)
			}
		case wire.ForgetTask:
			if t != nil && t.try == c.Attempt && t.state == wire.TaskExited {
				delete(k.tasks, c.Task)
			}
			for i, r := range k.refused {
				if r.name == c.Task && r.try == c.Attempt {
					k.refused = append(k.refused[:i:i], k.refused[i+1:]...)
					break
				}
			}
		}
	}
	k.poke()
}

func (k *Worker) start(c wire.Command) {
	for _, r := range k.refused {
		if r.name == c.Task && r.try == c.Attempt {
			return
		}
	}
	old := k.tasks[c.Task]
	if old != nil && old.try == c.Attempt {
		return
	}
	id, index, _ := wire.ParseTaskName(c.Task)
	job := k.world.jobs[id]
	refuse := func(why wire.ExitCause) {
		k.refused = append(k.refused, &task{name: c.Task, try: c.Attempt, cause: why})
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
	if cpus > k.typ.CPUs+1e-6 || gpus > k.typ.GPUs+1e-6 || ram > k.typ.MemoryGB+1e-6 {
		refuse(wire.ExitInsufficientResources)
		return
	}
	t := &task{name: c.Task, job: job, index: index, try: c.Attempt, state: wire.TaskFetching}
	k.tasks[c.Task] = t
	wait := time.Millisecond
	if !k.images[job.Image] {
		wait = time.Duration(job.ImageGB / k.typ.ImageFetchGBPerS * float64(time.Second))
	}
	k.after(t, wait, func() {
		k.images[job.Image] = true
		k.world.begin(k, t)
	})
}

// after runs f for a task after a while, unless it has exited; a hanging
// machine's timers wait until it goes on.
func (k *Worker) after(t *task, d time.Duration, f func()) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.timer = time.AfterFunc(d, func() {
		k.world.mu.Lock()
		defer k.world.mu.Unlock()
		if k.dead || k.hung || k.tasks[t.name] != t || t.state == wire.TaskExited {
			return
		}
		f()
		k.poke()
	})
}

func (k *Worker) exit(t *task, why wire.ExitCause, saved bool) {
	if t.timer != nil {
		t.timer.Stop()
	}
	k.world.off(k, t)
	t.state, t.cause, t.saved = wire.TaskExited, why, saved
	k.poke()
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
