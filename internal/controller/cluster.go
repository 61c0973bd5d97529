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

type owner struct {
	node  string
	stamp uint64
}

type machineEntry struct {
	rec   records.MachineRecord
	group string
	stamp uint64 // of the group
}

// nodeEntry is what a live node says of itself.
type nodeEntry struct {
	level records.FeatureLevel
	stamp uint64
}

type rentalEntry struct {
	rec   records.RentalRecord
	stamp uint64
}

// cluster is a copy of the cluster's keys, kept by a watch. It lags, so that
// decisions based on it are only ever committed under the stamps it shows.
type cluster struct {
	mu         sync.Mutex
	loaded     bool
	lead       owner
	partitions map[int]owner
	nodes      map[string]nodeEntry
	level      records.FeatureLevel
	groups     map[string]groupEntry
	machines   map[string]machineEntry
	rentals    map[string]rentalEntry
	seen       uint64        // all changes up to this revision are in the copy
	changed    chan struct{} // closed and replaced at every change
	onChange   func(machine string, e machineEntry, gone bool)
	onOwner    func(part int, o owner)
	onLevel    func(level records.FeatureLevel)
}

func newCluster() *cluster {
	return &cluster{partitions: map[int]owner{}, nodes: map[string]nodeEntry{}, groups: map[string]groupEntry{}, machines: map[string]machineEntry{},
		rentals: map[string]rentalEntry{}, changed: make(chan struct{})}
}

func (c *cluster) wait() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// apply takes in one key; gone: it was deleted at that stamp.
func (c *cluster) apply(key string, value wire.Raw, stamp uint64, gone bool) {
	c.mu.Lock()
	var after func()
	switch {
	case key == records.LeaderKey:
		if stamp >= c.lead.stamp {
			c.lead = c.owner(value, stamp, gone)
		}
	case strings.HasPrefix(key, records.PartitionPrefix):
		if i, err := strconv.Atoi(key[len(records.PartitionPrefix):]); err == nil && stamp >= c.partitions[i].stamp {
			o := c.owner(value, stamp, gone)
			c.partitions[i] = o
			if c.onOwner != nil {
				after = func() { c.onOwner(i, o) }
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
			c.nodes[key[len(records.NodePrefix):]] = nodeEntry{r.Level, stamp}
		}
	case key == records.FeatureLevelKey:
		after = c.applyLevel(value)
	case strings.HasPrefix(key, records.MachinePrefix):
		after = c.applyGroup(key[len(records.MachinePrefix):], value, stamp, gone)
	case strings.HasPrefix(key, records.RentalPrefix):
		id := key[len(records.RentalPrefix):]
		if gone {
			delete(c.rentals, id)
			break
		}
		var r records.RentalRecord
		if wire.Unmarshal(value, &r) == nil {
			c.rentals[id] = rentalEntry{r, stamp}
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
func (c *cluster) applyLevel(value wire.Raw) func() {
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
func (c *cluster) featureLevel() records.FeatureLevel {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.level
}

func (c *cluster) owner(value wire.Raw, stamp uint64, gone bool) owner {
	if gone {
		return owner{stamp: stamp}
	}
	var r records.OwnerRecord
	if wire.Unmarshal(value, &r) != nil {
		return owner{stamp: stamp}
	}
	return owner{node: r.Node, stamp: stamp}
}

// reset replaces the copy by a fresh listing.
func (c *cluster) reset(items []wire.KeyValue, rev uint64) {
	have := map[string]bool{}
	// The highest names first, as in inOrder.
	for _, it := range slices.Backward(items) {
		have[it.Key] = true
		c.apply(it.Key, it.Value, it.Revision, false)
	}
	c.mu.Lock()
	var gone []string
	for i, o := range c.partitions {
		if k := records.PartitionKey(i); !have[k] && o.node != "" {
			gone = append(gone, k)
		}
	}
	if c.lead.node != "" && !have[records.LeaderKey] {
		gone = append(gone, records.LeaderKey)
	}
	for n := range c.nodes {
		if !have[records.NodePrefix+n] {
			gone = append(gone, records.NodePrefix+n)
		}
	}
	for n, e := range c.groups {
		if !have[records.MachinePrefix+n] && e.stamp <= rev {
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
		c.apply(k, nil, rev, true)
	}
	c.mu.Lock()
	c.loaded = true
	c.mu.Unlock()
	c.caughtUp(rev)
}

// caughtUp notes that all changes up to a revision are in the copy.
func (c *cluster) caughtUp(rev uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rev > c.seen {
		c.seen = rev
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// watchWait is how long one watch stays open.
const watchWait = 20 * time.Second

// follow lists a prefix and then follows its changes until the context ends; upTo is
// told the revision up to which all have been passed on.
func follow(ctx context.Context, st *kvstore.Client, prefix string, list func([]wire.KeyValue, uint64), event func(wire.Event), upTo func(uint64)) {
	for ctx.Err() == nil {
		items, rev, err := st.List(ctx, prefix)
		if err != nil {
			slog.Debug("listing failed", "prefix", prefix, "err", err)
			transport.Pause(ctx, 500*time.Millisecond)
			continue
		}
		list(items, rev)
		followFrom(ctx, st, prefix, rev, event, upTo)
	}
}

// followFrom follows a prefix's changes; it returns when they are no longer kept.
func followFrom(ctx context.Context, st *kvstore.Client, prefix string, rev uint64, event func(wire.Event), upTo func(uint64)) {
	for ctx.Err() == nil {
		r, err := st.Watch(ctx, prefix, rev, watchWait)
		switch {
		case errors.Is(err, kvstore.ErrCompacted):
			return
		case err != nil:
			slog.Debug("watch failed", "prefix", prefix, "err", err)
			transport.Pause(ctx, 300*time.Millisecond)
			continue
		}
		for _, e := range inOrder(r.Events) {
			event(e)
		}
		rev = max(rev, r.Revision)
		upTo(rev)
	}
}

func (c *cluster) snapshotOwner(part int) owner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitions[part]
}

func (c *cluster) machine(id string) (machineEntry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.machines[id]
	return e, ok
}
