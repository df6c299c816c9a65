// Package outlier detects outliers among endpoints that share a rate limit. An outlier rejects calls for reasons of
// its own, for example because it drains or has no connection left, so its rejections give no information about the
// shared limit.
//
// It does no I/O, starts no goroutines and reads no clock: callers pass the time, which must not decrease. A [Score]
// is not safe for concurrent use. Start reading at [Score.IsOutlier].
package outlier

import (
	"math"
	"time"
)

const (
	// scoreDecayTime is the time in which a score without new rejections decays to 1/e. An outlier that is skipped
	// receives calls again seconds after its last rejection.
	scoreDecayTime = 3 * time.Second
	// successDecayFactor is the factor by which a success multiplies the score.
	successDecayFactor = 0.5
	// minOutlierScore is the score, in rejections, that an outlier must exceed.
	minOutlierScore = 6
	// minOutlierRatio is the factor by which an outlier's score must exceed the lowest score among its siblings.
	// Rejections by a shared rate limit affect all endpoints equally.
	minOutlierRatio = 4
)

// Score counts the recent rejections of all senders' calls by one endpoint, with exponential decay. The zero value is
// a score without rejections.
type Score struct {
	value     float64       // score at updatedAt
	updatedAt time.Duration // time of the last change of value
}

// RecordRejection adds a rejection that this sender received or that a peer reported.
func (s *Score) RecordRejection(now time.Duration) { s.value, s.updatedAt = s.At(now)+1, now }

// RecordSuccess reduces the score after the endpoint accepted a call.
func (s *Score) RecordSuccess(now time.Duration) {
	s.value, s.updatedAt = successDecayFactor*s.At(now), now
}

// At returns the score at now, which must not precede the last recorded event.
func (s *Score) At(now time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-(now-s.updatedAt).Seconds()/scoreDecayTime.Seconds())
}

// IsOutlier reports whether this endpoint rejects far more calls than its siblings, which indicates a problem of the
// endpoint rather than of their shared rate limit. lowestSibling is the lowest score among the other healthy
// endpoints that share the limit, or +Inf if there are none.
func (s *Score) IsOutlier(now time.Duration, lowestSibling float64) bool {
	score := s.At(now)
	return score > minOutlierScore && score > minOutlierRatio*lowestSibling
}
