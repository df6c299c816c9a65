// Package inflight tracks a node's messages in flight: those that the node has accepted, or is about to accept, and that
// have no final response yet. It decides with the admission controller whether a new message is accepted. It also
// contains the set of existing destinations. All ingress servers share one [Registry].
//
// A registry guarantees that no message ID is in flight twice, and that it makes no reservation beyond [Config].Max.
// Adopted messages, see [Registry.Adopt], may exceed that maximum.
//
// # Concurrency
//
// A [Registry] is safe for concurrent use. The engine never waits for its lock: the engine's updates are queued without
// the lock, and the next caller that holds the lock applies them, see updates.go.
//
// Start reading at [Registry.Reserve].
package inflight

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"wingmount/decide/admission"
)

// defaultRetryAfter is the retry delay of rejections that do not come from the admission controller.
const defaultRetryAfter = time.Second

// Config is the configuration of a registry.
type Config struct {
	// Max is the maximum number of messages in flight; 0 for no limit.
	Max int
	// MaxBytes is the maximum memory of the messages in flight, in bytes; 0 for no limit.
	MaxBytes int64
	// Admission is a controller that may reject messages, or nil. The registry owns it and calls it with its lock held.
	Admission *admission.Controller
}

// Verdict is the result of a request for a reservation.
type Verdict int

// The verdicts.
const (
	Reserved     Verdict = iota // the message has a reservation, until the reservation is released or the message completed
	InProgress                  // the message is already accepted and in flight
	Duplicate                   // another request with the same ID has a reservation
	NoCapacity                  // too many messages are in flight
	TooLate                     // the message could not be sent to its destination before its deadline
	Saturated                   // the engine could not process the message before its deadline
	ShuttingDown                // the node no longer accepts messages
)

// Counts contains the number of requests for each verdict.
type Counts [ShuttingDown + 1]int

// reservation is the registry's entry for a message in flight.
type reservation struct {
	destination, class int
	accepted           bool // the message is persisted
	bytes              int32
}

// messageOverheadBytes is the memory that a message in flight needs beyond its own bytes.
const messageOverheadBytes = 1 << 10

// Registry is the set of messages in flight.
type Registry struct {
	max      int
	maxBytes int64
	origin   time.Time
	// updates is a stack of the batches that are not applied yet, newest first. It is written without the lock.
	updates atomic.Pointer[updateBatch]
	rounds  engineRounds

	mu           sync.Mutex
	admission    *admission.Controller
	messages     map[string]reservation // by message ID
	bytes        int64                  // of the messages
	unfinished   map[int]int            // number of messages by destination, without zeros
	destinations []uint32               // sorted; a slice, because it takes only 4 bytes for an idle destination
	complete     bool                   // a live list or an assignment of endpoints was applied since this process started
	closing      bool                   // each response is the last of its connection
	shuttingDown bool                   // no message is accepted
	counts       Counts
}

// New returns a registry without messages.
func New(c Config) *Registry {
	return &Registry{max: c.Max, maxBytes: c.MaxBytes, admission: c.Admission, origin: time.Now(), messages: map[string]reservation{}, unfinished: map[int]int{}}
}

// lock locks the registry and applies the engine's queued updates. It returns the time since the registry's origin, which
// is the admission controller's time.
func (r *Registry) lock() time.Duration {
	r.mu.Lock()
	now := r.applyUpdates()
	if r.admission != nil {
		r.admission.SetEngineLoad(now, r.rounds.load(now))
	}
	return now
}

// Reserve requests a reservation for a message of some bytes with timeLeft until its deadline. The duration returned is the delay after
// which the client may retry. It is 0 for [Reserved], [InProgress] and [Duplicate].
func (r *Registry) Reserve(id string, destination, class, bytes int, timeLeft time.Duration) (Verdict, time.Duration) {
	now := r.lock()
	defer r.mu.Unlock()
	v, retry := r.reserve(now, id, reservation{destination: destination, class: class, bytes: int32(bytes + messageOverheadBytes)}, timeLeft)
	r.counts[v]++
	return v, retry
}

// reserve decides on a request for a reservation. It rejects, in this order: a message that is already in flight, any
// message during shutdown, a message beyond Config.Max or Config.MaxBytes, and a message that the admission controller
// rejects. The caller has locked the registry.
func (r *Registry) reserve(now time.Duration, id string, requested reservation, timeLeft time.Duration) (Verdict, time.Duration) {
	if entry, known := r.messages[id]; known {
		if entry.accepted {
			return InProgress, 0
		}
		return Duplicate, 0
	}
	if r.shuttingDown {
		return ShuttingDown, defaultRetryAfter
	}
	if r.max > 0 && len(r.messages) >= r.max || r.maxBytes > 0 && r.bytes+int64(requested.bytes) > r.maxBytes {
		return NoCapacity, defaultRetryAfter
	}
	if r.admission != nil {
		switch d := r.admission.Admit(now, requested.destination, requested.class, timeLeft); d.Reason {
		case admission.NoCapacity:
			return NoCapacity, d.RetryAfter
		case admission.TooLate:
			return TooLate, d.RetryAfter
		case admission.Saturated:
			return Saturated, d.RetryAfter
		}
	}
	r.add(id, requested)
	return Reserved, 0
}

// add adds a message that is not in the registry. The caller holds the lock.
func (r *Registry) add(id string, entry reservation) {
	r.messages[id] = entry
	r.bytes += int64(entry.bytes)
	r.unfinished[entry.destination]++
}

// remove removes a message that is in the registry. The caller holds the lock.
func (r *Registry) remove(id string, entry reservation) {
	delete(r.messages, id)
	r.bytes -= int64(entry.bytes)
	if r.unfinished[entry.destination]--; r.unfinished[entry.destination] == 0 {
		delete(r.unfinished, entry.destination)
	}
}

// Unfinished returns the number of messages of a destination that are in flight, accepted or reserved.
func (r *Registry) Unfinished(destination int) int {
	r.lock()
	defer r.mu.Unlock()
	return r.unfinished[destination]
}

// Lookup reports whether a message in flight is accepted, or is only reserved. Both results are false if the message is
// not in flight.
func (r *Registry) Lookup(id string) (accepted, reserved bool) {
	r.lock()
	defer r.mu.Unlock()
	entry, ok := r.messages[id]
	return entry.accepted, ok && !entry.accepted
}

// Accepted reports whether a message is accepted and in flight.
func (r *Registry) Accepted(id string) bool {
	r.lock()
	defer r.mu.Unlock()
	return r.messages[id].accepted
}

// Accept marks a reserved message as accepted. The caller has persisted it.
func (r *Registry) Accept(id string) {
	r.lock()
	defer r.mu.Unlock()
	if entry, ok := r.messages[id]; ok {
		entry.accepted = true
		r.messages[id] = entry
	}
}

// Adopt adds a persisted message that had no reservation, or whose reservation may have been released. It does not check
// Config.Max or Config.MaxBytes, because a persisted message must get a final response.
func (r *Registry) Adopt(id string, destination, class, bytes int) {
	now := r.lock()
	defer r.mu.Unlock()
	if entry, ok := r.messages[id]; ok {
		r.remove(id, entry)
	} else if r.admission != nil {
		r.admission.Adopt(now, destination, class)
	}
	r.add(id, reservation{destination: destination, class: class, bytes: int32(bytes + messageOverheadBytes), accepted: true})
}

// Release removes the reservation of a message. It does nothing if the message is accepted, because a write that timed
// out may still have persisted the message.
func (r *Registry) Release(id string) {
	now := r.lock()
	defer r.mu.Unlock()
	if entry, ok := r.messages[id]; ok && !entry.accepted {
		r.remove(id, entry)
		if r.admission != nil {
			r.admission.Release(now, entry.destination, entry.class)
		}
	}
}

// HasDestination reports whether a destination exists. The result is certain once a live list, or an assignment
// of endpoints, has been applied since this process started.
func (r *Registry) HasDestination(destination int) (exists, certain bool) {
	r.lock()
	defer r.mu.Unlock()
	if destination < 0 || destination > math.MaxUint32 {
		return false, r.complete
	}
	_, exists = slices.BinarySearch(r.destinations, uint32(destination))
	return exists, r.complete
}

// DestinationsKnown reports whether messages to unknown destinations can be detected. They can if the registry contains
// a destination, or if its set of destinations is complete.
func (r *Registry) DestinationsKnown() bool {
	r.lock()
	defer r.mu.Unlock()
	return r.complete || len(r.destinations) > 0
}

// Count returns the number of messages in flight.
func (r *Registry) Count() int {
	r.lock()
	defer r.mu.Unlock()
	return len(r.messages)
}

// Counts returns the number of requests for each verdict since the registry was created.
func (r *Registry) Counts() Counts {
	r.lock()
	defer r.mu.Unlock()
	return r.counts
}

// Close makes Closing report true, so that ingress servers close each connection after its next response. With shutDown
// the registry also rejects all new messages. When a node stops, it calls Close twice: first without shutDown, while it
// still accepts messages.
func (r *Registry) Close(shutDown bool) {
	r.lock()
	defer r.mu.Unlock()
	r.closing, r.shuttingDown = true, shutDown
}

// Closing reports whether ingress servers must close each connection after its next response.
func (r *Registry) Closing() bool {
	r.lock()
	defer r.mu.Unlock()
	return r.closing
}

// ShuttingDown reports whether the registry rejects all new messages.
func (r *Registry) ShuttingDown() bool {
	r.lock()
	defer r.mu.Unlock()
	return r.shuttingDown
}
