package controller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/scheduler"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// Guards against a machine that is put into back-off, and a start that waits for a heartbeat, because a
// worker refused a request after it had seen a higher token of the same owner.
func TestRequestRefusedForHigherTokenOfOwnerIsRepeatedWithoutBackoff(t *testing.T) {
	owned := newOwnedPartitionWithUnsentStart(t)
	var tokens []uint64
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request wire.CommandRequest
		if err := wire.ReadResponse(r.Body, &request); err != nil {
			t.Error(err)
		}
		tokens = append(tokens, request.FencingToken)
		status := http.StatusOK
		if len(tokens) == 1 {
			// A response to a heartbeat has raised the token meanwhile.
			raised := testMachineRecord
			raised.FencingToken = request.FencingToken + 1
			owned.machineChanged(machineChange{
				machineID: "m-1",
				entry:     machineEntry{record: raised, revision: request.FencingToken + 1},
			})
			status = http.StatusConflict
		}
		response := newHeartbeat("m-1", 10+uint64(len(tokens)))
		response.FencingToken = tokens[0] + 1
		w.WriteHeader(status)
		_, _ = w.Write(must(wire.Marshal(response)))
	}))
	t.Cleanup(worker.Close)
	owned.controller.recordAddress("m-1", strings.TrimPrefix(worker.URL, "http://"))

	owned.sendCommands(t.Context())
	slots := owned.controller.commandSlots
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline) && slots.inFlightCount() > 0; {
		time.Sleep(time.Millisecond)
	}
	if len(tokens) != 2 || tokens[1] != tokens[0]+1 {
		t.Errorf("tokens of the requests: got %v, want two, the second one higher by 1", tokens)
	}
	if !slots.acquire("m-1", time.Now()) || len(slots.backoff) != 0 {
		t.Errorf("machines in back-off: got %v, want none", slots.backoff)
	}
}

// inFlightCount returns the number of requests that have not completed.
func (s *commandSlots) inFlightCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.inFlight)
}

var testMachineRecord = records.MachineRecord{MachineType: "small", Zone: "a", CreatedAtMS: 1}

// newOwnedPartitionWithUnsentStart returns a partition that has machine m-1, on which a task is placed and
// committed whose start command has not been sent.
func newOwnedPartitionWithUnsentStart(t *testing.T) *ownedPartition {
	const claim = 10
	cluster := &simulatedCluster{nodes: simulatedNodes(1)}
	c := New(cluster.settings(0), tuning.Default(), transport.TCP{})
	_, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	owned := c.newOwnedPartition(0, claim, cancel)
	partition := scheduler.NewPartition(0, claim, c.settings, &c.tuning)
	partition.SetMachineTypes(testMachineTypes)
	now := time.Now()
	partition.SetMachine("m-1", testMachineRecord, claim+1, now)
	for sequence := range uint64(2) {
		heartbeat := &wire.Heartbeat{Machine: "m-1", Incarnation: 1, Sequence: sequence + 1, FencingToken: claim}
		partition.HandleHeartbeat(heartbeat, now, true)
	}
	partition.AddJob(newArrayJob(1, 1, 1, 60), now, claim+2)
	partition.Schedule(now)
	partition.ConfirmBatch(partition.PrepareBatch(), claim+3)
	owned.publish(partition, now)
	group := records.MachineGroupRecord{Machines: map[string]records.MachineRecord{"m-1": testMachineRecord}}
	c.cluster.applyChange(putChange(records.MachinePrefix+"m-1", group, claim+1))
	return owned
}
