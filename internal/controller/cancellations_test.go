package controller

import (
	"testing"
	"time"

	"ambersill/internal/tuning"
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
