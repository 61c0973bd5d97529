package controller

import (
	"time"

	"ambersill/internal/autoscaler"
	"ambersill/internal/tuning"
)

// offeringBackoff is the back-off of an offering for which the cloud had no capacity. The
// offering is not rented until the back-off ends.
type offeringBackoff struct {
	until  time.Time
	delayS float64 // latest duration in seconds; the next refusal doubles it
}

func (b offeringBackoff) active(now time.Time) bool { return now.Before(b.until) }

// backOffOffering starts or prolongs the back-off of an offering of which the cloud has run out.
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
	// Size the fleet again at once, since another offering may be available for the
	// waiting tasks.
	l.sizingRequested = true
}

// unavailableOfferings returns the offerings whose back-off has not ended.
func (l *leader) unavailableOfferings(now time.Time) map[autoscaler.Offering]bool {
	unavailable := map[autoscaler.Offering]bool{}
	for offering, backoff := range l.backoffs {
		if backoff.active(now) {
			unavailable[offering] = true
		}
	}
	return unavailable
}
