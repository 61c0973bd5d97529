package controller

import (
	"testing"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/scheduler"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// As the listing of cancellations gets older, an owner first stops starting tasks and then stops
// answering heartbeats.
func TestPermissionsDependOnCancellationListingAge(t *testing.T) {
	c := newIsolatedController()
	startLimit := tuning.Seconds(c.tuning.FreshS)
	answerLimit := c.maxAgeToAnswerHeartbeats()
	tests := []struct {
		name string
		age  time.Duration
		want ownerPermissions
	}{
		{"just read", 0, ownerPermissions{mayStart: true, mayAnswer: true}},
		{"just new enough to start", startLimit - 1, ownerPermissions{mayStart: true, mayAnswer: true}},
		{"too old to start", startLimit, ownerPermissions{mayAnswer: true}},
		{"just new enough to answer", answerLimit, ownerPermissions{mayAnswer: true}},
		{"too old to answer", answerLimit + 1, ownerPermissions{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := c.permissionsAt(test.age); got != test.want {
				t.Errorf("permissions at age %v are %+v, want %+v", test.age, got, test.want)
			}
		})
	}
}

// Guards against tasks of a cancelled job that start: two listings of cancellations were under way at
// once, and the older one, which lacks the job, was applied last, before the watch delivered the job.
func TestOlderListingOfCancellationsIsIgnored(t *testing.T) {
	c := newIsolatedController()
	owned := c.newOwnedPartition(0, 1, func() {})
	owned.partition = scheduler.NewPartition(0, 1, c.settings, &c.tuning)
	job := newArrayJob(1, 1, 1, 10)
	older := time.Now()
	newer := older.Add(time.Second)
	owned.setCancellations([]wire.KeyValue{{Key: records.CancellationKey(0, job.ID)}}, newer)
	owned.setCancellations(nil, older)
	if added := owned.partition.AddJob(job, older, 2); !added.Cancelled {
		t.Error("job that the newest listing names: not cancelled, want it cancelled")
	}
	if owned.cancellationsReadAt != newer {
		t.Errorf("time of the newest listing: got %v, want %v", owned.cancellationsReadAt, newer)
	}
}
