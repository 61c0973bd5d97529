package scheduler

import (
	"ambersill/internal/records"
	"testing"
	"time"
)

// A machine that the cloud lists as up, but that was never heard since the part's owner
// changed, is told apart from one that boots.
func TestUnheardMachineIsNoted(t *testing.T) {
	harness := newPartitionHarness()
	harness.SetMachine("m-1", records.MachineRecord{MachineType: "cpu", Zone: "a"}, 100, harness.now)
	harness.addMachine("m-2", "cpu", "a", false)
	if n := harness.Summary(harness.now.Add(10 * time.Second)).MachineDigests["m-1"]; n&records.DigestNeverReported != 0 {
		t.Error("noted as unheard before it could be back")
	}
	summary := harness.Summary(harness.now.Add(time.Minute))
	if summary.MachineDigests["m-1"]&records.DigestNeverReported == 0 || summary.MachineDigests["m-2"]&records.DigestNeverReported != 0 {
		t.Errorf("notes %v", summary.MachineDigests)
	}
}
