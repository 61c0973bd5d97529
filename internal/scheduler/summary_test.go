package scheduler

import (
	"testing"
	"time"

	"ambersill/internal/records"
)

// A machine that has sent no heartbeat since the partition's owner changed is marked as never
// reported once it has had time to reconnect. With the cloud's listing, this distinguishes a
// machine that is up from one that is booting.
func TestDigestMarksMachineThatNeverReported(t *testing.T) {
	harness := newPartitionHarness()
	harness.SetMachine("m-1", records.MachineRecord{MachineType: "cpu", Zone: "a"}, 100, harness.now)
	harness.addMachine("m-2", "cpu", "a", false)
	if digest := harness.Summary(harness.now.Add(10 * time.Second)).MachineDigests["m-1"]; digest&records.DigestNeverReported != 0 {
		t.Error("m-1 is marked as never reported after 10 s, want it not marked before it could have reconnected")
	}
	summary := harness.Summary(harness.now.Add(time.Minute))
	if summary.MachineDigests["m-1"]&records.DigestNeverReported == 0 || summary.MachineDigests["m-2"]&records.DigestNeverReported != 0 {
		t.Errorf("machine digests after 1 min: got %v, want only m-1 marked as never reported", summary.MachineDigests)
	}
}
