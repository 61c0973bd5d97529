package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ambersill/internal/kvstore"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
)

const (
	// renewalsPerLease is the number of renewals within the time to live of a lease, so that the
	// lease outlasts one or two failed renewals.
	renewalsPerLease = 4
	// membershipInterval is the longest time between two checks of the lease and of
	// partitions without an owner while the cluster's keys do not change.
	membershipInterval = 250 * time.Millisecond
	// grantRetryDelay is the wait after a failed request for a lease.
	grantRetryDelay = 300 * time.Millisecond
	// renewRetryDelay is the wait after a failed renewal. It is shorter than
	// grantRetryDelay because the lease may be about to expire.
	renewRetryDelay = 200 * time.Millisecond
)

// membership maintains this node's lease and the record of the node attached to it. Only the
// goroutine of runMembership accesses its fields.
type membership struct {
	controller *Controller
	// renewInterval is the time between two renewals of the lease.
	renewInterval time.Duration
	// renewedAt is when the last successful grant or renewal was requested.
	renewedAt    time.Time
	registration registration
	// loggedContactLost is the value of "lost" in the last log line about contact with the
	// key-value store.
	loggedContactLost bool
}

// runMembership maintains the node's lease and claims partitions without an owner until the
// context ends.
func (c *Controller) runMembership(ctx context.Context) error {
	m := &membership{
		controller:    c,
		renewInterval: tuning.Seconds(c.tuning.HoldS / renewalsPerLease),
	}
	for ctx.Err() == nil {
		m.logContact()
		if !m.ensureLease(ctx) {
			continue
		}
		m.registration.ensure(ctx, c)
		if !m.renewLease(ctx) {
			continue
		}
		c.claimPartitions(ctx)
		m.waitForChange(ctx)
	}
	return nil
}

// logContact logs when contact with the key-value store is lost or regained.
func (m *membership) logContact() {
	since := m.controller.SinceContact()
	lost := since > tuning.Seconds(m.controller.tuning.FreshS)
	if lost == m.loggedContactLost {
		return
	}
	m.loggedContactLost = lost
	slog.Info("contact with the key-value store", "lost", lost, "since_s", since.Seconds())
}

// ensureLease requests a lease if there is none, and reports whether there is one now. If
// the request fails, it waits for grantRetryDelay before it returns.
func (m *membership) ensureLease(ctx context.Context) bool {
	if m.controller.currentLease() != 0 {
		return true
	}
	requestedAt := time.Now()
	leaseID, err := m.controller.store.GrantLease(ctx, tuning.Seconds(m.controller.tuning.HoldS))
	if err != nil {
		slog.Debug("requesting lease failed", "err", err)
		transport.Pause(ctx, grantRetryDelay)
		return false
	}
	m.renewedAt, m.registration = requestedAt, registration{}
	m.controller.setLease(leaseID, requestedAt)
	return true
}

// renewLease renews the lease if a renewal is due. It returns false if the lease has expired
// or if the renewal failed; after a failed renewal it waits for renewRetryDelay before it
// returns.
func (m *membership) renewLease(ctx context.Context) bool {
	if time.Since(m.renewedAt) < m.renewInterval {
		return true
	}
	leaseID := m.controller.currentLease()
	requestedAt := time.Now()
	err := m.controller.store.RenewLease(ctx, leaseID)
	switch {
	case err == nil:
		m.renewedAt = requestedAt
		m.controller.setLease(leaseID, requestedAt)
		return true
	case errors.Is(err, kvstore.ErrNotFound):
		// The lease has expired. The store has deleted the keys attached to it, and other
		// nodes may have claimed the partitions since.
		slog.Info("lease lost", "lease", leaseID)
		m.controller.setLease(0, requestedAt)
		m.controller.releaseAllPartitions()
		return false
	default:
		slog.Debug("renewing lease failed", "lease", leaseID, "err", err)
		transport.Pause(ctx, renewRetryDelay)
		return false
	}
}

// waitForChange waits until the cluster's keys change or the next check is due.
func (m *membership) waitForChange(ctx context.Context) {
	changed := m.controller.cluster.nextChange()
	timer := time.NewTimer(min(m.renewInterval, membershipInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// setLease stores the ID of the lease, or 0 if there is none, and the time until which it is
// certain to last. That time is counted from requestedAt, because the response does not show
// when the store executed the grant or renewal, and it is shortened by the possible drift
// between this clock and that of the key-value store.
func (c *Controller) setLease(leaseID uint64, requestedAt time.Time) {
	duration := tuning.Seconds(c.tuning.HoldS * (1 - c.tuning.Drift))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaseID = leaseID
	c.leaseExpiry = requestedAt.Add(duration)
}

// leaseHeld reports whether the lease is certain to be still valid, so that no other node can
// own what is attached to it.
func (c *Controller) leaseHeld(leaseID uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaseID == leaseID && time.Now().Before(c.leaseExpiry)
}

// currentLease returns the ID of the lease, or 0 if there is none.
func (c *Controller) currentLease() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaseID
}
