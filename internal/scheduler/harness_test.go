package scheduler

import (
	"fmt"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

var testTypes = []wire.MachineType{
	{Name: "cpu", CPUs: 8, MemoryGB: 32, ImageFetchGBPerS: 1, HourlyPrice: 1, HourlySpotPrice: 0.4, BootS: 30, Zones: []string{"a", "b"}},
	{Name: "gpu", CPUs: 16, GPUs: 4, MemoryGB: 64, ImageFetchGBPerS: 1, HourlyPrice: 8, HourlySpotPrice: 3, BootS: 40, Zones: []string{"a", "b"}},
}

func testSettings() *config.Settings {
	settings := &config.Settings{}
	c := &settings.Cluster
	c.Teams = []config.Team{{Name: "limited", CPUsMax: 10, GPUsMax: 3}, {Name: "sure", GPUs: 2}, {Name: "free"}}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.CancelS, c.Workers.GangPeerS = 2, 14, 44, 5
	c.State.ValueKB, c.State.TxnOps = 8, 12
	return settings
}

// partitionHarness is a part with helpers that play the state service and the workers.
type partitionHarness struct {
	*Partition
	now         time.Time
	revision    uint64
	sequences   map[string]uint64
	workerTasks map[string]map[taskAttempt]wire.TaskStatus
}

func newPartitionHarness() *partitionHarness {
	t := tuning.Default()
	harness := &partitionHarness{Partition: NewPartition(0, 10, testSettings(), &t), now: time.Unix(1000, 0), revision: 100, sequences: map[string]uint64{}, workerTasks: map[string]map[taskAttempt]wire.TaskStatus{}}
	harness.SetMachineTypes(testTypes)
	return harness
}

func (h *partitionHarness) addMachine(id, typ, zone string, spot bool) {
	h.revision++
	h.SetMachine(id, records.MachineRecord{MachineType: typ, Zone: zone, Spot: spot}, h.revision, h.now)
	h.workerTasks[id] = map[taskAttempt]wire.TaskStatus{}
	h.sendHeartbeat(id)
	h.sendHeartbeat(id)
}

func (h *partitionHarness) addJob(job wire.Job) *Job {
	h.revision++
	return h.AddJob(&job, h.now, h.revision)
}

// commitBatches has the state service take all changes.
func (h *partitionHarness) commitBatches() {
	for {
		batch := h.PrepareBatch()
		if batch.Empty() {
			return
		}
		h.revision++
		h.ConfirmBatch(batch, h.revision)
	}
}

// sendHeartbeat sends a worker's report and carries the answer out.
func (h *partitionHarness) sendHeartbeat(id string) []wire.Command {
	h.sequences[id]++
	heartbeat := &wire.Heartbeat{Machine: id, Incarnation: 1, Sequence: h.sequences[id], FencingToken: h.machines[id].token.current}
	for _, t := range h.workerTasks[id] {
		heartbeat.Tasks = append(heartbeat.Tasks, t)
	}
	v, reply := h.HandleHeartbeat(heartbeat, h.now, true)
	if v != HeartbeatAccepted {
		return nil
	}
	for _, c := range reply.Commands {
		key := taskAttempt{c.Task, c.Attempt}
		switch c.Op {
		case wire.StartTask:
			h.workerTasks[id][key] = wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}
		case wire.StopTask:
			if t, ok := h.workerTasks[id][key]; ok {
				t.State, t.ExitCause = wire.TaskExited, wire.ExitStopped
				h.workerTasks[id][key] = t
			}
		case wire.ForgetTask:
			delete(h.workerTasks[id], key)
		}
	}
	return reply.Commands
}

func (h *partitionHarness) endTask(id, task string, try uint64, why wire.ExitCause) {
	h.workerTasks[id][taskAttempt{task, try}] = wire.TaskStatus{Task: task, Attempt: try, State: wire.TaskExited, ExitCause: why}
}

func commandTexts(cs []wire.Command) []string {
	var out []string
	for _, c := range cs {
		out = append(out, fmt.Sprint(c.Op, " ", c.Task, " ", c.Attempt))
	}
	return out
}

func newArrayJob(id string, n int, cpus float64) wire.Job {
	return wire.Job{ID: id, Team: "free", Shape: wire.ArrayJob, Priority: "standard", Tasks: n, CPUs: cpus, MemoryGB: 1, Image: "i", EstimatedRunS: 60}
}
