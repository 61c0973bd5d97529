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

// bed is a part with helpers that play the state service and the workers.
type bed struct {
	*Partition
	now time.Time
	rev uint64
	seq map[string]uint64
	on  map[string]map[taskAttempt]wire.TaskStatus
}

func newBed() *bed {
	t := tuning.Default()
	b := &bed{Partition: NewPartition(0, 10, testSettings(), &t), now: time.Unix(1000, 0), rev: 100, seq: map[string]uint64{}, on: map[string]map[taskAttempt]wire.TaskStatus{}}
	b.SetMachineTypes(testTypes)
	return b
}

func (b *bed) machine(id, typ, zone string, spot bool) {
	b.rev++
	b.SetMachine(id, records.MachineRecord{MachineType: typ, Zone: zone, Spot: spot}, b.rev, b.now)
	b.on[id] = map[taskAttempt]wire.TaskStatus{}
	b.report(id)
	b.report(id)
}

func (b *bed) add(job wire.Job) *Job {
	b.rev++
	return b.AddJob(&job, b.now, b.rev)
}

// commit has the state service take all changes.
func (b *bed) commit() {
	for {
		batch := b.PrepareBatch()
		if batch.Empty() {
			return
		}
		b.rev++
		b.ConfirmBatch(batch, b.rev)
	}
}

// report sends a worker's report and carries the answer out.
func (b *bed) report(id string) []wire.Command {
	b.seq[id]++
	heartbeat := &wire.Heartbeat{Machine: id, Incarnation: 1, Sequence: b.seq[id], FencingToken: b.machines[id].fencingToken}
	for _, t := range b.on[id] {
		heartbeat.Tasks = append(heartbeat.Tasks, t)
	}
	v, reply := b.HandleHeartbeat(heartbeat, b.now, true)
	if v != HeartbeatAccepted {
		return nil
	}
	for _, c := range reply.Commands {
		key := taskAttempt{c.Task, c.Attempt}
		switch c.Op {
		case wire.StartTask:
			b.on[id][key] = wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}
		case wire.StopTask:
			if t, ok := b.on[id][key]; ok {
				t.State, t.ExitCause = wire.TaskExited, wire.ExitStopped
				b.on[id][key] = t
			}
		case wire.ForgetTask:
			delete(b.on[id], key)
		}
	}
	return reply.Commands
}

func (b *bed) end(id, task string, try uint64, why wire.ExitCause) {
	b.on[id][taskAttempt{task, try}] = wire.TaskStatus{Task: task, Attempt: try, State: wire.TaskExited, ExitCause: why}
}

func ops(cs []wire.Command) []string {
	var out []string
	for _, c := range cs {
		out = append(out, fmt.Sprint(c.Op, " ", c.Task, " ", c.Attempt))
	}
	return out
}

func array(id string, n int, cpus float64) wire.Job {
	return wire.Job{ID: id, Team: "free", Shape: wire.ArrayJob, Priority: "standard", Tasks: n, CPUs: cpus, MemoryGB: 1, Image: "i", EstimatedRunS: 60}
}
