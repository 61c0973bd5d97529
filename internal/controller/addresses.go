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
func (c *Controller) machineChanged(change machineChange) {
	if change.gone {
		c.forgetMachine(change.machine)
	}
	for _, owned := range c.ownedPartitions() {
		owned.machineChanged(change)
		owned.requestCycle()
	}
}

// forgetMachine drops what the node itself keeps of a machine.
func (c *Controller) forgetMachine(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.addresses, machine)
	delete(c.visits, machine)
	c.commandSlots.forget(machine)
}
