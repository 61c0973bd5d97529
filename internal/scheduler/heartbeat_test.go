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

// handleHeartbeat returns the verdict on a heartbeat that arrives now.
func (h *partitionHarness) handleHeartbeat(heartbeat *wire.Heartbeat) HeartbeatVerdict {
	verdict, _ := h.HandleHeartbeat(heartbeat, h.now, true)
	return verdict
}

// restoreTask has the partition take over machine m-1 from an earlier owner, with a task
// that was placed there in the given incarnation of its worker.
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

// isReportedUnhealthy reports whether the partition's summary has the leader replace the machine.
func (h *partitionHarness) isReportedUnhealthy(id string) bool {
	return h.Summary(h.now).MachineDigests[id]&records.DigestUnhealthy != 0
}

func (h *partitionHarness) unhealthyMachines() []string {
	return h.machines.selectIDs(func(machine *Machine) bool { return h.isReportedUnhealthy(machine.ID) })
}

// A machine whose lease expired is kept for as long as another would take to boot: it may
// only hang or be partitioned, and recover before. A quarantined one is replaced at once.
func TestExpiredMachineIsUnhealthyOnlyAfterBootTime(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	harness.addMachine("m-2", "cpu", "a", false)
	harness.machines.get("m-2").quarantined = true
	harness.now = harness.now.Add(16 * time.Second) // beyond the lease
	harness.Schedule(harness.now)
	if !harness.machines.get("m-1").lease.expired {
		t.Fatal("the lease has not expired")
	}
	if diff := cmp.Diff([]string{"m-2"}, harness.unhealthyMachines()); diff != "" {
		t.Fatal("unhealthy machines after the lease (-want +got):\n", diff)
	}
	harness.now = harness.now.Add(31 * time.Second) // and a boot of 30 s
	if diff := cmp.Diff([]string{"m-1", "m-2"}, harness.unhealthyMachines()); diff != "" {
		t.Fatal("unhealthy machines after a boot (-want +got):\n", diff)
	}
}

// After a failover time alone frees nothing; once the worker has acknowledged the new
// token, the expiry of its lease does.
func TestFailoverFreesNoPlacementBeforeAcknowledgement(t *testing.T) {
	harness := newPartitionHarness()
	machine := harness.restoreTask(1)
	harness.Schedule(harness.now.Add(time.Hour))
	if len(machine.placements) != 1 {
		t.Fatal("a placement of an earlier owner was freed by time alone")
	}
	harness.sequences["m-1"] = 5
	harness.workerTasks["m-1"] = map[taskAttempt]wire.TaskStatus{
		{"req-1/0", 3}: {Task: "req-1/0", Attempt: 3, State: wire.TaskRunning},
	}
	harness.sendHeartbeat("m-1")
	harness.Schedule(harness.now.Add(14 * time.Second))
	if len(machine.placements) != 1 {
		t.Fatal("freed before the lease must have expired")
	}
	harness.Schedule(harness.now.Add(20 * time.Second))
	if len(machine.placements) != 0 {
		t.Fatal("not freed after the lease")
	}
}

// A heartbeat under an older token shows nothing of what an earlier owner's last response
// may still start; only one under the current token does.
func TestMissingTaskCountsOnlyUnderCurrentToken(t *testing.T) {
	harness := newPartitionHarness()
	machine := harness.restoreTask(1)
	harness.handleHeartbeat(newHeartbeat(1, 1, machine.token.current-1))
	if len(machine.placements) != 1 {
		t.Fatal("freed by a heartbeat under an older token")
	}
	harness.handleHeartbeat(newHeartbeat(1, 2, machine.token.current))
	if len(machine.placements) != 0 {
		t.Fatal("not freed by a heartbeat under the current token")
	}
}

// Heartbeats that a network partition held back are older than what is known, and must
// neither count nor be answered; a higher token means another owner.
func TestHeartbeatVerdicts(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	token := harness.machines.get("m-1").token.current
	// The cases build on each other.
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

// newExpiredHarness returns a partition with a task on a spot instance whose lease expired.
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

// Once the lease has expired, a delayed heartbeat of the old incarnation does not make a
// dead machine look alive; one of the next incarnation shows that it is back.
func TestDelayedHeartbeatDoesNotReviveExpiredMachine(t *testing.T) {
	harness, machine := newExpiredHarness()
	token := machine.token.current
	if verdict := harness.handleHeartbeat(newHeartbeat(1, 90, token)); verdict != HeartbeatStale {
		t.Fatalf("verdict %v on a heartbeat of the old incarnation", verdict)
	}
	if !machine.lease.expired || machine.usable() {
		t.Fatal("a delayed heartbeat makes a dead machine look alive")
	}
	if verdict := harness.handleHeartbeat(newHeartbeat(2, 91, token)); verdict != HeartbeatAccepted || machine.lease.expired {
		t.Fatalf("verdict %v, lease expired %v after a heartbeat of the next incarnation", verdict, machine.lease.expired)
	}
}

// A heartbeat that was overtaken by a response to commands is older than that response, so
// it does not clear a termination notice.
func TestOvertakenHeartbeatDoesNotClearTerminationNotice(t *testing.T) {
	harness, machine := newExpiredHarness()
	token := machine.token.current
	if verdict := harness.handleHeartbeat(newHeartbeat(2, 91, token)); verdict != HeartbeatAccepted {
		t.Fatalf("verdict %v on a heartbeat of the next incarnation", verdict)
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
			t.Fatalf("heartbeat %d clears the notice", sequence)
		}
	}
}

// For a new owner a delayed heartbeat under an earlier owner's token frees nothing.
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
			t.Fatalf("a delayed heartbeat frees a placement, or makes its machine usable: %+v", delayed)
		}
	}
}

// A worker that receives no responses is in a new incarnation, since its lease expired,
// although all its heartbeats were answered. It gets no tasks until it shows a raised token,
// and counts as unhealthy if it does not.
func TestUnreachableWorkerGetsNoTasks(t *testing.T) {
	harness := newPartitionHarness()
	harness.addMachine("m-1", "cpu", "a", false)
	machine := harness.machines.get("m-1")
	sequence := harness.sequences["m-1"]
	sendHeartbeats := func(incarnation uint64, duration time.Duration) {
		for end := harness.now.Add(duration); harness.now.Before(end); harness.now = harness.now.Add(2 * time.Second) {
			sequence++
			harness.handleHeartbeat(newHeartbeat(incarnation, sequence, machine.token.current))
		}
	}
	sendHeartbeats(1, 16*time.Second)
	if !machine.usable() {
		t.Fatal("not usable although its lease has not expired")
	}
	sendHeartbeats(2, 2*time.Second)
	if machine.usable() || len(harness.MachinesNeedingHigherToken()) != 1 {
		t.Fatal("usable although its lease expired while its heartbeats were answered")
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
		t.Fatal("not unhealthy although it does not show the raised token")
	}
	harness.handleHeartbeat(newHeartbeat(3, sequence+1, record.FencingToken))
	if !machine.usable() || harness.isReportedUnhealthy("m-1") {
		t.Fatal("not usable although it has shown the raised token")
	}
}

// A worker whose heartbeats reach no controller, while commands reach it, is in a new
// incarnation when it refuses them. Nothing may be placed in that one before a heartbeat
// shows it: it would be freed together with the old one's tasks, and run elsewhere while it
// still runs here.
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
		t.Errorf("commands in incarnation %d, of which no heartbeat has arrived", request.Incarnation)
	}
	harness.now = harness.now.Add(2 * time.Second)
	harness.Schedule(harness.now)
	if !machine.lease.expired {
		t.Error("the lease has not expired")
	}
	verdict := harness.handleHeartbeat(newHeartbeat(2, 51, machine.token.current))
	if verdict != HeartbeatAccepted || machine.lease.expired || machine.latest.incarnation != 2 {
		t.Errorf("verdict %v, lease expired %v, incarnation %d after the first heartbeat of incarnation 2",
			verdict, machine.lease.expired, machine.latest.incarnation)
	}
}

// A heartbeat in which nothing has changed, the most frequent request, asks for no
// scheduling cycle and costs few allocations however many tasks the machine has.
func TestUnchangedHeartbeatIsCheap(t *testing.T) {
	harness := newHarnessWithPlacedJob(8)
	harness.sendHeartbeat("m-1")
	harness.sendHeartbeat("m-1")
	harness.scheduleAndCommit()
	if harness.NeedsScheduling() {
		t.Error("scheduling is needed after a cycle that left nothing to do")
	}
	heartbeat := newHeartbeat(1, harness.sequences["m-1"], harness.machines.get("m-1").token.current)
	for _, status := range harness.workerTasks["m-1"] {
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	if len(heartbeat.Tasks) != 8 {
		t.Fatalf("%d tasks run", len(heartbeat.Tasks))
	}
	allocations := testing.AllocsPerRun(100, func() {
		heartbeat.Sequence++
		verdict, response := harness.HandleHeartbeat(heartbeat, harness.now, true)
		if verdict != HeartbeatAccepted || len(response.Commands) != 0 {
			t.Fatalf("verdict %v, commands %v", verdict, response.Commands)
		}
	})
	if allocations > 1 {
		t.Errorf("%v allocations", allocations)
	}
	if harness.NeedsScheduling() {
		t.Error("unchanged heartbeats ask for a scheduling cycle")
	}
	heartbeat.Tasks[0].State = wire.TaskExited
	heartbeat.Tasks[0].ExitCause = wire.ExitDone
	heartbeat.Sequence++
	harness.handleHeartbeat(heartbeat)
	if !harness.NeedsScheduling() {
		t.Error("the end of a task asks for no scheduling cycle")
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
			t.Errorf("verdict %d is logged as %q, want %q", int(verdict), got, want)
		}
	}
}
