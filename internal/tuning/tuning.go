// Package tuning defines ambersill's tunables and fixed limits, with their units and the reasons
// for their values. Operators override tunables by name in a policy script.
package tuning

import (
	"math"
	"time"
)

// Tuning contains the tunables. Durations are numbers of seconds, so that a policy script can set
// them as plain numbers.
type Tuning struct {
	// Parts is the number of partitions into which jobs are divided. If it is 0, there is one
	// partition for each controller.
	Parts int
	// HoldS is the time to live of a controller's lease in the key-value store. The
	// partitions of a failed controller remain idle for this long. If it were much shorter, a
	// single slow response would cost a controller its partitions.
	HoldS float64
	// StateTimeoutS is the timeout of a request to the key-value store. Most responses take
	// 10 ms, a few take several hundred milliseconds.
	StateTimeoutS float64
	// FreshS limits how old information from the key-value store may be. A partition's owner
	// starts tasks only if it has read the cancellations within this time, and a controller
	// accepts users' requests only if the store has served it within this time.
	FreshS float64
	// NewsS is the interval at which a partition's owner reads the cancellations. The age of
	// the last reading also decides whether the owner may answer heartbeats. NewsS is a third
	// of FreshS, so that a single slow response does not prevent tasks from starting.
	NewsS float64
	// MarginS is the safety margin added to every wait for a worker's lease to expire.
	MarginS float64
	// Drift is the largest relative difference between the rates of two machines' clocks.
	// Each clock may run up to 0.05% fast or slow.
	Drift float64

	// TickS is the interval between scheduling cycles while no event triggers one.
	TickS float64
	// PassGapS is the minimum interval between two scheduling cycles of a partition. Changes
	// to the same chunk within this interval share a write.
	PassGapS float64
	// RoundS is the interval at which the leader sizes the fleet.
	RoundS float64
	// InFlightTarget is the fraction of the fleet's capacity that should be allocated: the target
	// number of machines of a type is at least ceil(allocated capacity / InFlightTarget).
	InFlightTarget float64
	// QueueTarget is the amount of queued work per additional machine, in machines: the
	// number of short tasks that need capacity at the same time is divided by it.
	QueueTarget float64
	// HorizonS is the period within which short tasks of a job array are expected to run one
	// after another on the same capacity. It is about the time that a machine takes to boot,
	// since a machine that becomes ready after the tasks have finished is wasted.
	HorizonS float64
	// GiveBackS is how long the target of a machine type must stay below the number of its
	// machines before empty machines are returned.
	GiveBackS float64
	// ListS is the interval at which the leader lists the machines in the cloud.
	ListS float64
	// SummaryS is the minimum interval between two writes of a partition's summary. It is also
	// the interval at which the leader reads all summaries.
	SummaryS float64
	// BootPatience is the multiple of a machine type's boot time after which a machine that
	// has not come up is returned. Most machines come up within 1.5 times the boot time.
	BootPatience float64
	// RefusalS is how long an offering is not requested after the cloud first refused to rent
	// it. This time doubles with each further refusal, up to RefusalMaxS.
	RefusalS    float64
	RefusalMaxS float64

	// ErrorBackoffS is the first back-off of a job, other than a service, whose tasks have
	// failed with errors on several machines. It doubles with each further failure, up to
	// ErrorBackoffMaxS.
	ErrorBackoffS    float64
	ErrorBackoffMaxS float64
	// RestartBackoffS is the back-off before restarting a service's replica that exited
	// within SettledS of its start. It doubles with each further such exit, up to
	// ErrorBackoffMaxS. It starts short because a single exit is rarely followed by others.
	RestartBackoffS float64
	// SickErrors is the number of different jobs whose tasks must fail on a machine,
	// without a success in between, before the machine is quarantined as faulty.
	SickErrors int

	// PreemptGapS is the minimum interval between two preemptions in favor of the same job.
	PreemptGapS float64
	// SearchGapS is the minimum interval between two searches for tasks to preempt in favor
	// of the same job. A search is expensive because it examines every task on every machine
	// that the job may use.
	SearchGapS float64
	// WorkWeight is the number of seconds by which a job moves back in the queue for each
	// CPU-second of its remaining work.
	WorkWeight float64
	// LoadStep is the step to which teams' fair share ratios are rounded down before they are
	// compared, so that small differences do not affect the order. The ratio is a team's use
	// relative to its guarantee, or to the size of a typical machine if it has no guarantee.
	LoadStep float64
	// StarveS is how long a job's size and the fair shares may delay its first start. After
	// this time, the job precedes other jobs of its priority, and capacity is reserved for it.
	// If StarveS were shorter, the oldest jobs of an overloaded priority class would run first
	// whether or not their images are cached, and all jobs of the class would start late.
	StarveS float64
	// OverdueS is how long priorities and guarantees may delay a job's first start. After this
	// time, the job's first task precedes all others on machines that are in use. A gang
	// precedes them on any machine.
	OverdueS float64
	// ForceS is how long a job may wait for its first start before it may use any machine,
	// even one that urgent jobs need as a whole, and is protected from preemption. Every job
	// that can run must start within four minutes; ForceS is shorter by the time that a start
	// takes.
	ForceS float64
	// ConsolidateS is the minimum interval between two attempts to drain a machine whose tasks
	// fit on other machines in use.
	ConsolidateS float64
	// OrdinaryCostS is the placement cost, in seconds of image fetch time, of running a task
	// on an on-demand machine if its job allows spot instances. It keeps such tasks off
	// on-demand machines, which can then be returned.
	OrdinaryCostS float64
	// SettledS is how long a task must run for its start to count as successful, even if the
	// task is stopped later.
	SettledS float64
	// GraceS is the grace period for stopping a task, in addition to the time that it needs
	// to save a checkpoint.
	GraceS float64

	// UserWaitS is how long a controller works on a user's request before it refuses the
	// request. Users wait 2 s for a query and 5 s for other requests.
	UserWaitS float64
	// RetryAfterS is the number of seconds after which a user should retry a refused request.
	RetryAfterS int
	// ShareReserve is the fraction of the key-value store's rate limits that is left unused.
	// The reserve is needed because controllers count their requests independently.
	ShareReserve float64
	// LeaderShare is the fraction of the key-value store's rate limits that the leader may use
	// in addition to its regular share. The limits are rarely exceeded, because the
	// controllers seldom all use their shares at the same time, and requests that the store
	// refuses are retried.
	LeaderShare float64
	// FinalCache is the number of ended jobs whose status a controller caches.
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

// Limits of requests to the cloud and of responses to workers.
const (
	// MaxMachinesPerRental is the largest number of machines that the cloud rents out in one
	// request. Fewer are requested if the records of their groups would exceed the key-value
	// store's limits for a value or a transaction.
	MaxMachinesPerRental = 50
	// MaxMachinesPerReturn is the largest number of machines that the cloud takes back in one
	// request.
	MaxMachinesPerReturn = 100
	// MaxCommandsPerResponse is the maximum number of commands in one response or request to a
	// worker. At about 80 bytes each, they stay well below the maximum body size of 64 KiB.
	MaxCommandsPerResponse = 200
)

// Sizes and rates of records in the key-value store.
const (
	// ReservedTaskBytes is the size in bytes that a record reserves for each task. A placement
	// takes about 40 bytes.
	ReservedTaskBytes = 64
	// MaxTxnBytes is the maximum size of a transaction in bytes. The key-value store allows
	// 64 KiB.
	MaxTxnBytes = 48 << 10
	// JournalSlots is the number of records in a partition's journal, after which the oldest
	// slots are reused. At ten records per second, a chunk is compacted every 20 s. A failover
	// reads a few hundred keys at most.
	JournalSlots = 256
	// MinJournalBytes is the minimum free space in a transaction, in bytes, for a journal
	// record to be added to it.
	MinJournalBytes = 1 << 10
	// EqualRateFraction is the fraction of the key-value store's rate limits that is divided
	// equally among all controllers, for users' requests. The rest is divided in proportion to
	// the partitions that each controller owns. The equal part need not cover peaks, since
	// writes for users may exceed the limit for a short time.
	EqualRateFraction = 0.2
	// SummaryWriteFraction is the fraction of the key-value store's write rate limit that
	// summaries may use.
	SummaryWriteFraction = 0.15
	// MinConversionInterval is the minimum interval between two rewrites of records that only
	// convert their format. At four records per second, a few hundred are converted within one
	// or two minutes in addition to the usual writes.
	MinConversionInterval = 250 * time.Millisecond
)

// Memory limits of a controller.
const (
	// GCPercent is the growth of the heap that triggers a garbage collection, in percent of
	// the live heap. The live heap takes a tenth to a third of a machine's memory in existing
	// deployments.
	GCPercent = 400
	// MemoryLimitFraction is the fraction of the machine's memory that is set as the Go
	// runtime's memory limit, near which garbage collections become more frequent.
	MemoryLimitFraction = 0.6
)

// Limits of a controller's sockets, and timeouts that prevent peers from occupying them.
const (
	// CommandSocketFraction is the fraction of the sockets reserved for commands sent directly
	// to workers. It suffices when all machines of a zone fail at the same time and each of
	// them occupies a socket until its request times out.
	CommandSocketFraction = 0.1
	// MaxIdleWorkerConns is the maximum number of idle connections to workers that are kept
	// open.
	MaxIdleWorkerConns = 64
	// ReservedSockets is the number of sockets reserved for connections to the key-value store,
	// the cloud and the other controllers, so that connections from users and workers cannot
	// prevent a controller from renewing its lease.
	ReservedSockets = 100
	// FencingTimeout is the timeout of a request that only raises a worker's fencing token, and
	// of connecting to a worker. A worker that is up responds within milliseconds.
	FencingTimeout = time.Second
	// ReadTimeout is the timeout of reading a request. It prevents slow senders from occupying
	// sockets.
	ReadTimeout = 10 * time.Second
	// IdleTimeout is how long a connection without requests is kept open. Workers and users
	// that are up send requests every few seconds.
	IdleTimeout = 45 * time.Second
)

// Seconds converts a number of seconds to a duration. A number that is out of range gives the longest
// duration of its sign, since the result of Go's own conversion would depend on the processor.
func Seconds(s float64) time.Duration {
	nanoseconds := s * float64(time.Second)
	switch {
	case nanoseconds >= math.MaxInt64:
		return math.MaxInt64
	case nanoseconds <= math.MinInt64:
		return math.MinInt64
	}
	return time.Duration(nanoseconds)
}
