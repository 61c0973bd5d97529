package controller

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ambersill/internal/kvstore"
	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

type ownership struct {
	node     string
	revision uint64
}

type machineEntry struct {
	record   records.MachineRecord
	group    string
	revision uint64 // of the group
}

// nodeEntry is what a live node says of itself.
type nodeEntry struct {
	featureLevel records.FeatureLevel
	revision     uint64
}

type rentalEntry struct {
	record   records.RentalRecord
	revision uint64
}

// clusterCache is a copy of the cluster's keys, kept by a watch. It lags, so that
// decisions based on it are only ever committed under the stamps it shows.
type clusterCache struct {
	mu         sync.Mutex
	loaded     bool
	leader     ownership
	partitions map[int]ownership
	nodes      map[string]nodeEntry
	level      records.FeatureLevel
	groups     map[string]groupEntry
	machines   map[string]machineEntry
	rentals    map[string]rentalEntry
	revision   uint64        // all changes up to this revision are in the copy
	changed    chan struct{} // closed and replaced at every change
	onMachine  func(machine string, entry machineEntry, gone bool)
	onOwner    func(partition int, owner ownership)
	onLevel    func(level records.FeatureLevel)
}

func newClusterCache() *clusterCache {
	return &clusterCache{partitions: map[int]ownership{}, nodes: map[string]nodeEntry{}, groups: map[string]groupEntry{}, machines: map[string]machineEntry{},
		rentals: map[string]rentalEntry{}, changed: make(chan struct{})}
}

func (c *clusterCache) changes() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// apply takes in one key; gone: it was deleted at that stamp.
func (c *clusterCache) apply(key string, value wire.Raw, revision uint64, gone bool) {
	c.mu.Lock()
	var after func()
	switch {
	case key == records.LeaderKey:
		if revision >= c.leader.revision {
			c.leader = c.decodeOwner(value, revision, gone)
		}
	case strings.HasPrefix(key, records.PartitionPrefix):
		if i, err := strconv.Atoi(key[len(records.PartitionPrefix):]); err == nil && revision >= c.partitions[i].revision {
			owner := c.decodeOwner(value, revision, gone)
			c.partitions[i] = owner
			if c.onOwner != nil {
				after = func() { c.onOwner(i, owner) }
			}
		}
	case strings.HasPrefix(key, records.NodePrefix):
		if gone {
			delete(c.nodes, key[len(records.NodePrefix):])
		} else {
			var r records.NodeRecord
			if err := wire.Unmarshal(value, &r); err != nil {
				slog.Error("record not understood", "key", key, "err", err)
			}
			c.nodes[key[len(records.NodePrefix):]] = nodeEntry{r.Level, revision}
		}
	case key == records.FeatureLevelKey:
		after = c.applyLevel(value)
	case strings.HasPrefix(key, records.MachinePrefix):
		after = c.applyGroup(key[len(records.MachinePrefix):], value, revision, gone)
	case strings.HasPrefix(key, records.RentalPrefix):
		id := key[len(records.RentalPrefix):]
		if gone {
			delete(c.rentals, id)
			break
		}
		var r records.RentalRecord
		if wire.Unmarshal(value, &r) == nil {
			c.rentals[id] = rentalEntry{r, revision}
		}
	}
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
	if after != nil {
		after()
	}
}

// applyLevel takes in the feature level, which never goes down.
func (c *clusterCache) applyLevel(value wire.Raw) func() {
	var r records.LevelRecord
	if wire.Unmarshal(value, &r) != nil || r.Level <= c.level {
		return nil
	}
	c.level = r.Level
	if c.onLevel == nil {
		return nil
	}
	return func() { c.onLevel(r.Level) }
}

// featureLevel is the cluster's feature level as far as this node knows.
func (c *clusterCache) featureLevel() records.FeatureLevel {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.level
}

func (c *clusterCache) decodeOwner(value wire.Raw, revision uint64, gone bool) ownership {
	if gone {
		return ownership{revision: revision}
	}
	var r records.OwnerRecord
	if wire.Unmarshal(value, &r) != nil {
		return ownership{revision: revision}
	}
	return ownership{node: r.Node, revision: revision}
}

// replaceAll replaces the copy by a fresh listing.
func (c *clusterCache) replaceAll(items []wire.KeyValue, revision uint64) {
	have := map[string]bool{}
	// The highest names first, as in inOrder.
	for _, item := range slices.Backward(items) {
		have[item.Key] = true
		c.apply(item.Key, item.Value, item.Revision, false)
	}
	c.mu.Lock()
	var gone []string
	for i, owner := range c.partitions {
		if k := records.PartitionKey(i); !have[k] && owner.node != "" {
			gone = append(gone, k)
		}
	}
	if c.leader.node != "" && !have[records.LeaderKey] {
		gone = append(gone, records.LeaderKey)
	}
	for n := range c.nodes {
		if !have[records.NodePrefix+n] {
			gone = append(gone, records.NodePrefix+n)
		}
	}
	for n, e := range c.groups {
		if !have[records.MachinePrefix+n] && e.revision <= revision {
			gone = append(gone, records.MachinePrefix+n)
		}
	}
	for n := range c.rentals {
		if !have[records.RentalPrefix+n] {
			gone = append(gone, records.RentalPrefix+n)
		}
	}
	c.mu.Unlock()
	for _, k := range gone {
		c.apply(k, nil, revision, true)
	}
	c.mu.Lock()
	c.loaded = true
	c.mu.Unlock()
	c.advanceTo(revision)
}

// advanceTo notes that all changes up to a revision are in the copy.
func (c *clusterCache) advanceTo(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision > c.revision {
		c.revision = revision
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// watchTimeout is how long one watch stays open.
const watchTimeout = 20 * time.Second

// watchPrefix lists a prefix and then follows its changes until the context ends; upTo is
// told the revision up to which all have been passed on.
func watchPrefix(ctx context.Context, store *kvstore.Client, prefix string, list func([]wire.KeyValue, uint64), event func(wire.Event), upTo func(uint64)) {
	for ctx.Err() == nil {
		items, revision, err := store.List(ctx, prefix)
		if err != nil {
			slog.Debug("listing failed", "prefix", prefix, "err", err)
			transport.Pause(ctx, 500*time.Millisecond)
			continue
		}
		list(items, revision)
		watchPrefixFrom(ctx, store, prefix, revision, event, upTo)
	}
}

// watchPrefixFrom follows a prefix's changes; it returns when they are no longer kept.
func watchPrefixFrom(ctx context.Context, store *kvstore.Client, prefix string, revision uint64, event func(wire.Event), upTo func(uint64)) {
	for ctx.Err() == nil {
		r, err := store.Watch(ctx, prefix, revision, watchTimeout)
		switch {
		case errors.Is(err, kvstore.ErrCompacted):
			return
		case err != nil:
			slog.Debug("watch failed", "prefix", prefix, "err", err)
			transport.Pause(ctx, 300*time.Millisecond)
			continue
		}
		for _, e := range sortEvents(r.Events) {
			event(e)
		}
		revision = max(revision, r.Revision)
		upTo(revision)
	}
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
