package controller

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// Guards against running tasks that are started again because a heartbeat without a list of tasks counted
// as that of a machine without tasks.
func TestHeartbeatWithoutTaskListLosesNoTask(t *testing.T) {
	simulateOnePartition(t, 1, func(cluster *simulatedCluster) {
		newest := make(chan wire.Heartbeat, 1)
		var highestAttempt atomic.Uint64
		cluster.simulation.OnHeartbeat = func(heartbeat *wire.Heartbeat, _ func(to emulator.Node)) {
			if len(heartbeat.Tasks) == 0 || heartbeat.Tasks[0].State != wire.TaskRunning {
				return
			}
			highestAttempt.Store(max(highestAttempt.Load(), heartbeat.Tasks[0].Attempt))
			select {
			case newest <- *heartbeat:
			default:
			}
		}
		cluster.submit(newSmallMachineJob(1, 1, 8, 60), 0)
		heartbeat := <-newest
		heartbeat.Tasks = nil // encoded as null
		heartbeat.Sequence += 100
		owner, _ := cluster.firstPartitionOwner()
		if status := cluster.sendHeartbeat(owner, heartbeat); status != http.StatusBadRequest {
			t.Errorf("heartbeat without a list of tasks: got status %d, want 400", status)
		}
		cluster.waitForJobsAndCheck(3 * time.Minute)
		if attempt := highestAttempt.Load(); attempt != 1 {
			t.Errorf("highest attempt of the task: got %d, want 1", attempt)
		}
	})
}

// sendHeartbeat sends a heartbeat to a node, and returns the status of the answer.
func (cluster *simulatedCluster) sendHeartbeat(node int, heartbeat wire.Heartbeat) int {
	client := transport.Client(cluster.network.Host("worker"), 1, 1, time.Second)
	defer client.CloseIdleConnections()
	url := "http://" + cluster.nodes[node].Addr + "/agent/beat"
	response, err := transport.Send(cluster.ctx, client, http.MethodPost, url, heartbeat)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	transport.Discard(response)
	return response.StatusCode
}
