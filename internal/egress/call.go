package egress

import (
	"sync"
	"sync/atomic"
	"time"
	"wingmount/internal/message"
	"wingmount/policy"
)

// deadlineMargin is the time by which a call ends before the earliest deadline of its messages.
const deadlineMargin = 10 * time.Millisecond

// Endpoint is one address of a destination. Only its gates, Bodies and generation change after it is created. Each
// endpoint in the endpoint list has an Endpoint, even if it is not in use, so the struct is small.
type Endpoint struct {
	ID             policy.EndpointID
	Name           string      // its ID in the endpoint list
	Destination    int         // number of its destination
	Kind           uint16      // of its destination: index into policy.Settings.Kinds
	Zone           uint16      // index into the settings' zones
	Bodies         BodyHistory // of its responses
	DrainGate      DrainGate   // closed by a drain or by removal from the list
	RetryAfterGate *Gate       // closed by Retry-After; shared by the endpoints of a path
	generation     atomic.Uint32
}

// Generation returns a number that changes when another process may be at the endpoint's address.
func (e *Endpoint) Generation() uint32 { return e.generation.Load() }

// Supersede stops the calls to the endpoint that were decided before and have not sent a byte: the endpoint was removed or has
// moved, and another process may be at the address that they connect to. It is safe for concurrent use.
func (e *Endpoint) Supersede() { e.generation.Add(1) }

// Part is one message of a call.
type Part struct {
	Message *message.Message
	Attempt int // number of the attempt, from 0

	finished bool // set when its outcome is first reported to Finish; guarded by Call.mu
}

// Call is one call to an endpoint: a single message or a batch.
//
// A batch ends for all its messages at once, at the shortest of their timeouts. If the call
// continued past a message's deadline, that message could get its final response while its attempt
// is outstanding. A later response would complete the other messages although the endpoint no
// longer counts the call.
type Call struct {
	Endpoint *Endpoint
	Addr     string // HOST:PORT
	// Generation is that of the endpoint when the engine decided on the call.
	Generation uint32
	// DecidedAt is when the engine decided on the call, before it connects and persists its attempts.
	DecidedAt time.Time
	Limit     time.Duration // time for the call from DecidedAt; at first the shortest timeout of its parts
	Parts     []*Part

	keyExpiry time.Time // see KeyExpiry; set by Recorder.Begin

	mu sync.Mutex
}

// Add adds a message to a call that has not started.
func (c *Call) Add(m *message.Message, timeout time.Duration) {
	if len(c.Parts) == 0 || timeout < c.Limit {
		c.Limit = timeout
	}
	c.Parts = append(c.Parts, &Part{Message: m})
}

// Deadline returns the time by which the call must end, regardless of Limit, so that every message
// meets its deadline. It panics if the call has no parts.
func (c *Call) Deadline() time.Time {
	earliest := c.Parts[0].Message.Deadline
	for _, p := range c.Parts[1:] {
		if p.Message.Deadline.Before(earliest) {
			earliest = p.Message.Deadline
		}
	}
	return earliest.Add(-deadlineMargin)
}

// LimitedByDeadline reports whether the call's limit results from the deadline of a message
// rather than from the timeouts passed to Add.
func (c *Call) LimitedByDeadline() bool {
	return c.Deadline().Sub(c.DecidedAt) <= c.Limit+deadlineMargin
}

// IsOpen reports whether both gates of the endpoint are open at now, and the endpoint is still the one that was decided on.
func (c *Call) IsOpen(now time.Time) bool {
	return c.Generation == c.Endpoint.Generation() && c.Endpoint.DrainGate.IsOpen(now) && c.Endpoint.RetryAfterGate.IsOpen(now)
}

// KeyExpiry returns the time from which no byte of the call may be sent, because the destination no longer drops a repeat of
// one of its messages. It is zero if there is none, and before [Recorder.Begin] has persisted the attempts.
func (c *Call) KeyExpiry() time.Time { return c.keyExpiry }

// HasExpiredKey reports whether now is at or after KeyExpiry.
func (c *Call) HasExpiredKey(now time.Time) bool {
	return !c.keyExpiry.IsZero() && !now.Before(c.keyExpiry)
}

// setKeyExpiry sets KeyExpiry to the earliest expiry of the keys of the messages. The histories of the messages must contain
// the call's attempts, and must not change meanwhile.
func (c *Call) setKeyExpiry() {
	for _, p := range c.Parts {
		expiry, expires := p.Message.History.KeyExpiry(p.Message.KeyWindow)
		if expires && (c.keyExpiry.IsZero() || expiry.Before(c.keyExpiry)) {
			c.keyExpiry = expiry
		}
	}
}

// recordDeadline returns the time by which the attempts of the call must be persisted.
func (c *Call) recordDeadline(now time.Time) time.Time {
	if by := now.Add(RecordTimeout); by.Before(c.Deadline()) {
		return by
	}
	return c.Deadline()
}

// extend increases the call's limit by a duration, but not beyond the call's deadline.
func (c *Call) extend(by time.Duration) {
	c.Limit = max(c.Limit, min(c.Limit+by, c.Deadline().Sub(c.DecidedAt)))
}

// finish marks a part as finished. It returns false if the part was already finished.
func (c *Call) finish(p *Part) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.finished {
		return false
	}
	p.finished = true
	return true
}
