package scheduler

import (
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/wire"

	"github.com/google/go-cmp/cmp"
)

// newHeartbeat returns a heartbeat of machine m-1 that lists no tasks.
func newHeartbeat(incarnation, sequence, token uint64) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "m-1", Incarnation: incarnation, Sequence: sequence, FencingToken: token}
}

// handleHeartbeat passes a heartbeat to the partition at the current time and returns the verdict.
func (h *partitionHarness) handleHeartbeat(heartbeat *wire.Heartbeat) HeartbeatVerdict {
	verdict, _ := h.HandleHeartbeat(heartbeat, h.now, true)
	return verdict
}

// restoreTask restores a job with one task that an earlier owner placed on machine m-1 in the given
// incarnation of its worker, and returns the machine.
func (h *partitionHarness) restoreTask(incarnation uint64) *Machine {
	h.revision++
	h.SetMachine("m-1", records.MachineRecord{MachineType: "cpu", Zone: "a"}, h.revision, h.now)
	job := newArrayJob("req-1", 1, 1)
	record := records.ChunkRecord{
		Job:            &job,
		HighestAttempt: 3,
		Placements:     []records.PlacementRecord{{Task: 0, Attempt: 3, Machine: "m-1", Incarnation: incarnation}},
	}
	h.Restore([]records.LoadedChunk{{JobID: "req-1", Name: "0", Revision: h.revision, Record: record}}, nil)
	return h.machines.get("m-1")
}

// isReportedUnhealthy reports whether the partition's summary marks the machine as unhealthy.
func (h *partitionHarness) isReportedUnhealthy(id string) bool {
	return h.Summary(h.now).MachineDigests[id]&records.DigestUnhealthy != 0
}

func (h *partitionHarness) unhealthyMachines() []string {
	return h.machines.selectIDs(func(machine *Machine) bool { return h.isReportedUnhealthy(machine.ID) })
}

// A machine whose lease expired is reported as unhealthy only after the time that another machine
// takes to boot, because it may recover sooner. A quarantined machine is reported at once.
func TestExpiredMachineIsUnhealthyOnlyAfterBootTime(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addMachine("m-2", "cpu", "a", false)
	harness.machines.get("m-2").quarantined = true
	harness.now = harness.now.Add(16 * time.Second) // longer than the lease
	harness.Schedule(harness.now)
	if !harness.machines.get("m-1").lease.expired {
		t.Fatal("lease of m-1 has not expired, want expired")
	}
	if diff := cmp.Diff([]string{"m-2"}, harness.unhealthyMachines()); diff != "" {
		t.Fatal("unhealthy machines after the lease expired (-want +got):\n", diff)
	}
	harness.now = harness.now.Add(31 * time.Second) // longer than the boot time of 30 s
	if diff := cmp.Diff([]string{"m-1", "m-2"}, harness.unhealthyMachines()); diff != "" {
		t.Fatal("unhealthy machines after the boot time (-want +got):\n", diff)
	}
}

// After a failover, a placement of the earlier owner is not freed however much time passes. Only
// once the worker has acknowledged the new owner's token is it freed when the lease expires.
func TestFailoverFreesNoPlacementBeforeAcknowledgement(t *testing.T) {
	harness := newPartitionHarness()
	machine := harness.restoreTask(1)
	harness.Schedule(harness.now.Add(time.Hour))
	if len(machine.placements) != 1 {
		t.Fatal("placement of an earlier owner was freed after 1 h without a heartbeat, want it kept")
	}
	harness.heartbeatSequences["m-1"] = 5
	harness.workerTasks["m-1"] = map[taskAttempt]wire.TaskStatus{
		{"req-1/0", 3}: {Task: "req-1/0", Attempt: 3, State: wire.TaskRunning},
	}
	harness.sendHeartbeat("m-1")
	harness.Schedule(harness.now.Add(14 * time.Second))
	if len(machine.placements) != 1 {
		t.Fatal("placement was freed 14 s after the last heartbeat, before the lease must have expired")
	}
	harness.Schedule(harness.now.Add(20 * time.Second))
	if len(machine.placements) != 0 {
		t.Fatal("placement is kept 20 s after the last heartbeat, want it freed after the lease expired")
	}
}

// A task that a heartbeat does not list is lost only if the heartbeat carries the current token.
// Otherwise an earlier owner's last response may still start it.
func TestMissingTaskCountsOnlyUnderCurrentToken(t *testing.T) {
	harness := newPartitionHarness()
	machine := harness.restoreTask(1)
	harness.handleHeartbeat(newHeartbeat(1, 1, machine.token.current-1))
	if len(machine.placements) != 1 {
		t.Fatal("placement was freed by a heartbeat with an older token, want it kept")
	}
	harness.handleHeartbeat(newHeartbeat(1, 2, machine.token.current))
	if len(machine.placements) != 0 {
		t.Fatal("placement is kept after a heartbeat with the current token that does not list the task, want it freed")
	}
}

// Heartbeats that a network partition delayed are older than the known state, and must be neither
// processed nor answered. A higher token shows that there is a later owner.
func TestHeartbeatVerdicts(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	token := harness.machines.get("m-1").token.current
	// Each case depends on the state after the previous one.
	for _, test := range []struct {
		name      string
		heartbeat *wire.Heartbeat
		want      HeartbeatVerdict
	}{
		{"old sequence", newHeartbeat(1, 1, token), HeartbeatStale},
		{"higher token", newHeartbeat(1, 99, token+1), HeartbeatSuperseded},
		{"unknown machine", &wire.Heartbeat{Machine: "m-9", Incarnation: 1, Sequence: 1}, HeartbeatNotOwned},
		{"next incarnation", newHeartbeat(2, 1, token), HeartbeatAccepted},
		{"old incarnation", newHeartbeat(1, 999, token), HeartbeatStale},
	} {
		if got := harness.handleHeartbeat(test.heartbeat); got != test.want {
			t.Errorf("%s: verdict %v, want %v", test.name, got, test.want)
		}
	}
}

// newExpiredHarness returns a partition with a spot instance on which a task ran until its lease
// expired, and the machine.
func newExpiredHarness() (*partitionHarness, *Machine) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", true)
	job := newArrayJob("req-1", 1, 1)
	job.AllowSpot = true
	harness.addJob(job)
	harness.scheduleAndCommit()
	harness.sendHeartbeat("m-1")
	harness.now = harness.now.Add(20 * time.Second)
	harness.Schedule(harness.now)
	return harness, harness.machines.get("m-1")
}

// After a lease has expired, a delayed heartbeat of the old incarnation must not make the machine
// usable again. A heartbeat of the next incarnation shows that it is alive.
func TestDelayedHeartbeatDoesNotReviveExpiredMachine(t *testing.T) {
	harness, machine := newExpiredHarness()
	token := machine.token.current
	if verdict := harness.handleHeartbeat(newHeartbeat(1, 90, token)); verdict != HeartbeatStale {
		t.Fatalf("verdict on a heartbeat of the old incarnation: got %v, want stale", verdict)
	}
	if !machine.lease.expired || machine.usable() {
		t.Fatal("machine is usable or its lease valid after a delayed heartbeat, want neither")
	}
	if verdict := harness.handleHeartbeat(newHeartbeat(2, 91, token)); verdict != HeartbeatAccepted || machine.lease.expired {
		t.Fatalf("after a heartbeat of the next incarnation: got verdict %v, lease expired %v; want accepted, false", verdict, machine.lease.expired)
	}
}

// A heartbeat that was overtaken by a response to a command request is older than the response, so
// it must not clear a termination notice.
func TestOvertakenHeartbeatDoesNotClearTerminationNotice(t *testing.T) {
	harness, machine := newExpiredHarness()
	token := machine.token.current
	if verdict := harness.handleHeartbeat(newHeartbeat(2, 91, token)); verdict != HeartbeatAccepted {
		t.Fatalf("verdict on a heartbeat of the next incarnation: got %v, want accepted", verdict)
	}
	noticeS := 9.0
	noticed := newHeartbeat(2, 92, token)
	noticed.TerminationNoticeS = &noticeS
	harness.handleHeartbeat(noticed)
	response := newHeartbeat(2, 95, token)
	response.TerminationNoticeS = &noticeS
	harness.HandleCommandResponse(response, harness.now)
	for _, sequence := range []uint64{91, 94} {
		harness.handleHeartbeat(newHeartbeat(2, sequence, token))
		if !machine.terminationNotice {
			t.Fatalf("termination notice was cleared by heartbeat %d, which was overtaken or stale", sequence)
		}
	}
}

// A delayed heartbeat with an earlier owner's token must not free a placement for a new owner.
func TestDelayedHeartbeatFreesNothingForNewOwner(t *testing.T) {
	earlierOwner := newPartitionHarness()
	earlierOwner.addMachine("m-1", "cpu", "a", true)
	earlierToken := earlierOwner.machines.get("m-1").token.current
	harness := newPartitionHarness()
	harness.Revision = 500
	machine := harness.restoreTask(2)
	for _, delayed := range []*wire.Heartbeat{
		newHeartbeat(1, 50, earlierToken),
		newHeartbeat(2, 92, earlierToken),
	} {
		harness.handleHeartbeat(delayed)
		if len(machine.placements) != 1 || machine.usable() {
			t.Fatalf("placement freed or machine usable after a delayed heartbeat with an earlier token: %+v", delayed)
		}
	}
}

// If a worker receives no responses, its lease expires and it enters a new incarnation although all
// of its heartbeats were answered. It must get no tasks until it acknowledges a raised token, and
// is reported as unhealthy if it does not.
func TestUnreachableWorkerGetsNoTasks(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	machine := harness.machines.get("m-1")
	sequence := harness.heartbeatSequences["m-1"]
	sendHeartbeats := func(incarnation uint64, duration time.Duration) {
		for end := harness.now.Add(duration); harness.now.Before(end); harness.now = harness.now.Add(2 * time.Second) {
			sequence++
			harness.handleHeartbeat(newHeartbeat(incarnation, sequence, machine.token.current))
		}
	}
	sendHeartbeats(1, 16*time.Second)
	if !machine.usable() {
		t.Fatal("machine is not usable although its lease has not expired")
	}
	sendHeartbeats(2, 2*time.Second)
	if machine.usable() || len(harness.MachinesNeedingHigherToken()) != 1 {
		t.Fatal("machine is usable or needs no higher token although its lease expired while its heartbeats were answered")
	}
	record := machine.Record
	record.FencingToken = harness.revision + 1
	harness.SetMachine("m-1", record, harness.revision+1, harness.now)
	for range 12 {
		sequence++
		harness.now = harness.now.Add(2 * time.Second)
		harness.handleHeartbeat(newHeartbeat(3, sequence, record.FencingToken-1))
	}
	if machine.usable() || !harness.isReportedUnhealthy("m-1") {
		t.Fatal("machine is usable or healthy although its worker has not acknowledged the raised token")
	}
	harness.handleHeartbeat(newHeartbeat(3, sequence+1, record.FencingToken))
	if !machine.usable() || harness.isReportedUnhealthy("m-1") {
		t.Fatal("machine is unusable or unhealthy although its worker has acknowledged the raised token")
	}
}

// A worker whose heartbeats reach no controller enters a new incarnation, and may be known to be in
// it only because it refuses commands. No task may be placed in the new incarnation before a
// heartbeat of it arrives. The task would be freed together with those of the old incarnation, and
// would run on another machine while it still runs on this one.
func TestNewIncarnationNeedsHeartbeat(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	machine := harness.machines.get("m-1")
	harness.addJob(newArrayJob("req-1", 1, 1))
	harness.now = harness.now.Add(14500 * time.Millisecond)
	refusal := newHeartbeat(2, 50, machine.token.current)
	harness.HandleCommandResponse(refusal, harness.now)
	harness.scheduleAndCommit()
	if request, ok := harness.DirectCommands("m-1", true); ok && request.Incarnation != 1 {
		t.Errorf("direct commands for incarnation %d, of which no heartbeat has arrived; want 1 or no commands", request.Incarnation)
	}
	harness.now = harness.now.Add(2 * time.Second)
	harness.Schedule(harness.now)
	if !machine.lease.expired {
		t.Error("lease of m-1 has not expired, want expired")
	}
	verdict := harness.handleHeartbeat(newHeartbeat(2, 51, machine.token.current))
	if verdict != HeartbeatAccepted || machine.lease.expired || machine.newestMessage.incarnation != 2 {
		t.Errorf("after the first heartbeat of incarnation 2: got verdict %v, lease expired %v, incarnation %d; want accepted, false, 2",
			verdict, machine.lease.expired, machine.newestMessage.incarnation)
	}
}

// A heartbeat that reports no change is the most frequent request. It must not trigger a scheduling
// cycle, and must make few allocations however many tasks the machine has.
func TestUnchangedHeartbeatIsCheap(t *testing.T) {
	harness := newHarnessWithPlacedJob(8)
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-1")
	harness.scheduleAndCommit()
	if harness.NeedsScheduling() {
		t.Error("scheduling is needed after a cycle that left nothing to do, want not needed")
	}
	heartbeat := newHeartbeat(1, harness.heartbeatSequences["m-1"], harness.machines.get("m-1").token.current)
	for _, status := range harness.workerTasks["m-1"] {
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	if len(heartbeat.Tasks) != 8 {
		t.Fatalf("worker runs %d tasks, want 8", len(heartbeat.Tasks))
	}
	allocations := testing.AllocsPerRun(100, func() {
		heartbeat.Sequence++
		verdict, response := harness.HandleHeartbeat(heartbeat, harness.now, true)
		if verdict != HeartbeatAccepted || len(response.Commands) != 0 {
			t.Fatalf("unchanged heartbeat: got verdict %v, commands %v; want accepted, none", verdict, response.Commands)
		}
	})
	if allocations > 1 {
		t.Errorf("unchanged heartbeat makes %v allocations, want at most 1", allocations)
	}
	if harness.NeedsScheduling() {
		t.Error("scheduling is needed after unchanged heartbeats, want not needed")
	}
	heartbeat.Tasks[0].State = wire.TaskExited
	heartbeat.Tasks[0].ExitCause = wire.ExitDone
	heartbeat.Sequence++
	harness.handleHeartbeat(heartbeat)
	if !harness.NeedsScheduling() {
		t.Error("scheduling is not needed after the end of a task, want needed")
	}
}

func TestHeartbeatVerdictsAreLoggedByName(t *testing.T) {
	names := map[HeartbeatVerdict]string{
		HeartbeatAccepted:     "accepted",
		HeartbeatStale:        "stale",
		HeartbeatSuperseded:   "superseded",
		HeartbeatNotOwned:     "not owned",
		HeartbeatNotOwned + 1: "unknown",
		HeartbeatVerdict(-1):  "unknown",
	}
	for verdict, want := range names {
		if got := verdict.String(); got != want {
			t.Errorf("name of verdict %d: got %q, want %q", int(verdict), got, want)
		}
	}
}
