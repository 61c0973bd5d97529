// Package tuning has ambersill's tunables and fixed limits, each with its unit and the reason
// for its value. Operators override tunables by name in a policy script.
package tuning

import "time"

// Tuning are the tunables. Durations are in seconds, so that a script can state them as plain
// numbers.
type Tuning struct {
	// Parts is the number of partitions that jobs are divided into; 0 means one for each
	// controller.
	Parts int
	// HoldS is the time to live of a controller's lease in the key-value store. The
	// partitions of a controller that fails are idle for this long; if it were much shorter,
	// one slow response would cost a controller its partitions.
	HoldS float64
	// StateTimeoutS is the timeout of a request to the key-value store. Most responses take
	// 10 ms, a few take some hundred.
	StateTimeoutS float64
	// FreshS is the age of an owner's newest reading of the cancellations up to which it
	// starts tasks, and of the newest served request up to which a controller accepts users'
	// requests.
	FreshS float64
	// NewsS is the time between two readings of the cancellations, whose age also decides
	// whether heartbeats may be answered. It is a third of FreshS, so that one slow response
	// does not keep tasks from starting.
	NewsS float64
	// MarginS is added wherever a worker's lease is waited for.
	MarginS float64
	// Drift is the fraction by which the clocks of two machines may drift apart: the platform
	// allows 0.05% for each.
	Drift float64

	// TickS is the time between two scheduling cycles without events.
	TickS float64
	// PassGapS is the least time between two scheduling cycles of a busy partition; changes of
	// one chunk within it share a write.
	PassGapS float64
	// RoundS is the time between two sizings of the fleet, as designed.
	RoundS float64
	// InFlightTarget is the fraction of a machine's capacity in use that sizing aims at, as
	// designed.
	InFlightTarget float64
	// QueueTarget is the number of machines' worth of queued work per additional machine, as
	// designed.
	QueueTarget float64
	// HorizonS is the time within which short tasks of a job array are expected to run one
	// after another on the same capacity. It is about the time of a boot, since a machine that
	// is ready only after they have finished is wasted.
	HorizonS float64
	// GiveBackS is how long a lower target must last before the fleet is scaled in, as
	// designed.
	GiveBackS float64
	// ListS is the time between two listings of the cloud's machines.
	ListS float64
	// SummaryS is the least time between two summaries of a partition.
	SummaryS float64
	// BootPatience is the multiple of a machine type's boot time after which a machine that
	// has not come up is returned; most come up within 1.5.
	BootPatience float64
	// RefusalS is how long an offering that the cloud has refused is not requested again. It
	// doubles with each refusal, up to RefusalMaxS.
	RefusalS    float64
	RefusalMaxS float64

	// ErrorBackoffS is the back-off of a job after a task failed with an error. It doubles
	// with each failure, up to ErrorBackoffMaxS.
	ErrorBackoffS    float64
	ErrorBackoffMaxS float64
	// RestartBackoffS is the back-off of a service's replica that exited within SettledS of
	// its start. It doubles with each exit, up to ErrorBackoffMaxS. It is short at first,
	// since a single exit is mostly no sign of more.
	RestartBackoffS float64
	// SickErrors is the number of consecutive failures of different jobs' tasks after which a
	// machine is quarantined as faulty.
	SickErrors int

	// PreemptGapS is the least time between two preemptions for the same job.
	PreemptGapS float64
	// SearchGapS is the least time between two searches for tasks to preempt for a job, since
	// a search examines every task of every machine that the job may use.
	SearchGapS float64
	// WorkWeight is by how many seconds a job moves back in the queue for each CPU-second of
	// its remaining work.
	WorkWeight float64
	// LoadStep is the difference in use, as a fraction of the guarantee, or of a usual machine
	// for a team without one, up to which two teams rank alike in fair share.
	LoadStep float64
	// StarveS is how long a job's size and the fair shares may delay its first start.
	// Afterwards it goes ahead of other jobs of its priority, and capacity is reserved for it.
	// If it were shorter, the oldest jobs of an overloaded class would go first, whether or
	// not their image is cached, and all of the class would be late.
	StarveS float64
	// OverdueS is how long priorities and guarantees may delay a first start. Afterwards the
	// job's first task goes ahead of all others on machines in use, and a gang on any machine.
	OverdueS float64
	// ForceS is the time after which a job takes any machine, even from urgent jobs that need
	// the whole machine, and is not preempted. Every job that can run must start within four
	// minutes; this is shorter by the time that a start takes.
	ForceS float64
	// ConsolidateS is the time between two attempts to drain a machine.
	ConsolidateS float64
	// OrdinaryCostS is how many seconds of fetching an image are worth keeping work that may
	// use spot instances off other machines, which can then be scaled in.
	OrdinaryCostS float64
	// SettledS is the time after which a start counts even if the task is stopped later, by
	// the protocol.
	SettledS float64
	// GraceS is the grace period beyond the time that a task needs to save a checkpoint.
	GraceS float64

	// UserWaitS is the time within which a user's request is answered, or else refused. Users
	// wait 2 s for a query and 5 s for other requests.
	UserWaitS float64
	// RetryAfterS is after how many seconds a user whose request was refused should retry.
	RetryAfterS int
	// ShareReserve is the fraction of the key-value store's rate limits that is left unused,
	// since controllers count their requests independently.
	ShareReserve float64
	// LeaderShare is the fraction of the key-value store's rate limits that the leader may use
	// in addition to its own. Controllers seldom all use theirs at the same time, and requests
	// that the store refuses are retried.
	LeaderShare float64
	// FinalCache is the number of finished jobs whose status a controller caches.
	FinalCache int
}

// Default returns the default values.
func Default() Tuning {
	return Tuning{
		Parts:         1,
		HoldS:         4,
		StateTimeoutS: 2,
		FreshS:        3,
		NewsS:         1,
		MarginS:       1,
		Drift:         0.001,

		TickS:          0.5,
		PassGapS:       0.1,
		RoundS:         5,
		InFlightTarget: 1,
		QueueTarget:    1,
		HorizonS:       60,
		GiveBackS:      30,
		ListS:          3,
		SummaryS:       1,
		BootPatience:   3,
		RefusalS:       10,
		RefusalMaxS:    60,

		ErrorBackoffS:    5,
		ErrorBackoffMaxS: 120,
		RestartBackoffS:  1,
		SickErrors:       3,

		PreemptGapS:   10,
		SearchGapS:    1,
		WorkWeight:    0.05,
		LoadStep:      0.5,
		StarveS:       180,
		OverdueS:      180,
		ForceS:        210,
		ConsolidateS:  10,
		OrdinaryCostS: 15,
		SettledS:      30,
		GraceS:        2,

		UserWaitS:    1.5,
		RetryAfterS:  1,
		ShareReserve: 0.08,
		LeaderShare:  0.25,
		FinalCache:   4096,
	}
}

// Limits of the protocol's requests.
const (
	// MaxMachinesPerRental is the number of machines in one rental, by the protocol. It is lower if their
	// group's record would not fit into one value.
	MaxMachinesPerRental = 50
	// MaxMachinesPerReturn is the number of machines returned in one request, by the protocol.
	MaxMachinesPerReturn = 100
	// MaxCommandsPerResponse is the number of commands in one response to a worker. At about 80 bytes
	// each, they stay well below the protocol's 64 KiB.
	MaxCommandsPerResponse = 200
)

// Sizes and rates of records in the key-value store.
const (
	// ReservedTaskBytes is the size reserved in a record for one task, in bytes; a placement takes
	// about 40.
	ReservedTaskBytes = 64
	// MaxTxnBytes is the size that one transaction may have, in bytes; the store allows 64 KiB.
	MaxTxnBytes = 48 << 10
	// JournalSlots is the number of records in a partition's journal before its slots are
	// reused. At ten records a second a chunk is compacted every 20 s, and a failover reads a
	// few hundred keys at most.
	JournalSlots = 256
	// MinJournalBytes is the size that a transaction must have left, in bytes, for a journal
	// record to be added to it.
	MinJournalBytes = 1 << 10
	// EqualRateFraction is the fraction of the store's rate limits that all controllers have alike,
	// for users' requests; the rest is divided among the owners of partitions. Writes for
	// users may exceed the limit for a short time, so it need not cover their peaks.
	EqualRateFraction = 0.2
	// SummaryWriteFraction is the fraction of the store's write rate that summaries may use.
	SummaryWriteFraction = 0.15
	// MinConversionInterval is the least time between two records that are rewritten only for their
	// format. At four a second, a few hundred are converted within a minute or two beside the
	// usual writes.
	MinConversionInterval = 250 * time.Millisecond
)

// Memory of a controller.
const (
	// GCPercent is the growth of the heap between two garbage collections, in percent of the
	// live heap, which takes a tenth to a third of the memory on the deployments served.
	GCPercent = 400
	// MemoryLimitFraction is the fraction of the machine's memory above which collections are more
	// frequent.
	MemoryLimitFraction = 0.6
)

// Sockets of a controller, and timeouts that keep peers from occupying them.
const (
	// CommandSocketFraction is the fraction of the sockets for commands sent directly to workers. It is
	// enough for all machines of a zone to fail at the same time, each of which occupies a
	// socket until its request times out.
	CommandSocketFraction = 0.1
	// MaxIdleWorkerConns is the number of idle connections to workers that are kept open.
	MaxIdleWorkerConns = 64
	// ReservedSockets is the number of sockets reserved for the key-value store, the cloud and the
	// other controllers, so that connections of users and workers can't keep a controller from
	// renewing its lease.
	ReservedSockets = 100
	// FencingTimeout is the timeout of a command that only raises the fencing token, and of
	// connecting to a worker; one that is up answers within milliseconds.
	FencingTimeout = time.Second
	// ReadTimeout is the timeout of reading a request, so that slow senders do not occupy
	// sockets.
	ReadTimeout = 10 * time.Second
	// IdleTimeout is the timeout of a connection without requests. Workers and users that are
	// up send some every few seconds.
	IdleTimeout = 45 * time.Second
)

// Seconds converts a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
