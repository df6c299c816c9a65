package partner

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// call is one call that has arrived completely.
type call struct {
	zone    string
	address string // of the endpoint
	id      string
	key     string // empty without an idempotency key
}

// CallRecord is what a system has noted of one call.
type CallRecord struct {
	At         time.Time
	Zone       string
	Address    string // of the endpoint
	Key        string // empty without an idempotency key
	Ran        bool   // it had an effect
	Concurrent bool   // another call of the same id was outstanding
}

// CallsOf returns all calls of an id, in the order in which they came.
func (s *System) CallsOf(id string) []CallRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls[id])
}

// serve responds to one call. The call counts from its last byte.
func (s *System) serve(w http.ResponseWriter, r *http.Request, zone string) {
	if s.currentMode() == DropsBeforeRead {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	mode := s.currentMode()
	if mode == RepeatsResponses {
		c := newCall(r, zone, localAddress(r))
		s.begin(c, mode)
		s.end(c)
		s.serveRepeating(w, zone)
		return
	}
	s.serveOne(w, r, zone, mode)
}

// newCall returns the call of a request that has arrived completely at an endpoint.
func newCall(r *http.Request, zone, address string) call {
	return call{zone: zone, address: address, id: r.Header.Get("X-Request-ID"), key: r.Header.Get("Idempotency-Key")}
}

// serveOne responds to one call that has arrived completely.
func (s *System) serveOne(w http.ResponseWriter, r *http.Request, zone string, mode Mode) {
	c := newCall(r, zone, localAddress(r))
	s.begin(c, mode)
	defer s.end(c)
	switch mode {
	case RateLimiting:
		w.Header().Set("X-Backoff-Ms", strconv.FormatInt(max(1, s.limitedFor().Milliseconds()), 10))
		w.WriteHeader(http.StatusTooManyRequests)
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case HangsAfterEffect:
		<-r.Context().Done()
	case DropsBeforeRead, DropsAfterEffect: // the mode may have changed while the call was read
		panic(http.ErrAbortHandler)
	default:
		pause(r.Context(), s.responseDelay())
		if mode == FailsAfterEffect {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = io.WriteString(w, s.responseBody())
	}
}

// localAddress returns the address of the endpoint that got a call; it is empty without a server.
func localAddress(r *http.Request) string {
	if address, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		return address.String()
	}
	return ""
}

func (s *System) currentMode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// limitedFor returns how long callers have to wait.
func (s *System) limitedFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.limitedUntil)
}

// responseDelay returns how long a call takes that has come now.
func (s *System) responseDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.CallDuration, time.Until(s.stalledUntil))
}

// begin counts a call, and runs it unless the mode rejects or drops it.
func (s *System) begin(c call, mode Mode) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(c, now)
	switch mode {
	case RateLimiting:
		if now.After(s.limitedUntil) {
			s.limitedUntil = now.Add(s.RetryAfter)
		}
	case Unavailable, DropsBeforeRead:
	default:
		if s.run(c, now) {
			calls := s.calls[c.id]
			calls[len(calls)-1].Ran = true
		}
	}
}

// count adds a call to the ledger. The caller must lock s.mu.
func (s *System) count(c call, now time.Time) {
	s.rate.count(now)
	s.ledger.Calls[c.id]++
	s.ledger.LastKey[c.id] = c.key
	s.outstanding[c.id]++
	if s.outstanding[c.id] > 1 {
		s.ledger.ConcurrentCalls++
	}
	s.calls[c.id] = append(s.calls[c.id], CallRecord{
		At: now, Zone: c.zone, Address: c.address, Key: c.key, Concurrent: s.outstanding[c.id] > 1,
	})
	limitedSince := s.limitedUntil.Add(-s.RetryAfter)
	if now.After(limitedSince.Add(retryAfterGrace)) && now.Before(s.limitedUntil) {
		s.ledger.EarlyCalls++
	}
}

// run gives a call its effect, unless its key is a repeat, and reports whether it did. The caller must lock s.mu.
func (s *System) run(c call, now time.Time) bool {
	if c.key != "" && s.claimKey(c, now) {
		return false
	}
	s.ledger.Effects[c.id]++
	if s.ledger.Effects[c.id] == 1 {
		s.ledger.FirstEffect[c.id] = now
	}
	return true
}

// claimKey reports whether the key of a call has been used in its zone within the dedupe window. If not, it begins the
// key's window. The caller must lock s.mu.
func (s *System) claimKey(c call, now time.Time) (repeat bool) {
	keys := s.keys[c.zone]
	if keys == nil {
		keys = map[string]time.Time{}
		s.keys[c.zone] = keys
	}
	if usedAt, ok := keys[c.key]; ok && now.Sub(usedAt) < s.DedupeWindow {
		return true
	}
	keys[c.key] = now
	return false
}

// end removes a call from the outstanding ones.
func (s *System) end(c call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding[c.id]--
	if s.outstanding[c.id] == 0 {
		delete(s.outstanding, c.id)
	}
}

// pause returns after a time, or when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
