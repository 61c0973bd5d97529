package controller

import (
	"log/slog"
	"strconv"
	"strings"
	"sync"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// ownership is the ownership of a partition or of leadership.
type ownership struct {
	node     string // empty if there is no owner
	revision uint64 // of the key, or of its deletion
}

// machineEntry is a machine's cached record, and the group that contains it.
type machineEntry struct {
	record   records.MachineRecord
	group    string // name of the group
	revision uint64 // of the group's key
}

// nodeEntry is the cached record of a live node.
type nodeEntry struct {
	featureLevel records.FeatureLevel
	revision     uint64
}

// rentalEntry is the cached record of a rental.
type rentalEntry struct {
	record   records.RentalRecord
	revision uint64
}

// clusterCache is a copy of the keys below records.ClusterPrefix, updated by a watch. It lags
// behind the key-value store. Decisions based on it are therefore committed only on the
// condition that the cached revisions are still current.
type clusterCache struct {
	// mu guards all fields below except the callbacks.
	mu         sync.Mutex
	loaded     bool // the first listing was applied
	leader     ownership
	partitions map[int]ownership    // by partition
	nodes      map[string]nodeEntry // live nodes, by name
	level      records.FeatureLevel
	groups     map[string]groupEntry   // groups of machines, by name
	machines   map[string]machineEntry // the machines of all groups, by machine ID
	rentals    map[string]rentalEntry  // by request ID
	revision   uint64                  // all changes up to this revision were applied
	changed    chan struct{}           // closed and replaced on every change

	// The callbacks are set before the first use, and are called while mu is not held.
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

// watchHandler returns the handler of the watch that updates the cache.
func (c *clusterCache) watchHandler() watchHandler {
	return watchHandler{onListing: c.replaceAll, onEvent: c.applyEvent, onRevision: c.advanceRevision}
}

// nextChange returns a channel that is closed on the next change of the cache.
func (c *clusterCache) nextChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// signalChange wakes the goroutines that wait for a change; c.mu must be held.
func (c *clusterCache) signalChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// keyChange is a change of one key.
type keyChange struct {
	key      string
	value    wire.Raw // nil if deleted
	revision uint64   // at which the value was written or the key was deleted
	deleted  bool
}

// decode decodes the value into a record. If that fails, it logs an error and returns false.
func (c *keyChange) decode(record any) bool {
	if err := wire.Unmarshal(c.value, record); err != nil {
		slog.Error("decoding record failed", "key", c.key, "err", err)
		return false
	}
	return true
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

// applyChange applies the change of one key to the cache, and then calls the callback for that
// kind of change.
func (c *clusterCache) applyChange(change keyChange) {
	c.update(func() (notify func()) { return c.applyByKey(change) })
}

// setLeader applies a successful claim of leadership to the cache, so that it is visible
// before the watch delivers it.
func (c *clusterCache) setLeader(owner ownership) {
	c.update(func() (notify func()) {
		c.applyLeader(owner)
		return nil
	})
}

// setPartitionOwner applies a successful claim of a partition, by this node or as announced by
// another one, so that it is visible before the watch delivers it. A claim that the watch must have
// delivered already is ignored: its key may have been deleted since, and nothing would correct it.
func (c *clusterCache) setPartitionOwner(partition int, owner ownership) {
	c.update(func() (notify func()) {
		if owner.revision <= c.revision {
			return nil
		}
		return c.applyPartitionOwner(partition, owner)
	})
}

// update calls mutate, which changes the cache, while mu is held, and signals the change. It
// then releases mu and calls the function that mutate has returned, unless it is nil.
func (c *clusterCache) update(mutate func() (notify func())) {
	c.mu.Lock()
	notify := mutate()
	c.signalChange()
	c.mu.Unlock()
	if notify != nil {
		notify()
	}
}

// applyByKey applies a change according to the prefix of its key; c.mu must be held. It
// returns the function to call after c.mu is released, or nil if there is none.
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

// applyLeader stores the leader. It ignores a change that is older than the cached one, since
// the response to a claim and the events of the watch arrive in either order.
func (c *clusterCache) applyLeader(owner ownership) {
	if owner.revision >= c.leader.revision {
		c.leader = owner
	}
}

// applyPartitionOwner stores the owner of a partition. It ignores a change that is older than
// the cached one, for the same reason as applyLeader.
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

// applyNode stores or removes a node. A node whose record cannot be decoded is stored with the
// lowest feature level, since the existence of its key shows that it is live.
func (c *clusterCache) applyNode(name string, change keyChange) {
	if change.deleted {
		delete(c.nodes, name)
		return
	}
	var record records.NodeRecord
	if !change.decode(&record) {
		record = records.NodeRecord{}
	}
	c.nodes[name] = nodeEntry{featureLevel: record.Level, revision: change.revision}
}

// applyFeatureLevel stores the feature level if it is higher than the cached one, since a
// cluster's level never decreases.
func (c *clusterCache) applyFeatureLevel(change keyChange) (notify func()) {
	var record records.LevelRecord
	if change.deleted || !change.decode(&record) || record.Level <= c.level {
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
	if change.decode(&record) {
		c.rentals[id] = rentalEntry{record: record, revision: change.revision}
	}
}

// decodeOwnership returns the ownership that a change shows. Its node is empty if the key was
// deleted or its record cannot be decoded.
func decodeOwnership(change keyChange) ownership {
	owner := ownership{revision: change.revision}
	if change.deleted {
		return owner
	}
	var record records.OwnerRecord
	if change.decode(&record) {
		owner.node = record.Node
	}
	return owner
}
