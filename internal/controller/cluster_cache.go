package controller

import (
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// ownership is the owner of a partition, or the leader.
type ownership struct {
	node     string // empty without an owner
	revision uint64 // of the key, or of its deletion
}

// machineEntry is a machine's record together with the group that holds it.
type machineEntry struct {
	record   records.MachineRecord
	group    string
	revision uint64 // of the group's key
}

// nodeEntry is what a live node has published about itself.
type nodeEntry struct {
	featureLevel records.FeatureLevel
	revision     uint64
}

// rentalEntry is a rental that the cloud has not answered yet, as far as is known.
type rentalEntry struct {
	record   records.RentalRecord
	revision uint64
}

// clusterCache is a copy of the cluster's keys, kept up to date by a watch. It lags behind
// the key-value store, so that decisions based on it are only ever committed on the
// condition that the revisions it shows are still current.
type clusterCache struct {
	// mu guards all fields below but the callbacks.
	mu         sync.Mutex
	loaded     bool // the first listing is in the copy
	leader     ownership
	partitions map[int]ownership
	nodes      map[string]nodeEntry // live nodes, by name
	level      records.FeatureLevel
	groups     map[string]groupEntry   // groups of machines, by name
	machines   map[string]machineEntry // the machines of all groups, by machine ID
	rentals    map[string]rentalEntry  // by rental ID
	revision   uint64                  // all changes up to this revision are in the copy
	changed    chan struct{}           // closed and replaced at every change

	// The callbacks are set before the first use and called without mu held.
	onMachineChange func(change machineChange)
	onOwnerChange   func(partition int, owner ownership)
	onLevelChange   func(level records.FeatureLevel)
}

func newClusterCache() *clusterCache {
	return &clusterCache{
		partitions: map[int]ownership{},
		nodes:      map[string]nodeEntry{},
		groups:     map[string]groupEntry{},
		machines:   map[string]machineEntry{},
		rentals:    map[string]rentalEntry{},
		changed:    make(chan struct{}),
	}
}

// watchHandler returns the handler that keeps the copy up to date.
func (c *clusterCache) watchHandler() watchHandler {
	return watchHandler{onListing: c.replaceAll, onEvent: c.applyEvent, onRevision: c.advanceRevision}
}

// nextChange returns a channel that is closed at the next change of the copy.
func (c *clusterCache) nextChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// signalChange wakes those that wait for a change; c.mu must be held.
func (c *clusterCache) signalChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// keyChange is a change of one key of the cluster.
type keyChange struct {
	key      string
	value    wire.Raw // nil if deleted
	revision uint64   // of the value, or of the deletion
	deleted  bool
}

func deletionOf(key string, revision uint64) keyChange {
	return keyChange{key: key, revision: revision, deleted: true}
}

func (c *clusterCache) applyEvent(event wire.Event) {
	if event.Delete != "" {
		c.applyChange(deletionOf(event.Delete, event.Revision))
		return
	}
	c.applyChange(keyChange{key: event.Put, value: event.Value, revision: event.Revision})
}

// applyChange updates the copy by the change of one key, and then calls the callback that the
// change concerns.
func (c *clusterCache) applyChange(change keyChange) {
	c.update(func() (notify func()) { return c.applyByKey(change) })
}

// setLeader updates the copy by a claim of leadership whose outcome is known before the
// watch delivers it.
func (c *clusterCache) setLeader(owner ownership) {
	c.update(func() (notify func()) {
		c.applyLeader(owner)
		return nil
	})
}

// setPartitionOwner updates the copy by a claim of a partition whose outcome is known before
// the watch delivers it.
func (c *clusterCache) setPartitionOwner(partition int, owner ownership) {
	c.update(func() (notify func()) { return c.applyPartitionOwner(partition, owner) })
}

// update runs a step that changes the copy with mu held, signals the change, and then calls
// what the step returned, if anything, with mu free again.
func (c *clusterCache) update(step func() (notify func())) {
	c.mu.Lock()
	notify := step()
	c.signalChange()
	c.mu.Unlock()
	if notify != nil {
		notify()
	}
}

// applyByKey applies a change by the kind of its key; c.mu must be held. It returns what
// is to be called once c.mu is free again, nil if nothing is.
func (c *clusterCache) applyByKey(change keyChange) (notify func()) {
	switch change.key {
	case records.LeaderKey:
		c.applyLeader(decodeOwnership(change))
		return nil
	case records.FeatureLevelKey:
		return c.applyFeatureLevel(change)
	}
	if name, ok := strings.CutPrefix(change.key, records.PartitionPrefix); ok {
		partition, err := strconv.Atoi(name)
		if err != nil {
			return nil
		}
		return c.applyPartitionOwner(partition, decodeOwnership(change))
	}
	if name, ok := strings.CutPrefix(change.key, records.NodePrefix); ok {
		c.applyNode(name, change)
		return nil
	}
	if name, ok := strings.CutPrefix(change.key, records.MachinePrefix); ok {
		return c.applyGroup(name, change)
	}
	if id, ok := strings.CutPrefix(change.key, records.RentalPrefix); ok {
		c.applyRental(id, change)
	}
	return nil
}

// applyLeader ignores changes older than the one known: a claim's answer and its event
// arrive in either order.
func (c *clusterCache) applyLeader(owner ownership) {
	if owner.revision >= c.leader.revision {
		c.leader = owner
	}
}

// applyPartitionOwner ignores changes older than the one known, as applyLeader does.
func (c *clusterCache) applyPartitionOwner(partition int, owner ownership) (notify func()) {
	if owner.revision < c.partitions[partition].revision {
		return nil
	}
	c.partitions[partition] = owner
	if c.onOwnerChange == nil {
		return nil
	}
	return func() { c.onOwnerChange(partition, owner) }
}

// applyNode keeps a node whose record cannot be decoded, at the lowest feature level: it is
// live all the same.
func (c *clusterCache) applyNode(name string, change keyChange) {
	if change.deleted {
		delete(c.nodes, name)
		return
	}
	var record records.NodeRecord
	if err := wire.Unmarshal(change.value, &record); err != nil {
		slog.Error("record not understood", "key", change.key, "err", err)
	}
	c.nodes[name] = nodeEntry{featureLevel: record.Level, revision: change.revision}
}

// applyFeatureLevel applies the feature level, which never goes down.
func (c *clusterCache) applyFeatureLevel(change keyChange) (notify func()) {
	var record records.LevelRecord
	if wire.Unmarshal(change.value, &record) != nil || record.Level <= c.level {
		return nil
	}
	c.level = record.Level
	if c.onLevelChange == nil {
		return nil
	}
	return func() { c.onLevelChange(record.Level) }
}

func (c *clusterCache) applyRental(id string, change keyChange) {
	if change.deleted {
		delete(c.rentals, id)
		return
	}
	var record records.RentalRecord
	if wire.Unmarshal(change.value, &record) == nil {
		c.rentals[id] = rentalEntry{record: record, revision: change.revision}
	}
}

// decodeOwnership returns an ownership without a node if the key was deleted, or if its
// record cannot be decoded.
func decodeOwnership(change keyChange) ownership {
	owner := ownership{revision: change.revision}
	if change.deleted {
		return owner
	}
	var record records.OwnerRecord
	if wire.Unmarshal(change.value, &record) == nil {
		owner.node = record.Node
	}
	return owner
}

// replaceAll replaces the copy by a listing of all keys as of a revision.
func (c *clusterCache) replaceAll(items []wire.KeyValue, revision uint64) {
	listed := make(map[string]bool, len(items))
	// In descending order of their names, for the reason given at sortEvents.
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

// keysMissingFrom returns the keys of the copy that a listing as of a revision lacks: they
// were deleted before it.
func (c *clusterCache) keysMissingFrom(listed map[string]bool, revision uint64) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var missing []string
	addUnlessListed := func(key string) {
		if !listed[key] {
			missing = append(missing, key)
		}
	}
	for partition, owner := range c.partitions {
		if owner.node != "" {
			addUnlessListed(records.PartitionKey(partition))
		}
	}
	if c.leader.node != "" {
		addUnlessListed(records.LeaderKey)
	}
	for name := range c.nodes {
		addUnlessListed(records.NodePrefix + name)
	}
	for name, group := range c.groups {
		// A newer group was written by this node after the listing.
		if group.revision <= revision {
			addUnlessListed(records.MachinePrefix + name)
		}
	}
	for id := range c.rentals {
		addUnlessListed(records.RentalPrefix + id)
	}
	return missing
}

// advanceRevision records that all changes up to a revision are in the copy.
func (c *clusterCache) advanceRevision(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision > c.revision {
		c.revision = revision
		c.signalChange()
	}
}
