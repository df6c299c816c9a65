package reference

import "wingmount/policy"

// Module is a Sender behind the types of package policy.
type Module struct{ sender *Sender }

// NewModule returns a module with the settings of package policy.
func NewModule(s policy.Settings, seed uint64) *Module {
	return &Module{New(settings(s), seed)}
}

// Step is the Step of a Sender.
func (m *Module) Step(now policy.Time, events []policy.Event, actions []policy.Action) []policy.Action {
	converted := make([]Event, len(events))
	for i, e := range events {
		converted[i] = event(e)
	}
	for _, a := range m.sender.Step(now, converted, nil) {
		actions = append(actions, action(a))
	}
	return actions
}

func settings(s policy.Settings) Settings {
	converted := Settings{
		Senders: s.Senders, MustSubscribe: s.MustSubscribe, ZoneFee: s.ZoneFee, Listing: Listing(s.RateAccuracy),
		HalvesLate: s.HalvesLate, Slots: s.Slots, MaxHeld: s.MaxInFlight, MaxAttempts: s.MaxAttempts,
		PeerMessages: s.PeerMessages, MaxWait: s.MaxRetryAfter, AdviseWait: s.AdviseRetryAfter, ConnectTimeout: s.ConnectTimeout,
		LeastTimeout: s.MinTimeout, Tick: s.Tick, DrainGrace: s.DrainGrace, ColdShare: s.InitialCapacity,
		WarmUp: s.WarmUp, FallMultiple: s.OverloadFactor, FallWindow: s.OverloadWindow, KeyRest: s.KeyCooldown,
	}
	for _, c := range s.Classes {
		converted.Classes = append(converted.Classes, Class{
			Repeat: Repeat(c.Repeat), GroupAll: c.GroupAll, GroupZone: c.GroupZone, Window: c.DedupWindow, Ordered: c.Ordered,
			SoftDeadline: c.SoftDeadline, Deadline: c.Deadline, Value: c.Value, LateValue: c.LateValue,
		})
	}
	for _, k := range s.Kinds {
		converted.Kinds = append(converted.Kinds, Kind{RoutesApart: k.SeparateRoutes, BundleMax: k.MaxBatch})
	}
	return converted
}

// event panics on an event of no known type.
func event(e policy.Event) Event {
	switch e := e.(type) {
	case policy.EndpointUpdate:
		return list(e)
	case policy.SubscriptionFailed:
		return ListFailed{}
	case policy.Arrived:
		return Arrived{
			Message: MessageID(e.Message), Destination: e.Destination, Class: e.Class, Key: e.Key, GiveUpAt: e.GiveUpAt,
			Past: Past{Attempts: e.Past.Attempts, MayRun: e.Past.MayHaveRun, RanAt: e.Past.FirstRunAt, RanZone: e.Past.FirstRunZone},
		}
	case policy.AttemptCompleted:
		return Ended{
			Message: MessageID(e.Message), Attempt: e.Attempt, Endpoint: EndpointID(e.Endpoint), Outcome: Outcome(e.Outcome),
			Wait: e.RetryAfter, Final: e.Final, Stale: e.StaleConnection, Took: e.Duration,
		}
	case policy.Withdrawn:
		return Withdrawn{Message: MessageID(e.Message)}
	case policy.PeerMessage:
		return Told{Tag: Tag(e.Tag), Endpoint: EndpointID(e.Endpoint), News: News(e.Event), Spare: e.ProbeDelay}
	case policy.HealthRestored:
		return Remembered{
			Endpoint: EndpointID(e.Endpoint), Sent: e.CallTimes, Failed: e.Failed, FailedAt: e.FailedAt,
			Back: e.Recovered, BackAt: e.RecoveredAt,
		}
	case policy.Woken:
		return Woken{}
	}
	panic("reference: an event of no known type")
}

func list(l policy.EndpointUpdate) Listed {
	converted := Listed{Whole: l.Complete}
	for _, e := range l.Entries {
		converted.Entries = append(converted.Entries, Entry{
			Endpoint: EndpointID(e.Endpoint), Destination: e.Destination, Kind: e.Kind, Zone: e.Zone,
			State: EndpointState(e.State), Rate: e.Rate, Limit: e.AssignedRate,
		})
	}
	return converted
}

// action panics on an action of no known type.
func action(a Action) policy.Action {
	switch a := a.(type) {
	case Send:
		return policy.Send{
			Message: policy.MessageID(a.Message), Endpoint: policy.EndpointID(a.Endpoint), Timeout: a.Timeout,
		}
	case Refuse:
		return policy.Reject{Message: policy.MessageID(a.Message), RetryAfter: a.Wait}
	case Fail:
		return policy.Fail{Message: policy.MessageID(a.Message)}
	case Subscribe:
		return policy.Subscribe{}
	case CloseIdle:
		return policy.CloseIdle{Endpoint: policy.EndpointID(a.Endpoint)}
	case Tell:
		return policy.NotifyPeers{Tag: policy.Tag(a.Tag), Event: policy.PeerEvent(a.News)}
	case Wake:
		return policy.Wake{At: a.At}
	}
	panic("reference: an action of no known type")
}
