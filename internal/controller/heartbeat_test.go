package controller

import (
	"testing"
	"time"

	"ambersill/internal/wire"
)

// workersByNode returns the number of workers that report to each node, by node name.
func (cluster *simulatedCluster) workersByNode() map[string]int {
	count := map[string]int{}
	for _, worker := range cluster.cloud.Workers() {
		count[cluster.simulation.AssignedNode(worker)]++
	}
	return count
}

// All workers report to one node at first. After the grace period they must be spread over the
// nodes that do not own the partition. When one of these nodes crashes, its workers must move
// to the remaining nodes without losing a task.
func TestHeartbeatsAreSpreadOverNonOwnerNodes(t *testing.T) {
	const (
		tasks        = 110
		fleetStartup = 50 * time.Second // until the fleet is rented and has booted
		minPercent   = 35               // of the workers at each of two nodes
		maxPercent   = 65
	)
	simulateWithCapacity(t, 12, 30, func(cluster *simulatedCluster) {
		cluster.submit(newIdlePriorityJob(1, tasks, 8, 240), 0)
		time.Sleep(fleetStartup + 2*redirectGrace)
		workers := len(cluster.cloud.Workers())
		owner, _ := cluster.firstPartitionOwner()
		if workers < 100 || owner < 0 || cluster.simulation.StartCount() != tasks {
			cluster.t.Fatalf("%d machines, owner %d, %d starts; want at least 100 machines, an owner, and one start of each task", workers, owner, cluster.simulation.StartCount())
		}
		ownerName := cluster.nodes[owner].Name
		crashed := (owner + 1) % len(cluster.nodes)
		count := cluster.workersByNode()
		if n := count[ownerName]; n > 0 {
			cluster.t.Errorf("%d workers report to the owner, want 0", n)
		}
		if n := count[cluster.nodes[crashed].Name]; n < workers*minPercent/100 || n > workers*maxPercent/100 {
			cluster.t.Errorf("%d of %d workers report to one of the two nodes without the partition, want 35 to 65 %%", n, workers)
		}
		cluster.crashNode(crashed)
		time.Sleep(2 * redirectGrace)
		if n := cluster.workersByNode()[ownerName]; n < workers*minPercent/100 {
			cluster.t.Errorf("after a crash %d of %d workers report to the owner, one of two live nodes; want at least 35 %%", n, workers)
		}
		cluster.startNode(crashed)
		cluster.waitForJobsAndCheck(20 * time.Minute)
		if n := cluster.simulation.StartCount(); n != tasks {
			cluster.t.Errorf("%d starts of %d tasks, want one start of each task", n, tasks)
		}
	})
}

// The owner sends commands directly to a machine's address. It may learn the address only from
// a heartbeat that another node has forwarded.
func TestForwardedHeartbeatsRecordTheAddress(t *testing.T) {
	c, nextHeartbeat := newHeartbeatFixture(t, 2)
	var heartbeat wire.Heartbeat
	if err := wire.Unmarshal(nextHeartbeat(), &heartbeat); err != nil {
		t.Fatal(err)
	}
	if result := c.AnswerHeartbeatAsOwner(&heartbeat); !result.Accepted || c.address(heartbeat.Machine) != heartbeat.Address {
		t.Errorf("forwarded heartbeat: accepted = %v, want true; recorded address %q, want %q", result.Accepted, c.address(heartbeat.Machine), heartbeat.Address)
	}
}
