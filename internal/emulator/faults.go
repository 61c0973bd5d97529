package emulator

import "time"

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults of the controllers' processes.
const (
	// ControllerCrash kills the controllers of Nodes, and starts each again after Wait.
	ControllerCrash FaultKind = "controller crash"
	// SlowProcessor has every message that Nodes send or receive take Wait of the one
	// processor that each of them has.
	SlowProcessor FaultKind = "slow processor"
	// NodeFrozen has Nodes send and receive nothing, as processes that are not scheduled.
	NodeFrozen FaultKind = "node frozen"
)

// Kinds of faults of the key-value store.
const (
	// StoreRefusesNode has the store refuse Nodes alone; their watches stay open.
	StoreRefusesNode FaultKind = "store refuses node"
	// StoreOutage has the store refuse all requests; no lease expires.
	StoreOutage FaultKind = "store outage"
	// StoreSlow delays the store's responses by Wait.
	StoreSlow FaultKind = "store slow"
	// WatchesStalled keeps watches from being answered, while everything else is served.
	WatchesStalled FaultKind = "watches stalled"
	// ListsRefused has the store refuse listings, while everything else is served.
	ListsRefused FaultKind = "lists refused"
	// LateCommits leaves that Share of commits (of Nodes, if some are named) unanswered, and
	// executes them 2 to 12 s later.
	LateCommits FaultKind = "late commits"
	// LostResponses executes that Share of commits (of Nodes, if some are named) at once, and
	// leaves them unanswered.
	LostResponses FaultKind = "lost responses"
)

// Kinds of faults of heartbeats and links.
const (
	// LateHeartbeats sends copies of that Share of heartbeats to random nodes, up to Wait
	// later.
	LateHeartbeats FaultKind = "late heartbeats"
	// HeartbeatsForNextOwner keeps copies of heartbeats, and sends them to every node, Wait
	// after the partition has got another owner.
	HeartbeatsForNextOwner FaultKind = "heartbeats for next owner"
	// SlowLinks delays what workers and users send and receive by Wait each way.
	SlowLinks FaultKind = "slow links"
)

// Kinds of faults of machines. They strike Count machines (0: all) with work, of the Zone and
// the Team if these are named.
const (
	// MachineHang has the machines hang.
	MachineHang FaultKind = "machine hang"
	// MachineInboundCut has the machines receive nothing.
	MachineInboundCut FaultKind = "machine inbound cut"
	// MachineOutboundCut has the machines reach no controller.
	MachineOutboundCut FaultKind = "machine outbound cut"
	// DelayedCommands has commands that are sent directly to the machines, idle ones too,
	// execute Wait later.
	DelayedCommands FaultKind = "delayed commands"
	// MachineLost removes the machines without notice.
	MachineLost FaultKind = "machine lost"
)

// Kinds of faults of the network.
const (
	// NodeIsolated cuts Nodes off from the key-value store and the other controllers.
	NodeIsolated FaultKind = "node isolated"
	// PeersCut cuts Nodes off from the other controllers.
	PeersCut FaultKind = "peers cut"
	// WorkersCut cuts Nodes off from the workers.
	WorkersCut FaultKind = "workers cut"
	// CloudCut cuts Nodes off from the cloud, so that they can neither rent nor return.
	CloudCut FaultKind = "cloud cut"
	// ZoneCut cuts off a Zone's workers, and Nodes, from everything outside of it.
	ZoneCut FaultKind = "zone cut"
)

// CancelRunningJobs has users cancel Count running jobs (0: all) at once.
const CancelRunningJobs FaultKind = "cancel running jobs"

// Values in Fault.Nodes that stand for nodes which are known only when the fault begins.
const (
	FirstPartitionOwner = -1 // the node that owns the first partition
	NonOwnerNodes       = -2 // all nodes but that one
)

// Fault is one line of a script. Which of the parameters after Nodes a fault has is said at
// its kind.
type Fault struct {
	Start       time.Duration // when the fault begins
	ActiveFor   time.Duration // how long it lasts, if its kind does
	Kind        FaultKind
	Nodes       []int // indexes in FaultInjector.Nodes, OwnerNode or NonOwnerNodes
	MaxTargets  int
	Probability float64
	Delay       time.Duration
	Zone        string
	Team        string
}
