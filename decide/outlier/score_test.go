package outlier

import (
	"math"
	"testing"
	"time"
)

// Endpoints that reject calls equally often are not outliers, regardless of the rate.
func TestEndpointsWithEqualRejectionsAreNotOutliers(t *testing.T) {
	now := time.Hour
	var a, b Score
	for range 100 {
		now += 20 * time.Millisecond
		a.RecordRejection(now)
		b.RecordRejection(now)
	}
	if a.IsOutlier(now, b.At(now)) || b.IsOutlier(now, a.At(now)) || a.At(now) < minOutlierScore {
		t.Errorf("got an outlier for scores %v and %v, want none, and both over %v", a.At(now), b.At(now), float64(minOutlierScore))
	}
}

// An endpoint that rejects calls while its siblings do not is an outlier until it accepts a call, or until a few
// seconds after its last rejection.
func TestOutlierUntilSuccessOrDecay(t *testing.T) {
	now := time.Hour
	var healthy, rejecting Score
	for range 10 {
		rejecting.RecordRejection(now)
	}
	if !rejecting.IsOutlier(now, healthy.At(now)) || rejecting.IsOutlier(now, math.Inf(1)) {
		t.Error("want an outlier with a healthy sibling and none without siblings")
	}
	if rejecting.IsOutlier(now+2*scoreDecayTime, 0) {
		t.Error("got an outlier after twice the decay time without rejections, want none")
	}
	rejecting.RecordSuccess(now)
	if rejecting.IsOutlier(now, 0) {
		t.Error("got an outlier after a success, want none")
	}
}
