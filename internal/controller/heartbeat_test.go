package controller

import (
	"testing"
	"time"

	"ambersill/internal/wire"
)

// workersByNode counts the workers that report to each node.
func (cluster *simulatedCluster) workersByNode() map[string]int {
	count := map[string]int{}
	for _, worker := range cluster.cloud.Workers() {
		count[cluster.simulation.AssignedNode(worker)]++
	}
	return count
}

// All workers begin at one node. Within their grace they must be spread over those that do
// not own the partition; when one of these ends, its workers go on at another node, and
// no task is lost.
func TestHeartbeatsAreSpreadOverNonOwnerNodes(t *testing.T) {
	const (
		tasks        = 110
		fleetStartup = 50 * time.Second // until the fleet is rented and has booted
		minPercent   = 35               // of the workers, at each of two nodes
		maxPercent   = 65
	)
	runFleetSimulation(t, 12, 30, func(cluster *simulatedCluster) {
		cluster.submit(idleArrayJob(1, tasks, 8, 240), 0)
		time.Sleep(fleetStartup + 2*redirectGrace)
		workers := len(cluster.cloud.Workers())
		owner, _ := cluster.partitionOwner()
		if workers < 100 || owner < 0 || cluster.simulation.Starts() != tasks {
			cluster.t.Fatalf("%d machines, owner %d, %d starts", workers, owner, cluster.simulation.Starts())
		}
		ownerName := cluster.nodes[owner].Name
		crashed := (owner + 1) % len(cluster.nodes)
		count := cluster.workersByNode()
		if n := count[ownerName]; n > 0 {
			cluster.t.Errorf("%d workers report to the owner", n)
		}
		if n := count[cluster.nodes[crashed].Name]; n < workers*minPercent/100 || n > workers*maxPercent/100 {
			cluster.t.Errorf("%d of %d workers report to one of two nodes", n, workers)
		}
		cluster.crashNode(crashed)
		time.Sleep(2 * redirectGrace)
		if n := cluster.workersByNode()[ownerName]; n < workers*minPercent/100 {
			cluster.t.Errorf("the owner, one of two nodes left, has %d of %d workers", n, workers)
		}
		cluster.startNode(crashed)
		cluster.waitAndCheck(20 * time.Minute)
		if n := cluster.simulation.Starts(); n != tasks {
			cluster.t.Errorf("%d starts of %d tasks: some were lost", n, tasks)
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
