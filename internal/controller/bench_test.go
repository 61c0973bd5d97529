package controller

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ambersill/internal/api"
	"ambersill/internal/emulator"
	"ambersill/internal/records"
	"ambersill/internal/scheduler"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// reporter is a controller that owns a machine with running tasks, and the machine's
// next report, in which nothing has changed.
func reporter(tb testing.TB, tasks int) (c *Controller, next func() []byte) {
	d := &day{nodes: []emulator.Node{{Name: "node-0", Addr: "10.0.0.1:8080"}}}
	c = New(d.settings(0), tuning.Default(), nil)
	group := records.MachineGroupRecord{Machines: map[string]records.MachineRecord{"m-000001": {MachineType: "big", Zone: "a"}}}
	c.cluster.apply(records.MachinePrefix+"m-000001", must(wire.Marshal(group)), 5, false)
	owned := c.newOwnedPartition(0, 10, func() {})
	partition := scheduler.NewPartition(0, 10, c.settings, &c.tuning)
	partition.SetMachineTypes(dayTypes)
	job := work(1, tasks, 1, 1000)
	rec := records.ChunkRecord{Job: job, HighestAttempt: 1}
	for i := range tasks {
		rec.Placements = append(rec.Placements, records.PlacementRecord{Task: i, Attempt: 1, Machine: "m-000001", Incarnation: 1})
	}
	partition.SetMachine("m-000001", group.Machines["m-000001"], 5, time.Now())
	partition.Restore([]records.LoadedChunk{{JobID: job.ID, Name: "0", Revision: 20, Record: rec}}, nil)
	owned.partition, owned.cancellationsReadAt = partition, time.Now().Add(time.Hour)
	c.owned[0] = owned
	heartbeat := wire.Heartbeat{Machine: "m-000001", Address: "10.1.0.1:9000", MachineType: "big", Zone: "a", Incarnation: 1, FencingToken: 10}
	for i := range tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: fmt.Sprintf("%s/%d", job.ID, i), Attempt: 1, State: wire.TaskRunning})
	}
	return c, func() []byte {
		heartbeat.Sequence++
		return must(wire.Marshal(heartbeat))
	}
}

func post(tb testing.TB, h http.Handler, body []byte) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/agent/beat", bytes.NewReader(body)))
	if w.Code != http.StatusOK {
		tb.Fatalf("a report is answered %d", w.Code)
	}
}

// What a report costs in which nothing has changed, the most frequent request by far.
func BenchmarkUnchangedReport(b *testing.B) {
	c, next := reporter(b, 8)
	h := api.Handler(c, 1, time.Second)
	body := next()
	post(b, h, body)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		body := next()
		b.StartTimer()
		post(b, h, body)
	}
}
