package emulator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// Node is a controller's public address.
type Node struct{ Name, Addr string }

// SimulationConfig configures a simulation.
type SimulationConfig struct {
	Ctx               context.Context
	Net               transport.Net
	ZoneNets          map[string]transport.Net // of zones that can be cut off; others use Net
	Nodes             []Node
	MachineTypes      map[string]wire.MachineType
	Teams             []config.Team
	HeartbeatInterval time.Duration // report_s
	LeaseDuration     time.Duration // lease_s
	GangWaitTimeout   time.Duration // gang_wait_s
	GangPeerTimeout   time.Duration // gang_peer_s
	CancelDeadline    time.Duration // cancel_s
	// RunTime returns how long a task runs; nil: as long as its job estimates.
	RunTime func(job *wire.Job, task int) time.Duration
	// OnHeartbeat, if set, is called with each heartbeat, and may send copies of it to nodes
	// later.
	OnHeartbeat func(heartbeat *wire.Heartbeat, send func(to Node))
	// OnJobDone, if set, is called when the last task of a job completes.
	OnJobDone func(job string)
}

// Simulation joins the workers and the users, and is the reference model of the protocol's
// rules: it sees every task start and end, knows what users were answered, and records what
// violates a rule. The rules are in checker.go, the tasks' lifecycle in lifecycle.go.
type Simulation struct {
	SimulationConfig

	// mu guards all that follows, and the state of all workers.
	mu          sync.Mutex
	replicaExit func(job *wire.Job, task int) (time.Duration, bool)
	linkDelay   time.Duration // of the links of workers and users

	jobs     map[string]*jobState
	running  map[string]map[*Worker]*task // tasks on machines, by name
	attempts map[taskAttempt]bool         // attempts that have started
	done     map[string]bool              // tasks that have completed, by name

	violations        []string
	starts            int
	repeatedAttempts  int
	startsAfterCancel int
	faultsOverAt      time.Time // zero while there are faults
	// removedAt is when the tasks that are being removed ended, if not now.
	removedAt time.Time
}

// taskAttempt identifies an attempt at a task.
type taskAttempt struct {
	task    string
	attempt uint64
}

// NewSimulation returns a simulation without workers and jobs.
func NewSimulation(config SimulationConfig) *Simulation {
	return &Simulation{
		SimulationConfig: config,
		jobs:             map[string]*jobState{},
		running:          map[string]map[*Worker]*task{},
		attempts:         map[taskAttempt]bool{},
		done:             map[string]bool{},
	}
}

// SetLinkDelay has what workers and users send and receive take that much longer each way.
func (w *Simulation) SetLinkDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.linkDelay = d
}

// waitLinkDelay waits for as long as the link takes.
func (w *Simulation) waitLinkDelay(ctx context.Context) {
	w.mu.Lock()
	d := w.linkDelay
	w.mu.Unlock()
	if d > 0 {
		transport.Pause(ctx, d)
	}
}

// net is the network of a machine's zone.
func (w *Simulation) net(machine wire.CloudMachine) transport.Net {
	if n := w.ZoneNets[machine.Zone]; n != nil {
		return n
	}
	return w.Net
}

func (w *Simulation) client(machine wire.CloudMachine) *http.Client {
	return transport.Client(w.net(machine), 1, 2, time.Second)
}

// node is the index of the named node; -1 if there is none.
func (w *Simulation) node(name string) int {
	for i, n := range w.Nodes {
		if n.Name == name {
			return i
		}
	}
	return -1
}

// Starts counts the tasks started.
func (w *Simulation) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// StartsAfterCancel counts the starts after a confirmed cancellation.
func (w *Simulation) StartsAfterCancel() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startsAfterCancel
}

// RepeatedAttempts counts the attempts that started more than once, which only a start that
// was executed again after the attempt was cleared can bring about.
func (w *Simulation) RepeatedAttempts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.repeatedAttempts
}

// AssignedNode names the node to which a worker sends its heartbeats.
func (w *Simulation) AssignedNode(k *Worker) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Nodes[k.nodeIndex%len(w.Nodes)].Name
}

// SetReplicaExit sets what decides whether a replica of a service exits by itself, and how
// long after its start. It is called with the simulation's lock held.
func (w *Simulation) SetReplicaExit(f func(job *wire.Job, task int) (after time.Duration, exits bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replicaExit = f
}

// Replicas counts the tasks of a job that are on machines.
func (w *Simulation) Replicas(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLeases()
	state := w.jobs[id]
	if state == nil {
		return 0
	}
	n := 0
	for i := range state.job.TaskCount {
		n += len(w.running[wire.TaskName(id, i)])
	}
	return n
}

// Running counts the tasks on machines.
func (w *Simulation) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLeases()
	return len(w.running)
}

// Used is what a team's tasks use.
func (w *Simulation) Used(team string) (cpus, gpus float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used(team)
}

func (w *Simulation) used(team string) (cpus, gpus float64) {
	for _, workers := range w.running {
		for _, t := range workers {
			if t.job.Team == team {
				cpus += t.job.CPUs
				gpus += t.job.GPUs
			}
		}
	}
	return cpus, gpus
}

// FirstStart is when a job's first task started.
func (w *Simulation) FirstStart(id string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.jobs[id]
	if state == nil || state.firstStart.IsZero() {
		return time.Time{}, false
	}
	return state.firstStart, true
}
