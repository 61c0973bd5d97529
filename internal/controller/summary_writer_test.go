package controller

import (
	"slices"
	"testing"
)

// recordsPerCommit is the limit that the tests pass to changedRecords.
const recordsPerCommit = 2

// changedKeys returns the keys of the records that a writer would write next.
func changedKeys(w *summaryWriter, values map[string]any) []string {
	var keys []string
	for _, record := range w.changedRecords(values, recordsPerCommit) {
		keys = append(keys, record.key)
	}
	return keys
}

// Only records that differ from those last written are written, in the order of their keys and
// at most as many as the limit. The records of a failed commit are written again.
func TestSummaryRecordsAreWrittenWhenTheyChange(t *testing.T) {
	w := newSummaryWriter()
	values := map[string]any{"c": 3, "a": 1, "b": 2}
	if got := changedKeys(&w, values); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("keys of the first write %v, want the first two", got)
	}
	if got := changedKeys(&w, values); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("keys after a failed commit %v, want the same two", got)
	}
	w.markWritten(w.changedRecords(values, recordsPerCommit))
	if got := changedKeys(&w, values); !slices.Equal(got, []string{"c"}) {
		t.Errorf("keys after a successful commit %v, want the remaining one", got)
	}
	w.markWritten(w.changedRecords(values, recordsPerCommit))
	values["b"] = 4
	if got := changedKeys(&w, values); !slices.Equal(got, []string{"b"}) {
		t.Errorf("keys after a change of one record %v, want only its key", got)
	}
}
