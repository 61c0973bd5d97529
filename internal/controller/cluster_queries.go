package controller

import (
	"maps"
	"slices"

	"ambersill/internal/records"
)

// The methods below return the present content of the cluster cache. It may be outdated when
// the caller uses it.

// featureLevel returns the cluster's feature level as far as this node knows it.
func (c *clusterCache) featureLevel() records.FeatureLevel {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.level
}

func (c *clusterCache) partitionOwner(partition int) ownership {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitions[partition]
}

func (c *clusterCache) machine(id string) (machineEntry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.machines[id]
	return entry, ok
}

// recordedMachines returns the machines of all groups, and their IDs in ascending order.
func (c *clusterCache) recordedMachines() (ids []string, machines map[string]machineEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	machines = maps.Clone(c.machines)
	return slices.Sorted(maps.Keys(machines)), machines
}

// recordedRentals returns the recorded rentals in the order in which they were recorded.
func (c *clusterCache) recordedRentals() []recordedRental {
	c.mu.Lock()
	defer c.mu.Unlock()
	rentals := make([]recordedRental, 0, len(c.rentals))
	for id, entry := range c.rentals {
		rentals = append(rentals, recordedRental{id, entry})
	}
	slices.SortFunc(rentals, recordedRental.compare)
	return rentals
}

// hasRental reports whether a rental is recorded.
func (c *clusterCache) hasRental(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.rentals[id]
	return ok
}

// hasRentals reports whether any rental is recorded.
func (c *clusterCache) hasRentals() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.rentals) > 0
}

// hasMachinesOrRentals reports whether any machine or rental is recorded.
func (c *clusterCache) hasMachinesOrRentals() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.machines)+len(c.rentals) > 0
}

// leadership returns the leader, and whether the cache has been loaded.
func (c *clusterCache) leadership() (owner ownership, loaded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.loaded
}

// caughtUpTo reports whether the cache contains all changes up to a revision.
func (c *clusterCache) caughtUpTo(revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision >= revision
}
