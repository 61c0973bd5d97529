package emulator

import "time"

// FaultKind names what a Fault does.
type FaultKind string

// Faults of controller processes.
const (
	// ControllerCrash kills the controllers on Nodes, and restarts each after Delay.
	ControllerCrash FaultKind = "controller crash"
	// SlowProcessor makes every message that Nodes send or receive occupy the node's only
	// processor for Delay.
	SlowProcessor FaultKind = "slow processor"
	// NodeFrozen stops Nodes from sending and receiving, like processes that get no CPU time.
	NodeFrozen FaultKind = "node frozen"
)

// Faults of the key-value store.
const (
	// StoreRefusesNode makes the store refuse the requests of Nodes while it serves all others.
	// Open watches of Nodes stay open.
	StoreRefusesNode FaultKind = "store refuses node"
	// StoreOutage makes the store refuse all requests. No lease expires meanwhile.
	StoreOutage FaultKind = "store outage"
	// StoreSlow delays the store's responses by Delay.
	StoreSlow FaultKind = "store slow"
	// WatchesStalled leaves watch requests unanswered. All other requests are served.
	WatchesStalled FaultKind = "watches stalled"
	// ListsRefused makes the store refuse list requests. All other requests are served.
	ListsRefused FaultKind = "lists refused"
	// LateCommits affects each commit with the given Probability: the commit is not answered,
	// and is executed 2 to 12 s later. If Nodes is empty, the commits of all nodes are affected.
	LateCommits FaultKind = "late commits"
	// LostResponses affects each commit with the given Probability: the commit is executed at
	// once, but not answered. If Nodes is empty, the commits of all nodes are affected.
	LostResponses FaultKind = "lost responses"
)

// LateRequestCopies has the key-value store and the cloud execute copies of requests that they have
// executed and answered, each with the given Probability, minCopyDelay and a random time of up to Delay
// later. Nobody receives the responses.
const LateRequestCopies FaultKind = "late request copies"

// Faults of heartbeats and of the links to workers and users.
const (
	// LateHeartbeats copies each heartbeat with the given Probability, and sends the copy to a
	// random node after minLateHeartbeatDelay and a random time of up to Delay.
	LateHeartbeats FaultKind = "late heartbeats"
	// HeartbeatsForNextOwner records each machine's first heartbeat during the fault. Once the
	// fault is over and the first partition has a new owner, it waits for Delay and sends the
	// recorded heartbeats to every node.
	HeartbeatsForNextOwner FaultKind = "heartbeats for next owner"
	// LateCommandCopies copies each direct command request that a worker has executed and answered
	// with the given Probability. The worker executes the copy minCopyDelay and a random time
	// of up to Delay later, if token and incarnation still match, and nobody receives its response.
	LateCommandCopies FaultKind = "late command copies"
	// SlowLinks delays messages to and from workers and users by Delay in each direction.
	SlowLinks FaultKind = "slow links"
)

// Faults of machines. They affect up to MaxTargets machines (0: all) that have tasks, restricted
// to the given Zone and Team if these are set.
const (
	// MachineHang suspends the machines. Afterwards they continue from the same state.
	MachineHang FaultKind = "machine hang"
	// MachineInboundCut keeps commands and responses to heartbeats from reaching the machines.
	MachineInboundCut FaultKind = "machine inbound cut"
	// MachineOutboundCut keeps heartbeats of the machines from reaching the controllers.
	// Commands still arrive.
	MachineOutboundCut FaultKind = "machine outbound cut"
	// DelayedCommands delays, by Delay, the execution of commands that are sent directly to the
	// machines. It also affects idle machines, and ignores Team.
	DelayedCommands FaultKind = "delayed commands"
	// MachineLost removes the machines without a termination notice.
	MachineLost FaultKind = "machine lost"
)

// Faults of the network.
const (
	// NodeIsolated cuts Nodes off from the key-value store and the other controllers.
	NodeIsolated FaultKind = "node isolated"
	// PeersCut cuts Nodes off from the other controllers.
	PeersCut FaultKind = "peers cut"
	// WorkersCut cuts Nodes off from the workers.
	WorkersCut FaultKind = "workers cut"
	// CloudCut cuts Nodes off from the cloud, so that they can neither rent nor return machines.
	CloudCut FaultKind = "cloud cut"
	// ZoneCut cuts Nodes and the workers of Zone off from everything outside the zone, except
	// users. Nodes are the nodes that count as in the zone. Their links to each other and to the
	// zone's workers stay up.
	ZoneCut FaultKind = "zone cut"
)

// CancelRunningJobs makes users cancel up to MaxTargets running jobs (0: all) at once.
const CancelRunningJobs FaultKind = "cancel running jobs"

// Placeholders in Fault.Nodes. They are resolved when the fault begins, since the owner of a
// partition changes during a run.
const (
	FirstPartitionOwner = -1 // the node that owns the first partition
	NonOwnerNodes       = -2 // all nodes except the owner of the first partition
)

// Fault is one step of a script for FaultInjector.Run. The comments on the FaultKind constants say
// which of the fields after Kind are used.
type Fault struct {
	Start time.Duration // when the fault begins, counted from the call of Run
	// ActiveFor is how long the fault lasts. It is not used by ControllerCrash, MachineLost and
	// CancelRunningJobs.
	ActiveFor   time.Duration
	Kind        FaultKind
	Nodes       []int // indexes in FaultInjector.Nodes, FirstPartitionOwner or NonOwnerNodes
	MaxTargets  int
	Probability float64
	Delay       time.Duration
	Zone        string
	Team        string
}
