package tuning

import (
	"math"
	"testing"
	"time"
)

// Guards against an order of jobs that depends on the processor: the work of a job of many long tasks
// is out of range.
func TestSecondsOutOfRangeAreTheLongestDuration(t *testing.T) {
	for _, c := range []struct {
		seconds float64
		want    time.Duration
	}{
		{1.5, 1500 * time.Millisecond},
		{-2, -2 * time.Second},
		{1e14, math.MaxInt64},
		{-1e14, math.MinInt64},
		{math.Inf(1), math.MaxInt64},
		{math.Inf(-1), math.MinInt64},
	} {
		if got := Seconds(c.seconds); got != c.want {
			t.Errorf("duration of %g s: got %v, want %v", c.seconds, got, c.want)
		}
	}
}
