package controller

import (
	"slices"
	"testing"
)

// recordsPerCommit is the limit of records that the tests pass to the writer.
const recordsPerCommit = 2

// changedKeys returns the keys of the records that a writer would write.
func changedKeys(w *summaryWriter, values map[string]any) []string {
	var keys []string
	for _, record := range w.changedRecords(values, recordsPerCommit) {
		keys = append(keys, record.key)
	}
	return keys
}

// Only records that differ from those last written are written, in the order of their keys and
// within the limit of a transaction; those of a commit that failed are written again.
func TestSummaryRecordsAreWrittenWhenTheyChange(t *testing.T) {
	w := newSummaryWriter()
	values := map[string]any{"c": 3, "a": 1, "b": 2}
	if got := changedKeys(&w, values); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("first %v, want the first two", got)
	}
	if got := changedKeys(&w, values); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("after a commit that failed %v, want the same again", got)
	}
	w.markWritten(w.changedRecords(values, recordsPerCommit))
	if got := changedKeys(&w, values); !slices.Equal(got, []string{"c"}) {
		t.Errorf("then %v, want the rest", got)
	}
	w.markWritten(w.changedRecords(values, recordsPerCommit))
	values["b"] = 4
	if got := changedKeys(&w, values); !slices.Equal(got, []string{"b"}) {
		t.Errorf("after a change %v, want just that record", got)
	}
}
