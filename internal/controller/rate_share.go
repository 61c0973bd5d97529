package controller

import "ambersill/internal/tuning"

// updateRateShare sets this node's share of the key-value store's rate limits: an equal base
// for users' requests, and the rest in proportion to the partitions it owns. The leader may
// use more in the moments when it records many rentals: at its base share alone, those of a
// fleet that starts from nothing took 13 s on a service of 25 changes a second.
func (c *Controller) updateRateShare() {
	share := c.rateShare()
	c.store.SetRateLimits(c.limits.RPS*share, c.limits.WriteRPS*share)
}

// rateShare returns the share, between 0 and 1.
func (c *Controller) rateShare() float64 {
	nodes := float64(c.settings.Cluster.Count)
	c.mu.Lock()
	defer c.mu.Unlock()
	share := tuning.EqualRateFraction/nodes + (1-tuning.EqualRateFraction)*float64(len(c.owned))/float64(c.partitions)
	if c.leading {
		share = min(1, share+c.tuning.LeaderShare)
	}
	return share * (1 - c.tuning.ShareReserve)
}
