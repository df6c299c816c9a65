package engine

import (
	"hash/fnv"
	"time"
	"wingmount/decide/admission"
	"wingmount/internal/directory"
	"wingmount/internal/message"
	"wingmount/policy"
)

// Event is an event of the engine: [MessageAccepted], [EndpointsChanged], [HealthHistory], [CompletedAttempt],
// [PolicyEvent] or an assignmentChanged.
type Event interface {
	// apply updates the engine, and appends the resulting events for the module to the batch. Only the engine's goroutine
	// calls it.
	apply(e *Engine)
}

// MessageAccepted reports a persisted message that has to be delivered.
type MessageAccepted struct{ Message *message.Message }

// EndpointsChanged reports a complete endpoint list of the directory, or changes to it.
type EndpointsChanged struct{ List directory.List }

// CompletedAttempt reports a completed attempt.
type CompletedAttempt struct {
	Attempt  policy.AttemptCompleted
	StoreErr error // the error of persisting the outcome, nil if it was persisted
}

// PolicyEvent is an event that is passed to the module unchanged.
type PolicyEvent struct{ Event policy.Event }

func (a MessageAccepted) apply(e *Engine) {
	m := a.Message
	e.messages[m.Seq] = m
	if e.debug {
		e.deps.Log.Debug(logAccepted, "n", m.Seq, "dest", m.Destination, "left", time.Until(m.Deadline))
	}
	e.batch = append(e.batch, e.arrival(m))
}

func (c EndpointsChanged) apply(e *Engine) { e.updateEndpoints(c.List) }

func (a CompletedAttempt) apply(e *Engine) {
	e.observeAttempt(a.Attempt)
	e.handleCompletion(a)
	e.batch = append(e.batch, a.Attempt)
}

func (p PolicyEvent) apply(e *Engine) { e.batch = append(e.batch, p.Event) }

// arrival returns the module's event for an accepted message.
func (e *Engine) arrival(m *message.Message) policy.Arrived {
	now, class := e.now(), e.settings.Classes[m.Class]
	a := policy.Arrived{Message: m.Seq, Destination: m.Destination, Class: m.Class, GiveUpAt: now + time.Until(m.Deadline) - e.responseMargin}
	if h := m.History; h.Attempts > 0 {
		a.Past = policy.PriorAttempts{Attempts: h.Attempts, MayHaveRun: h.MayHaveRun, FirstRunZone: h.RanZone}
		if h.MayHaveRun {
			a.Past.FirstRunAt = e.moduleTime(h.RanAt)
		}
	}
	if class.Repeat == policy.Deduplicated {
		m.KeyWindow = class.DedupWindow
	}
	if class.Ordered && m.Key != "" {
		a.Key = hash(m.Key) | 1 // never 0, which means no key to the module
	}
	return a
}

// observeAttempt updates the endpoint of a completed attempt, and reports the outcome to Admission and to peers.
func (e *Engine) observeAttempt(completed policy.AttemptCompleted) {
	endpoint := e.endpoints[completed.Endpoint]
	if endpoint == nil {
		return
	}
	if e.debug {
		e.deps.Log.Debug(logOutcome, "n", completed.Message, "dest", endpoint.Destination, "endpoint", endpoint.Name, "outcome", completed.Outcome, "wait", completed.RetryAfter, "took", completed.Duration)
	}
	endpoint.inFlight--
	endpoint.lastOutcome = e.now()
	e.observations = append(e.observations, admission.Observation{
		Kind: admission.CallCompleted, Destination: endpoint.Destination, Outcome: completed.Outcome, RetryAfter: completed.RetryAfter, Duration: completed.Duration,
	})
	e.reportCall(completed)
}

// handleCompletion removes a message whose final attempt has completed, and announces its final response. The response is
// not announced if it is left to the next owner of the message, which may decide on a different one.
func (e *Engine) handleCompletion(a CompletedAttempt) {
	m := e.messages[a.Attempt.Message]
	if !a.Attempt.Final || m == nil {
		return
	}
	e.remove(m)
	if leftToNextOwner(e.deps.Store, a.StoreErr) {
		return
	}
	// For a delivered message the store sets FinalResponse only if clients are notified of deliveries.
	if m.FinalResponse != nil && !m.FinalResponse.Implied {
		e.deps.Notifier.Add(m)
	}
}

// reportCall reports the outcome of a call to peers. Outcomes that prove nothing about the endpoint's health are not
// reported: calls that were rate-limited, cancelled or never sent, and resets of idle connections that the endpoint had
// already closed.
func (e *Engine) reportCall(completed policy.AttemptCompleted) {
	if e.deps.Observations == nil {
		return
	}
	switch completed.Outcome {
	case policy.Delivered:
		e.deps.Observations.RecordCall(completed.Endpoint, completed.Duration, true)
	case policy.Failed, policy.TimedOut, policy.Unreachable:
		e.deps.Observations.RecordCall(completed.Endpoint, completed.Duration, false)
	case policy.Reset:
		if !completed.StaleConnection {
			e.deps.Observations.RecordCall(completed.Endpoint, completed.Duration, false)
		}
	}
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // never fails
	return h.Sum64()
}
