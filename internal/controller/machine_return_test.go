package controller

import (
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// Each reason for returning a machine is given if its condition holds, and not if the condition
// is just missed.
func TestReturnReasons(t *testing.T) {
	const id = "m-1"
	now := time.Unix(1000, 0)
	fresh := records.MachineRecord{MachineType: "small", CreatedAtMS: now.UnixMilli()}
	old := records.MachineRecord{MachineType: "small", CreatedAtMS: now.Add(-time.Minute).UnixMilli()}
	for _, test := range []struct {
		name    string
		record  records.MachineRecord
		listing machineListing
		digest  records.MachineDigest
		want    returnReason
	}{
		{name: "booting", record: fresh},
		{name: "released", record: records.MachineRecord{Desired: records.DesiredReturned, Released: true}, want: returnReleased},
		{name: "to be returned, but not released", record: records.MachineRecord{Desired: records.DesiredReturned, CreatedAtMS: now.UnixMilli()}},
		{name: "moved", record: records.MachineRecord{Desired: records.DesiredMoved, Released: true, CreatedAtMS: now.UnixMilli()}},
		{name: "failed", record: fresh, listing: machineListing{listed: true, state: wire.MachineFailed}, want: returnFailed},
		{name: "missing from enough listings", record: fresh, listing: machineListing{missedListings: 5}, want: returnNotListed},
		{name: "missing from too few listings", record: fresh, listing: machineListing{missedListings: 4}},
		{name: "unhealthy", record: fresh, digest: records.DigestUnhealthy | records.DigestReporting, want: returnUnhealthy},
		{name: "never up", record: old, want: returnNotBooted},
		{name: "up late, and reporting", record: old, digest: records.DigestReporting},
		{name: "up late, and listed as running", record: old, listing: machineListing{listed: true, state: wire.MachineRunning}},
	} {
		t.Run(test.name, func(t *testing.T) {
			check := returnCheck{
				now:               now,
				listings:          map[string]machineListing{id: test.listing},
				digests:           map[string]records.MachineDigest{id: test.digest},
				bootS:             map[string]float64{"small": 10},
				bootPatience:      3,
				listLagS:          5,
				goneAfterListings: 5,
			}
			if got := check.reason(id, test.record); got != test.want {
				t.Errorf("reason for returning the machine is %q, want %q", got, test.want)
			}
		})
	}
}
