package controller

// recordAddress stores the address of a machine's worker. It ignores machines without a
// record: the cloud's listing may still show machines that were returned, and nothing would
// remove their addresses.
func (c *Controller) recordAddress(machine, address string) {
	if _, known := c.cluster.machine(machine); !known || address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses[machine] = address
}

// address returns the address of a machine's worker, or "" if it is not known yet.
func (c *Controller) address(machine string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[machine]
}

// machineChanged handles a change of a machine's record in the cluster cache. It discards the
// state that this node keeps of a machine that was removed, and updates the owned partitions.
func (c *Controller) machineChanged(change machineChange) {
	if change.deleted {
		c.forgetMachine(change.machineID)
	}
	for _, owned := range c.ownedPartitions() {
		owned.machineChanged(change)
		owned.requestCycle()
	}
}

// forgetMachine discards what the controller itself stores about a machine. What its partitions
// store is discarded by ownedPartition.machineChanged.
func (c *Controller) forgetMachine(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.addresses, machine)
	delete(c.redirectStates, machine)
	c.commandSlots.forget(machine)
}
