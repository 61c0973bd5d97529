package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ambersill/internal/kvstore"
	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

const (
	// renewalsPerLease is how often a lease is renewed within its duration, so that it
	// outlasts a renewal or two that fail.
	renewalsPerLease = 4
	// membershipInterval bounds the time between two checks of the lease and of partitions
	// without an owner when the cluster's keys do not change.
	membershipInterval = 250 * time.Millisecond
	// grantRetryDelay is the wait after a lease was not granted.
	grantRetryDelay = 300 * time.Millisecond
	// renewRetryDelay is the wait after a lease was not renewed; shorter, since it may be
	// about to expire.
	renewRetryDelay = 200 * time.Millisecond
)

// membership keeps a node's lease and its record. Its fields belong to the goroutine that
// runs it.
type membership struct {
	controller *Controller
	// renewEvery is the time between two renewals of the lease.
	renewEvery time.Duration
	// renewedAt is when the last grant or renewal that was answered was requested.
	renewedAt time.Time
	// registered is whether the node's record is attached to the current lease.
	registered bool
	// contactLost is what was last logged about contact to the key-value store.
	contactLost bool
}

// runMembership keeps the node's lease and claims partitions without an owner.
func (c *Controller) runMembership(ctx context.Context) error {
	m := &membership{
		controller: c,
		renewEvery: tuning.Seconds(c.tuning.HoldS / renewalsPerLease),
	}
	for ctx.Err() == nil {
		m.logContact()
		if !m.ensureLease(ctx) {
			continue
		}
		if !m.registered {
			m.registered = c.registerNode(ctx)
		}
		if !m.renewLease(ctx) {
			continue
		}
		c.claimPartitions(ctx)
		m.waitForChange(ctx)
	}
	return nil
}

// logContact logs when contact to the key-value store is lost or regained.
func (m *membership) logContact() {
	since := m.controller.SinceContact()
	lost := since > tuning.Seconds(m.controller.tuning.FreshS)
	if lost == m.contactLost {
		return
	}
	m.contactLost = lost
	slog.Info("contact to the key-value store", "lost", lost, "since_s", since.Seconds())
}

// ensureLease requests a lease if there is none, and reports whether there is one now. If
// not, it returns after a delay.
func (m *membership) ensureLease(ctx context.Context) bool {
	if m.controller.currentLease() != 0 {
		return true
	}
	requestedAt := time.Now()
	leaseID, err := m.controller.store.GrantLease(ctx, tuning.Seconds(m.controller.tuning.HoldS))
	if err != nil {
		slog.Debug("lease not granted", "err", err)
		transport.Pause(ctx, grantRetryDelay)
		return false
	}
	m.renewedAt, m.registered = requestedAt, false
	m.controller.setLease(leaseID, requestedAt)
	return true
}

// renewLease renews the lease if that is due, and reports whether it is still held. After an
// error it returns false after a delay.
func (m *membership) renewLease(ctx context.Context) bool {
	if time.Since(m.renewedAt) < m.renewEvery {
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
		// The lease expired: the keys attached to it are deleted, and others may own them
		// by now.
		slog.Info("lease lost", "lease", leaseID)
		m.controller.setLease(0, requestedAt)
		m.controller.releaseAllPartitions()
		return false
	default:
		slog.Debug("lease not renewed", "lease", leaseID, "err", err)
		transport.Pause(ctx, renewRetryDelay)
		return false
	}
}

// waitForChange waits until the cluster's keys change or the next check is due.
func (m *membership) waitForChange(ctx context.Context) {
	changed := m.controller.cluster.nextChange()
	timer := time.NewTimer(min(m.renewEvery, membershipInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// registerNode writes this node's record under its lease, and reports whether that is known
// to have succeeded. Writing it again changes nothing.
func (c *Controller) registerNode(ctx context.Context) bool {
	put := wire.Write{
		Put:     records.NodePrefix + c.settings.Node,
		Value:   records.NodeRecord{Node: c.settings.Node, Level: c.supportedFeatureLevel},
		LeaseID: c.currentLease(),
	}
	_, err := c.store.Commit(ctx, wire.Txn{Writes: []wire.Write{put}})
	if err != nil {
		slog.Debug("node not registered", "key", put.Put, "err", err)
	}
	return err == nil
}

// setLease stores the lease; 0 if there is none. Its duration counts from when the grant or
// renewal was requested, since the response does not show when it was executed, and less
// the drift between this clock and the key-value store's.
func (c *Controller) setLease(leaseID uint64, requestedAt time.Time) {
	duration := tuning.Seconds(c.tuning.HoldS * (1 - c.tuning.Drift))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaseID = leaseID
	c.leaseExpiry = requestedAt.Add(duration)
}

// leaseHeld reports whether a lease surely lasts, so that no other node can own what is
// attached to it.
func (c *Controller) leaseHeld(leaseID uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaseID == leaseID && time.Now().Before(c.leaseExpiry)
}

// currentLease returns the lease's ID, 0 without a lease.
func (c *Controller) currentLease() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaseID
}
