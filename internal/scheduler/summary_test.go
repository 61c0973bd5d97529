package scheduler

import (
	"testing"
	"time"

	"ambersill/internal/records"
)

// A machine that the cloud lists as up, but that has sent no heartbeat since the partition's
// owner changed, is distinguished from one that boots.
func TestDigestMarksMachineThatNeverReported(t *testing.T) {
	harness := newPartitionHarness()
	harness.SetMachine("m-1", records.MachineRecord{MachineType: "cpu", Zone: "a"}, 100, harness.now)
	harness.addMachine("m-2", "cpu", "a", false)
	if digest := harness.Summary(harness.now.Add(10 * time.Second)).MachineDigests["m-1"]; digest&records.DigestNeverReported != 0 {
		t.Error("shown as never reported before it could be back")
	}
	summary := harness.Summary(harness.now.Add(time.Minute))
	if summary.MachineDigests["m-1"]&records.DigestNeverReported == 0 || summary.MachineDigests["m-2"]&records.DigestNeverReported != 0 {
		t.Errorf("digests %v", summary.MachineDigests)
	}
}
