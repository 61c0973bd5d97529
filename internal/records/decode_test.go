package records

import (
	"errors"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"ambersill/internal/wire"
)

var testJob = wire.Job{ID: "req-1", Team: "red", Shape: wire.ArrayJob, TaskCount: 2}

// recordTest is a record whose fields all have their zero value if they may have it, and the fields
// that it must have.
type recordTest struct {
	record   any // as it is written
	target   func() any
	required []string
}

var recordTests = map[string]recordTest{
	"job": {
		record:   JobRecord{Job: &testJob, Phase: wire.JobQueued},
		target:   func() any { return &JobRecord{} },
		required: []string{"job", "ph", "p", "at"},
	},
	"chunk": {
		record:   ChunkRecord{Job: &testJob},
		target:   func() any { return &ChunkRecord{} },
		required: []string{"try"},
	},
	"journal": {
		record:   JournalRecord{Sequence: 1, Entries: []JournalEntry{}},
		target:   func() any { return &JournalRecord{} },
		required: []string{"q", "e"},
	},
	"machine": {
		record:   MachineRecord{MachineType: "small", Zone: "a", CreatedAtMS: 1},
		target:   func() any { return &MachineRecord{} },
		required: []string{"type", "zone", "spot", "part", "born"},
	},
	"rental": {
		record:   RentalRecord{MachineType: "small", Zone: "a", Count: 1, RecordedAtMS: 1},
		target:   func() any { return &RentalRecord{} },
		required: []string{"type", "zone", "spot", "n", "part", "at"},
	},
	"owner": {
		record:   OwnerRecord{Node: "node-0"},
		target:   func() any { return &OwnerRecord{} },
		required: []string{"node"},
	},
	"node": {
		record:   NodeRecord{Node: "node-0"},
		target:   func() any { return &NodeRecord{} },
		required: []string{"node"},
	},
	"level": {
		record:   LevelRecord{},
		target:   func() any { return &LevelRecord{} },
		required: []string{"level"},
	},
	"summary": {
		record:   PartitionSummary{AllocatedMachines: map[string]float64{}, AllocatedOnDemand: map[string]float64{}},
		target:   func() any { return &PartitionSummary{} },
		required: []string{"booked", "firm", "waiting", "notes"},
	},
}

// Guards against records that are read with a zero value in the place of a missing field.
func TestRecordWithoutRequiredFieldIsAnError(t *testing.T) {
	for name, test := range recordTests {
		for _, field := range test.required {
			fields := encodedFields(t, test.record)
			if _, ok := fields[field]; !ok {
				t.Errorf("record of a %s: got no field %s as it is written, want one", name, field)
			}
			fields[strings.ToUpper(field)] = fields[field]
			delete(fields, field)
			var missing *wire.ValidationError
			if err := wire.Unmarshal(encode(t, fields), test.target()); !errors.As(err, &missing) || missing.Field != field {
				t.Errorf("record of a %s without %s: got error %v, want a ValidationError of it", name, field, err)
			}
		}
	}
}

// A record is read as it was written, with fields of later versions that are not known.
func TestRecordsRoundTrip(t *testing.T) {
	for name, test := range recordTests {
		fields := encodedFields(t, test.record)
		fields["later"] = wire.Raw(encode(t, map[string]int{"a": 1}))
		target := test.target()
		if err := wire.Unmarshal(encode(t, fields), target); err != nil {
			t.Errorf("record of a %s: got error %v, want none", name, err)
		}
		if got := reflect.ValueOf(target).Elem().Interface(); !reflect.DeepEqual(got, test.record) {
			t.Errorf("record of a %s: got %+v, want %+v", name, got, test.record)
		}
	}
}

// Guards against a stored job without its number of tasks, which would count as done, and against a
// machine without its type.
func TestNestedRecordWithoutRequiredFieldIsAnError(t *testing.T) {
	for i, change := range []func(job *wire.Job){
		func(job *wire.Job) { job.ID = "" },
		func(job *wire.Job) { job.Team = "" },
		func(job *wire.Job) { job.Shape = "" },
		func(job *wire.Job) { job.TaskCount = 0 },
	} {
		job := testJob
		change(&job)
		for name, record := range map[string]any{
			"job":   JobRecord{Job: &job, Phase: wire.JobQueued},
			"chunk": ChunkRecord{Job: &job},
		} {
			var missing *wire.ValidationError
			if err := wire.Unmarshal(encode(t, record), recordTests[name].target()); !errors.As(err, &missing) {
				t.Errorf("record of a %s, description %d: got error %v, want a ValidationError", name, i, err)
			}
		}
	}
	for _, group := range []any{
		map[string]any{},
		MachineGroupRecord{Machines: map[string]MachineRecord{"m-1": {Zone: "a", CreatedAtMS: 1}}},
	} {
		var missing *wire.ValidationError
		if _, err := DecodeMachineGroup("m-1", encode(t, group), 7); !errors.As(err, &missing) {
			t.Errorf("machine group %v: got error %v, want a ValidationError", group, err)
		}
	}
}

// encodedFields returns the encoded fields of a record by name.
func encodedFields(t *testing.T, record any) map[string]any {
	t.Helper()
	var fields map[string]wire.Raw
	if err := wire.Unmarshal(encode(t, record), &fields); err != nil {
		t.Fatal(err)
	}
	values := map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		values[name] = fields[name]
	}
	return values
}

func encode(t *testing.T, message any) []byte {
	t.Helper()
	encoded, err := wire.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}
