package controller

import "ambersill/internal/tuning"

// updateRateLimits sets the rates at which this node may send requests to the key-value store to
// its share of the store's rate limits.
func (c *Controller) updateRateLimits() {
	share := c.rateLimitShare()
	c.store.SetRateLimits(c.limits.RequestsPerS*share, c.limits.WritesPerS*share)
}

// rateLimitShare returns this node's share of the key-value store's rate limits, between 0 and 1.
// The fraction EqualRateFraction is divided equally among all nodes, for users' requests. The rest
// is divided in proportion to the partitions that a node owns. The leader gets LeaderShare in
// addition, which it uses only while it records many rentals: without it, recording the rentals of
// a fleet that starts with no machines took 13 s on a store that accepts 25 writes per second. The
// fraction ShareReserve is left unused.
func (c *Controller) rateLimitShare() float64 {
	nodes := float64(c.settings.Cluster.ControllerCount)
	c.mu.Lock()
	defer c.mu.Unlock()
	share := tuning.EqualRateFraction/nodes + (1-tuning.EqualRateFraction)*float64(len(c.owned))/float64(c.partitionCount)
	if c.leading {
		share = min(1, share+c.tuning.LeaderShare)
	}
	return share * (1 - c.tuning.ShareReserve)
}
