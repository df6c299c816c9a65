package steps

import (
	"wingmount/internal/steps/internal/terms"
	"wingmount/policy"
)

// This file maps each type of package policy to its form in a recording, and back. The fields of the form keep the names
// that recordings have.

func settingsForm(s policy.Settings) terms.Settings {
	form := terms.Settings{
		Senders: s.Senders, MustSubscribe: s.MustSubscribe, ZoneFee: s.ZoneFee, Listing: int(s.RateAccuracy),
		HalvesLate: s.HalvesLate, Slots: s.Slots, MaxHeld: s.MaxInFlight, MaxAttempts: s.MaxAttempts,
		PeerMessages: s.PeerMessages, MaxWait: s.MaxRetryAfter, AdviseWait: s.AdviseRetryAfter,
		ConnectTimeout: s.ConnectTimeout, LeastTimeout: s.MinTimeout, Tick: s.Tick, DrainGrace: s.DrainGrace,
		ColdShare: s.InitialCapacity, WarmUp: s.WarmUp, FallMultiple: s.OverloadFactor, FallWindow: s.OverloadWindow,
		KeyRest: s.KeyCooldown,
	}
	for _, c := range s.Classes {
		form.Classes = append(form.Classes, terms.Class{
			Repeat: int(c.Repeat), GroupAll: c.GroupAll, GroupZone: c.GroupZone, Window: c.DedupWindow, Ordered: c.Ordered,
			SoftDeadline: c.SoftDeadline, Deadline: c.Deadline, Value: c.Value, LateValue: c.LateValue,
		})
	}
	for _, k := range s.Kinds {
		form.Kinds = append(form.Kinds, terms.Kind{RoutesApart: k.SeparateRoutes, BundleMax: k.MaxBatch})
	}
	return form
}

func settingsOf(form terms.Settings) policy.Settings {
	s := policy.Settings{
		Senders: form.Senders, MustSubscribe: form.MustSubscribe, ZoneFee: form.ZoneFee,
		RateAccuracy: policy.RateAccuracy(form.Listing), HalvesLate: form.HalvesLate, Slots: form.Slots, MaxInFlight: form.MaxHeld,
		MaxAttempts: form.MaxAttempts, PeerMessages: form.PeerMessages, MaxRetryAfter: form.MaxWait,
		AdviseRetryAfter: form.AdviseWait, ConnectTimeout: form.ConnectTimeout, MinTimeout: form.LeastTimeout,
		Tick: form.Tick, DrainGrace: form.DrainGrace, InitialCapacity: form.ColdShare, WarmUp: form.WarmUp,
		OverloadFactor: form.FallMultiple, OverloadWindow: form.FallWindow, KeyCooldown: form.KeyRest,
	}
	for _, c := range form.Classes {
		s.Classes = append(s.Classes, policy.Class{
			Repeat: policy.Repeat(c.Repeat), GroupAll: c.GroupAll, GroupZone: c.GroupZone, DedupWindow: c.Window,
			Ordered: c.Ordered, SoftDeadline: c.SoftDeadline, Deadline: c.Deadline, Value: c.Value,
			LateValue: c.LateValue,
		})
	}
	for _, k := range form.Kinds {
		s.Kinds = append(s.Kinds, policy.Kind{SeparateRoutes: k.RoutesApart, MaxBatch: k.BundleMax})
	}
	return s
}

func endpointUpdateForm(l policy.EndpointUpdate) *terms.Listed {
	form := &terms.Listed{Whole: l.Complete}
	for _, e := range l.Entries {
		form.Entries = append(form.Entries, terms.Entry{
			Endpoint: uint64(e.Endpoint), Destination: e.Destination, Kind: e.Kind, Zone: e.Zone, State: int8(e.State),
			Rate: e.Rate, Limit: e.AssignedRate,
		})
	}
	return form
}

func endpointUpdateOf(form *terms.Listed) policy.EndpointUpdate {
	l := policy.EndpointUpdate{Complete: form.Whole}
	for _, e := range form.Entries {
		l.Entries = append(l.Entries, policy.Entry{
			Endpoint: policy.EndpointID(e.Endpoint), Destination: e.Destination, Kind: e.Kind, Zone: e.Zone,
			State: policy.EndpointState(e.State), Rate: e.Rate, AssignedRate: e.Limit,
		})
	}
	return l
}

func arrivalForm(a policy.Arrived) *terms.Arrived {
	return &terms.Arrived{
		Message: uint64(a.Message), Destination: a.Destination, Class: a.Class, Key: a.Key, GiveUpAt: a.GiveUpAt,
		Past: terms.Past{
			Attempts: a.Past.Attempts, MayRun: a.Past.MayHaveRun, RanAt: a.Past.FirstRunAt, RanZone: a.Past.FirstRunZone,
		},
	}
}

func arrivalOf(form *terms.Arrived) policy.Arrived {
	return policy.Arrived{
		Message: policy.MessageID(form.Message), Destination: form.Destination, Class: form.Class, Key: form.Key,
		GiveUpAt: form.GiveUpAt,
		Past: policy.PriorAttempts{
			Attempts: form.Past.Attempts, MayHaveRun: form.Past.MayRun, FirstRunAt: form.Past.RanAt, FirstRunZone: form.Past.RanZone,
		},
	}
}

func completionForm(c policy.AttemptCompleted) *terms.AttemptCompleted {
	return &terms.AttemptCompleted{
		Message: uint64(c.Message), Attempt: c.Attempt, Endpoint: uint64(c.Endpoint), Outcome: int(c.Outcome),
		Wait: c.RetryAfter, Final: c.Final, Stale: c.StaleConnection, Took: c.Duration,
	}
}

func completionOf(form *terms.AttemptCompleted) policy.AttemptCompleted {
	return policy.AttemptCompleted{
		Message: policy.MessageID(form.Message), Attempt: form.Attempt, Endpoint: policy.EndpointID(form.Endpoint),
		Outcome: policy.Outcome(form.Outcome), RetryAfter: form.Wait, Final: form.Final, StaleConnection: form.Stale, Duration: form.Took,
	}
}

func peerMessageForm(m policy.PeerMessage) *terms.PeerMessage {
	return &terms.PeerMessage{
		Tag: uint32(m.Tag), Endpoint: uint64(m.Endpoint), News: int(m.Event), Spare: m.ProbeDelay,
	}
}

func peerMessageOf(form *terms.PeerMessage) policy.PeerMessage {
	return policy.PeerMessage{
		Tag: policy.Tag(form.Tag), Endpoint: policy.EndpointID(form.Endpoint), Event: policy.PeerEvent(form.News),
		ProbeDelay: form.Spare,
	}
}

func healthForm(h policy.HealthRestored) *terms.HealthRestored {
	return &terms.HealthRestored{
		Endpoint: uint64(h.Endpoint), Sent: h.CallTimes, Failed: h.Failed, FailedAt: h.FailedAt, Back: h.Recovered,
		BackAt: h.RecoveredAt,
	}
}

func healthOf(form *terms.HealthRestored) policy.HealthRestored {
	return policy.HealthRestored{
		Endpoint: policy.EndpointID(form.Endpoint), CallTimes: form.Sent, Failed: form.Failed, FailedAt: form.FailedAt,
		Recovered: form.Back, RecoveredAt: form.BackAt,
	}
}

func sendForm(a policy.Send) *terms.Send {
	return &terms.Send{Message: uint64(a.Message), Endpoint: uint64(a.Endpoint), Timeout: a.Timeout}
}

func sendOf(form *terms.Send) policy.Send {
	return policy.Send{
		Message: policy.MessageID(form.Message), Endpoint: policy.EndpointID(form.Endpoint), Timeout: form.Timeout,
	}
}

func rejectionForm(a policy.Reject) *terms.Refuse {
	return &terms.Refuse{Message: uint64(a.Message), Wait: a.RetryAfter}
}

func rejectionOf(form *terms.Refuse) policy.Reject {
	return policy.Reject{Message: policy.MessageID(form.Message), RetryAfter: form.Wait}
}

func notificationForm(a policy.NotifyPeers) *terms.NotifyPeers {
	return &terms.NotifyPeers{Tag: uint32(a.Tag), News: int(a.Event)}
}

func notificationOf(form *terms.NotifyPeers) policy.NotifyPeers {
	return policy.NotifyPeers{Tag: policy.Tag(form.Tag), Event: policy.PeerEvent(form.News)}
}
