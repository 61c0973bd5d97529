package controller

import (
	"fmt"
	"slices"
	"testing"

	"ambersill/internal/config"
	"ambersill/internal/emulator"
	"ambersill/internal/records"
	"ambersill/internal/wire"
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
	w.markWritten(w.changedRecords(values, recordsPerCommit), 1)
	if got := changedKeys(&w, values); !slices.Equal(got, []string{"c"}) {
		t.Errorf("keys after a successful commit %v, want the remaining one", got)
	}
	w.markWritten(w.changedRecords(values, recordsPerCommit), 2)
	values["b"] = 4
	if got := changedKeys(&w, values); !slices.Equal(got, []string{"b"}) {
		t.Errorf("keys after a change of one record %v, want only its key", got)
	}
}

// Guards against a late write that replaces a newer record: each write names the revision of the
// stored record, and a record whose write has no outcome is written again, changed or not.
func TestUnconfirmedSummaryRecordsAreWrittenAgain(t *testing.T) {
	const key, other = "s/0", "s/0/0"
	w := newSummaryWriter()
	w.setRevisions(map[string]uint64{key: 3}) // written by an earlier owner
	values := map[string]any{key: 1, other: 1}
	checkCompares(t, &w, values, wire.Compare{Key: key, Revision: 3}, wire.Compare{Key: other, Revision: 0})
	w.markWritten(w.changedRecords(values, len(values)), 4)

	values[key] = 2
	w.markUnconfirmed(w.changedRecords(values, len(values)))
	if w.revisionsKnown {
		t.Error("revisions after an unconfirmed commit: known, want them to be read again")
	}
	values[key] = 1 // as before the unconfirmed commit
	w.setRevisions(map[string]uint64{key: 4, other: 4})
	checkCompares(t, &w, values, wire.Compare{Key: key, Revision: 4})

	w.markWritten(w.changedRecords(values, len(values)), 5)
	w.setRevisions(map[string]uint64{key: 5, other: 6}) // a late write has replaced the other record
	checkCompares(t, &w, values, wire.Compare{Key: other, Revision: 6})
}

// checkCompares checks the conditions, besides the fence, of the transaction that a writer would
// send next.
func checkCompares(t *testing.T, w *summaryWriter, values map[string]any, want ...wire.Compare) {
	t.Helper()
	fence := wire.Compare{Key: records.PartitionKey(0), Revision: 1}
	txn := w.txn(fence, w.changedRecords(values, len(values)))
	if got := txn.Compares; !slices.Equal(got, append([]wire.Compare{fence}, want...)) {
		t.Errorf("conditions of the next write: got %v, want the fence and %v", got, want)
	}
}

// Guards against a summary that is never written: the digests of some 4,500 machines did not fit
// into one transaction, which the key-value store rejected each time.
func TestSummaryOfManyMachinesFitsIntoTransactions(t *testing.T) {
	controller := &Controller{limits: config.StoreLimits{MaxValueKiB: 16, MaxTxnWrites: 24}}
	summary := records.PartitionSummary{MachineDigests: map[string]records.MachineDigest{}}
	for i := range 6000 {
		summary.MachineDigests[fmt.Sprintf("m-%06d", i)] = records.DigestReporting
	}
	values := map[string]any{}
	for i, digests := range summary.SplitMachineDigests(controller.limits.MaxValueKiB) {
		values[records.MachineDigestsKey(0, i)] = digests
	}
	writer := newSummaryWriter()
	changed := writer.changedRecords(values, len(values))
	for batch := range slices.Chunk(changed, controller.summaryRecordsPerTxn()) {
		encoded, err := wire.Marshal(writer.txn(wire.Compare{Key: records.PartitionKey(0), Revision: 1}, batch))
		if err != nil {
			t.Fatal(err)
		}
		if size, err := emulator.JSONSize(encoded); err != nil || size > wire.MaxBodyBytes {
			t.Errorf("transaction with %d records: got %d bytes, error %v, want at most %d bytes", len(batch), size, err, wire.MaxBodyBytes)
		}
	}
}
