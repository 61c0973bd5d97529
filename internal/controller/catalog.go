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
	// catalogRetryDelay is the pause after a failed attempt to read the catalog. It is
	// short, since a node without a catalog accepts no requests and claims no partitions.
	catalogRetryDelay = time.Second
	// catalogInterval is the time between two reads of the catalog. Only prices change, and
	// they change slowly.
	catalogInterval = 30 * time.Second
)

// runCatalog reads the cloud's machine types, and reads them again at regular intervals to
// update their prices. It returns when the context ends.
func (c *Controller) runCatalog(ctx context.Context) error {
	for ctx.Err() == nil {
		types, err := c.cloud.Catalog(ctx)
		if err != nil || len(types) == 0 {
			slog.Debug("reading the cloud's catalog failed or returned no machine types", "err", err)
			transport.Pause(ctx, catalogRetryDelay)
			continue
		}
		c.setCatalog(types)
		transport.Pause(ctx, catalogInterval)
	}
	return nil
}

// setCatalog stores the machine types and passes them on to the owned partitions that are
// loaded. A partition that is loaded later takes them from the controller.
func (c *Controller) setCatalog(types []wire.MachineType) {
	c.mu.Lock()
	c.machineTypes = types
	c.mu.Unlock()
	for _, owned := range c.ownedPartitions() {
		owned.withLoadedPartition(func(partition *scheduler.Partition) { partition.SetMachineTypes(types) })
	}
}

// catalog returns the machine types, or none if they have not been read yet.
func (c *Controller) catalog() []wire.MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machineTypes
}
