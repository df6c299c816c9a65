package engine

import (
	"context"
	"time"
	"wingmount/decide/admission"
	"wingmount/internal/egress"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

// step passes the batch to the module and executes its actions. It returns the time of the module's next wake-up on the
// module's clock, or 0 for none.
func (e *Engine) step(ctx context.Context) (wakeAt policy.Time) {
	now := e.now()
	e.actions = e.sender.Step(now, e.batch, e.actions[:0])
	if e.deps.StepLog != nil {
		e.deps.StepLog.Step(now, e.batch, e.actions)
	}
	clear(e.batch)
	e.batch = e.batch[:0]
	wakeAt = e.execute(ctx, e.actions)
	e.reportObservations()
	e.quotas.notifyWaiting()
	return wakeAt
}

// execute executes actions of the module. It starts calls after all other actions.
func (e *Engine) execute(ctx context.Context, actions []policy.Action) (wakeAt policy.Time) {
	calls := callBuilder{open: map[policy.EndpointID]*egress.Call{}}
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Send:
			e.send(&calls, a)
		case policy.Reject:
			e.complete(a.Message, message.Rejected, a.RetryAfter)
		case policy.Fail:
			e.complete(a.Message, message.Failed, 0)
		case policy.CloseIdle:
			if endpoint := e.endpoints[a.Endpoint]; endpoint != nil {
				e.deps.Carrier.CloseIdle(&endpoint.Endpoint)
			}
		case policy.NotifyPeers:
			e.notifyPeers(a)
		case policy.Subscribe:
			// Ignored: platform.Discovery always follows the directory's list.
		case policy.Wake:
			wakeAt = a.At
		}
	}
	for _, call := range calls.all {
		if e.debug {
			e.deps.Log.Debug(logCall, "dest", call.Endpoint.Destination, "endpoint", call.Endpoint.Name, "messages", len(call.Parts))
		}
		e.deps.Carrier.Start(ctx, call)
	}
	return wakeAt
}

// callBuilder builds the calls of one step. Messages to the same endpoint share a call.
type callBuilder struct {
	all  []*egress.Call
	open map[policy.EndpointID]*egress.Call // the latest call to each endpoint, which may have room for more messages
}

// add adds a message to the open call of an endpoint, or to a new call if the open call has maxBatch messages.
func (b *callBuilder) add(endpoint *trackedEndpoint, maxBatch int, m *message.Message, timeout time.Duration) {
	call := b.open[endpoint.ID]
	if call == nil || len(call.Parts) >= maxBatch {
		call = &egress.Call{Endpoint: &endpoint.Endpoint, Addr: endpoint.addr, Generation: endpoint.Generation(), DecidedAt: time.Now()}
		b.open[endpoint.ID] = call
		b.all = append(b.all, call)
	}
	call.Add(m, timeout)
}

// send adds the message of a Send action to a call.
func (e *Engine) send(calls *callBuilder, s policy.Send) {
	endpoint := e.endpoints[s.Endpoint]
	calls.add(endpoint, e.maxBatch(endpoint), e.messages[s.Message], s.Timeout)
	endpoint.inFlight++
	e.observations = append(e.observations, admission.Observation{Kind: admission.CallStarted, Destination: endpoint.Destination})
}

// maxBatch returns the maximum number of messages in a call to an endpoint.
func (e *Engine) maxBatch(endpoint *trackedEndpoint) int {
	if int(endpoint.Kind) < len(e.settings.Kinds) {
		return e.settings.Kinds[endpoint.Kind].MaxBatch
	}
	return 1
}

func (e *Engine) notifyPeers(n policy.NotifyPeers) {
	if e.deps.PeerMessages == nil {
		return
	}
	if e.debug {
		e.deps.Log.Debug(logPeerMessage, "tag", n.Tag, "news", n.Event)
	}
	e.deps.PeerMessages.Send(n)
}

// complete removes a message and queues its final response, which is persisted before it is announced.
func (e *Engine) complete(id policy.MessageID, kind message.ResponseKind, retryAfter time.Duration) {
	m := e.messages[id]
	if m == nil {
		return
	}
	e.deps.Log.Debug(logCompleted, "id", m.ID, "n", m.Seq, "dest", m.Destination, "outcome", kind, "left", time.Until(m.Deadline))
	e.remove(m)
	e.responses.add(store.Completion{Message: m, Response: message.FinalResponse{Kind: kind, RetryAfter: retryAfter}})
}

// remove removes a message that has a final response, and records its completion for Admission.
func (e *Engine) remove(m *message.Message) {
	delete(e.messages, m.Seq)
	e.observations = append(e.observations, admission.Observation{Kind: admission.MessageCompleted, Destination: m.Destination, Class: m.Class, MessageID: m.ID})
}

// reportObservations reports the observations since the last report to Admission.
func (e *Engine) reportObservations() {
	if len(e.observations) > 0 {
		e.deps.Admission.Observe(e.observations)
		e.observations = nil
	}
}
