package engine

import (
	"time"
	"wingmount/internal/store"
	"wingmount/policy"
)

// HealthHistory is the health of endpoints, by name, as observed by another node or by an earlier process of this node.
//
// If the history is posted as an event, an entry and its call times are ignored if the entry records no failure, if its
// endpoint is not in the directory's list, or if this node has completed a call to the endpoint since the failure.
//
// The engine owns the map once it is posted or passed in [Dependencies], and deletes the entries that it has used.
type HealthHistory map[string]*store.EndpointHealth

func (h HealthHistory) apply(e *Engine) {
	for name, health := range h {
		if endpoint := e.endpoints[endpointID(name)]; endpoint != nil && e.observedSince(endpoint, health.FailedAt) {
			delete(h, name)
		}
	}
	e.restoreHealth(h)
}

// observedSince reports whether this node has completed a call to an endpoint at or after a time. It reports true for
// the zero time, which means no recorded failure: only failures are adopted from other nodes.
func (e *Engine) observedSince(endpoint *trackedEndpoint, at time.Time) bool {
	if at.IsZero() {
		return true
	}
	return endpoint.lastOutcome != 0 && endpoint.lastOutcome >= e.moduleTime(at)
}

// restoreHealth passes the history of tracked endpoints to the module, and deletes it from h. The module needs it to keep
// the backlog away from an endpoint that is unhealthy or in slow start, and to count recent calls toward the rate limits.
func (e *Engine) restoreHealth(h HealthHistory) {
	for name, health := range h {
		id := endpointID(name)
		if e.endpoints[id] == nil {
			continue
		}
		restored := policy.HealthRestored{Endpoint: id}
		for _, at := range health.CallTimes {
			restored.CallTimes = append(restored.CallTimes, e.moduleTime(at))
		}
		if !health.FailedAt.IsZero() {
			restored.Failed, restored.FailedAt = true, e.moduleTime(health.FailedAt)
			if !health.RecoveredAt.IsZero() {
				restored.Recovered, restored.RecoveredAt = true, e.moduleTime(health.RecoveredAt)
			}
		}
		e.batch = append(e.batch, restored)
		delete(h, name)
	}
}
