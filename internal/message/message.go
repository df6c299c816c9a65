// Package message defines a message, the history of its attempts, and its final response.
//
// It does no I/O. Its types are not safe for concurrent use. A message's store owns its History and FinalResponse. The
// other fields do not change once the message is accepted, except KeyWindow, which the engine sets from the class
// before the first attempt.
//
// Start reading at [Message] and [History].
package message

import (
	"time"
	"wingmount/policy"
)

const (
	// MaxBodyLength is the maximum length of a body, in bytes.
	MaxBodyLength = 64 << 10
	// MaxIDLength is the maximum length of an ID or a key, in bytes.
	MaxIDLength = 256
)

// Message is one message that a node has accepted.
type Message struct {
	Seq         policy.MessageID // unique number, assigned by the store
	ID          string           // assigned by the client: 1 to MaxIDLength bytes
	Key         string           // MaxIDLength bytes at most; empty for none
	Class       int              // index into the classes of the settings
	Destination int              // number of the destination
	Deadline    time.Time
	Body        []byte        // MaxBodyLength bytes at most
	KeyWindow   time.Duration // how long the destination deduplicates by key; 0 if it does not

	// The store owns the following fields.

	History       History
	FinalResponse *FinalResponse // nil while the message is unfinished
}

// Bytes returns the length of the message's id, key and body.
func (m *Message) Bytes() int { return len(m.ID) + len(m.Key) + len(m.Body) }

// History summarizes the attempts of a message for the decision module.
type History struct {
	Attempts            int
	CompletedMayHaveRun bool      // a completed attempt may have run at the destination
	Outstanding         bool      // the last attempt has no outcome yet
	MayHaveRun          bool      // any attempt, completed or outstanding, may have run at the destination
	RanAt               time.Time // when the first attempt that may have run was sent
	RanZone             int       // the zone to which the first attempt that may have run was sent
}

// RecordAttempt records an attempt that is about to be sent to a zone. At most one attempt is outstanding, so an earlier
// attempt without an outcome was interrupted by the end of its process.
func (h *History) RecordAttempt(zone int, at time.Time) {
	h.RecordInterruption()
	h.Attempts++
	h.Outstanding = true
	if !h.MayHaveRun {
		h.MayHaveRun, h.RanAt, h.RanZone = true, at, zone
	}
}

// RecordOutcome records the outcome of the outstanding attempt.
func (h *History) RecordOutcome(o policy.Outcome) {
	h.Outstanding = false
	if !ProvesNotRun(o) {
		h.CompletedMayHaveRun = true
	} else if !h.CompletedMayHaveRun {
		h.MayHaveRun = false
	}
}

// RecordInterruption completes the outstanding attempt, if any, without an outcome. The attempt may have run, or may
// still run.
func (h *History) RecordInterruption() {
	if h.Outstanding {
		h.Outstanding, h.CompletedMayHaveRun = false, true
	}
}

// The bits of Flags. Stores persist them.
const (
	flagCompletedMayHaveRun = 1 << iota
	flagOutstanding
	flagMayHaveRun
)

// Flags returns the booleans of a history in their stored form, a sum of bits: 1 for CompletedMayHaveRun, 2 for
// Outstanding and 4 for MayHaveRun.
func (h *History) Flags() int64 {
	flags := int64(0)
	if h.CompletedMayHaveRun {
		flags |= flagCompletedMayHaveRun
	}
	if h.Outstanding {
		flags |= flagOutstanding
	}
	if h.MayHaveRun {
		flags |= flagMayHaveRun
	}
	return flags
}

// SetFlags sets the booleans of a history from the result of Flags.
func (h *History) SetFlags(flags int64) {
	h.CompletedMayHaveRun = flags&flagCompletedMayHaveRun != 0
	h.Outstanding = flags&flagOutstanding != 0
	h.MayHaveRun = flags&flagMayHaveRun != 0
}

// KeyExpired reports whether a message that may have run must no longer be sent at the given time: the window in which
// the destination drops a repeated message is over, so it may run a second time. A window of 0 never expires, because
// the destination does not deduplicate.
func (h *History) KeyExpired(window time.Duration, at time.Time) bool {
	expiry, expires := h.KeyExpiry(window)
	return expires && !at.Before(expiry)
}

// KeyExpiry returns the time from which [History.KeyExpired] is true. It returns expires = false if there is none.
func (h *History) KeyExpiry(window time.Duration) (expiry time.Time, expires bool) {
	if window <= 0 || !h.MayHaveRun {
		return time.Time{}, false
	}
	return h.RanAt.Add(window), true
}

// ProvesNotRun reports whether an outcome proves that the attempt did not run at the destination.
func ProvesNotRun(o policy.Outcome) bool {
	return o == policy.RateLimited || o == policy.Unreachable || o == policy.NotSent
}

// UnixMicros returns a time in its stored form: microseconds of Unix time, 0 for the zero time.
func UnixMicros(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

// FromUnixMicros returns the time for a result of UnixMicros.
func FromUnixMicros(micros int64) time.Time {
	if micros == 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros)
}

// ResponseKind is the kind of a final response.
type ResponseKind int

// The kinds of final responses. Stores persist their numbers.
const (
	// Failed means that the message may or may not have run at the destination.
	Failed ResponseKind = iota
	// Rejected guarantees that the client may safely submit the message again: it has not run, or a repeat does no harm.
	Rejected
	// Delivered confirms that the destination has accepted the message.
	Delivered
)

// String returns the name of the kind in the X-Final header, in the gateway's notifications and in the stores' entries for
// operators. The platform's notifications use other names.
func (k ResponseKind) String() string {
	switch k {
	case Failed:
		return "failed"
	case Rejected:
		return "refused"
	case Delivered:
		return "delivered"
	}
	return "unknown"
}

// FinalResponse is the final response to a message.
type FinalResponse struct {
	Kind       ResponseKind
	RetryAfter time.Duration // for Rejected: the delay before the client may retry, or 0
	// Implied is set if the store could not write the response in time and has already passed it to the notifier. This
	// is safe because any reader of the message's record derives the same response.
	Implied bool
}

// StoredResponse returns the final response for the values that stores persist: its kind, and the retry delay in
// milliseconds.
func StoredResponse(kind, retryAfterMs int64) *FinalResponse {
	return &FinalResponse{Kind: ResponseKind(kind), RetryAfter: time.Duration(retryAfterMs) * time.Millisecond}
}
