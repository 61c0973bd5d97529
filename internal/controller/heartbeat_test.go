package controller

import (
	"testing"
	"time"

	"ambersill/internal/wire"
)

// reporters counts the workers that report to each node.
func (d *day) reporters() map[string]int {
	count := map[string]int{}
	for _, worker := range d.cloud.Workers() {
		count[d.world.AssignedNode(worker)]++
	}
	return count
}

// All workers begin at one node. Within their stay they must be spread over those that do
// not own the partition; when one of these ends, its workers go on at another node, and
// no task is lost.
func TestReportsAreSharedByTheNodes(t *testing.T) {
	fleet(t, 12, 30, func(d *day) {
		d.submit(largeArray(1, 110, 8, 240), 0)
		time.Sleep(50*time.Second + 2*redirectGrace)
		workers := len(d.cloud.Workers())
		owner, _ := d.owner()
		if workers < 100 || owner < 0 || d.world.Starts() != 110 {
			d.t.Fatalf("%d machines, owner %d, %d starts", workers, owner, d.world.Starts())
		}
		ends := (owner + 1) % len(d.nodes)
		count := d.reporters()
		if n := count[d.nodes[owner].Name]; n > 0 {
			d.t.Errorf("%d workers report to the owner", n)
		}
		if n := count[d.nodes[ends].Name]; n < workers*35/100 || n > workers*65/100 {
			d.t.Errorf("%d of %d workers report to one of two nodes", n, workers)
		}
		d.crash(ends)
		time.Sleep(2 * redirectGrace)
		if n := d.reporters()[d.nodes[owner].Name]; n < workers*35/100 {
			d.t.Errorf("the owner, one of two nodes left, has %d of %d workers", n, workers)
		}
		d.start(ends)
		d.finish(20 * time.Minute)
		if n := d.world.Starts(); n != 110 {
			d.t.Errorf("%d starts of 110 tasks: some were lost", n)
		}
	})
}

// Orders go straight to a machine's address, and the owner may learn it from a report
// only that came by way of another node.
func TestForwardedReportsTellTheAddress(t *testing.T) {
	c, next := reporter(t, 2)
	var heartbeat wire.Heartbeat
	if err := wire.Unmarshal(next(), &heartbeat); err != nil {
		t.Fatal(err)
	}
	if result := c.OwnedHeartbeat(&heartbeat); !result.Accepted || c.address(heartbeat.Machine) != heartbeat.Address {
		t.Errorf("taken in %v; the address is %q, want %q", result.Accepted, c.address(heartbeat.Machine), heartbeat.Address)
	}
}
