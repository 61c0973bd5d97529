package controller

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/tuning"
)

func TestRequestsAreRefusedWithoutContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newIsolatedController()
		limit := tuning.Seconds(c.tuning.FreshS)
		time.Sleep(limit + time.Second)
		noContact, ok := errors.AsType[*NoContactError](c.checkContact())
		if !ok {
			t.Fatal("checkContact did not return a *NoContactError after more than FreshS without contact")
		}
		if noContact.Elapsed <= limit {
			t.Errorf("the error states %v since the last contact, want more than %v", noContact.Elapsed, limit)
		}
	})
}
