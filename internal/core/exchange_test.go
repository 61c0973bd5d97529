package core

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"ambersill/internal/wire"
)

// The production version plays the same jobs, by testdata/production_exchange_test.go.txt,
// which is this file as that version names things; see TestProductionExchange.

// exchange is what one version has stored, and the state that it has in memory.
type exchange struct {
	Keys   map[string]wire.Raw
	Stamps map[string]uint64
	Jobs   map[string]exchangeJob
}

// exchangeJob is a job's state.
type exchangeJob struct {
	Done, Waiting int
	Try           uint64
	Live          map[int]string // machine and attempt, by task
}

var exchangeMachines = []string{"m-1", "m-2", "m-3", "m-4"}

// jobsOf is the state of a partition's jobs.
func jobsOf(b *bed) map[string]exchangeJob {
	out := map[string]exchangeJob{}
	for id, j := range b.jobs {
		e := exchangeJob{Done: j.done, Waiting: j.waiting, Try: j.try, Live: map[int]string{}}
		for task, pl := range j.placed {
			e.Live[task] = fmt.Sprint(pl.machine.ID, " ", pl.try, " ", pl.session)
		}
		out[id] = e
	}
	return out
}

// writeExchange plays jobs for long enough that chunks are folded, and writes what is
// stored then.
func writeExchange(t *testing.T, file string) {
	b := newBed()
	b.slots = make([]uint64, 16)
	s := &plainState{rev: 1000, vals: map[string]wire.Raw{}, at: map[string]uint64{PartitionKey(0): b.Stamp}}
	for _, id := range exchangeMachines {
		b.machine(id, "cpu", "a", false)
	}
	for n := range 5 {
		j := array(fmt.Sprintf("req-%d", n), 150+50*n, 0.5)
		j.Types, j.Deadline, j.Spread = []string{"cpu"}, 5000, n == 3
		r := &JobRecord{Job: &j, Phase: wire.Queued, At: b.now.UnixMilli()}
		s.apply(wire.Txn{Then: []wire.Write{{Put: JobKey(j.ID), Value: r}, firstChunkWrite(r)}})
		b.AddJob(&j, b.now, s.rev)
	}
	for round := range 25 {
		b.Schedule(b.now)
		for x := b.Batch(); !x.Empty(); x = b.Batch() {
			s.commit(b, x, "done")
		}
		for i, id := range exchangeMachines {
			b.report(id)
			b.report(id)
			for n, k := range sortedAttempts(b.machines[id].places) {
				if round < 24 && (n+i+round)%3 == 0 {
					b.end(id, k.task, k.try, []wire.Cause{wire.CauseDone, wire.CauseStopped}[n%2])
				}
			}
			b.report(id)
		}
	}
	for x := b.Batch(); !x.Empty(); x = b.Batch() {
		s.commit(b, x, "done")
	}
	group := GroupRecord{Machines: map[string]MachineRecord{"m-1": {Type: "cpu", Zone: "a", Part: 0, Born: 5, Token: 7}}}
	summary := b.Summary(b.now)
	s.apply(wire.Txn{Then: []wire.Write{{Put: "c/m/m-1", Value: group}, {Put: "s/0", Value: summary},
		{Put: "c/h/r-1-1", Value: RentalRecord{Type: "cpu", Zone: "a", Count: 3, At: 9}}, {Put: "c/p/0", Value: OwnerRecord{Node: "n"}}}})
	raw, err := wire.Marshal(exchange{s.vals, s.at, jobsOf(b)})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		t.Fatal(err)
	}
}

// readOthers reads the records that are not loaded into a partition.
func readOthers(t *testing.T, key string, raw wire.Raw) {
	var into any
	switch {
	case strings.HasPrefix(key, "j/"):
		into = &JobRecord{}
	case strings.HasPrefix(key, "s/"):
		into = &Summary{}
	case strings.HasPrefix(key, "c/h/"):
		into = &RentalRecord{}
	case strings.HasPrefix(key, "c/p/"):
		into = &OwnerRecord{}
	case strings.HasPrefix(key, "c/m/"):
		g, err := ReadGroup(key[len("c/m/"):], raw, 1)
		if want := (MachineRecord{Type: "cpu", Zone: "a", Born: 5, Token: 7}); err != nil || g.Machines["m-1"] != want {
			t.Errorf("group %+v, %v", g, err)
		}
		return
	default:
		return
	}
	if err := wire.Unmarshal(raw, into); err != nil {
		t.Errorf("%s: %v", key, err)
	}
}

// checkExchange loads what another version has stored, and compares the jobs' states.
func checkExchange(t *testing.T, file string) {
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var e exchange
	if err := wire.Unmarshal(raw, &e); err != nil {
		t.Fatal(err)
	}
	if len(e.Jobs) < 2 {
		t.Fatalf("%d jobs", len(e.Jobs))
	}
	folded := 0
	for key := range e.Keys {
		if strings.HasPrefix(key, "a/") && !strings.HasSuffix(key, "/0") {
			folded++
		}
	}
	if folded == 0 {
		t.Fatal("no chunk but the first ones has a record")
	}
	got := jobsOf(loadExchange(t, &e))
	if !reflect.DeepEqual(got, e.Jobs) {
		t.Errorf("read %+v\nwritten %+v", got, e.Jobs)
	}
}
