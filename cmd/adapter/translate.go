package main

import (
	"fmt"
	"time"
	"wingmount/internal/wire"
	"wingmount/policy"
)

// toEvent translates an event, and returns nil for one that the module does not use.
func (h *host) toEvent(e wire.Event) (policy.Event, error) {
	switch e.Code {
	case wire.EventEndpointsChanged:
		if e.Kind == wire.ListUnavailable {
			return policy.SubscriptionFailed{}, nil
		}
		list, ok := h.lists[e.List]
		if !ok {
			return nil, fmt.Errorf("list %d was never given", e.List)
		}
		return policy.EndpointUpdate{Complete: e.Kind != wire.ListDelta, Entries: list}, nil
	case wire.EventMessageArrived:
		return policy.Arrived{
			Message: policy.MessageID(e.MessageID), Destination: int(e.Destination),
			Class: int(e.Class), Key: e.Key, GiveUpAt: time.Duration(e.GiveUpAtUs) * time.Microsecond,
		}, nil
	case wire.EventAttemptCompleted:
		return policy.AttemptCompleted{
			Message: policy.MessageID(e.MessageID), Attempt: int(e.Attempt),
			Endpoint: policy.EndpointID(e.Endpoint), Outcome: toOutcome(e.Result), Final: e.Final,
			RetryAfter: time.Duration(e.RetryAfterMs) * time.Millisecond,
			Duration:   time.Duration(e.DurationUs) * time.Microsecond,
		}, nil
	case wire.EventWithdrawn:
		return policy.Withdrawn{Message: policy.MessageID(e.MessageID)}, nil
	case wire.EventTimerFired:
		return policy.Woken{}, nil
	case wire.EventPeerMessage:
		if message, ok := wire.DecodePeerMessage(e.Data); ok {
			return message, nil
		}
		return nil, nil
	case wire.EventResponseStarted, wire.EventHealthCheckCompleted:
		return nil, nil
	}
	return nil, fmt.Errorf("event code %d has no meaning for an instance", e.Code)
}

// toEntries translates an endpoint list.
func toEntries(list []wire.EndpointEntry) []policy.Entry {
	out := make([]policy.Entry, len(list))
	for i, e := range list {
		out[i] = policy.Entry{
			Endpoint: policy.EndpointID(e.Endpoint), Destination: int(e.Destination),
			Kind: int(e.Kind), Zone: int(e.Zone), State: toState(e.State), Rate: float64(e.RateLimit),
		}
	}
	return out
}

// toState translates the state of an endpoint: 1 is ready, 2 draining, and others are removed.
func toState(s uint8) policy.EndpointState {
	switch s {
	case 1:
		return policy.Ready
	case 2:
		return policy.Draining
	}
	return policy.Removed
}

// toOutcome translates a result. It panics on one that the decoder rejects.
func toOutcome(result uint16) policy.Outcome {
	switch result {
	case wire.ResultOK:
		return policy.Delivered
	case wire.ResultFailed:
		return policy.Failed
	case wire.ResultRateLimited:
		return policy.RateLimited
	case wire.ResultTimeout:
		return policy.TimedOut
	case wire.ResultConnectFailed:
		return policy.Unreachable
	case wire.ResultReset:
		return policy.Reset
	case wire.ResultCancelled:
		return policy.Cancelled
	case wire.ResultNotSent:
		return policy.NotSent
	}
	panic(fmt.Sprintf("result %d passed the decoder", result))
}

// toWire translates an action. It panics on one of an unknown type.
func toWire(a policy.Action) wire.Action {
	switch a := a.(type) {
	case policy.Send:
		return wire.Action{
			Code: wire.ActionSend, MessageID: uint64(a.Message),
			Endpoint: wire.Endpoint(a.Endpoint), TimeoutUs: uint32(a.Timeout.Microseconds()),
		}
	case policy.Reject:
		return wire.Action{Code: wire.ActionReject, MessageID: uint64(a.Message), RetryAfterUs: uint32(a.RetryAfter.Microseconds())}
	case policy.Fail:
		return wire.Action{Code: wire.ActionFail, MessageID: uint64(a.Message)}
	case policy.Subscribe:
		return wire.Action{Code: wire.ActionSubscribe, Enabled: true}
	case policy.CloseIdle:
		return wire.Action{Code: wire.ActionCloseIdle, Endpoint: wire.Endpoint(a.Endpoint)}
	case policy.NotifyPeers:
		return wire.Action{Code: wire.ActionNotifyPeers, Recipient: wire.AllPeers, Data: wire.EncodePeerMessage(a)}
	case policy.Wake:
		return wire.Action{Code: wire.ActionSetTimer, AtUs: uint64(a.At.Microseconds())}
	}
	panic(fmt.Sprintf("unknown action %T", a))
}
