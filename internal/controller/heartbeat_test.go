package controller

import (
	"testing"
	"time"

	"ambersill/internal/wire"
)

// workersByNode counts the workers that report to each node.
func (d *day) workersByNode() map[string]int {
	count := map[string]int{}
	for _, worker := range d.cloud.Workers() {
		count[d.world.AssignedNode(worker)]++
	}
	return count
}

// All workers begin at one node. Within their grace they must be spread over those that do
// not own the partition; when one of these ends, its workers go on at another node, and
// no task is lost.
func TestHeartbeatsAreSpreadBesideTheOwner(t *testing.T) {
	const (
		tasks    = 110
		fleetUp  = 50 * time.Second // until the fleet is rented and has booted
		leastPct = 35               // of the workers, at each of two nodes
		mostPct  = 65
	)
	fleet(t, 12, 30, func(d *day) {
		d.submit(largeArray(1, tasks, 8, 240), 0)
		time.Sleep(fleetUp + 2*redirectGrace)
		workers := len(d.cloud.Workers())
		owner, _ := d.owner()
		if workers < 100 || owner < 0 || d.world.Starts() != tasks {
			d.t.Fatalf("%d machines, owner %d, %d starts", workers, owner, d.world.Starts())
		}
		ownerName := d.nodes[owner].Name
		crashed := (owner + 1) % len(d.nodes)
		count := d.workersByNode()
		if n := count[ownerName]; n > 0 {
			d.t.Errorf("%d workers report to the owner", n)
		}
		if n := count[d.nodes[crashed].Name]; n < workers*leastPct/100 || n > workers*mostPct/100 {
			d.t.Errorf("%d of %d workers report to one of two nodes", n, workers)
		}
		d.crash(crashed)
		time.Sleep(2 * redirectGrace)
		if n := d.workersByNode()[ownerName]; n < workers*leastPct/100 {
			d.t.Errorf("the owner, one of two nodes left, has %d of %d workers", n, workers)
		}
		d.start(crashed)
		d.finish(20 * time.Minute)
		if n := d.world.Starts(); n != tasks {
			d.t.Errorf("%d starts of %d tasks: some were lost", n, tasks)
		}
	})
}

// Commands go straight to a machine's address, and the owner may learn it only from a
// heartbeat that another node has forwarded.
func TestForwardedHeartbeatsRecordTheAddress(t *testing.T) {
	c, nextHeartbeat := newHeartbeatFixture(t, 2)
	var heartbeat wire.Heartbeat
	if err := wire.Unmarshal(nextHeartbeat(), &heartbeat); err != nil {
		t.Fatal(err)
	}
	if result := c.OwnedHeartbeat(&heartbeat); !result.Accepted || c.address(heartbeat.Machine) != heartbeat.Address {
		t.Errorf("accepted %v; the address is %q, want %q", result.Accepted, c.address(heartbeat.Machine), heartbeat.Address)
	}
}
