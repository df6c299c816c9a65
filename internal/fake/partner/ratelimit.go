package partner

import (
	"math"
	"time"
)

// limitWindow is the time over which calls are counted against a limit; the senders use the same.
const limitWindow = 2 * time.Second

// rateCounter counts calls over a limit. It rejects none.
type rateCounter struct {
	maxCalls int         // in limitWindow; 0 counts nothing
	recent   []time.Time // calls in the last limitWindow
	over     int
}

// SetRateLimit starts to count the calls over a limit in calls a second. Each of a number of senders may round its
// fraction of the limit up to the next integer. A limit of 0 counts nothing.
func (s *System) SetRateLimit(limit float64, senders int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = rateCounter{}
	if limit > 0 {
		s.rate.maxCalls = int(math.Ceil(limit*limitWindow.Seconds())) + senders
	}
}

// CallsOverLimit returns how many calls came over the limit since it was set.
func (s *System) CallsOverLimit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rate.over
}

// count counts a call.
func (r *rateCounter) count(now time.Time) {
	if r.maxCalls == 0 {
		return
	}
	expired := 0
	for expired < len(r.recent) && now.Sub(r.recent[expired]) >= limitWindow {
		expired++
	}
	r.recent = append(r.recent[expired:], now)
	if len(r.recent) > r.maxCalls {
		r.over++
	}
}
