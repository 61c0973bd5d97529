package controller

import (
	"time"

	"ambersill/internal/autoscaler"
	"ambersill/internal/tuning"
)

// offeringBackoff is how long an offering that the cloud has refused is not rented.
type offeringBackoff struct {
	until  time.Time
	delayS float64 // of the latest wait, which the next refusal doubles
}

func (b offeringBackoff) active(now time.Time) bool { return now.Before(b.until) }

// backOffOffering records that the cloud has no more machines of an offering for now.
func (l *leader) backOffOffering(offering autoscaler.Offering) {
	tunables := l.controller.tuning
	backoff := l.backoffs[offering]
	if backoff.delayS == 0 {
		backoff.delayS = tunables.RefusalS
	} else {
		backoff.delayS = min(2*backoff.delayS, tunables.RefusalMaxS)
	}
	backoff.until = time.Now().Add(tuning.Seconds(backoff.delayS))
	l.backoffs[offering] = backoff
	// The work need not wait: the next best offering may be had at once.
	l.sizingRequested = true
}

// unavailableOfferings returns the offerings that are not to be rented now.
func (l *leader) unavailableOfferings(now time.Time) map[autoscaler.Offering]bool {
	unavailable := map[autoscaler.Offering]bool{}
	for offering, backoff := range l.backoffs {
		if backoff.active(now) {
			unavailable[offering] = true
		}
	}
	return unavailable
}
