package controller

import (
	"context"
	"log/slog"
	"time"

	"ambersill/internal/scheduler"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

const (
	// catalogRetryDelay is the wait after a failed reading of the catalog. It is short,
	// since a node without a catalog takes no requests and claims no partitions.
	catalogRetryDelay = time.Second
	// catalogInterval is the time between two readings; only prices change, and slowly.
	catalogInterval = 30 * time.Second
)

// runCatalog reads the cloud's machine types and follows their prices.
func (c *Controller) runCatalog(ctx context.Context) error {
	for ctx.Err() == nil {
		types, err := c.cloud.Catalog(ctx)
		if err != nil || len(types) == 0 {
			slog.Debug("catalog not read", "err", err)
			transport.Pause(ctx, catalogRetryDelay)
			continue
		}
		c.setCatalog(types)
		transport.Pause(ctx, catalogInterval)
	}
	return nil
}

// setCatalog stores the machine types and passes them on to the owned partitions. One that
// is loaded later starts with them.
func (c *Controller) setCatalog(types []wire.MachineType) {
	c.mu.Lock()
	c.machineTypes = types
	c.mu.Unlock()
	for _, owned := range c.ownedPartitions() {
		owned.withLoadedPartition(func(partition *scheduler.Partition) { partition.SetMachineTypes(types) })
	}
}

// catalog returns the machine types; none until they are read.
func (c *Controller) catalog() []wire.MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machineTypes
}
