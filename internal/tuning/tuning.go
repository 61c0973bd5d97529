// Package tuning holds every constant of ambersill in one place, each with its
// unit and the reason for its value. Operators override them by name in a
// policy script.
package tuning

import "time"

// Tuning are the values that may be overridden. Durations are in seconds, so
// that a script can write them plainly.
type Tuning struct {
	// Parts is how many parts the jobs are divided into; 0 means one for each
	// controller.
	Parts int
	// HoldS: seconds that a node's lease in the state service lasts. A dead
	// controller's parts stand still for this long; much shorter, and one slow
	// answer would cost a live controller its parts.
	HoldS float64
	// StateTimeoutS: seconds until a request to the state service counts as
	// unanswered. Answers mostly take 10 ms and now and then some hundreds.
	StateTimeoutS float64
	// FreshS: age in seconds of an owner's news up to which it still starts tasks, and
	// of the newest request that was served up to which a node takes users' requests.
	FreshS float64
	// NewsS: seconds between two readings of the marks of cancelled jobs, whose age
	// decides whether reports may still be answered; a third of FreshS, so that one
	// slow answer does not stop the starts.
	NewsS float64
	// MarginS: seconds kept in hand wherever a worker's lease is waited for.
	MarginS float64
	// Drift: share by which clocks of two machines may drift apart (0.05%
	// each by the platform, doubled for two).
	Drift float64
	// TickS: seconds between scheduling passes when nothing happens.
	TickS float64
	// PassGapS: least seconds between two passes of a busy part; changes of one
	// chunk within it share one write.
	PassGapS float64
	// RoundS: seconds between two sizings of the fleet (the design's).
	RoundS float64
	// InFlightTarget: booked share of a machine that sizing aims at (the design's).
	InFlightTarget float64
	// QueueTarget: waiting machine units per extra machine (the design's).
	QueueTarget float64
	// HorizonS: seconds within which short tasks of an array are counted as
	// following one another in the same place: about a boot's time, since a
	// machine that is up only after they are over is wasted.
	HorizonS float64
	// GiveBackS: seconds that a lower target must hold before empty machines
	// go back (the design's).
	GiveBackS float64
	// ListS: seconds between two readings of the cloud's list of machines.
	ListS float64
	// SummaryS: least seconds between two summaries of a part.
	SummaryS float64
	// BootPatience: multiple of a type's boot time after which a machine
	// that is still booting goes back; most are up within 1.5.
	BootPatience float64
	// RefusalS: seconds that a kind of machine which the cloud has refused is
	// not asked for again; doubled at each refusal up to RefusalMaxS.
	RefusalS    float64
	RefusalMaxS float64
	// ErrorBackoffS: seconds that a job waits after a task failed with an
	// error; doubled each time up to ErrorBackoffMaxS.
	ErrorBackoffS    float64
	ErrorBackoffMaxS float64
	// RestartBackoffS: seconds that a service's replica waits which ended within SettledS of
	// its start; doubled each time up to ErrorBackoffMaxS. The first wait is short, for a
	// single end is mostly no sign of more.
	RestartBackoffS float64
	// SickErrors: failures of different jobs' tasks, with none done
	// in between, after which a machine counts as faulty.
	SickErrors int
	// PreemptGapS: seconds before the same job may stop others again.
	PreemptGapS float64
	// SearchGapS: seconds between two searches for work that yields to a job; one looks
	// at every task of every machine that it may use.
	SearchGapS float64
	// WorkWeight: seconds that a job's turn comes later for each CPU-second of
	// work that it has left.
	WorkWeight float64
	// LoadStep: how much of its guarantee, or of a usual machine without one, a
	// team may use more than another and still be its equal.
	LoadStep float64
	// StarveS: seconds that size and shares may keep a job from its first start.
	// Past it the job goes before others of its rank, and room is gathered for it.
	// Earlier, the oldest of an overloaded class would go first, image at hand or not,
	// and all of it be late.
	StarveS float64
	// OverdueS: seconds that rank and guarantees may, too. Past it a job's first task
	// goes before all on machines that are in use, a gang on any.
	OverdueS float64
	// ForceS: seconds after which it takes any machine, from urgent work that needs it
	// as a whole, and is not stopped for others; below the four minutes within which
	// all that can run has to begin, by the time that a start takes.
	ForceS float64
	// ConsolidateS: seconds between two attempts to empty a machine.
	ConsolidateS float64
	// OrdinaryCostS: seconds of image fetch that it is worth to keep work that
	// may use spot machines off ordinary ones, which then fall empty.
	OrdinaryCostS float64
	// SettledS: seconds after which a start counts even if the task is stopped
	// (the protocol's).
	SettledS float64
	// GraceS: seconds of grace beyond what a task says that saving takes.
	GraceS float64
	// UserWaitS: seconds within which a user's request is answered, at the
	// latest with a refusal; users wait 2 s for a query and 5 s otherwise.
	UserWaitS float64
	// RetryAfterS: seconds that a user whose request was refused is asked to wait.
	RetryAfterS int
	// ShareReserve: share of the state service's limits left unused, since
	// nodes count their requests apart.
	ShareReserve float64
	// LeaderShare: share of the state service's limits that the leader may use on
	// top of its own; the others seldom use all of theirs at the same moment, and
	// what the service refuses is sent again.
	LeaderShare float64
	// FinalCache: finished jobs whose answer a node remembers.
	FinalCache int
}

// Default returns the values that ambersill starts with.
func Default() Tuning {
	return Tuning{
		Parts: 1, HoldS: 4, StateTimeoutS: 2, FreshS: 3, NewsS: 1, MarginS: 1, Drift: 0.001,
		TickS: 0.5, PassGapS: 0.1, RoundS: 5, InFlightTarget: 1.0, QueueTarget: 1, HorizonS: 60, GiveBackS: 30,
		ListS: 3, SummaryS: 1, BootPatience: 3, RefusalS: 10, RefusalMaxS: 60,
		ErrorBackoffS: 5, RestartBackoffS: 1, ErrorBackoffMaxS: 120, SickErrors: 3, PreemptGapS: 10, SearchGapS: 1, SettledS: 30, WorkWeight: 0.05, LoadStep: 0.5, StarveS: 180, OverdueS: 180, ForceS: 210, ConsolidateS: 10, OrdinaryCostS: 15, GraceS: 2,
		UserWaitS: 1.5, RetryAfterS: 1, ShareReserve: 0.08, LeaderShare: 0.25, FinalCache: 4096,
	}
}

// Fixed limits, not for tuning.
const (
	// MaxRent: machines in one rental, by the protocol; fewer if their group's record
	// would not fit one value.
	MaxRent = 50
	// MaxReturn: machines given back in one call, by the protocol.
	MaxReturn = 100
	// MaxCommands: commands in one answer to a worker; at about 80 bytes
	// each this stays well under the protocol's 64 KiB.
	MaxCommands = 200
	// TaskBytes: bytes of a record set aside for one task; a placement takes
	// about 40.
	TaskBytes = 64
	// JournalSlots: records of a part's journal before it begins anew. At ten a second
	// a chunk is folded every 20 s, and a takeover reads a few hundred keys at most.
	JournalSlots = 256
	// MinJournalBytes: a journal record is not begun in a transaction that has less
	// room than this left.
	MinJournalBytes = 1 << 10
	// BaseShare: share of the state service's limits that all nodes have alike, for users'
	// requests; the rest goes to the owners of partitions. Users' changes go ahead of the
	// budget, so that it need not hold what their peaks take.
	BaseShare = 0.2
	// SummaryShare: share of the state service's rate of changes that summaries may take.
	SummaryShare = 0.15
	// ConversionGap: least time between two records rewritten only for their format, four
	// a second: a few hundred are converted in a minute or two, beside the usual changes.
	ConversionGap = 250 * time.Millisecond
	// TxnBytes: bytes that one transaction may take; the service allows 64 KiB.
	TxnBytes = 48 << 10
	// GCPercent: growth of the heap, in per cent of what lives, between two collections.
	// What lives takes a tenth to a third of the memory on every deployment served.
	GCPercent = 400
	// HeapShare: share of the machine's memory from which on collections come sooner.
	HeapShare = 0.6
	// OrderShare: share of the sockets for orders under way straight to workers. It is
	// enough for a zone's machines to fall silent at once, each of which holds one
	// until its order times out.
	OrderShare = 0.1
	// IdleOrders: connections to workers that are kept open between orders.
	IdleOrders = 64
	// OwnSockets: sockets for the state service, the cloud and the other controllers,
	// so that no crowd of users or workers keeps a controller from renewing its lease.
	OwnSockets = 100
	// TakeoverTimeout: for an order that only raises a token, and for connecting to a
	// worker at all; one that is there answers in milliseconds.
	TakeoverTimeout = time.Second
	// ReadTimeout: for a request's body; slow senders must not hold sockets.
	ReadTimeout = 10 * time.Second
	// IdleTimeout: for a connection without requests. Workers and users that are there
	// send some every few seconds; those that hang must not hold sockets.
	IdleTimeout = 45 * time.Second
)

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
