package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ambersill/internal/wire"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults. Each begins at its time and, where it lasts, ends after For.
const (
	// ControllerCrash kills controllers (Nodes, or Count of them from there on); each is back
	// after Wait.
	ControllerCrash FaultKind = "crash"
	// StoreRefusesNode: the key-value store refuses the nodes alone; their watches stay open.
	StoreRefusesNode FaultKind = "state refuses"
	// StoreOutage: it refuses everybody, and no hold runs out.
	StoreOutage FaultKind = "state out"
	// StoreSlow: its answers take Wait.
	StoreSlow FaultKind = "state slow"
	// WatchesStalled: its watches bring nothing, while all else is served.
	WatchesStalled FaultKind = "watches stuck"
	// ListsRefused: it refuses listings, while all else is served.
	ListsRefused FaultKind = "lists refused"
	// LateCommits: that Share of commits (of the nodes, if some are named) gets no answer and is carried out 2 to 12 s later.
	LateCommits FaultKind = "late writes"
	// LostResponses: that Share of commits (likewise) is carried out at once and gets no answer.
	LostResponses FaultKind = "lost answers"
	// LateHeartbeats: of that Share of heartbeats a copy reaches some node again, up to Wait later.
	LateHeartbeats FaultKind = "late reports"
	// HeartbeatsForNextOwner: copies are kept, and reach every node Wait after the partition has
	// another owner.
	HeartbeatsForNextOwner FaultKind = "reports for next"
	// SlowLinks: what workers and users send and get takes Wait longer each way.
	SlowLinks FaultKind = "slow links"
	// MachineHang, MachineInboundCut, MachineOutboundCut: Count machines with work (0: all) hang, receive nothing, or reach no
	// controller.
	MachineHang        FaultKind = "hang"
	MachineInboundCut  FaultKind = "deaf"
	MachineOutboundCut FaultKind = "mute"
	// DelayedCommands: orders straight to Count machines, idle ones too, are carried out Wait late.
	DelayedCommands FaultKind = "held orders"
	// MachineLost: Count machines are gone at once.
	MachineLost FaultKind = "taken"
	// NodeIsolated: the nodes lose the key-value store and the other controllers.
	NodeIsolated FaultKind = "alone"
	// PeersCut: the nodes lose the other controllers.
	PeersCut FaultKind = "peers cut"
	// WorkersCut: the nodes lose the workers.
	WorkersCut FaultKind = "workers cut"
	// CloudCut: the nodes lose the cloud, so that they can neither rent nor return.
	CloudCut FaultKind = "cloud cut"
	// ZoneCut: a Zone's workers, and the nodes, reach nothing outside of it.
	ZoneCut FaultKind = "zone cut"
	// SlowProcessor: every message that the nodes send or receive takes Wait of the one
	// processor that each has.
	SlowProcessor FaultKind = "slow processor"
	// NodeFrozen: the nodes send and receive nothing, as processes that are not run.
	NodeFrozen FaultKind = "stands still"
	// CancelRunningJobs: users cancel Count jobs (0: all) that run, at once.
	CancelRunningJobs FaultKind = "cancel now"
)

// Owner stands for the node that owns the first partition when the fault begins; Others for
// all but that one.
const (
	Owner  = -1
	Others = -2
)

// Fault is one line of a script.
type Fault struct {
	At, For time.Duration
	Kind    FaultKind
	Nodes   []int
	Count   int
	Share   float64
	Wait    time.Duration
	Zone    string
	Team    string // only machines with work of it
}

// FaultInjector injects faults into the emulated systems, and into the controllers by its callbacks.
type FaultInjector struct {
	Network    *Network
	Store      *KeyValueStore
	Cloud      *Cloud
	Simulation *Simulation
	Nodes      []Node
	Rand       *rand.Rand
	// Start and Crash begin and kill a controller. Owner tells which one owns the first
	// partition by the store's record, and that record's revision.
	Start, Crash func(node int)
	Owner        func() (node int, revision uint64)
	// Cancel has the users of up to n jobs that run (0: all) cancel them.
	Cancel func(n int) int

	mu          sync.Mutex
	injected    map[FaultKind]int
	commitFault func(from string) (RequestFault, time.Duration) // of commits, while some are late or unanswered
	onHeartbeat func(heartbeat *wire.Heartbeat, send func(Node))
	wg          sync.WaitGroup
}

// Injected counts how often a kind of fault took effect: requests refused, commits late or
// unanswered, copies delivered, commands late, machines and nodes struck.
func (s *FaultInjector) Injected(k FaultKind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.injected[k]
}

func (s *FaultInjector) countInjected(k FaultKind, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.injected == nil {
		s.injected = map[FaultKind]int{}
	}
	s.injected[k] += n
}

func (s *FaultInjector) float() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Rand.Float64()
}

// Attach has the emulated systems ask the injector what becomes of commits and heartbeats; to be
// called before the controllers start.
func (s *FaultInjector) Attach() {
	s.Store.Faults = func(from string, _ *wire.Txn) (RequestFault, time.Duration) {
		s.mu.Lock()
		f := s.commitFault
		s.mu.Unlock()
		if f == nil {
			return NoFault, 0
		}
		return f(from)
	}
	s.Simulation.OnHeartbeat = func(heartbeat *wire.Heartbeat, send func(Node)) {
		s.mu.Lock()
		f := s.onHeartbeat
		s.mu.Unlock()
		if f != nil {
			f(heartbeat, send)
		}
	}
}

// Run injects a script's faults, each in a goroutine of its own, and returns when
// all are over.
func (s *FaultInjector) Run(ctx context.Context, script ...Fault) {
	for _, fault := range script {
		s.wg.Go(func() {
			select {
			case <-time.After(fault.At):
				s.inject(ctx, fault)
			case <-ctx.Done():
			}
		})
	}
	s.wg.Wait()
}

// waitUntilOver waits until the fault is over.
func waitUntilOver(ctx context.Context, fault Fault) {
	select {
	case <-time.After(fault.For):
	case <-ctx.Done():
	}
}

func (s *FaultInjector) nodes(fault Fault) []int {
	var out []int
	for _, n := range fault.Nodes {
		owner := n
		if n < 0 {
			owner, _ = s.Owner()
		}
		for i := range s.Nodes {
			if (n == Others) != (i == owner) {
				out = append(out, i)
			}
		}
	}
	return out
}

// machines lists up to Count machines with work, in the zone if one is named.
func (s *FaultInjector) machines(fault Fault) []*Worker {
	var out []*Worker
	for _, worker := range s.Cloud.Workers() {
		s.Simulation.mu.Lock()
		busy := fault.Kind == DelayedCommands && !worker.dead // starts go to idle ones above all
		for _, x := range worker.tasks {
			busy = busy || (!worker.dead && (fault.Team == "" || x.job.Team == fault.Team))
		}
		s.Simulation.mu.Unlock()
		if busy && (fault.Zone == "" || worker.Machine.Zone == fault.Zone) && (fault.Count == 0 || len(out) < fault.Count) {
			out = append(out, worker)
		}
	}
	return out
}

func (s *FaultInjector) inject(ctx context.Context, fault Fault) {
	fault.Nodes = s.nodes(fault) // whoever owns the partition when the fault is over
	switch fault.Kind {
	case ControllerCrash:
		s.crashControllers(ctx, fault)
	case StoreRefusesNode, StoreOutage, StoreSlow, WatchesStalled, ListsRefused:
		s.injectStoreFault(ctx, fault)
	case LateCommits, LostResponses:
		s.disturbCommits(ctx, fault)
	case LateHeartbeats:
		s.copyHeartbeatsLate(ctx, fault)
	case HeartbeatsForNextOwner:
		s.replayToNextOwner(ctx, fault)
	case MachineHang, MachineInboundCut, MachineOutboundCut, DelayedCommands, MachineLost:
		s.injectMachineFault(ctx, fault)
	case NodeIsolated, PeersCut, WorkersCut, CloudCut, ZoneCut:
		s.cut(fault, true)
		waitUntilOver(ctx, fault)
		s.cut(fault, false)
	case SlowLinks:
		s.delay(ctx, fault, s.Simulation.SetLinkDelay)
	case SlowProcessor, NodeFrozen:
		s.limitProcessor(ctx, fault)
	case CancelRunningJobs:
		s.countInjected(fault.Kind, s.Cancel(fault.Count))
	default:
		panic(fmt.Sprintf("emulator: no fault is called %q", fault.Kind))
	}
}

// injectStoreFault disturbs requests to the key-value store other than single commits.
func (s *FaultInjector) injectStoreFault(ctx context.Context, fault Fault) {
	switch fault.Kind {
	case StoreRefusesNode:
		s.refuseNodes(ctx, fault)
	case StoreOutage:
		s.switchOn(ctx, fault, s.Store.SetDown)
	case StoreSlow:
		s.delay(ctx, fault, s.Store.SetDelay)
	case WatchesStalled:
		s.switchOn(ctx, fault, s.Store.StallWatches)
	case ListsRefused:
		s.switchOn(ctx, fault, s.Store.RefuseLists)
	default:
		panic(fmt.Sprintf("emulator: %q does not strike the key-value store", fault.Kind))
	}
}

// switchOn sets a fault that is either on or off for as long as it lasts.
func (s *FaultInjector) switchOn(ctx context.Context, fault Fault, set func(on bool)) {
	s.countInjected(fault.Kind, 1)
	set(true)
	waitUntilOver(ctx, fault)
	set(false)
}

// delay sets a delay of the fault's Wait for as long as it lasts.
func (s *FaultInjector) delay(ctx context.Context, fault Fault, set func(delay time.Duration)) {
	s.countInjected(fault.Kind, 1)
	set(fault.Wait)
	waitUntilOver(ctx, fault)
	set(0)
}

// crashControllers kills the nodes' controllers, and starts each again after the fault's Wait.
func (s *FaultInjector) crashControllers(ctx context.Context, fault Fault) {
	for _, n := range fault.Nodes {
		s.countInjected(fault.Kind, 1)
		s.Crash(n)
		s.wg.Go(func() {
			select {
			case <-time.After(fault.Wait):
				s.Start(n)
			case <-ctx.Done():
			}
		})
	}
}

// refuseNodes has the key-value store refuse all requests of the nodes.
func (s *FaultInjector) refuseNodes(ctx context.Context, fault Fault) {
	for _, n := range fault.Nodes {
		s.Store.RefuseHost(s.Nodes[n].Name, true)
	}
	waitUntilOver(ctx, fault)
	for _, n := range fault.Nodes {
		s.countInjected(fault.Kind, s.Store.Refused(s.Nodes[n].Name))
		s.Store.RefuseHost(s.Nodes[n].Name, false)
	}
}

// disturbCommits executes commits late, or loses their responses. The nodes named send them,
// or any node if none is.
func (s *FaultInjector) disturbCommits(ctx context.Context, fault Fault) {
	named := map[string]bool{}
	for _, n := range fault.Nodes {
		named[s.Nodes[n].Name] = true
	}
	s.whileCommitFault(ctx, fault, func(from string) (RequestFault, time.Duration) {
		if (len(named) > 0 && !named[from]) || s.float() >= fault.Share {
			return NoFault, 0
		}
		s.countInjected(fault.Kind, 1)
		if fault.Kind == LostResponses {
			return LoseResponse, 0
		}
		return ExecuteLate, time.Duration((2 + 10*s.float()) * float64(time.Second))
	})
}

// copyHeartbeatsLate sends copies of heartbeats to any node, up to the fault's Wait later.
func (s *FaultInjector) copyHeartbeatsLate(ctx context.Context, fault Fault) {
	s.mu.Lock()
	s.onHeartbeat = func(_ *wire.Heartbeat, send func(Node)) {
		if s.float() >= fault.Share {
			return
		}
		to := s.Nodes[int(s.float()*float64(len(s.Nodes)))]
		time.AfterFunc(2*time.Second+time.Duration(s.float()*float64(fault.Wait)), func() {
			s.countInjected(fault.Kind, 1)
			send(to)
		})
	}
	s.mu.Unlock()
	waitUntilOver(ctx, fault)
	s.mu.Lock()
	s.onHeartbeat = nil
	s.mu.Unlock()
}

// limitProcessor takes processor time from the nodes.
func (s *FaultInjector) limitProcessor(ctx context.Context, fault Fault) {
	var struck sync.WaitGroup
	for _, n := range fault.Nodes {
		name := s.Nodes[n].Name
		s.countInjected(fault.Kind, 1)
		struck.Go(func() {
			if fault.Kind == NodeFrozen {
				s.Network.Freeze(ctx, name, fault.For)
				return
			}
			s.Network.SlowDown(name, fault.Wait)
			waitUntilOver(ctx, fault)
			s.Network.SlowDown(name, 0)
		})
	}
	struck.Wait()
}

// whileCommitFault sets what becomes of commits for as long as the fault lasts.
func (s *FaultInjector) whileCommitFault(ctx context.Context, fault Fault, f func(string) (RequestFault, time.Duration)) {
	s.mu.Lock()
	s.commitFault = f
	s.mu.Unlock()
	waitUntilOver(ctx, fault)
	s.mu.Lock()
	s.commitFault = nil
	s.mu.Unlock()
}

// nextOwnerTimeout is how long another owner is waited for.
const nextOwnerTimeout = 2 * time.Minute

// replayToNextOwner keeps the first copy of each machine's heartbeats during the fault, and sends
// them to every node when the partition has another owner.
func (s *FaultInjector) replayToNextOwner(ctx context.Context, fault Fault) {
	_, revision := s.Owner()
	kept := map[string]func(Node){}
	s.mu.Lock()
	s.onHeartbeat = func(heartbeat *wire.Heartbeat, send func(Node)) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if kept[heartbeat.Machine] == nil {
			kept[heartbeat.Machine] = send
		}
	}
	s.mu.Unlock()
	waitUntilOver(ctx, fault)
	s.mu.Lock()
	s.onHeartbeat = nil
	s.mu.Unlock()
	for end := time.Now().Add(nextOwnerTimeout); ; time.Sleep(20 * time.Millisecond) {
		if n, now := s.Owner(); n >= 0 && now != revision {
			break
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return
		}
	}
	time.Sleep(fault.Wait)
	// Several times, since it begins when it has read its records.
	for range 6 {
		for _, send := range kept {
			for _, n := range s.Nodes {
				s.countInjected(fault.Kind, 1)
				s.wg.Go(func() { send(n) })
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *FaultInjector) injectMachineFault(ctx context.Context, fault Fault) {
	ws := s.machines(fault)
	before := 0
	for _, worker := range ws {
		before += worker.LateCommands()
		switch fault.Kind {
		case MachineHang:
			worker.Hang(fault.For)
		case MachineInboundCut:
			worker.CutInbound(true)
		case MachineOutboundCut:
			worker.CutOutbound(true)
		case DelayedCommands:
			worker.DelayCommands(fault.Wait)
		case MachineLost:
			s.Cloud.TakeBack(worker.Machine.ID)
		default:
			panic(fmt.Sprintf("emulator: %q does not strike machines", fault.Kind))
		}
	}
	if fault.Kind != DelayedCommands {
		s.countInjected(fault.Kind, len(ws))
	}
	if fault.Kind == MachineHang || fault.Kind == MachineLost {
		return
	}
	waitUntilOver(ctx, fault)
	after := 0
	for _, worker := range ws {
		after += worker.LateCommands()
		worker.CutInbound(false)
		worker.CutOutbound(false)
		worker.DelayCommands(0)
	}
	if fault.Kind == DelayedCommands {
		s.countInjected(fault.Kind, after-before)
	}
}

// cut parts hosts, or joins them again.
func (s *FaultInjector) cut(fault Fault, on bool) {
	part := func(a, b string) { s.Network.Cut(a, b, on) }
	inside := map[string]bool{}
	for _, n := range fault.Nodes {
		inside[s.Nodes[n].Name] = true
	}
	if on {
		s.countInjected(fault.Kind, 1)
	}
	for name := range inside {
		for _, host := range s.hostsCutFrom(name, inside, fault) {
			part(name, host)
		}
	}
	if fault.Kind == ZoneCut {
		for _, host := range s.nodesOutside(inside) {
			part("workers-"+fault.Zone, host)
		}
	}
}

// hostsCutFrom lists the hosts that a fault cuts a node off from. inside are all nodes that the
// fault names.
func (s *FaultInjector) hostsCutFrom(name string, inside map[string]bool, fault Fault) []string {
	others := s.nodesOutside(map[string]bool{name: true})
	switch fault.Kind {
	case NodeIsolated:
		return append([]string{"state"}, others...)
	case PeersCut:
		return others
	case WorkersCut:
		return s.otherWorkers("")
	case CloudCut:
		return []string{"cloud"}
	case ZoneCut:
		hosts := append([]string{"state", "cloud"}, s.otherWorkers(fault.Zone)...)
		return append(hosts, s.nodesOutside(inside)...)
	default:
		panic(fmt.Sprintf("emulator: %q cuts no links", fault.Kind))
	}
}

// nodesOutside lists the nodes that are not in a set, by name.
func (s *FaultInjector) nodesOutside(inside map[string]bool) []string {
	var out []string
	for _, node := range s.Nodes {
		if !inside[node.Name] {
			out = append(out, node.Name)
		}
	}
	return out
}

// otherWorkers lists the workers' hosts of all zones but one; "" leaves out none.
func (s *FaultInjector) otherWorkers(zone string) []string {
	var out []string
	for z := range s.Simulation.ZoneNets {
		if z != zone {
			out = append(out, "workers-"+z)
		}
	}
	return out
}
