package steps

import (
	"fmt"
	"wingmount/internal/steps/internal/terms"
	"wingmount/policy"
)

// This file has the form of a recording: a header, and a value of type packed for each step. Gob writes the names of
// these types and of their fields, so they stay; the comments name what a field stands for where that differs.

// formatVersion is the version of the form. Recordings of other versions are rejected. Since version 2 classes and peer
// messages have their present fields.
const formatVersion = 2

// header is the first value of a recording.
type header struct {
	Version  int
	Settings terms.Settings
	Seed     uint64
}

// packed is a step. Gob can't encode an interface whose value has no fields, so each event and action is a struct with
// one field set.
type packed struct {
	Now     policy.Time
	Events  []event
	Actions []action
}

// bare identifies an event or action without fields, and is 0 for others.
type bare int

const (
	subscriptionFailed bare = iota + 1
	woken
	subscribe
	unknownKind // of a module that is newer than this package
)

type event struct {
	Bare       bare
	Listed     *terms.Listed // EndpointUpdate
	Arrived    *terms.Arrived
	Ended      *terms.AttemptCompleted
	Withdrawn  *terms.Withdrawn
	Told       *terms.PeerMessage
	Remembered *terms.HealthRestored
}

type action struct {
	Bare      bare
	Send      *terms.Send
	Refuse    *terms.Refuse // Reject
	Fail      *terms.Fail
	CloseIdle *terms.CloseIdle
	Tell      *terms.NotifyPeers
	Wake      *terms.Wake
}

// pack returns the form of a step.
func pack(s Step) packed {
	p := packed{Now: s.Now}
	for _, e := range s.Events {
		p.Events = append(p.Events, packEvent(e))
	}
	for _, a := range s.Actions {
		p.Actions = append(p.Actions, packAction(a))
	}
	return p
}

func packEvent(e policy.Event) event {
	switch e := e.(type) {
	case policy.EndpointUpdate:
		return event{Listed: endpointUpdateForm(e)}
	case policy.SubscriptionFailed:
		return event{Bare: subscriptionFailed}
	case policy.Arrived:
		return event{Arrived: arrivalForm(e)}
	case policy.AttemptCompleted:
		return event{Ended: completionForm(e)}
	case policy.Withdrawn:
		return event{Withdrawn: &terms.Withdrawn{Message: uint64(e.Message)}}
	case policy.PeerMessage:
		return event{Told: peerMessageForm(e)}
	case policy.HealthRestored:
		return event{Remembered: healthForm(e)}
	case policy.Woken:
		return event{Bare: woken}
	}
	return event{Bare: unknownKind}
}

func packAction(a policy.Action) action {
	switch a := a.(type) {
	case policy.Send:
		return action{Send: sendForm(a)}
	case policy.Reject:
		return action{Refuse: rejectionForm(a)}
	case policy.Fail:
		return action{Fail: &terms.Fail{Message: uint64(a.Message)}}
	case policy.Subscribe:
		return action{Bare: subscribe}
	case policy.CloseIdle:
		return action{CloseIdle: &terms.CloseIdle{Endpoint: uint64(a.Endpoint)}}
	case policy.NotifyPeers:
		return action{Tell: notificationForm(a)}
	case policy.Wake:
		return action{Wake: &terms.Wake{At: a.At}}
	}
	return action{Bare: unknownKind}
}

// unpack returns the step. It fails if an event or action is of an unknown kind.
func (p packed) unpack() (Step, error) {
	s := Step{Now: p.Now}
	for _, e := range p.Events {
		unpacked, err := e.unpack()
		if err != nil {
			return s, err
		}
		s.Events = append(s.Events, unpacked)
	}
	for _, a := range p.Actions {
		unpacked, err := a.unpack()
		if err != nil {
			return s, err
		}
		s.Actions = append(s.Actions, unpacked)
	}
	return s, nil
}

func (e event) unpack() (policy.Event, error) {
	switch {
	case e.Listed != nil:
		return endpointUpdateOf(e.Listed), nil
	case e.Arrived != nil:
		return arrivalOf(e.Arrived), nil
	case e.Ended != nil:
		return completionOf(e.Ended), nil
	case e.Withdrawn != nil:
		return policy.Withdrawn{Message: policy.MessageID(e.Withdrawn.Message)}, nil
	case e.Told != nil:
		return peerMessageOf(e.Told), nil
	case e.Remembered != nil:
		return healthOf(e.Remembered), nil
	case e.Bare == subscriptionFailed:
		return policy.SubscriptionFailed{}, nil
	case e.Bare == woken:
		return policy.Woken{}, nil
	}
	return nil, fmt.Errorf("an event of no known kind (%d)", e.Bare)
}

func (a action) unpack() (policy.Action, error) {
	switch {
	case a.Send != nil:
		return sendOf(a.Send), nil
	case a.Refuse != nil:
		return rejectionOf(a.Refuse), nil
	case a.Fail != nil:
		return policy.Fail{Message: policy.MessageID(a.Fail.Message)}, nil
	case a.CloseIdle != nil:
		return policy.CloseIdle{Endpoint: policy.EndpointID(a.CloseIdle.Endpoint)}, nil
	case a.Tell != nil:
		return notificationOf(a.Tell), nil
	case a.Wake != nil:
		return policy.Wake{At: a.Wake.At}, nil
	case a.Bare == subscribe:
		return policy.Subscribe{}, nil
	}
	return nil, fmt.Errorf("an action of no known kind (%d)", a.Bare)
}
