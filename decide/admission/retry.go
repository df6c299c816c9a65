package admission

import "time"

const (
	// minRetryAfter is the shortest delay returned to a client.
	minRetryAfter = 100 * time.Millisecond
	// MaxRetryAfter is the longest delay returned to a client.
	MaxRetryAfter = 30 * time.Second
	// defaultRetryAfter is the delay if no rate is known.
	defaultRetryAfter = time.Second
)

// retryPacer spaces the times at which rejected clients retry.
type retryPacer struct {
	last Time // the retry time returned to the previous client
}

// next returns the delay for a further client.
//
// earliest is the delay until its message can be admitted. rate is the rate at which messages complete, in messages a
// second, or 0 if it is unknown. Clients that retry at the same time would be rejected again. Retry times are
// therefore at least 1/rate apart, up to MaxRetryAfter from now. The delay is at least minRetryAfter.
func (p *retryPacer) next(now Time, earliest time.Duration, rate float64) time.Duration {
	gap := time.Duration(0)
	if rate > 0 {
		gap = durationFromSeconds(1 / rate)
	}
	p.last = min(max(now+earliest, p.last+gap), now+MaxRetryAfter)
	return max(minRetryAfter, p.last-now)
}
