package controller

// recordAddress stores where a machine can be reached. Nothing is stored of machines without
// a record: the cloud's listing still shows those that were returned, and nothing would
// remove their addresses.
func (c *Controller) recordAddress(machine, address string) {
	if _, known := c.cluster.machine(machine); !known || address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses[machine] = address
}

// address returns where a machine can be reached, "" if that is not known yet.
func (c *Controller) address(machine string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[machine]
}

// machineChanged handles a change of a machine's record in the cluster cache: whatever is
// kept of a machine that is gone is removed, and the owned partitions are updated.
func (c *Controller) machineChanged(machine string, entry machineEntry, gone bool) {
	c.mu.Lock()
	all := c.ownedPartitions()
	if gone {
		delete(c.addresses, machine)
		delete(c.visits, machine)
		c.commandSlots.forget(machine)
	}
	c.mu.Unlock()
	for _, owned := range all {
		owned.machineChanged(machine, entry, gone)
		owned.wakeUp()
	}
}
