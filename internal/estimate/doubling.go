package estimate

import "time"

// Backoff is a time span that doubles with each repeated event, and is reset if no event occurs for twice the span. The
// zero Backoff has observed no event.
type Backoff struct {
	Span time.Duration
	at   time.Duration // time of the last counted event
}

// Observe records an event, and reports whether the event counts. An event less than initial/2 after the last counted
// event belongs to that event and does not count. The span starts at initial, and grows to limit at most.
func (b *Backoff) Observe(now, initial, limit time.Duration) bool {
	since := now - b.at
	if b.Span > 0 && since < initial/2 {
		return false
	}
	if since < 2*b.Span {
		b.Span = min(2*b.Span, limit)
	} else {
		b.Span = initial
	}
	b.at = now
	return true
}
