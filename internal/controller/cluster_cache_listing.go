package controller

import (
	"slices"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// replaceAll replaces the content of the cache with a listing of all keys as of a revision.
func (c *clusterCache) replaceAll(items []wire.KeyValue, revision uint64) {
	listed := make(map[string]bool, len(items))
	// In descending order of the keys, for the reason given at sortEvents.
	for _, item := range slices.Backward(items) {
		listed[item.Key] = true
		c.applyChange(keyChange{key: item.Key, value: item.Value, revision: item.Revision})
	}
	for _, key := range c.keysMissingFrom(listed, revision) {
		c.applyChange(deletionOf(key, revision))
	}
	c.mu.Lock()
	c.loaded = true
	c.mu.Unlock()
	c.advanceRevision(revision)
}

// keysMissingFrom returns the cached keys that a listing as of a revision lacks, since they
// were deleted before that revision. A key with a higher revision was written after the listing,
// by this node or as a peer has announced.
func (c *clusterCache) keysMissingFrom(listed map[string]bool, revision uint64) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var missing []string
	addUnlessListed := func(key string, keyRevision uint64) {
		if !listed[key] && keyRevision <= revision {
			missing = append(missing, key)
		}
	}
	for partition, owner := range c.partitions {
		if owner.node != "" {
			addUnlessListed(records.PartitionKey(partition), owner.revision)
		}
	}
	if c.leader.node != "" {
		addUnlessListed(records.LeaderKey, c.leader.revision)
	}
	for name, node := range c.nodes {
		addUnlessListed(records.NodePrefix+name, node.revision)
	}
	for name, group := range c.groups {
		addUnlessListed(records.MachinePrefix+name, group.revision)
	}
	for id, rental := range c.rentals {
		addUnlessListed(records.RentalPrefix+id, rental.revision)
	}
	return missing
}

// advanceRevision records that all changes up to a revision were applied.
func (c *clusterCache) advanceRevision(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision > c.revision {
		c.revision = revision
		c.signalChange()
	}
}
