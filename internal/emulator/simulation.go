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

	jobs            map[string]*jobState
	tasksOnMachines map[string]map[*Worker]*task // tasks on machines, by name
	startedAttempts map[taskAttempt]bool         // attempts that have started
	completedTasks  map[string]bool              // tasks that have completed, by name

	violations             []string
	startCount             int
	repeatedAttemptCount   int
	startsAfterCancelCount int
	faultsOverAt           time.Time // zero while there are faults
	// removalTime is when the tasks that are being removed ended, if not now.
	removalTime time.Time
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
		tasksOnMachines:  map[string]map[*Worker]*task{},
		startedAttempts:  map[taskAttempt]bool{},
		completedTasks:   map[string]bool{},
	}
}

// SetLinkDelay has what workers and users send and receive take that much longer each way.
func (s *Simulation) SetLinkDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linkDelay = d
}

// waitLinkDelay waits for as long as the link takes.
func (s *Simulation) waitLinkDelay(ctx context.Context) {
	s.mu.Lock()
	d := s.linkDelay
	s.mu.Unlock()
	if d > 0 {
		transport.Pause(ctx, d)
	}
}

// zoneNet is the network of a machine's zone.
func (s *Simulation) zoneNet(machine wire.CloudMachine) transport.Net {
	if n := s.ZoneNets[machine.Zone]; n != nil {
		return n
	}
	return s.Net
}

func (s *Simulation) client(machine wire.CloudMachine) *http.Client {
	return transport.Client(s.zoneNet(machine), 1, 2, time.Second)
}

// indexOfNode is the index of the named indexOfNode; -1 if there is none.
func (s *Simulation) indexOfNode(name string) int {
	for i, n := range s.Nodes {
		if n.Name == name {
			return i
		}
	}
	return -1
}

// StartCount counts the tasks started.
func (s *Simulation) StartCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startCount
}

// StartsAfterCancelCount counts the starts after a confirmed cancellation.
func (s *Simulation) StartsAfterCancelCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startsAfterCancelCount
}

// RepeatedAttemptCount counts the attempts that started more than once, which only a start that
// was executed again after the attempt was cleared can bring about.
func (s *Simulation) RepeatedAttemptCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeatedAttemptCount
}

// AssignedNode names the node to which a worker sends its heartbeats.
func (s *Simulation) AssignedNode(worker *Worker) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Nodes[worker.nodeIndex%len(s.Nodes)].Name
}

// SetReplicaExit sets what decides whether a replica of a service exits by itself, and how
// long after its start. It is called with the simulation's lock held.
func (s *Simulation) SetReplicaExit(f func(job *wire.Job, task int) (after time.Duration, exits bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicaExit = f
}

// ReplicaCount counts the tasks of a job that are on machines.
func (s *Simulation) ReplicaCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	state := s.jobs[id]
	if state == nil {
		return 0
	}
	count := 0
	for i := range state.job.Tasks {
		count += len(s.tasksOnMachines[wire.TaskName(id, i)])
	}
	return count
}

// TasksOnMachines counts the tasks on machines.
func (s *Simulation) TasksOnMachines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return len(s.tasksOnMachines)
}

// TeamUsage is what a team's tasks use.
func (s *Simulation) TeamUsage(team string) (cpus, gpus float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.teamUsage(team)
}

func (s *Simulation) teamUsage(team string) (cpus, gpus float64) {
	for _, workers := range s.tasksOnMachines {
		for _, t := range workers {
			if t.job.Team == team {
				cpus += t.job.CPUs
				gpus += t.job.GPUs
			}
		}
	}
	return cpus, gpus
}

// FirstStartTime is when a job's first task started.
func (s *Simulation) FirstStartTime(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.jobs[id]
	if state == nil || state.firstStartAt.IsZero() {
		return time.Time{}, false
	}
	return state.firstStartAt, true
}
