package controller

import (
	"testing"

	"ambersill/internal/peerrpc"
	"ambersill/internal/records"
)

// Guards against a partition that counts as owned by a node which no longer owns it: the late
// announcement of a claim whose key was deleted before this node listed the keys.
func TestLateAnnouncementOfClaimIsIgnored(t *testing.T) {
	const listedAt = 20
	for _, test := range []struct {
		name     string
		revision uint64
		want     string
	}{
		{"older than the listing", listedAt - 5, ""},
		{"as old as the listing", listedAt, ""},
		{"newer than the listing", listedAt + 5, "node-1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newIsolatedController()
			controller.cluster.replaceAll(nil, listedAt)
			controller.HandleClaim(peerrpc.OwnershipClaim{Partition: 0, Revision: test.revision, Node: "node-1"})
			if got := controller.cluster.partitionOwner(0).node; got != test.want {
				t.Errorf("owner after an announcement at revision %d, listing at %d: got %q, want %q", test.revision, listedAt, got, test.want)
			}
		})
	}
}

// Guards against a rental that is dropped although it was just recorded: a listing that was made
// before it removed it from the cache.
func TestListingKeepsNewerRental(t *testing.T) {
	const listedAt = 20
	for _, test := range []struct {
		revision uint64
		want     bool
	}{{listedAt - 1, false}, {listedAt, false}, {listedAt + 1, true}} {
		cache := newClusterCache()
		cache.applyChange(putChange(records.RentalPrefix+"r-7-0", records.RentalRecord{MachineType: "small", Zone: "a", Count: 1, RecordedAtMS: 1}, test.revision))
		cache.replaceAll(nil, listedAt)
		if got := cache.hasRental("r-7-0"); got != test.want {
			t.Errorf("rental at revision %d after a listing at %d that lacks it: kept %v, want %v", test.revision, listedAt, got, test.want)
		}
	}
}
