package wire

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"testing"
)

// optionalFields are the fields of a submission that may be null or left out.
var optionalFields = []string{"breeds", "field", "dueS"}

// Guards against jobs that are accepted though a field is missing, because an unknown field whose name
// differs only in case counted as the missing one.
func TestFieldInAnotherCaseDoesNotStandInForAMissingOne(t *testing.T) {
	for _, field := range submissionFieldNames() {
		job := validJob()
		job["field"] = "a"
		value := job[field]
		delete(job, field)
		want, _ := ParseJob(mustEncode(t, job))
		job[strings.ToUpper(field)] = value
		got, err := ParseJob(mustEncode(t, job))
		if slices.Contains(optionalFields, field) {
			if err != nil || !slices.Equal(mustEncode(t, got), mustEncode(t, want)) {
				t.Errorf("%s in capitals: got %+v, error %v, want %+v", field, got, err, want)
			}
			continue
		}
		var missing *ValidationError
		if !errors.As(err, &missing) || missing.Field != field {
			t.Errorf("%s in capitals: got error %v, want a ValidationError of %s", field, err, field)
		}
	}
}

// Guards against unknown fields that replace the value of a known one.
func TestFieldInAnotherCaseDoesNotReplaceAKnownOne(t *testing.T) {
	want, err := ParseJob(mustEncode(t, validJob()))
	if err != nil {
		t.Fatal(err)
	}
	others := map[string]any{
		"uid": "req-9", "lane": "x", "crew": "x", "shape": "array", "rank": "idle", "pattern": "x",
		"breeds": []string{"x"}, "field": "x", "samePlace": false, "spread": true, "windfall": false,
	}
	for _, field := range submissionFieldNames() {
		job := validJob()
		other, ok := others[field]
		if !ok {
			other = 3
		}
		for _, name := range []string{strings.ToUpper(field), strings.ToUpper(field[:1]) + field[1:]} {
			job[name] = other
		}
		got, err := ParseJob(mustEncode(t, job))
		if err != nil || !slices.Equal(mustEncode(t, got), mustEncode(t, want)) {
			t.Errorf("%s, and in another case %v: got %+v, error %v, want %+v", field, other, got, err, want)
		}
	}
}

// submissionFieldNames returns the names of all fields of a submission.
func submissionFieldNames() []string {
	job := validJob()
	delete(job, "later")
	return slices.Sorted(maps.Keys(job))
}

func mustEncode(t *testing.T, message any) []byte {
	t.Helper()
	encoded, err := Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// A job that an earlier version accepted under another name of its ID is found again under that ID.
func TestSubmittedJobIDs(t *testing.T) {
	for _, test := range []struct {
		name   string
		fields map[string]any
		want   []string
	}{
		{"exact name", map[string]any{"uid": "req-1"}, []string{"req-1"}},
		{"name in capitals", map[string]any{"UID": "req-1"}, []string{"req-1"}},
		{"both names", map[string]any{"uid": "req-1", "UID": "req-2"}, []string{"req-1", "req-2"}},
		{"no valid ID", map[string]any{"uid": "j-1"}, nil},
		{"no text", map[string]any{"uid": 1}, nil},
		{"no ID", map[string]any{}, nil},
	} {
		if got := SubmittedJobIDs(mustEncode(t, test.fields)); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
