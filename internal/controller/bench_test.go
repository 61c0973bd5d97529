package controller

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ambersill/internal/api"
	"ambersill/internal/records"
	"ambersill/internal/scheduler"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// fixtureMachineID is the ID of the machine that newHeartbeatFixture creates.
const fixtureMachineID = "m-000001"

// newHeartbeatFixture returns a controller that owns the partition of a machine with running
// tasks, and a function that encodes the machine's next heartbeat, which reports no change.
func newHeartbeatFixture(tb testing.TB, tasks int) (c *Controller, nextHeartbeat func() []byte) {
	tb.Helper()
	const (
		claimRevision = 10 // revision of the partition's key
		groupRevision = 5  // revision of the record of the machine's group
		chunkRevision = 20
	)
	cluster := &simulatedCluster{nodes: simulatedNodes(1)}
	c = New(cluster.settings(0), tuning.Default(), nil)
	machine := records.MachineRecord{MachineType: "big", Zone: "a", CreatedAtMS: 1}
	group := records.MachineGroupRecord{Machines: map[string]records.MachineRecord{fixtureMachineID: machine}}
	c.cluster.applyChange(putChange(records.MachinePrefix+fixtureMachineID, group, groupRevision))

	job := newSmallMachineJob(1, tasks, 1, 1000)
	partition := scheduler.NewPartition(0, claimRevision, c.settings, &c.tuning)
	partition.SetMachineTypes(testMachineTypes)
	partition.SetMachine(fixtureMachineID, machine, groupRevision, time.Now())
	chunk := records.LoadedChunk{JobID: job.ID, Name: "0", Revision: chunkRevision, Record: runningChunk(job, tasks)}
	partition.Restore([]records.LoadedChunk{chunk}, nil)

	owned := c.newOwnedPartition(0, claimRevision, func() {})
	owned.partition = partition
	// An hour ahead, so that the cancellations never count as outdated.
	owned.cancellationsReadAt = time.Now().Add(time.Hour)
	c.owned[0] = owned

	heartbeat := wire.Heartbeat{
		Machine:      fixtureMachineID,
		Address:      "10.1.0.1:9000",
		MachineType:  machine.MachineType,
		Zone:         machine.Zone,
		Incarnation:  1,
		FencingToken: claimRevision,
	}
	for i := range tasks {
		status := wire.TaskStatus{Task: fmt.Sprintf("%s/%d", job.ID, i), Attempt: 1, State: wire.TaskRunning}
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	return c, func() []byte {
		heartbeat.Sequence++
		return must(wire.Marshal(heartbeat))
	}
}

// runningChunk returns the chunk record of a job whose tasks all run on the fixture's machine.
func runningChunk(job *wire.Job, tasks int) records.ChunkRecord {
	record := records.ChunkRecord{Job: job, HighestAttempt: 1}
	for i := range tasks {
		record.Placements = append(record.Placements, records.PlacementRecord{
			Task:        i,
			Attempt:     1,
			Machine:     fixtureMachineID,
			Incarnation: 1,
		})
	}
	return record
}

// postHeartbeat sends a heartbeat and stops the test if it is not accepted.
func postHeartbeat(tb testing.TB, handler http.Handler, body []byte) {
	tb.Helper()
	response := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(tb.Context(), http.MethodPost, "/agent/beat", bytes.NewReader(body))
	handler.ServeHTTP(response, request)
	if response.Code != http.StatusOK {
		tb.Fatalf("status of the heartbeat response: got %d, want 200", response.Code)
	}
}

// BenchmarkUnchangedHeartbeat measures the handling of a heartbeat that reports no change, by far
// the most frequent request.
func BenchmarkUnchangedHeartbeat(b *testing.B) {
	c, nextHeartbeat := newHeartbeatFixture(b, 8)
	handler := api.Handler(c, 1, time.Second)
	postHeartbeat(b, handler, nextHeartbeat())
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		body := nextHeartbeat()
		b.StartTimer()
		postHeartbeat(b, handler, body)
	}
}
