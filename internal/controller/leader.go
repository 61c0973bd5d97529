package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ambersill/internal/autoscaler"
	"ambersill/internal/kvstore"
	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

const (
	// leadershipInterval is the time between two checks whether leadership is free: a
	// failover may take that much longer.
	leadershipInterval = 300 * time.Millisecond
	// leaderInterval is the time between two steps of the leader; rentals wait that much
	// longer at most.
	leaderInterval = 250 * time.Millisecond
	// cacheInterval is the time between two checks whether the cache has caught up.
	cacheInterval = 50 * time.Millisecond
)

// runLeadership claims leadership when it is free, and leads while this node holds it.
func (c *Controller) runLeadership(ctx context.Context) error {
	for ctx.Err() == nil {
		c.leadIfFree(ctx)
		transport.Pause(ctx, leadershipInterval)
	}
	return nil
}

// leadIfFree claims leadership unless another node has it, and returns when it is lost.
func (c *Controller) leadIfFree(ctx context.Context) {
	current, loaded := c.cluster.leadership()
	leaseID := c.currentLease()
	free := current.node == "" || current.node == c.settings.Node
	if !loaded || leaseID == 0 || !free {
		return
	}
	var expected uint64
	if current.node != "" {
		// The key is from an earlier process of this node, which has surely ended.
		expected = current.revision
	}
	revision, err := c.claimKey(ctx, records.LeaderKey, expected, leaseID)
	if err != nil {
		slog.Debug("leadership not claimed", "err", err)
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

// claimKey writes this node's name under its lease if the key has the given revision, and
// returns the key's new one.
func (c *Controller) claimKey(ctx context.Context, key string, revision, leaseID uint64) (uint64, error) {
	revision, err := c.store.Commit(ctx, wire.Txn{
		Compares: []wire.Compare{{Key: key, Revision: revision}},
		Writes:   []wire.Write{{Put: key, Value: records.OwnerRecord{Node: c.settings.Node}, LeaseID: leaseID}},
	})
	if !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return revision, err
	}
	// The commit may have been executed: the key shows whether it was.
	item, getErr := c.store.Get(ctx, key)
	if getErr != nil || item.LeaseID != leaseID {
		return 0, err
	}
	return item.Revision, nil
}

// leader sizes the fleet during one term of leadership. Its fields belong to the goroutine
// that runs it.
type leader struct {
	controller *Controller
	revision   uint64 // of the leader's key: the term, and the fence of all commits
	leaseID    uint64 // that leadership was claimed under
	autoscaler *autoscaler.Autoscaler

	summaries map[int]records.PartitionSummary // latest, by partition
	listings  map[string]machineListing        // by machine
	backoffs  map[autoscaler.Offering]offeringBackoff
	rentals   map[string]rentalProgress // by the rental's name

	nextRental    int // number of the next rental of this term
	lastListing   time.Time
	lastSummaries time.Time
	lastSizing    time.Time
	sizeAtOnce    bool // without waiting for the next regular sizing
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
	}
}

// isLeader reports whether the leader's key still shows this term.
func (l *leader) isLeader() bool {
	current, _ := l.controller.cluster.leadership()
	return current.revision == l.revision && l.controller.currentLease() == l.leaseID
}

// mayCallCloud reports whether no other node can lead by now. Calls to the cloud have no
// fence: a leader that was partitioned away, and whose cache has not caught up yet, would
// return what its successor has rented meanwhile.
func (l *leader) mayCallCloud() bool { return l.isLeader() && l.controller.leaseHeld(l.leaseID) }

// cacheCaughtUp reports whether the cache holds all that was written before this term.
func (l *leader) cacheCaughtUp() bool {
	return l.controller.cluster.caughtUpTo(l.revision)
}

// run leads until leadership is lost or the context ends.
func (l *leader) run(ctx context.Context) {
	slog.Info("leading", "revision", l.revision)
	l.waitForCache(ctx)
	for ctx.Err() == nil && l.isLeader() {
		// A leader without contact may have a successor: its calls would use up the
		// successor's rate limit at the cloud, and return machines that the successor
		// needs.
		if l.controller.checkContact() == nil && l.mayCallCloud() {
			l.step(ctx, time.Now())
		}
		transport.Pause(ctx, leaderInterval)
	}
	slog.Info("no longer leading", "revision", l.revision)
}

// waitForCache waits until the cache holds what earlier leaders have written. Otherwise their
// machines would be adopted once more.
func (l *leader) waitForCache(ctx context.Context) {
	for ctx.Err() == nil && l.isLeader() && !l.cacheCaughtUp() {
		transport.Pause(ctx, cacheInterval)
	}
}

// step lists the machines, reads the summaries and sizes the fleet, each when it is due, and
// calls the cloud for the recorded rentals.
func (l *leader) step(ctx context.Context, now time.Time) {
	tunables := l.controller.tuning
	if now.Sub(l.lastListing) >= tuning.Seconds(tunables.ListS) {
		l.lastListing = now
		l.readListing(ctx)
	}
	l.finishRentals(ctx)
	if now.Sub(l.lastSummaries) >= tuning.Seconds(tunables.SummaryS) {
		l.lastSummaries = now
		l.readSummaries(ctx)
		// Returns depend on summaries and listings only, and check every machine.
		l.returnMachines(ctx)
		l.raiseLevel(ctx)
		l.divideGroups(ctx)
	}
	sizingDue := now.Sub(l.lastSizing) >= tuning.Seconds(tunables.RoundS)
	if sizingDue || l.sizeAtOnce || l.needsFirstMachine() {
		l.lastSizing, l.sizeAtOnce = now, false
		l.runSizing(ctx)
	}
}

func (l *leader) fence() wire.Compare {
	return wire.Compare{Key: records.LeaderKey, Revision: l.revision}
}

// commit commits a transaction fenced by the leader's key.
func (l *leader) commit(ctx context.Context, compares []wire.Compare, writes []wire.Write) error {
	return l.controller.commitFenced(ctx, l.fence(), compares, writes)
}
