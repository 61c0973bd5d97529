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

// Node is the name and the public address of a controller's node.
type Node struct{ Name, Addr string }

// SimulationConfig has the settings of a simulation.
type SimulationConfig struct {
	Ctx context.Context
	Net transport.Net
	// ZoneNets has the networks of the zones that can be cut off, by zone. Workers in other
	// zones use Net.
	ZoneNets          map[string]transport.Net
	Nodes             []Node
	MachineTypes      map[string]wire.MachineType
	Teams             []config.Team
	HeartbeatInterval time.Duration // setting report_s
	LeaseDuration     time.Duration // setting lease_s
	GangWaitTimeout   time.Duration // setting gang_wait_s
	GangPeerTimeout   time.Duration // setting gang_peer_s
	CancelDeadline    time.Duration // setting cancel_s
	// RunTime returns how long a task runs. If it is nil, each task runs for its job's
	// EstimatedRunS.
	RunTime func(job *wire.Job, task int) time.Duration
	// OnHeartbeat, if not nil, is called with each heartbeat before it is sent, unless the
	// machine's outbound traffic is cut. It may call send at any later time to send a copy of
	// the heartbeat to a node.
	OnHeartbeat func(heartbeat *wire.Heartbeat, send func(to Node))
	// OnCommandsExecuted, if not nil, is called with each command request that a worker has
	// executed and answered. It may call repeat at any later time to execute a copy of the
	// request. It is called with the simulation's lock held.
	OnCommandsExecuted func(request *wire.CommandRequest, repeat CommandRepeater)
	// OnJobDone, if not nil, is called with the job ID when the last task of a job completes.
	OnJobDone func(job string)
}

// Simulation has the shared state of the emulated workers and users, and is the reference model
// of the protocol's rules: it records the start and the end of every task and the answers to
// users, and reports each violation of a rule. The rules are in checker.go, the life cycle of
// tasks is in lifecycle.go.
type Simulation struct {
	SimulationConfig

	// mu protects the fields below and the state of all workers.
	mu          sync.Mutex
	replicaExit func(job *wire.Job, task int) (time.Duration, bool)
	linkDelay   time.Duration // added to each request and each response of workers and users

	jobs            map[string]*jobState
	tasksOnMachines map[string]map[*Worker]*task // tasks on machines, by task name
	startedAttempts map[taskAttempt]bool         // attempts that have started at least once
	completedTasks  map[string]bool              // tasks that have completed, by task name
	gangProgress    map[string]time.Duration     // saved progress of gangs, by job ID
	jobEvents       []jobEvent                   // in the order in which they happened

	violations             []string
	startCount             int
	repeatedAttemptCount   int
	startsAfterCancelCount int
	faultsOverAt           time.Time // when the injected faults ended; zero before that
	// removalTime is the time at which a machine's lease expired, and is set only while the
	// tasks of that machine are being removed. While it is zero, a task that is removed ends at
	// the current time.
	removalTime time.Time
}

// taskAttempt identifies an attempt of a task.
type taskAttempt struct {
	task    string
	attempt uint64
}

// NewSimulation returns a simulation that has no workers and no jobs.
func NewSimulation(config SimulationConfig) *Simulation {
	return &Simulation{
		SimulationConfig: config,
		jobs:             map[string]*jobState{},
		tasksOnMachines:  map[string]map[*Worker]*task{},
		startedAttempts:  map[taskAttempt]bool{},
		completedTasks:   map[string]bool{},
		gangProgress:     map[string]time.Duration{},
	}
}

// SetLinkDelay sets the delay that is added to each request and each response of workers and
// users.
func (s *Simulation) SetLinkDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linkDelay = delay
}

// waitLinkDelay waits for the link delay, or until the context ends.
func (s *Simulation) waitLinkDelay(ctx context.Context) {
	s.mu.Lock()
	delay := s.linkDelay
	s.mu.Unlock()
	if delay > 0 {
		transport.Pause(ctx, delay)
	}
}

// zoneNet returns the network of a machine's zone.
func (s *Simulation) zoneNet(machine wire.CloudMachine) transport.Net {
	if n := s.ZoneNets[machine.Zone]; n != nil {
		return n
	}
	return s.Net
}

func (s *Simulation) client(machine wire.CloudMachine) *http.Client {
	return transport.Client(s.zoneNet(machine), 1, 2, time.Second)
}

// indexOfNode returns the index of the named node in Nodes; -1 if there is none.
func (s *Simulation) indexOfNode(name string) int {
	for i, n := range s.Nodes {
		if n.Name == name {
			return i
		}
	}
	return -1
}

// StartCount returns how many times a task has started. Each attempt of a task counts.
func (s *Simulation) StartCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startCount
}

// StartsAfterCancelCount returns how many times a task has started after its job was reported as
// cancelled to a user.
func (s *Simulation) StartsAfterCancelCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startsAfterCancelCount
}

// RepeatedAttemptCount returns how many starts were of an attempt that had started before. This
// happens, for example, if a worker executes a start command again after the command to forget the
// attempt.
func (s *Simulation) RepeatedAttemptCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeatedAttemptCount
}

// AssignedNode returns the name of the node to which a worker sends its heartbeats.
func (s *Simulation) AssignedNode(worker *Worker) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Nodes[worker.nodeIndex%len(s.Nodes)].Name
}

// SetReplicaExit sets the function that decides whether a replica of a service exits by itself,
// and how long after its start. The function is called with the simulation's lock held.
func (s *Simulation) SetReplicaExit(f func(job *wire.Job, task int) (after time.Duration, exits bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicaExit = f
}

// ReplicaCount returns how many tasks of a job are on machines. A task that is on two machines
// counts twice.
func (s *Simulation) ReplicaCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	state := s.jobs[id]
	if state == nil {
		return 0
	}
	count := 0
	for i := range state.job.TaskCount {
		count += len(s.tasksOnMachines[wire.TaskName(id, i)])
	}
	return count
}

// TasksOnMachines returns how many different tasks are on machines.
func (s *Simulation) TasksOnMachines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return len(s.tasksOnMachines)
}

// TeamUsage returns the numbers of CPUs and GPUs that a team's tasks use.
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

// FirstStartTime returns when the first task of a job started; false if none has started.
func (s *Simulation) FirstStartTime(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.jobs[id]
	if state == nil || state.firstStartAt.IsZero() {
		return time.Time{}, false
	}
	return state.firstStartAt, true
}
