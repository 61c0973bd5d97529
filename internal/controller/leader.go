package controller

import (
	"context"
	"log/slog"
	"time"

	"ambersill/internal/autoscaler"
	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

const (
	// leadershipPollInterval is the time between two checks of whether another node leads. A
	// failover may take longer by up to this time.
	leadershipPollInterval = 300 * time.Millisecond
	// leaderStepInterval is the pause between two steps of the leader. A rental may be delayed
	// by up to this time.
	leaderStepInterval = 250 * time.Millisecond
	// cachePollInterval is the time between two checks of whether the cluster cache has
	// caught up with a new term.
	cachePollInterval = 50 * time.Millisecond
)

// runLeadership claims leadership whenever no other node holds it, and leads until it is lost.
// It returns when the context ends.
func (c *Controller) runLeadership(ctx context.Context) error {
	for ctx.Err() == nil {
		c.claimAndLead(ctx)
		transport.Pause(ctx, leadershipPollInterval)
	}
	return nil
}

// claimAndLead claims leadership unless another node holds it. If the claim succeeds, it
// leads until leadership is lost or the context ends.
func (c *Controller) claimAndLead(ctx context.Context) {
	current, loaded := c.cluster.leadership()
	leaseID := c.currentLease()
	claimable := current.node == "" || current.node == c.settings.Node
	if !loaded || leaseID == 0 || !claimable {
		return
	}
	var expected uint64
	if current.node != "" {
		// An earlier process of this node, which must have ended by now, wrote the key.
		expected = current.revision
	}
	revision, err := c.claimKey(ctx, records.LeaderKey, expected, leaseID)
	if err != nil {
		slog.Debug("claiming leadership failed", "err", err)
		return
	}
	c.cluster.setLeader(ownership{node: c.settings.Node, revision: revision})
	c.setLeading(true)
	newLeader(c, revision, leaseID).run(ctx)
	c.setLeading(false)
}

func (c *Controller) setLeading(leading bool) {
	c.mu.Lock()
	c.leading = leading
	c.mu.Unlock()
	c.updateRateLimits()
}

// leader sizes the fleet during one term of leadership. Its fields are used only by the
// goroutine that executes run.
type leader struct {
	controller *Controller
	revision   uint64 // revision of the leader's key: identifies the term and fences all commits
	leaseID    uint64 // the lease under which leadership was claimed
	autoscaler *autoscaler.Autoscaler

	summaries map[int]records.PartitionSummary // the latest that was read, by partition
	listings  map[string]machineListing        // by machine ID
	backoffs  map[autoscaler.Offering]offeringBackoff
	rentals   map[string]rentalProgress // by request ID
	// unconfirmedAdoption is the group of adopted machines whose commit had no response, or nil.
	unconfirmedAdoption *records.MachineGroupRecord
	// loggedSummaries is the revision of each partition's summary that was logged last.
	loggedSummaries map[int]uint64

	nextRentalNumber int // sequence number within this term
	lastListing      time.Time
	lastSummaries    time.Time
	lastSizing       time.Time
	sizingRequested  bool // size the fleet in the next step, before RoundS has passed
}

func newLeader(c *Controller, revision, leaseID uint64) *leader {
	return &leader{
		controller: c,
		revision:   revision,
		leaseID:    leaseID,
		autoscaler: autoscaler.New(&c.tuning),
		summaries:  map[int]records.PartitionSummary{},
		listings:   map[string]machineListing{},
		backoffs:   map[autoscaler.Offering]offeringBackoff{},
		rentals:    map[string]rentalProgress{},

		loggedSummaries: map[int]uint64{},
	}
}

// isLeader reports whether this term still lasts, according to the cached leader's key and
// the node's current lease.
func (l *leader) isLeader() bool {
	current, _ := l.controller.cluster.leadership()
	return current.revision == l.revision && l.controller.currentLease() == l.leaseID
}

// mayCallCloud reports whether this node leads and its lease cannot have expired, so that no
// other node can be the leader. Calls to the cloud cannot be fenced: a leader that comes back
// from a network partition, with a cache that does not show its successor yet, would return
// the machines that the successor has rented.
func (l *leader) mayCallCloud() bool { return l.isLeader() && l.controller.leaseHeld(l.leaseID) }

// cacheCaughtUp reports whether the cluster cache contains all writes from before this term.
func (l *leader) cacheCaughtUp() bool {
	return l.controller.cluster.caughtUpTo(l.revision)
}

// run executes the steps of the leader until leadership is lost or the context ends.
func (l *leader) run(ctx context.Context) {
	slog.Info("became leader", "revision", l.revision)
	l.waitForCache(ctx)
	for ctx.Err() == nil && l.isLeader() {
		// A leader without contact to the key-value store may have a successor. Its calls
		// would use up the successor's rate limit at the cloud, and return machines that the
		// successor needs.
		if l.controller.checkContact() == nil && l.mayCallCloud() {
			l.step(ctx, time.Now())
		}
		transport.Pause(ctx, leaderStepInterval)
	}
	slog.Info("stopped leading", "revision", l.revision)
}

// waitForCache waits until the cluster cache contains the writes of earlier leaders. Without
// them, this leader would adopt machines that earlier leaders have already recorded.
func (l *leader) waitForCache(ctx context.Context) {
	for ctx.Err() == nil && l.isLeader() && !l.cacheCaughtUp() {
		transport.Pause(ctx, cachePollInterval)
	}
}

// step lists the cloud's machines, reads the partitions' summaries and sizes the fleet, each
// at its own interval, and calls the cloud for the recorded rentals.
func (l *leader) step(ctx context.Context, now time.Time) {
	tunables := l.controller.tuning
	if now.Sub(l.lastListing) >= tuning.Seconds(tunables.ListS) {
		l.lastListing = now
		l.reconcileListing(ctx)
	}
	l.executeRentals(ctx)
	if now.Sub(l.lastSummaries) >= tuning.Seconds(tunables.SummaryS) {
		l.lastSummaries = now
		l.readSummaries(ctx)
		// Which machines are returned depends on summaries and listings only, and each
		// check examines all machines, so it need not run more often.
		l.returnMachines(ctx)
		l.raiseFeatureLevel(ctx)
		l.splitOversizedGroup(ctx)
	}
	sizingDue := now.Sub(l.lastSizing) >= tuning.Seconds(tunables.RoundS)
	if sizingDue || l.sizingRequested || l.needsFirstMachine() {
		l.lastSizing, l.sizingRequested = now, false
		l.sizeFleet(ctx)
	}
}

// fence returns the condition that this node is still the leader in the same term.
func (l *leader) fence() wire.Compare {
	return wire.Compare{Key: records.LeaderKey, Revision: l.revision}
}

// commit commits a transaction on the condition that this term still lasts.
func (l *leader) commit(ctx context.Context, compares []wire.Compare, writes []wire.Write) error {
	return l.controller.commitFenced(ctx, l.fence(), compares, writes)
}
