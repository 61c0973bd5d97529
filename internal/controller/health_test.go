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
		c := isolatedController()
		limit := tuning.Seconds(c.tuning.FreshS)
		time.Sleep(limit + time.Second)
		noContact, ok := errors.AsType[*NoContactError](c.checkContact())
		if !ok {
			t.Fatal("requests are accepted without contact to the state service")
		}
		if noContact.Elapsed <= limit {
			t.Errorf("the error states %v without contact, want more than %v", noContact.Elapsed, limit)
		}
	})
}
