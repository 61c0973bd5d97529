package core

import (
	"fmt"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

var testTypes = []wire.MachineType{
	{Name: "cpu", CPUs: 8, RAM: 32, FetchRate: 1, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: []string{"a", "b"}},
	{Name: "gpu", CPUs: 16, GPUs: 4, RAM: 64, FetchRate: 1, Price: 8, SpotPrice: 3, BootS: 40, Zones: []string{"a", "b"}},
}

func testSettings() *config.Settings {
	s := &config.Settings{}
	c := &s.Cluster
	c.Teams = []config.Team{{Name: "limited", CPUsMax: 10, GPUsMax: 3}, {Name: "sure", GPUs: 2}, {Name: "free"}}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.CancelS, c.Workers.GangPeerS = 2, 14, 44, 5
	c.State.ValueKB, c.State.TxnOps = 8, 12
	return s
}

// bed is a part with helpers that play the state service and the workers.
type bed struct {
	*Partition
	now time.Time
	rev uint64
	seq map[string]uint64
	on  map[string]map[attempt]wire.TaskReport
}

func newBed() *bed {
	t := tuning.Default()
	b := &bed{Partition: NewPartition(0, 10, testSettings(), &t), now: time.Unix(1000, 0), rev: 100, seq: map[string]uint64{}, on: map[string]map[attempt]wire.TaskReport{}}
	b.SetTypes(testTypes)
	return b
}

func (b *bed) machine(id, typ, zone string, spot bool) {
	b.rev++
	b.SetMachine(id, MachineRecord{Type: typ, Zone: zone, Spot: spot}, b.rev, b.now)
	b.on[id] = map[attempt]wire.TaskReport{}
	b.report(id)
	b.report(id)
}

func (b *bed) add(j wire.Job) *Job {
	b.rev++
	return b.AddJob(&j, b.now, b.rev)
}

// commit has the state service take all changes.
func (b *bed) commit() {
	for {
		x := b.Batch()
		if x.Empty() {
			return
		}
		b.rev++
		b.Committed(x, b.rev)
	}
}

// report sends a worker's report and carries the answer out.
func (b *bed) report(id string) []wire.Command {
	b.seq[id]++
	r := &wire.Report{Machine: id, Session: 1, Seq: b.seq[id], Token: b.machines[id].token}
	for _, t := range b.on[id] {
		r.Tasks = append(r.Tasks, t)
	}
	v, reply := b.Report(r, b.now, true)
	if v != Accepted {
		return nil
	}
	for _, c := range reply.Commands {
		k := attempt{c.Task, c.Attempt}
		switch c.Op {
		case wire.Start:
			b.on[id][k] = wire.TaskReport{Task: c.Task, Attempt: c.Attempt, State: wire.RunningTask}
		case wire.Stop:
			if t, ok := b.on[id][k]; ok {
				t.State, t.Cause = wire.Exited, wire.CauseStopped
				b.on[id][k] = t
			}
		case wire.Forget:
			delete(b.on[id], k)
		}
	}
	return reply.Commands
}

func (b *bed) end(id, task string, try uint64, why wire.Cause) {
	b.on[id][attempt{task, try}] = wire.TaskReport{Task: task, Attempt: try, State: wire.Exited, Cause: why}
}

func ops(cs []wire.Command) []string {
	var out []string
	for _, c := range cs {
		out = append(out, fmt.Sprint(c.Op, " ", c.Task, " ", c.Attempt))
	}
	return out
}

func array(id string, n int, cpus float64) wire.Job {
	return wire.Job{ID: id, Team: "free", Shape: wire.Array, Rank: "standard", Tasks: n, CPUs: cpus, RAM: 1, Image: "i", Estimate: 60}
}
